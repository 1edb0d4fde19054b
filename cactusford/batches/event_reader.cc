#include "cactusford/batches/event_reader.h"

#include "cactusford/http/message.h"

#include <algorithm>

namespace cactusford::batches {

namespace {

constexpr std::string_view separator = "\n\n";

// An event contains a few tokens.
constexpr std::size_t max_event_bytes = 64U << 10;

std::string_view
without_carriage_return(std::string_view line)
{
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

std::string_view
field_value(std::string_view line, std::size_t colon)
{
  auto value = line.substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

} // namespace

event_reader::event_reader(std::string version_line)
  : version_line_{ std::move(version_line) }
{
}

std::vector<stream_event>
event_reader::feed(std::string_view bytes)
{
  std::vector<stream_event> events;
  buffer_ += bytes;
  std::size_t start = 0;
  while (true) {
    const auto end = buffer_.find(separator, start);
    if (end == std::string::npos) {
      break;
    }
    events.push_back(
      parse(std::string_view{ buffer_ }.substr(start, end - start)));
    start = end + separator.size();
  }
  buffer_.erase(0, start);
  if (buffer_.size() > max_event_bytes) {
    malformed_ = true;
    buffer_.clear();
  }
  return events;
}

stream_event
event_reader::parse(std::string_view block)
{
  stream_event e;
  bool has_id = false;
  bool has_data = false;
  while (!block.empty()) {
    const auto end = std::min(block.find('\n'), block.size());
    const auto line = without_carriage_return(block.substr(0, end));
    block.remove_prefix(std::min(end + 1, block.size()));
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
      malformed_ = true;
      continue;
    }
    const auto key = line.substr(0, colon);
    const auto value = field_value(line, colon);
    if (key == "id") {
      const auto id = http::parse_number(value);
      has_id = id.has_value();
      e.id = id.value_or(0);
    } else if (key == "data") {
      e.data += has_data ? "\n" : "";
      e.data += value;
      has_data = true;
    } else if (http::same_name(key, version_line_)) {
      e.version = http::parse_number(value);
    }
  }
  malformed_ = malformed_ || !has_id || !has_data;
  return e;
}

bool
append(item_text& t, const stream_event& e)
{
  if (t.events > 0 && e.id != t.last_event + 1) {
    return false;
  }
  t.version = e.version.value_or(t.version);
  const bool is_known_version =
    std::find(t.versions.begin(), t.versions.end(), t.version) !=
    t.versions.end();
  if (!is_known_version) {
    t.versions.push_back(t.version);
  }
  if (t.events > 0) {
    t.text += '\n';
  }
  t.text += e.data;
  t.last_event = e.id;
  ++t.events;
  t.complete = false;
  return true;
}

bool
is_admissible(const item_text& t, const version_rule& rule)
{
  return std::all_of(t.versions.begin(), t.versions.end(), [&](auto version) {
    return may_continue(t, version, rule);
  });
}

bool
may_continue(const item_text& t,
             std::uint64_t version,
             const version_rule& rule)
{
  const bool is_same =
    std::all_of(t.versions.begin(), t.versions.end(), [&](auto known) {
      return known == version;
    });
  return version >= rule.min_version && (is_same || !rule.single_version);
}

} // namespace cactusford::batches
