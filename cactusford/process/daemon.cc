#include "cactusford/process/daemon.h"

#include "cactusford/http/port_wait.h"
#include "cactusford/http/server.h"
#include "cactusford/process/heap.h"
#include "cactusford/timeline/event.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <random>
#include <thread>

namespace cactusford::process {

namespace {

// Health checks and scrapes have no bodies, and there are few of them. With
// more connections, a crowd that connects again and again leaves each caller
// time to send its request.
constexpr std::size_t admin_connections = 512;
constexpr std::uint64_t admin_request_bytes = 16U << 20;

http::server_options
admin_options()
{
  http::server_options o;
  o.memory = std::make_shared<http::request_memory>();
  o.memory->budget.limits.request_bytes = admin_request_bytes;
  o.connections = admin_connections;
  o.keeps_bodies = false;
  return o;
}

http::response
text_response(int status, std::string text)
{
  return { status, { { "Content-Type", "text/plain" } }, std::move(text) };
}

} // namespace

struct daemon::admin
{
  http::server server;
};

daemon::daemon(const settings::process_settings& s, std::size_t worker_count)
  : settings{ s }
  , incarnation{ timeline::wall_ms() }
  , workers{ worker_count }
  , links{ io, {} }
  , platform{ s.platform }
  , configuration{ io, workers, links, platform, s }
{
  return_long_buffers();
}

daemon::~daemon() = default;

failure
daemon::start(link::accept_handler on_stream)
{
  const auto accept =
    [this, on_stream = std::move(on_stream)](const link::stream_ptr& s) {
      if (s->path() == "/configuration") {
        configuration.serve(s);
      } else {
        on_stream(s);
      }
    };
  const auto try_listen = [this, accept](std::uint16_t& port) {
    link::address bound;
    const auto ec =
      links.listen(link::address_from(settings.link), accept, bound);
    port = bound.port;
    return ec;
  };
  auto error = listen("link", settings.link, try_listen);
  return error ? error : start_admin();
}

failure
daemon::start_admin()
{
  admin_.reset(new admin{ { io,
                            {},
                            [this](const http::call& c) { serve_admin(c); },
                            nullptr,
                            admin_options() } });
  return listen("admin", settings.admin, [this](std::uint16_t& port) {
    const auto ec = admin_->server.listen(settings.admin);
    port = admin_->server.port();
    return ec;
  });
}

void
daemon::serve_admin(const http::call& c)
{
  const auto path = http::path_of(c.request().target);
  if (path == "/metrics") {
    const auto bytes = link::total_traffic();
    metrics.set("link_sent_bytes", static_cast<double>(bytes.sent));
    metrics.set("link_received_bytes", static_cast<double>(bytes.received));
    metrics.set("platform_calls", static_cast<double>(platform.calls()));
    if (on_scrape) {
      on_scrape();
    }
    c.respond({ 200,
                { { "Content-Type", "text/plain; version=0.0.4" } },
                metrics.text() });
  } else if (path == "/healthz") {
    c.respond(text_response(200, "ok\n"));
  } else if (path == "/readyz") {
    const bool is_ready = is_listening("link") && configuration.is_ready() &&
                          (!is_serving || is_serving());
    c.respond(is_ready ? text_response(200, "ready\n")
                       : text_response(503, "not_ready\n"));
  } else {
    c.respond(text_response(404, ""));
  }
}

failure
daemon::listen(const std::string& key,
               const std::string& address,
               std::function<std::error_code(std::uint16_t&)> try_listen)
{
  ports_[key] = 0;
  const auto bind = [this, key, try_listen = std::move(try_listen)] {
    const auto ec = try_listen(ports_[key]);
    if (!ec) {
      write_ports();
    }
    return ec;
  };
  const auto failure_from = [key, address](const std::error_code& ec) {
    return failure{ error_kind::settings_invalid,
                    "key " + key + ": " + address + ": " + ec.message() +
                      "; specify an address and a port that this user may "
                      "use" };
  };
  const auto end = [this, failure_from](const std::error_code& ec) {
    std::cerr << message_of(failure_from(ec)) << "\n";
    exit_code_ = exit_settings;
    stop();
  };
  const auto log = [](const timeline::event& e) { timeline::log(e); };
  const auto ec = http::listen_when_free(
    io, { key, address, bind, end, [this] { return is_leaving_; }, log });
  return ec ? failure_from(ec) : failure{};
}

bool
daemon::is_listening(const std::string& key) const
{
  const auto found = ports_.find(key);
  return found != ports_.end() && found->second != 0;
}

void
daemon::write_ports() const
{
  const bool is_complete = std::all_of(
    ports_.begin(), ports_.end(), [](const auto& p) { return p.second != 0; });
  if (settings.ports_file.empty() || !is_running_ || !is_complete) {
    return;
  }
  // Written to a temporary file and renamed, so that a reader never sees a
  // partial file.
  const auto part = settings.ports_file + ".part";
  std::ofstream{ part } << nlohmann::json(ports_).dump() << "\n";
  std::rename(part.c_str(), settings.ports_file.c_str());
}

int
daemon::run(std::function<void()> on_shutdown)
{
  asio::signal_set signals{ io, SIGTERM, SIGINT };
  signals.async_wait([&](asio::error_code ec, int) {
    if (!ec) {
      timeline::log(timeline::event{ "process_leaving" });
      is_leaving_ = true;
      on_shutdown();
    }
  });
  timeline::log(timeline::event{ "process_started" }
                  .with("data_centre", settings.data_centre)
                  .with("incarnation", incarnation));
  is_running_ = true;
  write_ports();
  const auto work_guard = asio::make_work_guard(io);
  io.run();
  configuration.stop();
  workers.stop();
  workers.join();
  timeline::log(timeline::event{ "process_stopped" });
  return exit_code_;
}

void
daemon::stop()
{
  io.stop();
}

void
daemon::run_after(std::uint64_t delay_ms, std::function<void()> run)
{
  auto timer = std::make_shared<asio::steady_timer>(
    io, std::chrono::milliseconds{ delay_ms });
  timer->async_wait([timer, run = std::move(run)](asio::error_code) { run(); });
}

std::uint64_t
steady_ms()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string
generate_id()
{
  static thread_local std::mt19937_64 random{ std::random_device{}() };
  const auto ms = timeline::wall_ms();
  const auto a = random();
  const auto b = random();
  std::array<char, 40> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>((ms >> 16) & 0xffffffff),
                static_cast<unsigned long long>(ms & 0xffff),
                static_cast<unsigned long long>(a & 0xfff),
                static_cast<unsigned long long>(0x8000 | ((a >> 12) & 0x3fff)),
                static_cast<unsigned long long>(b & 0xffffffffffff));
  return text.data();
}

