// Joins identical watches of many instances into one call to the store. Does no
// I/O itself: the caller passes in a function that makes the call.
#pragma once

#include "cactusford/http/client.h"

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

  // Calls `done` with the result of the call for `target` that is in flight;
  // starts one if there is none.
  void join(const std::string& target,
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
                bool has_changes);

  // Removes and returns the handlers of other instances without calling them.
  std::vector<handler> take_relayed_handlers();

private:
  struct answer
  {
    std::uint64_t at_ms = 0;
    std::uint64_t confirmed_ms = 0;
    http::response value;
  };

  struct waiter
  {
    origin from = origin::own;
    handler done;
  };

  // An entry exists as long as its call is in flight.
  std::map<std::string, std::vector<waiter>> waiting_;
  std::map<std::string, answer> recent_;
};

} // namespace cactusford::store
