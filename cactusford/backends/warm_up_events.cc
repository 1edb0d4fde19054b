#include "cactusford/backends/warm_up_events.h"

#include "cactusford/backends/eligibility.h"

#include <algorithm>
#include <utility>

namespace cactusford::backends {

namespace {

// An announcement may be this old when it arrives: changes are coalesced for
// 600 ms, and a relay repeats an answer for up to 250 ms. A watch that has to
// be asked again takes up to another second.
constexpr std::uint64_t max_announcement_age_ms = 1900;

// The log says anew that a server is cold only if this is known to last longer
// than before by more than this. The times that a server announces with each
// heartbeat differ by the delay of the announcement.
constexpr std::uint64_t min_logged_extension_ms = 1000;

// Applies a change to the state, and records it for the log if the server has
// become cold or stays so for longer.
template<typename Change>
void
apply(registry& r,
      backend& b,
      cold_cause cause,
      std::uint64_t now_ms,
      Change change)
{
  const auto* l = limits_of(r.warm_up, b.info.service);
  const auto until_before = l == nullptr ? 0 : cold_until_ms(b.warm_up, *l);
  change(b.warm_up);
  const auto until = l == nullptr ? 0 : cold_until_ms(b.warm_up, *l);
  const bool was_cold = now_ms < until_before;
  if (until > now_ms &&
      (!was_cold || until > until_before + min_logged_extension_ms)) {
    r.cold_changes.push_back({ b.info.id, until, cause });
  }
}

std::optional<std::uint64_t>
earlier(std::optional<std::uint64_t> a, std::uint64_t b)
{
  return a ? std::min(*a, b) : b;
}

std::uint64_t
budget_returns_ms(const registry& r, const backend& b, std::uint64_t now_ms)
{
  return budget_returns_ms(b.warm_up, r.warm_up, b.info.service, now_ms);
}

} // namespace

void
note_announced(registry& r, backend& b, cold_cause cause, std::uint64_t now_ms)
{
  const auto left_ms = b.info.cold_left_ms;
  const bool is_assumed = cause != cold_cause::none;
  const auto logged = is_assumed ? cause : cold_cause::announced;
  apply(r, b, logged, now_ms, [&](warm_up_state& s) {
    s.announced_until_ms = left_ms > 0 ? now_ms + left_ms : 0;
    if (is_assumed) {
      s.assumed_at_ms = now_ms;
      // Any later announcement is newer than this one.
      s.assumption_firm_until_ms = now_ms;
    } else if (now_ms >= s.assumption_firm_until_ms) {
      s.assumed_at_ms = 0;
      s.stated_until_ms = 0;
    }
  });
}

void
note_connection_refused(registry& r, backend& b, std::uint64_t now_ms)
{
  apply(r, b, cold_cause::refused, now_ms, [&](warm_up_state& s) {
    s.assumed_at_ms = now_ms;
    s.assumption_firm_until_ms = now_ms + max_announcement_age_ms;
  });
}

void
note_cold_header(registry& r,
                 backend& b,
                 std::uint64_t cold_left_ms,
                 std::uint64_t now_ms)
{
  // 0 does not end an assumption: answers of concurrent requests may arrive
  // after a later event.
  if (cold_left_ms == 0) {
    return;
  }
  apply(r, b, cold_cause::header, now_ms, [&](warm_up_state& s) {
    s.stated_until_ms = std::max(s.stated_until_ms, now_ms + cold_left_ms);
    s.assumption_firm_until_ms =
      std::max(s.assumption_firm_until_ms, now_ms + max_announcement_age_ms);
  });
}

void
note_undrained(registry& r, std::string_view data_centre, std::uint64_t now_ms)
{
  for (auto& [id, b] : r.all) {
    if (b.info.data_centre == data_centre) {
      apply(r, b, cold_cause::undrained, now_ms, [&](warm_up_state& s) {
        s.undrained_at_ms = now_ms;
      });
    }
  }
}

bool
is_cold(const registry& r, const backend& b, std::uint64_t now_ms)
{
  return is_cold(b.warm_up, r.warm_up, b.info.service, now_ms);
}

std::size_t
cold_servers(const registry& r, std::uint64_t now_ms)
{
  return static_cast<std::size_t>(
    std::count_if(r.all.begin(), r.all.end(), [&](const auto& e) {
      return is_cold(r, e.second, now_ms);
    }));
}

std::optional<std::uint64_t>
next_call_budget_ms(const registry& r,
                    const call_needs& needs,
                    std::uint64_t now_ms)
{
  std::optional<std::uint64_t> earliest;
  for (const auto& [id, b] : r.all) {
    const bool was_tried =
      std::find(needs.tried.begin(), needs.tried.end(), id) !=
      needs.tried.end();
    if (b.info.service == needs.service && !was_tried &&
        eligibility_of(r, b, needs.homes, now_ms) == eligibility::warming_up) {
      earliest = earlier(earliest, budget_returns_ms(r, b, now_ms));
    }
  }
  return earliest;
}

std::optional<std::uint64_t>
next_item_budget_ms(const registry& r,
                    const item_needs& needs,
                    std::uint64_t now_ms)
{
  std::optional<std::uint64_t> earliest;
  for (const auto& [id, b] : r.all) {
    if (id != needs.excluded_id && load_of(b, now_ms) < 1 &&
        is_withheld_by_budget(r, b, needs, now_ms) && needs.may_use(b)) {
      earliest = earlier(earliest, budget_returns_ms(r, b, now_ms));
    }
  }
  return earliest;
}

std::vector<cold_change>
take_cold_changes(registry& r)
{
  return std::exchange(r.cold_changes, {});
}

} // namespace cactusford::backends
