// Stand-in for a plain service whose servers crash when they run a poison
// request. A crashed server restarts after a delay on the same address, as a
// new incarnation with a new id.
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
  // Time from the arrival of a request to its response or the crash of its
  // server.
  std::uint64_t work_ms = 30;
  // Time from the crash of a server to its restart.
  std::uint64_t down_ms = 400;
  // Returns true for a request that crashes the server that runs it.
  std::function<bool(const http::request&)> is_poison = [](const auto&) {
    return false;
  };
  // Returns the body of the response to a request.
  std::function<std::string(const http::request&)> answer_body =
    [](const auto&) { return std::string{}; };
  // Data centres of the servers, in turn; empty: none is announced.
  std::vector<std::string> data_centres = {};
};

class crashing_service
{
public:
  crashing_service(asio::io_context& io,
                   object_store& store,
                   crashing_service_options options);
  ~crashing_service();

  // Crashes a server for a reason that is unrelated to its requests.
  void crash_server(std::size_t index);

  // Resets all connections of a server without restarting it: the incarnation
  // stays the same.
  void reset_connections(std::size_t index);

  // Bodies of all requests that were started, in order of arrival.
  const std::vector<std::string>& runs() const { return runs_; }

  // Index of the server of each of these requests.
  const std::vector<std::size_t>& run_servers() const { return run_servers_; }

  // Number of crashes that poison requests have caused.
  std::size_t crashes() const { return crashes_; }

  // Returns true if no server is down.
  bool all_running() const;

private:
  struct server;
  void start(server& s);
  void crash(server& s);
  void serve(server& s, const http::call& c);
  void run_after(std::uint64_t ms, std::function<void()> action);

  asio::io_context& io_;
  object_store& store_;
  crashing_service_options options_;
  std::vector<std::unique_ptr<server>> servers_;
  std::vector<std::string> runs_;
  std::vector<std::size_t> run_servers_;
  std::size_t crashes_ = 0;
};

} // namespace cactusford::standins
