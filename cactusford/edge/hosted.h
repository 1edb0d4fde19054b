// The programs that run on the platform. Each runs until it is told to stop
// and returns its exit code.
#pragma once

#include "cactusford/edge/dialect.h"
#include "cactusford/edge/settings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace cactusford::edge {

// What the three have in common: the thread, the log, the signals.
class host
{
public:
  host(std::string path, hosted_settings s);

  // Runs until `stop`. `on_leave` runs once on SIGTERM or SIGINT.
  void run(std::function<void()> on_leave);

  void stop();

  void after(std::uint64_t delay_ms, std::function<void()> run);

  // Called with settings that were read again and are valid.
  std::function<void(const hosted_settings&)> on_reload;

  asio::io_context io{ 1 };
  hosted_settings settings;

private:
  void wait_for_signal();
  void reload();
  // Settings may change without a signal.
  void look_at_settings();

  std::string path_;
  asio::signal_set signals_;
  std::function<void()> on_leave_;
  bool leaving_ = false;
  std::string settings_text_;
};

// Callers' HTTP, batches, readiness; one of several behind the balancer.
int
run_edge(const std::string& path, const hosted_settings& s, const dialect& d);

// Beside an engine: weight orders.
int
run_sidecar(const std::string& path,
            const hosted_settings& s,
            const dialect& d);

// On instances with a disk. It keeps nothing there, as all that must last is
// in the platform's store, and says so when its instance is to be emptied.
int
run_depot(const std::string& path, const hosted_settings& s, const dialect& d);

// The main function of these programs.
int
hosted_main(int argc,
            char** argv,
            const char* about,
            const dialect& d,
            int (*run)(const std::string&,
                       const hosted_settings&,
                       const dialect&));

} // namespace cactusford::edge
