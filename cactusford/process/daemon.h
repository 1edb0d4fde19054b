// What every daemon has: one decision thread, workers for calls that block,
// links, the platform, the configuration, metrics, and a graceful end.
#pragma once

#include "cactusford/configuration/relay.h"
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

  // Binds the link and the admin port. `on_stream` gets every stream but
  // those of the configuration.
  failure start(link::accept_handler on_stream);

  // Names a further bound port in the ports file.
  void add_port(const std::string& name, std::uint16_t port);

  // Writes the ports file and runs until `stop`. `on_leave` runs once on
  // SIGTERM or SIGINT and calls `stop` when all work has ended.
  void run(std::function<void()> on_leave);

  void stop();

  // Runs `task` on a worker and then `done` with its result on `io`.
  template<typename Task, typename Done>
  void run_on_worker(Task task, Done done)
  {
    asio::post(workers, [this, task = std::move(task), done = std::move(done)] {
      auto r = task();
      asio::post(io,
                 [done, r = std::move(r)]() mutable { done(std::move(r)); });
    });
  }

  // Runs `run` on `io` after the delay.
  void run_after(std::uint64_t delay_ms, std::function<void()> run);

  // Answers /readyz together with the configuration's readiness.
  std::function<bool()> is_serving;

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
  void write_ports();

  std::unique_ptr<admin> admin_;
  std::map<std::string, std::uint16_t> ports_;
};

// Reads the file named on the command line, or says on standard error what is
// wrong. `parse` is one of the settings parsers.
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

// Milliseconds of a steady clock.
std::uint64_t
steady_ms();

// A fresh id: a UUID of version 7 (RFC 9562), so ids sort by time.
std::string
generate_id();

// Milliseconds since 1970 in a UUID of version 7; 0 when it is not one.
std::uint64_t
uuid_time_ms(std::string_view uuid);

// Parses `--settings FILE`, and prints help or a one-line error. Returns the
// path, or an empty string with `exit_code` set.
std::string
parse_settings_path(int argc, char** argv, const char* about, int& exit_code);

} // namespace cactusford::process
