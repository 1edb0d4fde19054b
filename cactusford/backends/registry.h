// Registry of known backend servers and the load balancer that picks one for
// each request. Free of side effects: the current time and random numbers are
// parameters.
#pragma once

#include "cactusford/backends/speed.h"
#include "cactusford/backends/warm_up.h"
#include "cactusford/data_centres/view.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::backends {

// What a backend server publishes about itself. A server may restart under the
// same id; each incarnation starts without any state of the previous one.
struct announcement
{
  std::string id;
  // Start time of this incarnation in Unix milliseconds, by the backend
  // server's own clock. A greater value is a later incarnation; 0 means that
  // the server does not publish it.
  std::uint64_t started_ms = 0;
  std::string service;
  std::string address;
  std::string data_centre;
  std::uint32_t slots = 1;
  bool leaving = false;
  // How much longer the server is cold, in milliseconds at the time of the
  // announcement.
  std::uint64_t cold_left_ms = 0;
  // Weight version for each model.
  std::map<std::string, std::uint64_t> versions;
  // Revision of the announcement in the platform's list; 0 if unknown.
  std::uint64_t revision = 0;

  friend bool operator==(const announcement&, const announcement&) = default;
};

// Load that a backend server reported in a response.
struct reported_load
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;

  friend bool operator==(const reported_load&, const reported_load&) = default;
};

// One run of a backend server process, from its start to its exit.
struct incarnation
{
  std::string id;
  std::uint64_t started_ms = 0;

  friend auto operator<=>(const incarnation&, const incarnation&) = default;
};

// State that this instance tracks for the current incarnation of a server.
struct backend
{
  announcement info;
  // Requests sent by this instance that are still running on the server; see
  // `begin_run`.
  std::uint32_t in_flight = 0;
  // Load from other instances: runs that they reported, and the rest of the
  // load that the server last reported.
  std::uint32_t peer_runs = 0;
  std::uint64_t peer_runs_at_ms = 0;
  std::uint32_t other_load = 0;
  std::uint64_t other_load_at_ms = 0;
  // After failures the server gets no new work before this time.
  std::uint64_t avoided_until_ms = 0;
  std::uint32_t failures = 0;
  // By model: an engine that is loading weights refuses runs of that model and
  // is not retried before this time.
  std::map<std::string, std::uint64_t> refused_until_ms;
  // Moving average of the time between two events of a stream; 0 if unknown.
  double pace_ms = 0;
  std::uint64_t pace_at_ms = 0;
  // Moving average of the duration of a plain call, and the number of calls in
  // it; 0 if unknown.
  double call_ms = 0;
  std::uint32_t calls = 0;
  // Speed of the server's streams; kept when it restarts.
  server_speed speed;
  warm_up_state warm_up;
  // When the server disappeared from the platform's list; 0 if it is listed.
  std::uint64_t missing_since_ms = 0;

  friend bool operator==(const backend&, const backend&) = default;
};

// Speed of a server that is no longer listed.
struct past_speed
{
  std::string service;
  server_speed speed;
  std::uint64_t gone_at_ms = 0;

  friend bool operator==(const past_speed&, const past_speed&) = default;
};

// A server that has become cold, or stays so for longer than was known.
struct cold_change
{
  std::string id;
  std::uint64_t until_ms = 0;
  cold_cause cause = cold_cause::none;

  friend bool operator==(const cold_change&, const cold_change&) = default;
};

// Decisions on runs of engines that are slow or in trouble.
struct move_counts
{
  std::uint64_t moved_trouble = 0;
  std::uint64_t moved_late = 0;
  std::uint64_t kept_despite_trouble = 0;

  friend bool operator==(const move_counts&, const move_counts&) = default;
};

