// Joins equivalent watches of many instances into one call to the store. Does
// no I/O itself: the caller passes in a function that makes the call.
#pragma once

#include "cactusford/http/client.h"
#include "cactusford/store/relay_wire.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cactusford::store {

// All instances watch a kind from the same revision at nearly the same time, as
// the previous change completed their watches together. A watch that arrives up
// to this many milliseconds after an answer gets the same answer again, which
// saves one call per instance. The time is far below the seconds within which a
// change must be in force.
constexpr std::uint64_t reuse_ms = 250;

// What an answer of the store contains.
struct answer_contents
{
  // Changes or listed objects.
  bool has_objects = false;
  // The store no longer knows the changes since the watched revision.
  bool is_history_gone = false;
  // The lowest revision among the changes; 0 if it is not known of all.
  std::uint64_t oldest_change = 0;

  friend bool operator==(const answer_contents&,
                         const answer_contents&) = default;
};

class shared_watches
{
public:
  // Receives how the call ended, the response, and the time as of which the
  // answer is known to be valid, on this instance's `boot_ms` clock.
  using handler = std::function<void(http::exchange_outcome,
                                     const http::response&,
                                     std::uint64_t confirmed_ms)>;
  // Makes the call to the store; `complete` must be called when it has ended.
  using call_starter = std::function<void()>;

  // Who watches: this instance itself, or another instance through it.
  enum class origin
  {
    own,
    relayed,
  };

  // Calls `done` with the result of an equivalent call that is in flight;
  // starts one if there is none.
  //
  // Each instance that has started or lost its connection lists a kind at
  // another moment, and watches it from another revision until it changes. If
  // only watches from the same revision were joined, each of these instances
  // would cost the store a call a second for each kind.
  void join(const joinable_call& call,
            std::uint64_t now_ms,
            origin from,
            const call_starter& start_call,
            handler done);

  // Reports that the call for `target` has ended. Only an answer with changes
  // is reused: whoever watches again after an answer without changes wants to
  // wait for the next change.
  void complete(const std::string& target,
                std::uint64_t now_ms,
                http::exchange_outcome end,
                const http::response& r,
                std::uint64_t confirmed_ms,
                const answer_contents& contents);

  // Removes and returns the handlers of other instances without calling them.
  std::vector<handler> take_relayed_handlers();

private:
  struct answer
  {
    joinable_call call;
    answer_contents contents;
    std::uint64_t at_ms = 0;
    std::uint64_t confirmed_ms = 0;
    http::response value;
  };

  struct waiter
  {
    joinable_call call;
    origin from = origin::own;
    call_starter start_call;
    handler done;
  };

  struct call_in_flight
  {
    joinable_call call;
    std::vector<waiter> waiters;
  };

  const answer* find_recent(const joinable_call& call,
                            std::uint64_t now_ms) const;
  call_in_flight* find_in_flight(const joinable_call& call);
  void wait(waiter w);

  // By target. A call is here as long as it is in flight.
  std::map<std::string, call_in_flight> in_flight_;
  std::map<std::string, answer> recent_;
};

} // namespace cactusford::store
