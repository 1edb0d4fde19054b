// Main functions of the programs that run on the platform. Each runs until it
// is signalled to stop and returns its exit code.
#pragma once

#include "cactusford/edge/dialect.h"
#include "cactusford/edge/settings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace cactusford::edge {

// What the programs have in common: the event loop, which runs on one thread,
// the log, the signals and the reloading of settings.
class process_runtime
{
public:
  process_runtime(std::string path, hosted_settings s);

  // Runs the event loop until `stop`. `on_leave` is called once, on SIGTERM or
  // SIGINT.
  void run(std::function<void()> on_leave);

  void stop();

  void after(std::uint64_t delay_ms, std::function<void()> run);

  // Called with the new settings after a successful reload.
  std::function<void(const hosted_settings&)> on_reload;

  asio::io_context io{ 1 };
  hosted_settings settings;

private:
  void wait_for_signal();
  void reload();
  // Reloads the settings file when its content changes, as it may do so without
  // SIGHUP.
  void poll_settings_file();

  std::string path_;
  asio::signal_set signals_;
  std::function<void()> on_leave_;
  bool is_leaving_ = false;
  std::string settings_text_;
};

// Runs an entry, one of several behind the load balancer: HTTP for callers,
// batches and the readiness check.
int
run_edge(const std::string& path, const hosted_settings& s, const dialect& d);

// Runs a sidecar, which gives the engine beside it orders to load weights.
int
run_sidecar(const std::string& path,
            const hosted_settings& s,
            const dialect& d);

// Runs on instances with a disk. It stores nothing on the disk, as all durable
// data is in the platform's store. When its instance is to be emptied, it
// reports that there is nothing left on it.
int
run_depot(const std::string& path, const hosted_settings& s, const dialect& d);

// Parses the command line, loads the settings and calls `run`.
int
hosted_main(int argc,
            char** argv,
            const char* description,
            const dialect& d,
            int (*run)(const std::string&,
                       const hosted_settings&,
                       const dialect&));

} // namespace cactusford::edge