struct registry
{
  std::map<std::string, backend> all;
  // Chooses servers and judges runs by the measured speed of each server. If
  // false, servers are compared with the fastest quarter of their service.
  bool server_speeds = true;
  // By service.
  std::map<std::string, service_pace, std::less<>> paces;
  // By server id.
  std::map<std::string, past_speed> past_speeds;
  move_counts moves;
  data_centres::view topology;
  warm_up_policy warm_up;
  // By server id: requests that this instance sent to servers that have left
  // the list, as they may be listed again within the second that counts.
  std::map<std::string, warm_up_state> past_warm_ups;
  // Requests that are still running on servers that have left the list, by the
  // incarnation that runs them.
  std::map<incarnation, std::uint32_t> unlisted_runs;
  // Not yet logged.
  std::vector<cold_change> cold_changes;
  // A complete list was applied. Servers that appear later have just started.
  bool has_list = false;
  // Entries that expired during a store outage are kept until this time, so
  // that live backend servers can announce themselves again.
  std::uint64_t keep_missing_until_ms = 0;

  friend bool operator==(const registry&, const registry&) = default;
};

// Effect of an announcement on the registry.
enum class announce_result
{
  // The incarnation is already known, or the server is new to this instance.
  same_incarnation,
  // The server has restarted; all state tracked for it is reset.
  new_incarnation,
  // A delayed announcement of an earlier incarnation; ignored.
  past_incarnation,
  // No start time although most servers publish one. The entry comes from a
  // different writer and is dropped.
  no_incarnation,
};

std::string_view
name_of(announce_result result) noexcept;

struct incarnation_change
{
  incarnation of;
  announce_result what = announce_result::same_incarnation;

  friend bool operator==(const incarnation_change&,
                         const incarnation_change&) = default;
};

// `now_ms` is the time of arrival, for servers that announce that they are
// cold.
announce_result
announce(registry& r, announcement a, std::uint64_t now_ms = 0);

void
withdraw(registry& r, const std::string& id, std::uint64_t now_ms);

// Removes an entry that no longer describes a backend server, even while
// expired entries are kept.
void
drop(registry& r, const std::string& id);

// Applies a complete list of announcements. Returns the changes other than
// `same_incarnation`.
std::vector<incarnation_change>
replace_all(registry& r, std::vector<announcement> list, std::uint64_t now_ms);

// Removes servers that are missing from the platform's list, except while
// `keep_missing_until_ms` is in the future. Returns true if any was removed.
bool
expire(registry& r, std::uint64_t now_ms);

backend*
find(registry& r, const std::string& id);

incarnation
incarnation_of(const backend& b);

// Returns the backend server if it still runs this incarnation, else null:
// results of requests to an earlier incarnation say nothing about this one.
backend*
find(registry& r, const incarnation& i);

// Counts a request that is sent to the server. Its end is counted with the
// incarnation that ran it, which may have left the list by then, or have left
// and returned.
void
begin_run(backend& b);

void
end_run(registry& r, const incarnation& i);

// Records that a request to the server succeeded or failed.
void
note_success(backend& b, std::uint64_t took_ms);

// Records that a plain call succeeded that was sent when the server had this
// load, the call itself included. `took_ms` is without its time on the network.
void
note_success(const registry& r,
             backend& b,
             std::uint64_t took_ms,
             double load_when_sent);

void
note_failure(backend& b, std::uint64_t now_ms);

// Records that the server refused a run of this model without starting it.
void
note_refusal(backend& b, const std::string& model, std::uint64_t now_ms);

void
note_load(backend& b, const reported_load& l, std::uint64_t now_ms);

// Records how long it took to open a connection to the address. Ignores
// addresses that are not those of known servers.
void
note_connect(registry& r,
             const std::string& address,
             double took_ms,
             std::uint64_t now_ms);

// Returns the round trip to the server in milliseconds; 0 if distances are not
// in force.
double
round_trip_ms(const registry& r, const backend& b);

// Returns how much of a request's time passes on the network: a round trip, and
// another one if a connection has to be opened. 0 if distances are not in
// force.
std::uint64_t
network_ms(const registry& r, const backend& b, bool is_connected);

