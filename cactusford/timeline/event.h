// Structured log with one line of key=value pairs per event.
#pragma once

#include "cactusford/timeline/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusford::timeline {

// Builds a log line. Values that are empty, long or contain spaces, quotes or
// other special characters are quoted.
class event
{
public:
  explicit event(std::string_view name);

  event& with(std::string_view key, std::string_view value) &;
  event& with(std::string_view key, std::uint64_t value) &;
  event&& with(std::string_view key, std::string_view value) &&;
  event&& with(std::string_view key, std::uint64_t value) &&;

  const std::string& text() const { return text_; }

private:
  std::string text_;
};

// A parsed log line.
struct record
{
  timestamp at;
  std::string process;
  std::string name;
  std::map<std::string, std::string> values;

  // Returns an empty string if the key is absent.
  const std::string& value(const std::string& key) const;
  // Returns 0 if the key is absent or its value is not a number.
  std::uint64_t number(const std::string& key) const;
};

// Returns nothing if the line is not a complete event, for example because it
// was truncated by a crash.
std::optional<record>
parse(std::string_view line);

// Opens the log of this process. An empty `path` selects standard error. Must
// be called before the first event is logged. A later call switches to another
// file.
void
open_log(const std::string& path, const std::string& process);

clock&
process_clock();

void
log(const event& e);

void
log(event&& e);

} // namespace cactusford::timeline
