#include "cactusford/edge/hosted.h"
#include "cactusford/process/heap.h"
#include "cactusford/process/line_log.h"
#include "cactusford/settings/settings.h"

#include <popt.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace cactusford::edge {

namespace {

constexpr int exit_failed = 1;
constexpr int exit_settings = 2;
constexpr const char* version_text = "cactusford 0.1.0";

struct command_line
{
  std::string path;
  bool check_only = false;
  bool show_version = false;
  std::string error;
};

command_line
parse(int argc, char** argv, const char* description)
{
  char* path = nullptr;
  int check_flag = 0;
  int version_flag = 0;
  const std::array<poptOption, 5> options{
    poptOption{ "settings",
                's',
                POPT_ARG_STRING,
                static_cast<void*>(&path),
                0,
                "Settings in JSON; see docs/SETTINGS.md",
                "FILE" },
    poptOption{ "check-settings",
                0,
                POPT_ARG_NONE,
                static_cast<void*>(&check_flag),
                0,
                "Check the settings and exit",
                nullptr },
    poptOption{ "version",
                0,
                POPT_ARG_NONE,
                static_cast<void*>(&version_flag),
                0,
                "Print the version and exit",
                nullptr },
    poptOption POPT_AUTOHELP poptOption POPT_TABLEEND
  };
  auto* context = poptGetContext(
    nullptr, argc, const_cast<const char**>(argv), options.data(), 0);
  poptSetOtherOptionHelp(context, description);
  const int rc = poptGetNextOpt(context);
  command_line parsed;
  if (rc < -1) {
    parsed.error = std::string{ poptBadOption(context, 0) } + ": " +
                   poptStrerror(rc) + "; see --help";
  }
  parsed.path = path == nullptr ? "" : path;
  parsed.check_only = check_flag != 0;
  parsed.show_version = version_flag != 0;
  std::free(path);
  poptFreeContext(context);
  return parsed;
}

std::string
default_path(const dialect& d)
{
  const char* path = std::getenv(d.settings_variable.c_str());
  return path == nullptr ? "" : path;
}

result<hosted_settings>
load(const std::string& path)
{
  const auto text = settings::read_file(path);
  if (!text) {
    return { {}, text.error };
  }
  return hosted_settings_from(text.value);
}

} // namespace

process_runtime::process_runtime(std::string path, hosted_settings s)
  : settings{ std::move(s) }
  , path_{ std::move(path) }
  , signals_{ io, SIGTERM, SIGINT, SIGHUP }
{
  process::return_long_buffers();
  // A write to a connection that the peer has closed then fails with EPIPE.
  std::signal(SIGPIPE, SIG_IGN);
  process::log_limits limits;
  limits.lines_per_second = settings.log_lines_per_second;
  process::open_line_log(io, settings.instance, limits);
}

void
process_runtime::run(std::function<void()> on_leave)
{
  on_leave_ = std::move(on_leave);
  process::log_line(timeline::event{ "process_started" }
                      .with("data_centre", settings.data_centre)
                      .with("store", settings.store));
  wait_for_signal();
  settings_text_ = settings::read_file(path_).value;
  poll_settings_file();
  const auto work = asio::make_work_guard(io);
  io.run();
  process::log_line(timeline::event{ "process_stopped" });
  process::flush_line_log();
}

void
process_runtime::wait_for_signal()
{
  signals_.async_wait([this](asio::error_code ec, int number) {
    if (ec) {
      return;
    }
    wait_for_signal();
    if (number == SIGHUP) {
      reload();
    } else if (!is_leaving_) {
      is_leaving_ = true;
      process::log_line(timeline::event{ "process_leaving" });
      on_leave_();
    }
  });
}

void
process_runtime::poll_settings_file()
{
  constexpr std::uint64_t poll_interval_ms = 5000;
  after(poll_interval_ms, [this] {
    if (settings::read_file(path_).value != settings_text_) {
      reload();
    }
    poll_settings_file();
  });
}

// If the new settings are invalid, the current ones stay in force.
void
process_runtime::reload()
{
  settings_text_ = settings::read_file(path_).value;
  const auto fresh = load(path_);
  if (!fresh) {
    process::log_line(timeline::event{ "settings_refused" }.with(
      "why", message_of(fresh.error)));
    return;
  }
  process::log_line(timeline::event{ "settings_reloaded" }.with(
    "changed", fresh.value == settings ? 0U : 1U));
  settings = fresh.value;
  if (on_reload) {
    on_reload(settings);
  }
}

void
process_runtime::stop()
{
  io.stop();
}

void
process_runtime::after(std::uint64_t delay_ms, std::function<void()> run)
{
  auto t = std::make_shared<asio::steady_timer>(
    io, std::chrono::milliseconds{ delay_ms });
  t->async_wait([t, run = std::move(run)](asio::error_code ec) {
    if (!ec) {
      run();
    }
  });
}

int
hosted_main(int argc,
            char** argv,
            const char* description,
            const dialect& d,
            int (*run)(const std::string&,
                       const hosted_settings&,
                       const dialect&))
{
  auto parsed = parse(argc, argv, description);
  if (parsed.show_version) {
    std::cout << version_text << "\n";
    return 0;
  }
  if (parsed.path.empty()) {
    parsed.path = default_path(d);
  }
  if (parsed.error.empty() && parsed.path.empty()) {
    parsed.error =
      "missing option --settings: give the path of the settings file";
  }
  if (!parsed.error.empty()) {
    std::cerr << parsed.error << "\n";
    return exit_settings;
  }
  const auto s = load(parsed.path);
  if (!s) {
    std::cerr << parsed.path << ": " << message_of(s.error) << "\n";
    return exit_settings;
  }
  if (parsed.check_only) {
    std::cout << parsed.path << ": valid\n";
    return 0;
  }
  return run(parsed.path, s.value, d) == 0 ? 0 : exit_failed;
}

} // namespace cactusford::edge