// Records how many runs the other instances reported for each backend server.
void
set_peer_runs(registry& r,
              const std::map<std::string, std::uint32_t>& runs,
              std::uint64_t now_ms);

// Records the time between two events of a stream.
void
note_pace(backend& b, double gap_ms, std::uint64_t now_ms);

// Returns the server's known load in running requests per slot.
double
load_of(const backend& b, std::uint64_t now_ms);

// Returns the measured pace of the service, or null if its servers were not
// measured to differ, or the switch is off. Servers are then told apart by
// `is_slow`.
const service_pace*
pace_of(const registry& r, std::string_view service);

// Returns true if the servers of some service were measured to differ.
bool
has_uneven_service(const registry& r);

// Time between stream events on a healthy engine of the service: the lower
// quartile over all engines with a recent value. 0 if there are none.
double
typical_pace_ms(const registry& r, std::string_view service, std::uint64_t now);

// Returns true if the server's streams are much slower than its peers'.
bool
is_slow(const backend& b, double typical_ms, std::uint64_t now_ms);

// Returns true if an idle open connection to this address exists.
using connection_check = std::function<bool(const std::string&)>;

inline bool
is_never_connected(const std::string&)
{
  return false;
}

struct call_needs
{
  std::string_view service;
  std::string_view data_centre;
  // Ids of the servers that were already tried for this call.
  std::vector<std::string> tried;
  connection_check is_connected = is_never_connected;
  data_centres::home_regions homes{};
  // Servers in unreachable data centres may be used if no other is left.
  bool may_use_unreachable = true;
};

// Picks a backend server for a plain call: the least loaded one that was not
// tried yet, preferring fast, connected and nearby servers. A cold server is
// used before one without a free slot. Returns null if none is left.
//
// Open connections are preferred because with 58 entries that share six servers
// and make a call every few seconds each, spreading the calls would open a
// connection for nearly every one. That costs the caller a round trip and the
// server a connection slot while it is new.
backend*
choose_for_call(registry& r,
                const call_needs& needs,
                std::uint64_t now_ms,
                double random);

// Returns true if this instance may start another run on the engine.
using run_permission = std::function<bool(const backend&)>;

inline bool
is_always_permitted(const backend&)
{
  return true;
}

struct item_needs
{
  std::string_view service;
  std::string_view model;
  std::uint64_t min_version = 0;
  // If not 0, only this version is accepted.
  std::uint64_t only_version = 0;
  // The engine on which the item just failed.
  std::string_view excluded_id;
  std::string_view data_centre;
  connection_check is_connected = is_never_connected;
  run_permission may_use = is_always_permitted;
  data_centres::home_regions homes{};
  // How long the run is expected to take; 0 if unknown.
  std::uint64_t expected_run_ms = 0;
};

// Picks an engine for an item: the one on which it is expected to end first, of
// equally fast ones the least loaded, then cold engines, and engines in trouble
// last. A connected engine may have one more run than the others. Engines of
// other regions are used only while no sound engine of the own region has a
// free slot. Returns null if no engine has a free slot.
backend*
choose_for_item(registry& r, const item_needs& needs, std::uint64_t now_ms);

// Returns true if the engine can run the item now, apart from its slots: it may
// get work, has weights that the item accepts, and neither refuses them nor is
// avoided.
bool
is_usable(const registry& r,
          const backend& b,
          const item_needs& needs,
          std::uint64_t now_ms);

// Returns true if only the warm-up budget withholds the engine from the item,
// apart from its slots.
bool
is_withheld_by_budget(const registry& r,
                      const backend& b,
                      const item_needs& needs,
                      std::uint64_t now_ms);

// Returns the newest weight version of the model that an engine of the service
// has loaded; 0 if none is known.
std::uint64_t
newest_version(const registry& r,
               std::string_view service,
               std::string_view model);

// Returns true if some engine that may get work has weights that the item
// accepts, whether or not it has a free slot.
bool
can_serve(const registry& r, const item_needs& needs, std::uint64_t now_ms);

} // namespace cactusford::backends
