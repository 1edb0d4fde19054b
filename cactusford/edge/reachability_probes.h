// Probes data centres that are unreachable, logs when one becomes so and when
// it is back, and tells the rest of the process.
#pragma once

#include "cactusford/backends/registry.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace cactusford::edge {

class reachability_probes
{
public:
  reachability_probes(asio::io_context& io, backends::registry& registry);

  // Called when a data centre has become unreachable.
  std::function<void(const std::string& data_centre)> on_unreachable =
    [](const std::string&) {};
  // Called when one has answered again.
  std::function<void()> on_reachable = [] {};

  // Handles the changes of the registry's view, after the caller has returned.
  void check();

  std::size_t unreachable() const;

private:
  void handle_changes();
  void send_due_probes();
  void probe(const std::string& data_centre);
  void check_doubtful();
  void check_server(const backends::backend& b);
  void schedule();

  asio::io_context& io_;
  backends::registry& registry_;
  asio::steady_timer timer_;
  bool is_check_posted_ = false;
  // When a doubtful data centre was last checked.
  std::map<std::string, std::uint64_t> checked_ms_;
  std::mt19937_64 random_{ std::random_device{}() };
};

} // namespace cactusford::edge
