#include "cactusford/timeline/event.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <charconv>

namespace cactusford::timeline {

namespace {

constexpr std::size_t max_value_size = 512;

std::string process_name = "unnamed";

log4cxx::LoggerPtr&
logger()
{
  static auto instance = log4cxx::Logger::getLogger("cactusford");
  return instance;
}

bool
is_plain(std::string_view value)
{
  return !value.empty() &&
         value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos;
}

void
append_quoted(std::string& text, std::string_view value)
{
  text += '"';
  for (const char c : value.substr(0, max_value_size)) {
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else {
      text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
  }
  text += '"';
}

void
append_pair(std::string& text, std::string_view key, std::string_view value)
{
  text += ' ';
  text += key;
  text += '=';
  if (is_plain(value) && value.size() <= max_value_size) {
    text += value;
  } else {
    append_quoted(text, value);
  }
}

// Removes a value from the start of `rest` and returns it. Returns nothing if a
// quoted value has no closing quote.
std::optional<std::string>
consume_value(std::string_view& rest)
{
  std::string value;
  if (rest.empty() || rest.front() != '"') {
    const auto end = std::min(rest.find(' '), rest.size());
    value = rest.substr(0, end);
    rest.remove_prefix(end);
    return value;
  }
  std::size_t i = 1;
  while (i < rest.size() && rest[i] != '"') {
    i += rest[i] == '\\' ? 1 : 0;
    if (i < rest.size()) {
      value += rest[i++];
    }
  }
  if (i >= rest.size()) {
    return std::nullopt;
  }
  rest.remove_prefix(i + 1);
  return value;
}

} // namespace

event::event(std::string_view name)
{
  append_pair(text_, "event", name);
}

event&
event::with(std::string_view key, std::string_view value) &
{
  append_pair(text_, key, value);
  return *this;
}

event&
event::with(std::string_view key, std::uint64_t value) &
{
  return with(key, std::string_view{ std::to_string(value) });
}

event&&
event::with(std::string_view key, std::string_view value) &&
{
  return std::move(with(key, value));
}

event&&
event::with(std::string_view key, std::uint64_t value) &&
{
  return std::move(with(key, value));
}

const std::string&
record::value(const std::string& key) const
{
  static const std::string absent;
  const auto found = values.find(key);
  return found == values.end() ? absent : found->second;
}

std::uint64_t
record::number(const std::string& key) const
{
  std::uint64_t number = 0;
  const auto& text = value(key);
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<record>
parse(std::string_view line)
{
  record r;
  while (!line.empty()) {
    const auto equals = line.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string key{ line.substr(0, equals) };
    line.remove_prefix(equals + 1);
    auto value = consume_value(line);
    if (!value) {
      return std::nullopt;
    }
    r.values[key] = std::move(*value);
    const auto next = line.find_first_not_of(' ');
    line.remove_prefix(std::min(next, line.size()));
  }
  const auto at = timestamp_from(r.value("hlc"));
  r.process = r.value("process");
  r.name = r.value("event");
  if (!at || r.process.empty() || r.name.empty()) {
    return std::nullopt;
  }
  r.at = *at;
  return r;
}

void
open_log(const std::string& path, const std::string& process)
{
  process_name = process;
  const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
  log4cxx::AppenderPtr appender;
  if (path.empty()) {
    auto console = std::make_shared<log4cxx::ConsoleAppender>(layout);
    console->setTarget("System.err");
    appender = console;
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, path, true);
  }
  logger()->setAdditivity(false);
  logger()->removeAllAppenders();
  logger()->addAppender(appender);
  logger()->setLevel(log4cxx::Level::getInfo());
}

clock&
process_clock()
{
  static clock instance;
  return instance;
}

void
log(const event& e)
{
  const auto line = "hlc=" + to_string(process_clock().now()) +
                    " process=" + process_name + e.text();
  LOG4CXX_INFO(logger(), line);
}

void
log(event&& e)
{
  log(static_cast<const event&>(e));
}

} // namespace cactusford::timeline
