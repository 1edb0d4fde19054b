// Queue of calls before a plain service whose servers are full: decides which
// call starts next, which calls are refused, and when a refused caller should
// return. Free of side effects beyond `call_queue`; all times are milliseconds
// of a steady clock.
//
// Without it, calls beyond the slots of a service try one full server after
// the other, so chance decides which calls are served, and all refused callers
// return at the same time.
#pragma once

#include "cactusford/backends/registry.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactusford::admission {

// What is declared about a call.
struct call_demand
{
  // Scorers' calls rank behind those of all callers.
  bool is_scorer = false;
  // 0 is the most urgent.
  std::uint32_t urgency = 0;
  std::string workspace;
  std::uint32_t weight = 1;
  // Calls that the workspace may run at once at this entry; 0: unlimited.
  std::uint32_t max_running = 0;

  friend bool operator==(const call_demand&, const call_demand&) = default;
};

struct queued_call
{
  std::uint64_t id = 0;
  call_demand demand;
  std::uint64_t arrived_ms = 0;
  // An answer after this time is useless.
  std::uint64_t deadline_ms = 0;
  // Set by `enqueue` until the next `take_refused`.
  bool had_room_on_arrival = false;

  friend bool operator==(const queued_call&, const queued_call&) = default;
};

struct running_call
{
  queued_call call;
  // Service time that was charged to its workspace in advance.
  double charged_ms = 0;

  friend bool operator==(const running_call&, const running_call&) = default;
};

struct workspace_calls
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint64_t refused = 0;

  friend bool operator==(const workspace_calls&,
                         const workspace_calls&) = default;
};

// Calls are ordered by rank: urgency of callers, then scorers' calls.
using call_rank = std::uint64_t;

struct call_queue
{
  std::size_t max_waiting = 256;
  // All slots of the service's servers; 0 while it has no server.
  std::size_t slots = 0;
  std::uint64_t without_servers_since_ms = 0;
  // How many calls this entry may have in flight; 0 until slots are known.
  double limit = 0;
  std::uint64_t next_decrease_ms = 0;
  // When a server last refused a call or reported waiting requests.
  std::optional<std::uint64_t> full_at_ms;

  std::map<std::uint64_t, queued_call> waiting;
  std::map<std::uint64_t, running_call> running;
  std::size_t running_scorers = 0;
  std::map<std::string, workspace_calls> workspaces;
  // Service time used by each workspace divided by its weight, and the value of
  // the workspace that was served last, for each rank.
  std::map<std::pair<call_rank, std::string>, double> virtual_ms;
  std::map<call_rank, double> last_virtual_ms;

  // Moving average of the duration of callers' and of scorers' calls; 0 if
  // unknown.
  std::array<double, 2> usual_ms{};
  // Calls answered in the current and in the last complete interval.
  std::uint64_t interval_started_ms = 0;
  std::uint32_t answered_in_interval = 0;
  std::uint32_t answered_before = 0;
  // Return time that the next refused caller gets at the earliest.
  double next_return_ms = 0;

  friend bool operator==(const call_queue&, const call_queue&) = default;
};

enum class refusal
{
  // The queue is full of calls that rank before.
  no_room,
  // It cannot be answered before its deadline.
  too_late,
  no_server,
  // No data centre with servers of the service answers.
  unreachable,
  // The instance stops.
  leaving,
};

std::string_view
name_of(refusal r) noexcept;

struct refused_call
{
  std::uint64_t id = 0;
  refusal why = refusal::no_room;

  friend bool operator==(const refused_call&, const refused_call&) = default;
};

struct enqueue_result
{
  // The call itself, or one that it displaced from the full queue.
  std::optional<refused_call> refused;
  // Number of calls that start before this one, plus one.
  std::size_t position = 0;

  friend bool operator==(const enqueue_result&,
                         const enqueue_result&) = default;
};

// Sets the number of slots of the servers that are available now.
void
set_slots(call_queue& q, std::size_t slots, std::uint64_t now_ms);

// Adds a call. Unless it is refused, it waits until `next_start` returns it,
// which may be at once.
enqueue_result
enqueue(call_queue& q, queued_call c, std::uint64_t now_ms);

// Moves the next call for which there is room from the waiting to the running
// calls and returns its id.
std::optional<std::uint64_t>
next_start(call_queue& q, std::uint64_t now_ms);

// Removes and returns the waiting calls that can no longer be answered in time.
std::vector<refused_call>
take_refused(call_queue& q, std::uint64_t now_ms);

// When `take_refused` has to be called next; nothing if no call waits.
std::optional<std::uint64_t>
next_refusal_ms(const call_queue& q);

// Removes and returns all waiting calls.
std::vector<refused_call>
refuse_all(call_queue& q, refusal why);

// Removes and returns the waiting calls for whose id `is_refused` returns true.
std::vector<refused_call>
refuse_if(call_queue& q,
          refusal why,
          const std::function<bool(std::uint64_t id)>& is_refused);

// Records that a server refused a call, which may be sent to another one.
void
on_refusal(call_queue& q, std::uint64_t now_ms);

// Records that a running call was answered. `load` is what the server reported.
void
on_end(call_queue& q,
       std::uint64_t id,
       std::uint64_t took_ms,
       const backends::reported_load& load,
       std::uint64_t now_ms);

// Removes a call that was cancelled or ended without an answer.
void
on_cancel(call_queue& q, std::uint64_t id);

// Calls answered per second if the entry uses its whole limit; 0 if unknown.
double
rate_per_second(const call_queue& q);

// How long a refused caller with this much time left should wait before it
// returns. Reserves its return time; later refusals get later ones. Not for
// scorers, which rank behind callers and return after a fixed time.
std::uint64_t
retry_after_ms(call_queue& q, std::uint64_t remaining_ms, std::uint64_t now_ms);

// Returns true if the servers have been full lately and calls wait. A late
// answer is then no sign of a fault, and a second attempt would take the slot
// of a waiting call.
bool
is_congested(const call_queue& q, std::uint64_t now_ms);

// The workspaces with the most waiting or, if equal, refused calls.
std::vector<std::pair<std::string, workspace_calls>>
busiest_workspaces(const call_queue& q, std::size_t count);

} // namespace cactusford::admission
