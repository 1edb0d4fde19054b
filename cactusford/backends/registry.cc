#include "cactusford/backends/registry.h"

#include <algorithm>
#include <limits>

namespace cactusford::backends {

namespace {

// A lapsed entry is back within about two seconds of the store's return if
// its backend server lives, says the platform.
constexpr std::uint64_t keep_missing_ms = 2000;

// A reported load describes other callers' work for this long: a few times
// the time of a plain call, less than that of a stream.
constexpr std::uint64_t load_age_limit_ms = 1000;

// A slow mark holds this long without a new event, so that a backend server
// that recovered is tried again.
constexpr std::uint64_t pace_age_limit_ms = 2500;

// Engines differ by tens of percent under load; a slow one by a factor.
constexpr double slow_factor = 1.9;

// Weight of a new sample. Four events of a slow engine move its pace past the
// slow factor.
constexpr double pace_gain = 0.35;
constexpr double call_gain = 0.2;

// Pause after the first failure, doubled with each further one.
constexpr std::uint64_t first_avoid_ms = 250;
constexpr std::uint64_t longest_avoid_ms = 2000;

// A load takes about a second; each refused run costs a message both ways.
constexpr std::uint64_t refused_pause_ms = 250;

// In units of one running request for each slot: a near backend server wins
// over an equally loaded far one, and no more.
constexpr double far_penalty = 0.05;
constexpr double slow_penalty = 4;

// What opening a connection adds to a call: a round trip between data centres
// and the server's work on it. A server that is faster or less loaded by more
// than that is taken all the same.
constexpr double connect_cost_ms = 3;

std::uint32_t
told_of(const backend& b, std::uint64_t now_ms)
{
  return now_ms - b.told_at_ms < load_age_limit_ms ? b.told : 0;
}

double
load_of(const backend& b, std::uint64_t now_ms)
{
  const bool fresh = now_ms - b.others_at_ms < load_age_limit_ms;
  const double all = b.in_flight + told_of(b, now_ms) + (fresh ? b.others : 0);
  return all / std::max<std::uint32_t>(b.info.slots, 1);
}

bool
is_open(const backend& b, std::uint64_t now_ms)
{
  return !b.info.leaving && b.avoided_until_ms <= now_ms;
}

bool
accepts(const backend& b, const item_needs& needs, std::uint64_t now_ms)
{
  if (b.info.leaving || b.info.service != needs.service) {
    return false;
  }
  const auto found = b.info.versions.find(std::string{ needs.model });
  if (found == b.info.versions.end()) {
    return false;
  }
  const auto refused = b.refused_until_ms.find(found->first);
  if (refused != b.refused_until_ms.end() && refused->second > now_ms) {
    return false;
  }
  return found->second >= needs.min_version &&
         (needs.only_version == 0 || found->second == needs.only_version);
}

// In a deployment whose backend servers may start again all of them tell when
// their life began. Most decide: one entry of another writer, with a life where
// nobody tells of one, must not take all others away.
bool
lives_are_told(const registry& r)
{
  const auto told =
    std::count_if(r.all.begin(), r.all.end(), [](const auto& e) {
      return e.second.info.started_ms != 0;
    });
  return 2 * static_cast<std::size_t>(told) > r.all.size();
}

} // namespace

std::string_view
name_of(announced a) noexcept
{
  switch (a) {
    case announce_result::same_incarnation:
      return "same_life";
    case announce_result::new_incarnation:
      return "new_life";
    case announce_result::past_incarnation:
      return "ended_life";
    case announce_result::no_incarnation:
      return "no_life";
  }
  return "unknown";
}

announced
announce(registry& r, announcement a)
{
  if (a.started_ms == 0 && lives_are_told(r)) {
    drop(r, a.id);
    return announce_result::no_incarnation;
  }
  auto& b = r.all[a.id];
  const auto known = b.info.started_ms;
  // A late word would bring back load, versions and runs of a process that is
  // gone: items would go to an engine that refuses them, or be believed to run.
  if (a.started_ms < known) {
    return announce_result::past_incarnation;
  }
  const bool is_new = known != 0 && a.started_ms > known;
  if (is_new) {
    b = {};
  }
  // Versions only grow while it lives; its word may be older than ours.
  for (const auto& [model, version] : b.info.versions) {
    auto& said = a.versions[model];
    said = std::max(said, version);
  }
  b.info = std::move(a);
  b.missing_since_ms = 0;
  return is_new ? announce_result::new_incarnation
                : announce_result::same_incarnation;
}

void
drop(registry& r, const std::string& id)
{
  r.all.erase(id);
}

void
withdraw(registry& r, const std::string& id, std::uint64_t now_ms)
{
  auto* b = find(r, id);
  if (b != nullptr && b->missing_since_ms == 0) {
    b->missing_since_ms = std::max<std::uint64_t>(now_ms, 1);
  }
  expire(r, now_ms);
}

std::vector<incarnation_change>
replace_all(registry& r, std::vector<announcement> list, std::uint64_t now_ms)
{
  for (auto& entry : r.all) {
    auto& b = entry.second;
    const bool listed =
      std::any_of(list.begin(), list.end(), [&](const auto& a) {
        return a.id == entry.first;
      });
    if (!listed && b.missing_since_ms == 0) {
      b.missing_since_ms = std::max<std::uint64_t>(now_ms, 1);
    }
  }
  // Those that tell of a life first: whether most do is then known.
  std::stable_partition(
    list.begin(), list.end(), [](const auto& a) { return a.started_ms != 0; });
  std::vector<incarnation_change> changes;
  for (auto& a : list) {
    const life of{ a.id, a.started_ms };
    const auto what = announce(r, std::move(a));
    if (what != announce_result::same_incarnation) {
      changes.push_back({ of, what });
    }
  }
  expire(r, now_ms);
  return changes;
}

bool
expire(registry& r, std::uint64_t now_ms)
{
  if (now_ms < r.keep_missing_until_ms) {
    return false;
  }
  const auto gone = std::erase_if(
    r.all, [](const auto& e) { return e.second.missing_since_ms != 0; });
  return gone > 0;
}

backend*
find(registry& r, const std::string& id)
{
  const auto found = r.all.find(id);
  return found == r.all.end() ? nullptr : &found->second;
}

life
incarnation_of(const backend& b)
{
  return { b.info.id, b.info.started_ms };
}

backend*
find(registry& r, const life& l)
{
  auto* b = find(r, l.id);
  return b != nullptr && b->info.started_ms == l.started_ms ? b : nullptr;
}

void
note_success(backend& b, std::uint64_t took_ms)
{
  b.failures = 0;
  b.avoided_until_ms = 0;
  const auto took = static_cast<double>(took_ms);
  b.call_ms =
    b.call_ms == 0 ? took : b.call_ms + call_gain * (took - b.call_ms);
}

void
note_failure(backend& b, std::uint64_t now_ms)
{
  // Requests that were out there together fail together: one event, not many.
  // Counted singly, six streams of an engine that paused would keep it without
  // work for the longest pause.
  if (now_ms < b.avoided_until_ms) {
    return;
  }
  constexpr std::uint32_t doublings = 3;
  const auto pause = std::min(first_avoid_ms << std::min(b.failures, doublings),
                              longest_avoid_ms);
  ++b.failures;
  b.avoided_until_ms = now_ms + pause;
}

void
note_refusal(backend& b, const std::string& model, std::uint64_t now_ms)
{
  b.refused_until_ms[model] = now_ms + refused_pause_ms;
}

void
note_load(backend& b, const reported_load& l, std::uint64_t now_ms)
{
  const auto all = l.running + l.waiting;
  const auto known = b.in_flight + told_of(b, now_ms);
  b.others = all > known ? all - known : 0;
  b.others_at_ms = now_ms;
}

void
set_peer_runs(registry& r,
              const std::map<std::string, std::uint32_t>& runs,
              std::uint64_t now_ms)
{
  for (auto& [id, b] : r.all) {
    const auto found = runs.find(id);
    b.told = found == runs.end() ? 0 : found->second;
    b.told_at_ms = now_ms;
  }
}

void
note_pace(backend& b, double gap_ms, std::uint64_t now_ms)
{
  const bool old = now_ms - b.pace_at_ms > pace_age_limit_ms;
  b.pace_ms = b.pace_ms == 0 || old
                ? gap_ms
                : b.pace_ms + pace_gain * (gap_ms - b.pace_ms);
  b.pace_at_ms = now_ms;
}

double
typical_pace_ms(const registry& r, std::string_view service, std::uint64_t now)
{
  std::vector<double> known;
  for (const auto& [id, b] : r.all) {
    const bool fresh = now - b.pace_at_ms <= pace_age_limit_ms;
    if (b.info.service == service && b.pace_ms > 0 && fresh) {
      known.push_back(b.pace_ms);
    }
  }
  if (known.empty()) {
    return 0;
  }
  const auto at = known.begin() + static_cast<long>(known.size() / 4);
  std::nth_element(known.begin(), at, known.end());
  return *at;
}

bool
is_slow(const backend& b, double usual, std::uint64_t now_ms)
{
  const bool fresh = now_ms - b.pace_at_ms <= pace_age_limit_ms;
  return fresh && usual > 0 && b.pace_ms > slow_factor * usual;
}

backend*
choose_for_call(registry& r,
                const call_needs& needs,
                std::uint64_t now_ms,
                double random)
{
  // Two passes: those avoided after failures come last, as all may be.
  for (const bool careful : { true, false }) {
    backend* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    std::uint32_t equal = 0;
    for (auto& [id, b] : r.all) {
      const bool was_tried =
        std::find(needs.tried.begin(), needs.tried.end(), id) !=
        needs.tried.end();
      const bool open = careful ? is_open(b, now_ms) : !b.info.leaving;
      if (b.info.service != needs.service || was_tried || !open) {
        continue;
      }
      const double cost =
        (1 + load_of(b, now_ms)) * std::max(b.call_ms, 1.0) +
        (needs.is_connected(b.info.address) ? 0 : connect_cost_ms) +
        (b.info.data_centre == needs.data_centre ? 0 : far_penalty);
      constexpr double same = 1e-9;
      equal = cost < best_cost - same ? 1 : equal + 1;
      if (cost < best_cost - same ||
          (cost < best_cost + same && random * equal < 1)) {
        best = &b;
        best_cost = cost;
      }
    }
    if (best != nullptr) {
      return best;
    }
  }
  return nullptr;
}

backend*
choose_for_item(registry& r, const item_needs& needs, std::uint64_t now_ms)
{
  const auto usual = typical_pace_ms(r, needs.service, now_ms);
  backend* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (auto& [id, b] : r.all) {
    if (!accepts(b, needs, now_ms) || !is_open(b, now_ms) ||
        id == needs.excluded_id || load_of(b, now_ms) >= 1) {
      continue;
    }
    const double cost =
      load_of(b, now_ms) + (is_slow(b, usual, now_ms) ? slow_penalty : 0) +
      (b.info.data_centre == needs.data_centre ? 0 : far_penalty);
    if (cost < best_cost) {
      best = &b;
      best_cost = cost;
    }
  }
  return best;
}

bool
can_serve(const registry& r, const item_needs& needs)
{
  // Engines that refuse for the moment count.
  constexpr auto never_refused = std::numeric_limits<std::uint64_t>::max();
  return std::any_of(r.all.begin(), r.all.end(), [&](const auto& e) {
    return accepts(e.second, needs, never_refused);
  });
}

} // namespace cactusford::backends
