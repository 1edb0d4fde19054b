// Common base of all daemons: an event loop thread, worker threads for blocking
// calls, links, the platform client, the configuration, metrics and graceful
// shutdown.
#pragma once

#include "cactusford/configuration/relay.h"
#include "cactusford/http/server.h"
#include "cactusford/link/link.h"
#include "cactusford/platform/client.h"
#include "cactusford/process/metrics.h"
#include "cactusford/settings/settings.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace cactusford::process {

// Exit codes of the daemons.
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_settings = 2;

class daemon
{
public:
  daemon(const settings::process_settings& s, std::size_t worker_count);
  ~daemon();

  // Binds the link and the admin port. `on_stream` receives every accepted
  // stream except those of the configuration.
  failure start(link::accept_handler on_stream);

  // Listens on `address`, the value of `key`, with `try_listen`, which also
  // returns the bound port. A port that is in use is waited for while the
  // process runs.
  failure listen(const std::string& key,
                 const std::string& address,
                 std::function<std::error_code(std::uint16_t&)> try_listen);

  bool is_listening(const std::string& key) const;

  // Runs until `stop` is called, and writes the ports file once all ports are
  // bound. `on_shutdown` runs once, on SIGTERM or SIGINT, and must call `stop`
  // when all work has ended. Returns the exit code.
  int run(std::function<void()> on_shutdown);

  void stop();

  // Runs `task` on a worker thread, then `done` with its result on `io`.
  template<typename Task, typename Done>
  void run_on_worker(Task task, Done done)
  {
    asio::post(workers, [this, task = std::move(task), done = std::move(done)] {
      auto r = task();
      asio::post(io,
                 [done, r = std::move(r)]() mutable { done(std::move(r)); });
    });
  }

  // Runs `run` on `io` after a delay.
  void run_after(std::uint64_t delay_ms, std::function<void()> run);

  // Additional condition for /readyz besides a ready configuration. Optional.
  std::function<bool()> is_serving;

  // Called before the metrics are written. Optional.
  std::function<void()> on_scrape;

  const settings::process_settings settings;
  const std::uint64_t incarnation;
  asio::io_context io;
  asio::thread_pool workers;
  link::endpoint links;
  platform::client platform;
  configuration::relay configuration;
  process::metrics metrics;

private:
  struct admin;
  failure start_admin();
  void serve_admin(const http::call& c);
  void write_ports() const;

  std::unique_ptr<admin> admin_;
  // 0: not bound yet.
  std::map<std::string, std::uint16_t> ports_;
  bool is_running_ = false;
  bool is_leaving_ = false;
  int exit_code_ = exit_ok;
};

// Reads a settings file and parses it with `parse`, one of the settings
// parsers.
template<typename Settings>
result<Settings>
load_settings(const std::string& path,
              result<Settings> (*parse)(std::string_view))
{
  const auto text = settings::read_file(path);
  if (!text) {
    return { {}, text.error };
  }
  return parse(text.value);
}

// Current time of the steady clock in milliseconds.
std::uint64_t
steady_ms();

// Generates a UUID of version 7 (RFC 9562), so that ids sort by time.
std::string
generate_id();

// Returns the time in a UUID of version 7, in milliseconds since 1970, or 0 if
// the text is not such a UUID.
std::uint64_t
uuid_time_ms(std::string_view uuid);

// Parses the command line: `--settings FILE`, or `--help` to print the help.
// Returns the path. On an error, prints one line, sets `exit_code` and returns
// an empty string.
std::string
parse_settings_path(int argc, char** argv, const char* about, int& exit_code);

} // namespace cactusford::process