std::uint64_t
uuid_time_ms(std::string_view uuid)
{
  constexpr std::size_t uuid_size = 36;
  if (uuid.size() != uuid_size || uuid[8] != '-' || uuid[13] != '-' ||
      uuid[14] != '7') {
    return 0;
  }
  const auto digits =
    std::string{ uuid.substr(0, 8) } + std::string{ uuid.substr(9, 4) };
  if (digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    return 0;
  }
  return std::stoull(digits, nullptr, 16);
}

std::string
parse_settings_path(int argc, char** argv, const char* about, int& exit_code)
{
  char* path = nullptr;
  const std::array<poptOption, 3> options{
    poptOption{ "settings",
                's',
                POPT_ARG_STRING,
                static_cast<void*>(&path),
                0,
                "Settings in JSON; see docs/SETTINGS.md",
                "FILE" },
    poptOption POPT_AUTOHELP poptOption POPT_TABLEEND
  };
  auto* context = poptGetContext(
    nullptr, argc, const_cast<const char**>(argv), options.data(), 0);
  poptSetOtherOptionHelp(context, about);
  const int rc = poptGetNextOpt(context);
  exit_code = exit_settings;
  if (rc < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(rc)
              << "; see --help\n";
  } else if (path == nullptr) {
    std::cerr << "--settings is missing; specify the settings file\n";
  } else {
    exit_code = exit_ok;
  }
  std::string result = path == nullptr ? "" : path;
  std::free(path);
  poptFreeContext(context);
  return exit_code == exit_ok ? result : std::string{};
}

} // namespace cactusford::process
