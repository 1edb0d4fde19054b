#include "cactusford/process/line_log.h"

#include "cactusford/timeline/clock.h"

#include <asio/steady_timer.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <map>
#include <memory>

namespace cactusford::process {

namespace {

// Lines gather this long before they are written: one system call for many.
constexpr std::uint64_t gather_ms = 200;

struct sink
{
  explicit sink(asio::io_context& io)
    : timer{ io }
  {
  }

  asio::steady_timer timer;
  std::string process;
  log_limits limits;
  std::string waiting;
  bool scheduled = false;
  std::uint64_t second = 0;
  std::map<std::string, std::uint32_t> lines;
  std::uint64_t dropped = 0;
};

std::unique_ptr<sink>&
the_sink()
{
  static std::unique_ptr<sink> instance;
  return instance;
}

std::string
prefix_of(const sink& s)
{
  return "hlc=" + timeline::to_string(timeline::process_clock().now()) +
         " process=" + s.process;
}

// " event=NAME ..." gives NAME.
std::string
name_in(const std::string& text)
{
  const auto start = text.find('=') + 1;
  return text.substr(start, text.find(' ', start) - start);
}

void
append(sink& s, const std::string& text)
{
  if (s.waiting.size() + text.size() > s.limits.buffer_bytes) {
    ++s.dropped;
    return;
  }
  s.waiting += prefix_of(s);
  s.waiting += text;
  s.waiting += '\n';
}

void
end_second(sink& s)
{
  for (const auto& [name, count] : s.lines) {
    if (count > s.limits.lines_per_second) {
      append(s,
             timeline::event{ "lines_left_out" }
               .with("name", name)
               .with("count", count - s.limits.lines_per_second)
               .text());
    }
  }
  if (s.dropped > 0) {
    const auto dropped = s.dropped;
    s.dropped = 0;
    append(s, timeline::event{ "lines_dropped" }.with("count", dropped).text());
  }
  s.lines.clear();
}

void
schedule(sink& s)
{
  if (s.scheduled) {
    return;
  }
  s.scheduled = true;
  s.timer.expires_after(std::chrono::milliseconds{ gather_ms });
  s.timer.async_wait([&s](asio::error_code) {
    s.scheduled = false;
    flush_line_log();
    if (!s.waiting.empty()) {
      schedule(s);
    }
  });
}

} // namespace

void
open_line_log(asio::io_context& io,
              const std::string& process,
              log_limits limits)
{
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  auto& s = the_sink();
  s = std::make_unique<sink>(io);
  s->process = process;
  s->limits = limits;
}

void
log_line(const timeline::event& e)
{
  auto& instance = the_sink();
  if (!instance) {
    return;
  }
  auto& s = *instance;
  constexpr std::uint64_t ms_per_second = 1000;
  const auto second = timeline::wall_ms() / ms_per_second;
  if (second != s.second) {
    end_second(s);
    s.second = second;
  }
  if (++s.lines[name_in(e.text())] <= s.limits.lines_per_second) {
    append(s, e.text());
  }
  schedule(s);
}

void
flush_line_log()
{
  auto& s = the_sink();
  if (!s) {
    return;
  }
  while (!s->waiting.empty()) {
    const auto written =
      ::write(STDOUT_FILENO, s->waiting.data(), s->waiting.size());
    if (written <= 0) {
      return;
    }
    s->waiting.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace cactusford::process
