// Brings the configuration to every process: the first three instances of a
// data centre watch the platform, the others read from them over a tree.
#pragma once

#include "cactusford/configuration/state.h"
#include "cactusford/link/link.h"
#include "cactusford/settings/settings.h"

#include <asio/io_context.hpp>
#include <asio/thread_pool.hpp>

#include <functional>
#include <memory>

namespace cactusford::configuration {

// How much of the fleet holds a version, as this process knows it.
struct coverage
{
  std::uint64_t version = 0;
  std::uint32_t processes = 0;
};

class relay
{
public:
  using change_handler =
    std::function<void(const snapshot_ptr&,
                       const std::vector<platform::object>&)>;

  relay(asio::io_context& io,
        asio::thread_pool& workers,
        link::endpoint& links,
        platform::client& platform,
        const settings::process_settings& s);
  ~relay();

  // Loads from the platform or, while it is down, from the peers. `on_change`
  // runs on the io thread after each change.
  void start(change_handler on_change);

  // Serves a "/configuration" stream of another process.
  void serve(const link::stream_ptr& s);

  // False until the state holds the maximum of the platform or the peers.
  bool is_ready() const;

  snapshot_ptr current() const;

  // This process and all that read from it, directly or not.
  coverage subtree_coverage() const;

  // Takes what this process learnt first, such as its own write.
  void apply_objects(const std::vector<platform::object>& objects);

  // Milliseconds since the platform last confirmed this state.
  std::uint64_t confirmed_age_ms() const;

  void stop();

private:
  class impl;
  std::shared_ptr<impl> impl_;
};

} // namespace cactusford::configuration
