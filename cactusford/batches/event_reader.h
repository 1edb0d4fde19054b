// Parses a stream of events (text/event-stream) from chunks of bytes with
// arbitrary boundaries, and appends the events to the text of an item. Does
// no I/O.
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
  // The weight version that applies from this event on, if the event carries
  // one.
  std::optional<std::uint64_t> version;

  friend bool operator==(const stream_event&, const stream_event&) = default;
};

class event_reader
{
public:
  // `version_line` is the name of the event field that carries a weight
  // version.
  explicit event_reader(std::string version_line);

  // Returns the events completed by these bytes.
  std::vector<stream_event> feed(std::string_view bytes);

  // True if the buffer holds the beginning of an incomplete event.
  bool has_partial() const { return !buffer_.empty(); }

  // True if an event without an id, with a malformed line or without an end was
  // read.
  bool is_malformed() const { return malformed_; }

private:
  stream_event parse(std::string_view block);

  std::string version_line_;
  std::string buffer_;
  bool malformed_ = false;
};

// The text of an item received so far.
struct item_text
{
  std::uint64_t last_event = 0;
  std::uint64_t events = 0;
  std::string text;
  // The weight version of the last event, and all versions that have produced
  // an event.
  std::uint64_t version = 0;
  std::vector<std::uint64_t> versions;
  // The engine has ended the stream in an orderly way after the last event.
  bool complete = false;

  friend bool operator==(const item_text&, const item_text&) = default;
};

// Appends the event to the text. Returns false, and leaves the text unchanged,
// if the event does not directly follow the last one.
bool
append(item_text& t, const stream_event& e);

// Which weight versions may generate a text.
struct version_rule
{
  std::uint64_t min_version = 0;
  // One version must generate all events.
  bool single_version = false;

  friend bool operator==(const version_rule&, const version_rule&) = default;
};

// Returns true if the rule allows the versions of the text.
bool
is_admissible(const item_text& t, const version_rule& rule);

// Returns true if the rule allows an event of this version behind the text.
bool
may_continue(const item_text& t,
             std::uint64_t version,
             const version_rule& rule);

} // namespace cactusford::batches
