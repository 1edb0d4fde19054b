// Joins equal watches of many instances into one call to the store. No I/O of
// its own: the call is made by a function that is passed in.
#pragma once

#include "cactusford/http/client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cactusford::store {

// Watches of one kind from one revision come from all instances at nearly the
// same time, as the same change has answered the ones before. Those that come
// a little later get the same answer again for this long, in milliseconds: it
// spares a call for each of them and is far below the seconds in which a change
// must be in force.
constexpr std::uint64_t reuse_ms = 250;

class shared_watches
{
public:
  // The end of the call, and when the store surely stood as the answer says, on
  // this instance's `boot_ms`.
  using handler = std::function<
    void(http::end_state, const http::response&, std::uint64_t confirmed_ms)>;
  // Makes the call to the store; `settle` follows when it has ended.
  using call = std::function<void()>;

  // Who asks: this instance itself, or another through it.
  enum class origin
  {
    own,
    relayed,
  };

  // Answers `done` with the end of the call for `target` that is under way, or
  // begins one.
  void ask(const std::string& target,
           std::uint64_t now_ms,
           origin from,
           const call& make,
           handler done);

  // The call for `target` has ended. Only changes are shown again: whoever
  // asks again behind an answer without any wants to wait for the next.
  void settle(const std::string& target,
              std::uint64_t now_ms,
              http::end_state end,
              const http::response& r,
              std::uint64_t confirmed_ms,
              bool has_changes);

  // Takes the handlers of other instances away without calling them.
  std::vector<handler> take_relayed();

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

  // An entry stands as long as its call is under way.
  std::map<std::string, std::vector<waiter>> waiting_;
  std::map<std::string, answer> recent_;
};

} // namespace cactusford::store
