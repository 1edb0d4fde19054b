// Structured log: one line of key=value pairs an event.
#pragma once

#include "cactusford/timeline/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cactusford::timeline {

// Builds one line. Values with blanks or quotes are quoted.
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

// A line read back from a log.
struct record
{
  timestamp at;
  std::string process;
  std::string name;
  std::map<std::string, std::string> values;

  // Empty when the key is absent.
  const std::string& value(const std::string& key) const;
  std::uint64_t number(const std::string& key) const;
};

// Nothing when the line is not an event, such as one cut by a crash.
std::optional<record>
parse(std::string_view line);

// Opens the log of this process. An empty `path` writes to standard error.
// Call it before the first event; a later call changes to another file.
void
open_log(const std::string& path, const std::string& process);

clock&
process_clock();

void
log(const event& e);

void
log(event&& e);

} // namespace cactusford::timeline
