// Reads the events of a stream (text/event-stream) from bytes that may end
// anywhere, and joins them to the text of an item. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::batches {

struct stream_event
{
  std::uint64_t id = 0;
  std::string data;
  // The weight version from this event on, where the event names one.
  std::optional<std::uint64_t> version;

  friend bool operator==(const stream_event&, const stream_event&) = default;
};

class event_reader
{
public:
  // `version_line` is the key of the line that names a weight version.
  explicit event_reader(std::string version_line);

  // The events that these bytes complete.
  std::vector<stream_event> feed(std::string_view bytes);

  // Bytes of an event that was not completed are left.
  bool has_partial() const { return !rest_.empty(); }

  // An event without an id or with a malformed line was read.
  bool is_malformed() const { return malformed_; }

private:
  stream_event parse(std::string_view block);

  std::string version_line_;
  std::string rest_;
  bool malformed_ = false;
};

// The text of an item, as far as it is known.
struct item_text
{
  std::uint64_t last_event = 0;
  std::uint64_t events = 0;
  std::string text;
  // The version that the run now has, and all that made an event.
  std::uint64_t version = 0;
  std::vector<std::uint64_t> versions;

  friend bool operator==(const item_text&, const item_text&) = default;
};

// False when the event does not follow the last one: it is not taken in.
bool
append(item_text& t, const stream_event& e);

} // namespace cactusford::batches
