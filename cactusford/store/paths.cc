#include "cactusford/store/paths.h"

#include <algorithm>

namespace cactusford::store {

namespace {

// How often a relay probes a store that is unreachable. A trainer's step has
// half a second to spare; three relays make ten calls a second.
constexpr std::uint64_t probe_ms = 300;

// How often other instances probe the store directly while a relay reports it
// unreachable: the relays alone may be cut off.
constexpr std::uint64_t avoid_direct_ms = 2000;

// A relay that failed has probably ended, and its successor has another
// address.
constexpr std::uint64_t avoid_relay_ms = 4000;

// A relay that cannot reach the store is asked again as often as it probes the
// store itself, if no other path answers; its answer costs no call to the
// store.
constexpr std::uint64_t avoid_unreachable_ms = probe_ms;

std::uint64_t
probe_interval_ms(const path_table& t, std::size_t path, path_outcome outcome)
{
  if (path != direct_path) {
    return outcome == path_outcome::store_unreachable ? avoid_unreachable_ms
                                                      : avoid_relay_ms;
  }
  const bool is_any_relay_up =
    std::any_of(t.paths.begin() + 1, t.paths.end(), [](const auto& p) {
      return p.last_outcome != path_outcome::failed;
    });
  return t.is_relay || !is_any_relay_up ? probe_ms : avoid_direct_ms;
}

// One call at a time probes whether a failed path is open again.
void
close_while_probing(path_table& t, std::size_t path, std::uint64_t now_ms)
{
  auto& p = t.paths[path];
  if (p.last_outcome != path_outcome::answered) {
    p.closed_until_ms = now_ms + probe_interval_ms(t, path, p.last_outcome);
  }
}

} // namespace

path_table
make_paths(std::size_t relays, std::size_t first, bool is_relay)
{
  path_table t;
  t.first = first;
  t.is_relay = is_relay;
  t.paths.resize(relays + 1);
  return t;
}

void
add_path(path_table& t)
{
  t.paths.emplace_back();
}

std::optional<std::size_t>
select_path(path_table& t,
            const std::vector<std::size_t>& tried,
            std::uint64_t now_ms,
            std::size_t first)
{
  if (tried.size() >= max_tries) {
    return std::nullopt;
  }
  for (const bool allow_avoided : { false, true }) {
    for (std::size_t i = 0; i < t.paths.size(); ++i) {
      const auto path = (first + i) % t.paths.size();
      auto& p = t.paths[path];
      const bool was_tried =
        std::find(tried.begin(), tried.end(), path) != tried.end();
      const bool is_avoided = !allow_avoided && p.avoided_until_ms > now_ms;
      if (was_tried || is_avoided || p.closed_until_ms > now_ms) {
        continue;
      }
      close_while_probing(t, path, now_ms);
      return path;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t>
select_path(path_table& t,
            const std::vector<std::size_t>& tried,
            std::uint64_t now_ms)
{
  return select_path(t, tried, now_ms, t.first);
}

bool
claim_if_open(path_table& t, std::size_t path, std::uint64_t now_ms)
{
  const auto& p = t.paths[path];
  if (p.closed_until_ms > now_ms || p.avoided_until_ms > now_ms) {
    return false;
  }
  close_while_probing(t, path, now_ms);
  return true;
}

std::optional<std::size_t>
select_second_path(path_table& t,
                   const std::vector<std::size_t>& tried,
                   std::uint64_t now_ms)
{
  return select_path(t, tried, now_ms, direct_path);
}

void
record_outcome(path_table& t,
               std::size_t path,
               path_outcome outcome,
               std::uint64_t now_ms)
{
  auto& p = t.paths[path];
  p.last_outcome = outcome;
  if (outcome == path_outcome::answered) {
    p.closed_until_ms = 0;
    p.avoided_until_ms = 0;
    return;
  }
  p.closed_until_ms = now_ms + probe_interval_ms(t, path, outcome);
  p.avoided_until_ms = path == direct_path ? 0 : now_ms + avoid_relay_ms;
}

std::uint64_t
response_timeout_ms(const answer_limits& l,
                    const path_table& t,
                    std::size_t path,
                    response_kind kind,
                    std::uint64_t wait_ms)
{
  if (kind == response_kind::watch) {
    // Other instances join a relay's own watch. If it waited longer than they
    // do, a store that falls silent would make all of them take the relay for
    // dead at once, and each would ask the store itself.
    const bool may_be_joined = path != direct_path || t.is_relay;
    return wait_ms +
           (may_be_joined ? l.shared_answer_ms - relay_extra_ms : l.answer_ms);
  }
  // A call on a path that failed probes whether it is open again.
  const bool is_probe = t.paths[path].last_outcome != path_outcome::answered;
  return kind == response_kind::list && !is_probe ? l.list_ms : l.answer_ms;
}

bool
is_direct_closed(const path_table& t, std::uint64_t now_ms)
{
  const auto& p = t.paths[direct_path];
  return p.last_outcome != path_outcome::answered && p.closed_until_ms > now_ms;
}

} // namespace cactusford::store
