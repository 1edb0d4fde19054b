// Detects that a whole data centre is lost or cut off, from the failures of
// requests to its backend servers. Pure: the current time is a parameter.
//
// Server by server, each of 16 engines would cost its own time-outs, and new
// work would go to those that have not failed yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::data_centres {

// A request to a backend server that failed by silence.
struct silence
{
  std::string server;
  // When the server was last heard on this request, or when it was sent.
  std::uint64_t since_ms = 0;
  // When the failure was noticed.
  std::uint64_t at_ms = 0;

  friend bool operator==(const silence&, const silence&) = default;
};

enum class contact_state
{
  in_service,
  unreachable,
  // Has answered again less than a second ago.
  returning,
};

// What this instance knows about the servers of one data centre.
struct contact
{
  std::uint64_t answered_ms = 0;
  // The latest failure of each server, not older than the last answer.
  std::vector<silence> silent;
  bool is_unreachable = false;
  // While unreachable: when the first of the failures was noticed, when the
  // state began, and when the next probe is due.
  std::uint64_t suspected_ms = 0;
  std::uint64_t unreachable_since_ms = 0;
  std::uint64_t next_probe_ms = 0;
  // When it last answered after having been unreachable; 0 if never.
  std::uint64_t returned_ms = 0;

  friend bool operator==(const contact&, const contact&) = default;
};

struct reachability_change
{
  std::string data_centre;
  bool is_reachable = false;
  // Number of servers that had failed when it became unreachable.
  std::size_t failed = 0;
  // How long it was unreachable; 0 if it became so.
  std::uint64_t for_ms = 0;

  friend bool operator==(const reachability_change&,
                         const reachability_change&) = default;
};

struct reachability
{
  // False: no data centre is ever unreachable.
  bool is_enabled = false;
  // The data centre of this instance, which is never unreachable as a whole.
  std::string own;
  // By data centre.
  std::map<std::string, contact, std::less<>> all;
  // Changes that have not been taken yet.
  std::vector<reachability_change> changes;

  friend bool operator==(const reachability&, const reachability&) = default;
};

constexpr std::uint64_t probe_interval_ms = 200;

// Records that a server of the data centre has answered, or has accepted a
// connection.
void
note_answer(reachability& r,
            std::string_view data_centre,
            std::uint64_t now_ms);

// Records a failure by silence. `servers` is the number of known servers of the
// data centre.
void
note_silence(reachability& r,
             std::string_view data_centre,
             const silence& s,
             std::size_t servers);

// Records that a server refused a connection: its process has ended, but its
// machine answers. An earlier failure of that server is no silence.
void
note_refusal(reachability& r,
             std::string_view data_centre,
             std::string_view server);

contact_state
state_of(const reachability& r,
         std::string_view data_centre,
         std::uint64_t now_ms);

// Returns false while no backend server of the data centre answers.
bool
is_reachable(const reachability& r,
             std::string_view data_centre,
             std::uint64_t now_ms);

// Returns false if the data centre has just come back, and this instance
// already has a run on the server.
bool
may_add_run(const reachability& r,
            std::string_view data_centre,
            std::uint32_t own_runs,
            std::uint64_t now_ms);

// Returns true if the data centre is unreachable and a run there had its last
// event, or its start, before the failures began.
bool
is_stranded(const reachability& r,
            std::string_view data_centre,
            std::uint64_t last_event_ms);

std::size_t
count_unreachable(const reachability& r);

// Returns the data centres to probe now, and schedules their next probes.
std::vector<std::string>
take_due_probes(reachability& r, std::uint64_t now_ms);

// Returns when the next probe is due, if any.
std::optional<std::uint64_t>
next_probe_ms(const reachability& r);

std::vector<reachability_change>
take_changes(reachability& r);

} // namespace cactusford::data_centres
