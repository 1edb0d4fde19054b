// A stand-in for a plain service whose servers end when they run a certain
// request, and are back a little later, each time as another life on the same
// address.
#pragma once

#include "cactusford/http/server.h"
#include "standins/object_store.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cactusford::standins {

struct crashing_service_options
{
  std::string service = "calls";
  std::size_t servers = 4;
  // From the arrival of a request to its answer, or to the end of its server.
  std::uint64_t work_ms = 30;
  // From the end of a server to its next life.
  std::uint64_t down_ms = 400;
  // True for a request that ends the server that runs it.
  std::function<bool(const http::request&)> is_poison = [](const auto&) {
    return false;
  };
};

class crashing_service
{
public:
  crashing_service(asio::io_context& io,
                   object_store& store,
                   crashing_service_options o);
  ~crashing_service();

  // A server ends for a cause of its own.
  void crash_server(std::size_t index);

  // Resets all connections of a server, which lives on.
  void reset_connections(std::size_t index);

  // Bodies of all requests that were begun, in their order.
  const std::vector<std::string>& runs() const { return runs_; }

  // Servers that a fatal request has ended.
  std::size_t crashes() const { return ends_; }

  bool all_running() const;

private:
  struct server;
  void start(server& s);
  void end(server& s);
  void serve(server& s, const http::call& c);
  void after(std::uint64_t ms, std::function<void()> run);

  asio::io_context& io_;
  object_store& store_;
  crashing_service_options options_;
  std::vector<std::unique_ptr<server>> servers_;
  std::vector<std::string> runs_;
  std::size_t ends_ = 0;
};

} // namespace cactusford::standins
