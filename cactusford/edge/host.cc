#include "cactusford/edge/hosted.h"
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
  std::string wrong;
};

command_line
parse(int argc, char** argv, const char* about)
{
  char* path = nullptr;
  int check = 0;
  int version = 0;
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
                static_cast<void*>(&check),
                0,
                "Check the settings and exit",
                nullptr },
    poptOption{ "version",
                0,
                POPT_ARG_NONE,
                static_cast<void*>(&version),
                0,
                "Print the version and exit",
                nullptr },
    poptOption POPT_AUTOHELP poptOption POPT_TABLEEND
  };
  auto* context = poptGetContext(
    nullptr, argc, const_cast<const char**>(argv), options.data(), 0);
  poptSetOtherOptionHelp(context, about);
  const int rc = poptGetNextOpt(context);
  command_line c;
  if (rc < -1) {
    c.wrong = std::string{ poptBadOption(context, 0) } + ": " +
              poptStrerror(rc) + "; see --help";
  }
  c.path = path == nullptr ? "" : path;
  c.check_only = check != 0;
  c.show_version = version != 0;
  std::free(path);
  poptFreeContext(context);
  return c;
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

host::host(std::string path, hosted_settings s)
  : settings{ std::move(s) }
  , path_{ std::move(path) }
  , signals_{ io, SIGTERM, SIGINT, SIGHUP }
{
  // A peer that closed shows in the write's error.
  std::signal(SIGPIPE, SIG_IGN);
  process::log_limits limits;
  limits.lines_per_second = settings.log_lines_per_second;
  process::open_line_log(io, settings.instance, limits);
}

void
host::run(std::function<void()> on_leave)
{
  on_leave_ = std::move(on_leave);
  process::log_line(timeline::event{ "process_started" }
                      .with("data_centre", settings.data_centre)
                      .with("store", settings.store));
  wait_for_signal();
  settings_text_ = settings::read_file(path_).value;
  look_at_settings();
  const auto keep = asio::make_work_guard(io);
  io.run();
  process::log_line(timeline::event{ "process_stopped" });
  process::flush_line_log();
}

void
host::wait_for_signal()
{
  signals_.async_wait([this](asio::error_code ec, int number) {
    if (ec) {
      return;
    }
    wait_for_signal();
    if (number == SIGHUP) {
      reload();
    } else if (!leaving_) {
      leaving_ = true;
      process::log_line(timeline::event{ "process_leaving" });
      on_leave_();
    }
  });
}

void
host::look_at_settings()
{
  constexpr std::uint64_t look_ms = 5000;
  after(look_ms, [this] {
    if (settings::read_file(path_).value != settings_text_) {
      reload();
    }
    look_at_settings();
  });
}

// Settings that are not valid leave the present ones in force.
void
host::reload()
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
host::stop()
{
  io.stop();
}

void
host::after(std::uint64_t delay_ms, std::function<void()> run)
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
            const char* about,
            const dialect& d,
            int (*run)(const std::string&,
                       const hosted_settings&,
                       const dialect&))
{
  const auto c = parse(argc, argv, about);
  if (c.show_version) {
    std::cout << version_text << "\n";
    return 0;
  }
  if (!c.wrong.empty() || c.path.empty()) {
    std::cerr << (c.wrong.empty()
                    ? "--settings is missing; name the settings file"
                    : c.wrong)
              << "\n";
    return exit_settings;
  }
  const auto s = load(c.path);
  if (!s) {
    std::cerr << c.path << ": " << message_of(s.error) << "\n";
    return exit_settings;
  }
  if (c.check_only) {
    std::cout << c.path << ": valid\n";
    return 0;
  }
  return run(c.path, s.value, d) == 0 ? 0 : exit_failed;
}

} // namespace cactusford::edge
