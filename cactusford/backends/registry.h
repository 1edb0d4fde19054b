// Backend servers that this instance knows, and which of them takes the next
// piece of work. Pure: time and chance are passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::backends {

// What a backend server says of itself. It may start again under its id: each
// life holds and knows nothing of the one before.
struct announcement
{
  std::string id;
  // When this life started, in Unix milliseconds of the backend server's own
  // clock. A greater value is a later life. 0: not told.
  std::uint64_t started_ms = 0;
  std::string service;
  std::string address;
  std::string data_centre;
  std::uint32_t slots = 1;
  bool leaving = false;
  // Weight version by model.
  std::map<std::string, std::uint64_t> versions;

  friend bool operator==(const announcement&, const announcement&) = default;
};

// A backend server's own word on its load, from an answer.
struct reported_load
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  friend bool operator==(const reported_load&, const reported_load&) = default;
};

// One life of a backend server.
struct life
{
  std::string id;
  std::uint64_t started_ms = 0;

  friend bool operator==(const life&, const life&) = default;
};

// What this instance has seen of it in its present life.
struct backend
{
  announcement said;
  // Requests of this instance that are running there.
  std::uint32_t in_flight = 0;
  // Work of others there: what they have told of, and what else the last
  // reported load shows.
  std::uint32_t told = 0;
  std::uint64_t told_at_ms = 0;
  std::uint32_t others = 0;
  std::uint64_t others_at_ms = 0;
  // No new work before this time, after failures.
  std::uint64_t avoided_until_ms = 0;
  std::uint32_t failures = 0;
  // An engine that is loading weights refuses runs of that model; it is asked
  // again from this time on.
  std::map<std::string, std::uint64_t> refused_until_ms;
  // Milliseconds between the events of a stream, smoothed; 0: not known.
  double pace_ms = 0;
  std::uint64_t pace_at_ms = 0;
  // Milliseconds of a plain call, smoothed; 0: not known.
  double call_ms = 0;
  // Missing from the platform's list since; 0: listed.
  std::uint64_t missing_since_ms = 0;

  friend bool operator==(const backend&, const backend&) = default;
};

struct registry
{
  std::map<std::string, backend> all;
  // Entries that lapsed while the store was away stay until this time, in
  // which live backend servers announce themselves again.
  std::uint64_t keep_missing_until_ms = 0;

  friend bool operator==(const registry&, const registry&) = default;
};

// What an announcement has changed.
enum class announced
{
  // Known, or new to this instance.
  same_life,
  // It has started again: all that was believed of it is dropped.
  new_life,
  // Late word of a life that has ended; left out.
  ended_life,
  // It tells of no life where most do; left out, as another writer's.
  no_life,
};

std::string_view
name_of(announced a) noexcept;

struct incarnation_change
{
  life of;
  announced what = announce_result::same_incarnation;

  friend bool operator==(const incarnation_change&,
                         const incarnation_change&) = default;
};

announced
announce(registry& r, announcement a);

void
withdraw(registry& r, const std::string& id, std::uint64_t now_ms);

// What names no backend server any more is dropped at once, also while lapsed
// entries are kept.
void
drop(registry& r, const std::string& id);

// Takes in a whole list. Returns the lives that began or had ended.
std::vector<incarnation_change>
replace_all(registry& r, std::vector<announcement> list, std::uint64_t now_ms);

// Forgets what has been missing too long. True when something changed.
bool
expire(registry& r, std::uint64_t now_ms);

backend*
find(registry& r, const std::string& id);

life
incarnation_of(const backend& b);

// The backend server, if it is still in that life. Requests that were sent in
// an earlier one say nothing of this one.
backend*
find(registry& r, const life& l);

// A request was answered or failed there.
void
note_success(backend& b, std::uint64_t took_ms);

void
note_failure(backend& b, std::uint64_t now_ms);

// It refused a run of that model without running it.
void
note_refusal(backend& b, const std::string& model, std::uint64_t now_ms);

void
note_load(backend& b, const reported_load& l, std::uint64_t now_ms);

// Other instances have told what they have running, by backend server.
void
set_peer_runs(registry& r,
              const std::map<std::string, std::uint32_t>& runs,
              std::uint64_t now_ms);

// The pause before one event of a stream.
void
note_pace(backend& b, double gap_ms, std::uint64_t now_ms);

// The pace that a healthy engine of the service shows: the lower quartile of
// the known ones. 0: not known.
double
typical_pace_ms(const registry& r, std::string_view service, std::uint64_t now);

// True when its streams run far slower than those of its peers.
bool
is_slow(const backend& b, double typical_pace_ms, std::uint64_t now_ms);

struct call_needs
{
  std::string_view service;
  std::string_view data_centre;
  // Ids of those that had it before.
  std::vector<std::string> tried;
  // A connection to this address is open and free.
  std::function<bool(const std::string&)> is_connected = [](const auto&) {
    return false;
  };
};

// Which backend server gets a plain call: the least loaded of those not yet
// tried, fast, connected and near ones first. Null when none is left.
//
// Pattern: 58 entries share six servers, and each has a call every few seconds.
// Sent to another server each time, nearly every call opens a connection, which
// costs its caller a round trip and the server a place while it is new.
backend*
choose_for_call(registry& r,
                const call_needs& needs,
                std::uint64_t now_ms,
                double random);

struct item_needs
{
  std::string_view service;
  std::string_view model;
  std::uint64_t min_version = 0;
  // Nothing but this version, unless 0.
  std::uint64_t only_version = 0;
  // The one that just failed it.
  std::string_view not_on;
  std::string_view data_centre;
};

// Which engine runs an item: one with a free slot, the least loaded, slow ones
// last. Null when none has room.
backend*
choose_for_item(registry& r, const item_needs& needs, std::uint64_t now_ms);

// True when some ready engine has weights that the item accepts, full or not.
bool
can_serve(const registry& r, const item_needs& needs);

} // namespace cactusford::backends
