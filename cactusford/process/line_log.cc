#include "cactusford/process/line_log.h"

#include "cactusford/timeline/clock.h"

#include <asio/steady_timer.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <map>
#include <memory>

namespace cactusford::process {

namespace {

// Lines are buffered for this time, so that one system call writes many.
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
  std::string buffer;
  bool scheduled = false;
  std::uint64_t current_second = 0;
  std::map<std::string, std::uint32_t> line_counts;
  std::uint64_t dropped = 0;
};

std::unique_ptr<sink>&
global_sink()
{
  static std::unique_ptr<sink> instance;
  return instance;
}

std::string
line_prefix(const sink& s)
{
  return "hlc=" + timeline::to_string(timeline::process_clock().now()) +
         " process=" + s.process;
}

// Returns NAME of a text " event=NAME ...".
std::string
event_name(const std::string& text)
{
  const auto start = text.find('=') + 1;
  return text.substr(start, text.find(' ', start) - start);
}

void
append(sink& s, const std::string& text)
{
  if (s.buffer.size() + text.size() > s.limits.buffer_bytes) {
    ++s.dropped;
    return;
  }
  s.buffer += line_prefix(s);
  s.buffer += text;
  s.buffer += '\n';
}

void
report_skipped_lines(sink& s)
{
  for (const auto& [name, count] : s.line_counts) {
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
  s.line_counts.clear();
}

void
schedule_flush(sink& s)
{
  if (s.scheduled) {
    return;
  }
  s.scheduled = true;
  s.timer.expires_after(std::chrono::milliseconds{ gather_ms });
  s.timer.async_wait([&s](asio::error_code) {
    s.scheduled = false;
    flush_line_log();
    if (!s.buffer.empty()) {
      schedule_flush(s);
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
  auto& s = global_sink();
  s = std::make_unique<sink>(io);
  s->process = process;
  s->limits = limits;
}

void
log_line(const timeline::event& e)
{
  auto& instance = global_sink();
  if (!instance) {
    return;
  }
  auto& s = *instance;
  constexpr std::uint64_t ms_per_second = 1000;
  const auto current_second = timeline::wall_ms() / ms_per_second;
  if (current_second != s.current_second) {
    report_skipped_lines(s);
    s.current_second = current_second;
  }
  if (++s.line_counts[event_name(e.text())] <= s.limits.lines_per_second) {
    append(s, e.text());
  }
  schedule_flush(s);
}

void
flush_line_log()
{
  auto& s = global_sink();
  if (!s) {
    return;
  }
  while (!s->buffer.empty()) {
    const auto written =
      ::write(STDOUT_FILENO, s->buffer.data(), s->buffer.size());
    if (written <= 0) {
      return;
    }
    s->buffer.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace cactusford::process
