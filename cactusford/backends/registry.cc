#include "cactusford/backends/eligibility.h"
#include "cactusford/backends/warm_up_events.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactusford::backends {

namespace {

// The platform guarantees that a live backend server has announced itself again
// about two seconds after the store is back.
constexpr std::uint64_t keep_missing_ms = 2000;

// Age up to which a reported load still describes the work of other callers: a
// few times the duration of a plain call, less than that of a stream.
constexpr std::uint64_t max_load_age_ms = 1000;

// Age at which a measured stream pace is discarded, so that a backend server
// that was slow and has recovered is tried again.
constexpr std::uint64_t max_pace_age_ms = 2500;

// Under load, healthy engines differ by tens of percent; a slow engine differs
// by a factor.
constexpr double slow_factor = 1.9;

// Weight of a new sample in the moving average. With this pace gain, four
// events of a slow engine move its average past the slow factor.
constexpr double pace_gain = 0.35;
constexpr double call_gain = 0.2;

// Backoff after the first failure; it doubles with each further failure.
constexpr std::uint64_t min_avoid_ms = 250;
constexpr std::uint64_t max_avoid_ms = 2000;

// Loading weights takes about a second, and each refused run costs a request
// and a response.
constexpr std::uint64_t refusal_pause_ms = 250;

// Number of calls after which a server's own duration weighs as much as the
// typical one, and after which the weight grows no more.
constexpr double typical_weight = 4;
constexpr std::uint32_t max_weighed_calls = 16;

// Unit: one running request per slot. The far penalty only breaks ties: a
// nearby server is preferred over an equally loaded one in another data centre.
constexpr double far_penalty = 0.05;
constexpr double slow_penalty = 4;

// A cold engine is chosen after all warm ones with a free slot, except for
// those in trouble.
constexpr double cold_penalty = 3;

// Unit: runs. An engine batches its runs, and one more of them hardly slows the
// others: a connected engine with one more run is preferred.
constexpr double unconnected_penalty_runs = 1.2;

// Time that opening a connection adds to a call: a round trip between data
// centres plus the server's own work. A server that is faster or less loaded by
// more than this is still preferred over a connected one.
constexpr double connect_cost_ms = 3;

// Unit: one running request per slot. Bytes between regions are paid for, so an
// item stays in its region while an engine there has a free slot: load, penalty
// for a new connection and `far_penalty` of such an engine add up to at most
// 1.25. Less than `slow_penalty`, as a slow engine costs more than the bytes.
constexpr double other_region_penalty = 1.25;

// Assumed for items whose run time is not known.
constexpr double typical_run_ms = 500;

// Speeds of servers that are gone are kept this long, and at most this many.
constexpr std::uint64_t keep_speed_ms = 600'000;
constexpr std::size_t max_past_speeds = 20'000;

std::uint32_t
peer_runs_of(const backend& b, std::uint64_t now_ms)
{
  return now_ms - b.peer_runs_at_ms < max_load_age_ms ? b.peer_runs : 0;
}

bool
is_avoided(const backend& b, std::uint64_t now_ms)
{
  return b.avoided_until_ms > now_ms;
}

bool
accepts(const backend& b, const item_needs& needs, std::uint64_t now_ms)
{
  if (b.info.service != needs.service) {
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

// Returns the mean duration of a plain call over the servers of the service
// that have answered one, or the shortest possible if none has.
double
typical_call_ms(const registry& r, std::string_view service)
{
  double sum = 0;
  std::size_t known = 0;
  for (const auto& [id, b] : r.all) {
    if (b.info.service == service && b.calls > 0) {
      sum += b.call_ms;
      ++known;
    }
  }
  return known > 0 ? std::max(sum / static_cast<double>(known), 1.0) : 1.0;
}

// A server that has answered few calls is expected to be like the others. If an
// untried one were taken for a fast one, an entry with a call every second
// would open a connection to each server of a large service before it used one
// again.
double
expected_call_ms(const backend& b, double typical_ms)
{
  const auto weight = static_cast<double>(b.calls);
  return (typical_weight * typical_ms + weight * b.call_ms) /
         (typical_weight + weight);
}

// In a deployment whose backend servers can restart, all of them publish a
// start time. The majority decides, because a single entry of a different
// writer that carries a start time must not make all other servers invalid.
bool
most_report_incarnation(const registry& r)
{
  const auto reporting =
    std::count_if(r.all.begin(), r.all.end(), [](const auto& e) {
      return e.second.info.started_ms != 0;
    });
  return 2 * static_cast<std::size_t>(reporting) > r.all.size();
}

// Keeps the speed of a server that is removed from the list.
void
remember_speed(registry& r, const backend& b, std::uint64_t now_ms)
{
  if (b.speed.samples == 0) {
    return;
  }
  auto& past = r.past_speeds;
  if (past.size() >= max_past_speeds) {
    past.erase(std::min_element(
      past.begin(), past.end(), [](const auto& a, const auto& other) {
        return a.second.gone_at_ms < other.second.gone_at_ms;
      }));
  }
  past[b.info.id] = { b.info.service, b.speed, now_ms };
}

void
restore_speed(registry& r, backend& b)
{
  const auto past = r.past_speeds.find(b.info.id);
  if (past == r.past_speeds.end()) {
    return;
  }
  if (b.speed.samples == 0 && past->second.service == b.info.service) {
    b.speed = past->second.speed;
    restart(b.speed);
  }
  r.past_speeds.erase(past);
}

// Requests older than this count in no budget: with 32 other senders and 14
// requests a second, a budget of one request lasts 2.7 s.
constexpr std::uint64_t keep_warm_up_ms = 10'000;

void
remember_warm_up(registry& r, const backend& b)
{
  if (!b.warm_up.sent_ms.empty()) {
    r.past_warm_ups[b.info.id] = b.warm_up;
  }
}

void
restore_warm_up(registry& r, backend& b)
{
  if (auto past = r.past_warm_ups.extract(b.info.id)) {
    b.warm_up = std::move(past.mapped());
  }
}

// Keeps the number of requests that run on an incarnation that is no longer
// listed.
void
remember_runs(registry& r, const backend& b)
{
  if (b.in_flight > 0) {
    r.unlisted_runs[incarnation_of(b)] = b.in_flight;
  }
}

void
restore_runs(registry& r, backend& b)
{
  if (auto past = r.unlisted_runs.extract(incarnation_of(b))) {
    b.in_flight = past.mapped();
  }
}

// How a plain call compares servers before their cost. A cold server is used
// before the call would wait for a slot of a warm one.
enum class call_preference
{
  warm,
  cold,
  full,
};

call_preference
preference_of(const registry& r,
              const backend& b,
              bool has_cold,
              std::uint64_t now_ms)
{
  if (!has_cold) {
    return call_preference::warm;
  }
  if (is_cold(r, b, now_ms)) {
    return call_preference::cold;
  }
  return load_of(b, now_ms) < 1 ? call_preference::warm : call_preference::full;
}

bool
has_cold_server(const registry& r,
                std::string_view service,
                std::uint64_t now_ms)
{
  return limits_of(r.warm_up, service) != nullptr &&
         std::any_of(r.all.begin(), r.all.end(), [&](const auto& e) {
           return e.second.info.service == service &&
                  is_cold(r, e.second, now_ms);
         });
}

// Returns what an announcement shows of a server's start.
cold_cause
cause_of(const registry& r, const backend* known, bool is_new_incarnation)
{
  if (known == nullptr) {
    return r.has_list ? cold_cause::first_seen : cold_cause::none;
  }
  if (is_new_incarnation) {
    return cold_cause::restarted;
  }
  return known->missing_since_ms != 0 ? cold_cause::reappeared
                                      : cold_cause::none;
}

// Returns what the server's speed adds to the cost of an item, in units of
// load.
double
slowness_of(const backend& b,
            const service_pace* pace,
            double typical_ms,
            std::uint64_t now_ms)
{
  if (pace == nullptr) {
    return is_slow(b, typical_ms, now_ms) ? slow_penalty : 0;
  }
  const auto one_run = 1.0 / std::max<std::uint32_t>(b.info.slots, 1);
  return speed_cost(*pace, b.speed, load_of(b, now_ms) + one_run) +
         (is_in_trouble(*pace, b.speed, now_ms) ? slow_penalty : 0);
}

// Returns what the server's distance adds to the cost of a call, in
// milliseconds.
double
distance_cost_ms(const registry& r,
                 const backend& b,
                 const call_needs& needs,
                 bool is_connected)
{
  if (!r.topology.distance.is_enabled) {
    return (is_connected ? 0 : connect_cost_ms) +
           (b.info.data_centre == needs.data_centre ? 0 : far_penalty);
  }
  const auto distance = round_trip_ms(r, b);
  return distance + (is_connected ? 0 : std::max(connect_cost_ms, distance));
}

// Returns what the server's distance adds to the cost of an item, in units of
// load.
double
distance_cost(const registry& r, const backend& b, const item_needs& needs)
{
  const auto& t = r.topology;
  if (b.info.data_centre == needs.data_centre) {
    return 0;
  }
  if (!t.distance.is_enabled ||
      data_centres::is_same_region(t.regions, t.own, b.info.data_centre)) {
    return far_penalty;
  }
  const auto run_ms = needs.expected_run_ms == 0
                        ? typical_run_ms
                        : static_cast<double>(needs.expected_run_ms);
  return round_trip_ms(r, b) / run_ms + other_region_penalty;
}

} // namespace

double
load_of(const backend& b, std::uint64_t now_ms)
{
  const bool fresh = now_ms - b.other_load_at_ms < max_load_age_ms;
  const double all =
    b.in_flight + peer_runs_of(b, now_ms) + (fresh ? b.other_load : 0);
  return all / std::max<std::uint32_t>(b.info.slots, 1);
}

const service_pace*
pace_of(const registry& r, std::string_view service)
{
  const auto found = r.paces.find(service);
  const bool in_force =
    r.server_speeds && found != r.paces.end() && found->second.is_uneven;
  return in_force ? &found->second : nullptr;
}

bool
has_uneven_service(const registry& r)
{
  return r.server_speeds &&
         std::any_of(r.paces.begin(), r.paces.end(), [](const auto& p) {
           return p.second.is_uneven;
         });
}

std::string_view
name_of(announce_result result) noexcept
{
  switch (result) {
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

announce_result
announce(registry& r, announcement a, std::uint64_t now_ms)
{
  if (a.started_ms == 0 && most_report_incarnation(r)) {
    drop(r, a.id);
    return announce_result::no_incarnation;
  }
  const auto* before = find(r, a.id);
  const bool is_repeated =
    before != nullptr && a.revision != 0 && a.revision <= before->info.revision;
  const bool is_later = before != nullptr && before->info.started_ms != 0 &&
                        a.started_ms > before->info.started_ms;
  const auto cause = cause_of(r, before, is_later);
  const bool is_known = before != nullptr;
  auto& b = r.all[a.id];
  const auto known = b.info.started_ms;
  // A delayed announcement would restore the load, versions and runs of a
  // process that no longer exists: items would be sent to an engine that
  // refuses them, or be taken for running.
  if (a.started_ms < known) {
    return announce_result::past_incarnation;
  }
  const bool is_new = known != 0 && a.started_ms > known;
  const bool is_changed = is_known && a.started_ms != known;
  if (is_changed) {
    remember_runs(r, b);
    b.in_flight = 0;
  }
  if (is_new) {
    const auto speed = b.speed;
    auto warm_up = std::move(b.warm_up);
    b = {};
    b.speed = speed;
    b.warm_up = std::move(warm_up);
    restart(b.speed);
  }
  // Versions only grow within an incarnation, and the announcement may be older
  // than what this instance has learned from responses.
  for (const auto& [model, version] : b.info.versions) {
    auto& current = a.versions[model];
    current = std::max(current, version);
  }
  b.info = std::move(a);
  b.missing_since_ms = 0;
  restore_speed(r, b);
  if (!is_known) {
    restore_warm_up(r, b);
  }
  if (!is_known || is_changed) {
    restore_runs(r, b);
  }
  // A list repeats announcements that say nothing new: their server is cold for
  // a shorter time than they state.
  if (!is_repeated || cause != cold_cause::none) {
    note_announced(r, b, cause, now_ms);
  }
  return is_new ? announce_result::new_incarnation
                : announce_result::same_incarnation;
}

void
drop(registry& r, const std::string& id)
{
  if (const auto* b = find(r, id)) {
    remember_speed(r, *b, b->speed.sampled_at_ms.front());
    remember_warm_up(r, *b);
    remember_runs(r, *b);
    r.all.erase(id);
  }
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
  // Apply announcements with a start time first, so that
  // `most_report_incarnation` is accurate for the others.
  std::stable_partition(
    list.begin(), list.end(), [](const auto& a) { return a.started_ms != 0; });
  std::vector<incarnation_change> changes;
  for (auto& a : list) {
    const incarnation of{ a.id, a.started_ms };
    const auto what = announce(r, std::move(a), now_ms);
    if (what != announce_result::same_incarnation) {
      changes.push_back({ of, what });
    }
  }
  r.has_list = true;
  expire(r, now_ms);
  return changes;
}

bool
expire(registry& r, std::uint64_t now_ms)
{
  if (now_ms < r.keep_missing_until_ms) {
    return false;
  }
  std::erase_if(r.past_speeds, [now_ms](const auto& e) {
    return now_ms - e.second.gone_at_ms > keep_speed_ms;
  });
  std::erase_if(r.past_warm_ups, [now_ms](const auto& e) {
    return e.second.sent_ms.back() + keep_warm_up_ms < now_ms;
  });
  const auto removed = std::erase_if(r.all, [&](const auto& e) {
    const auto& b = e.second;
    if (b.missing_since_ms != 0) {
      remember_speed(r, b, b.missing_since_ms);
      remember_warm_up(r, b);
      remember_runs(r, b);
    }
    return b.missing_since_ms != 0;
  });
  return removed > 0;
}

backend*
find(registry& r, const std::string& id)
{
  const auto found = r.all.find(id);
  return found == r.all.end() ? nullptr : &found->second;
}

incarnation
incarnation_of(const backend& b)
{
  return { b.info.id, b.info.started_ms };
}

backend*
find(registry& r, const incarnation& i)
{
  auto* b = find(r, i.id);
  return b != nullptr && b->info.started_ms == i.started_ms ? b : nullptr;
}

void
begin_run(backend& b)
{
  ++b.in_flight;
}

void
end_run(registry& r, const incarnation& i)
{
  if (auto* b = find(r, i)) {
    --b->in_flight;
    return;
  }
  const auto past = r.unlisted_runs.find(i);
  if (past != r.unlisted_runs.end() && --past->second == 0) {
    r.unlisted_runs.erase(past);
  }
}

void
note_success(backend& b, std::uint64_t took_ms)
{
  b.failures = 0;
  b.avoided_until_ms = 0;
  const auto took = static_cast<double>(took_ms);
  b.call_ms =
    b.call_ms == 0 ? took : b.call_ms + call_gain * (took - b.call_ms);
  b.calls = std::min(b.calls + 1, max_weighed_calls);
}

void
note_success(const registry& r,
             backend& b,
             std::uint64_t took_ms,
             double load_when_sent)
{
  // The cost of a server counts its load already. Without this, a busy server
  // would be taken for a slow one as well.
  const auto queueing = has_uneven_service(r) ? queueing_at(load_when_sent) : 1;
  note_success(b,
               static_cast<std::uint64_t>(
                 std::llround(static_cast<double>(took_ms) / queueing)));
}

void
note_failure(backend& b, std::uint64_t now_ms)
{
  // Concurrent requests to a server fail together, so their failures count as
  // one. Counted separately, the failures of six streams on an engine that
  // paused would avoid it for the maximum time.
  if (now_ms < b.avoided_until_ms) {
    return;
  }
  constexpr std::uint32_t doublings = 3;
  const auto pause =
    std::min(min_avoid_ms << std::min(b.failures, doublings), max_avoid_ms);
  ++b.failures;
  b.avoided_until_ms = now_ms + pause;
}

void
note_refusal(backend& b, const std::string& model, std::uint64_t now_ms)
{
  b.refused_until_ms[model] = now_ms + refusal_pause_ms;
}

void
note_load(backend& b, const reported_load& l, std::uint64_t now_ms)
{
  const auto all = l.running + l.waiting;
  const auto known = b.in_flight + peer_runs_of(b, now_ms);
  b.other_load = all > known ? all - known : 0;
  b.other_load_at_ms = now_ms;
}

void
note_connect(registry& r,
             const std::string& address,
             double took_ms,
             std::uint64_t now_ms)
{
  const auto found = std::find_if(r.all.begin(), r.all.end(), [&](auto& e) {
    return e.second.info.address == address;
  });
  if (found != r.all.end()) {
    data_centres::note_connect(
      r.topology.distance, found->second.info.data_centre, took_ms, now_ms);
  }
}

double
round_trip_ms(const registry& r, const backend& b)
{
  const auto& t = r.topology;
  return data_centres::round_trip_ms(
    t.distance, t.regions, t.own, b.info.data_centre);
}

std::uint64_t
network_ms(const registry& r, const backend& b, bool is_connected)
{
  return static_cast<std::uint64_t>(
    std::llround(round_trip_ms(r, b) * (is_connected ? 1 : 2)));
}

void
set_peer_runs(registry& r,
              const std::map<std::string, std::uint32_t>& runs,
              std::uint64_t now_ms)
{
  for (auto& [id, b] : r.all) {
    const auto found = runs.find(id);
    b.peer_runs = found == runs.end() ? 0 : found->second;
    b.peer_runs_at_ms = now_ms;
  }
}

void
note_pace(backend& b, double gap_ms, std::uint64_t now_ms)
{
  const bool old = now_ms - b.pace_at_ms > max_pace_age_ms;
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
    const bool fresh = now - b.pace_at_ms <= max_pace_age_ms;
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
is_slow(const backend& b, double typical_ms, std::uint64_t now_ms)
{
  const bool fresh = now_ms - b.pace_at_ms <= max_pace_age_ms;
  return fresh && typical_ms > 0 && b.pace_ms > slow_factor * typical_ms;
}

backend*
choose_for_call(registry& r,
                const call_needs& needs,
                std::uint64_t now_ms,
                double random)
{
  const auto typical_ms = typical_call_ms(r, needs.service);
  const bool has_cold = has_cold_server(r, needs.service, now_ms);
  // The second pass includes servers that are avoided after failures or limited
  // to one run, the last one also those of unreachable data centres.
  enum class pass
  {
    usual,
    avoided,
    unreachable,
  };
  for (const auto p : { pass::usual, pass::avoided, pass::unreachable }) {
    std::vector<backend*> best;
    double best_cost = std::numeric_limits<double>::max();
    auto best_preference = call_preference::full;
    for (auto& [id, b] : r.all) {
      const bool was_tried =
        std::find(needs.tried.begin(), needs.tried.end(), id) !=
        needs.tried.end();
      if (b.info.service != needs.service || was_tried ||
          (p == pass::usual && is_avoided(b, now_ms))) {
        continue;
      }
      const auto state = eligibility_of(r, b, needs.homes, now_ms);
      const bool may_use =
        state == eligibility::eligible ||
        (p != pass::usual && state == eligibility::returning) ||
        (p == pass::unreachable && needs.may_use_unreachable &&
         state == eligibility::unreachable);
      if (!may_use) {
        continue;
      }
      const double cost =
        (1 + load_of(b, now_ms)) * expected_call_ms(b, typical_ms) +
        distance_cost_ms(r, b, needs, needs.is_connected(b.info.address));
      const auto preference = preference_of(r, b, has_cold, now_ms);
      if (preference > best_preference) {
        continue;
      }
      constexpr double tolerance = 1e-9;
      if (preference < best_preference || cost < best_cost - tolerance) {
        best.clear();
        best_cost = cost;
        best_preference = preference;
      }
      if (cost < best_cost + tolerance) {
        best.push_back(&b);
      }
    }
    if (!best.empty()) {
      const auto count = static_cast<double>(best.size());
      return best[static_cast<std::size_t>(random * count) % best.size()];
    }
  }
  return nullptr;
}

backend*
choose_for_item(registry& r, const item_needs& needs, std::uint64_t now_ms)
{
  const auto* pace = pace_of(r, needs.service);
  const auto typical_ms =
    pace == nullptr ? typical_pace_ms(r, needs.service, now_ms) : 0;
  backend* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (auto& [id, b] : r.all) {
    if (!is_usable(r, b, needs, now_ms) || id == needs.excluded_id ||
        load_of(b, now_ms) >= 1 || !needs.may_use(b)) {
      continue;
    }
    double cost =
      load_of(b, now_ms) + slowness_of(b, pace, typical_ms, now_ms) +
      (is_cold(r, b, now_ms) ? cold_penalty : 0) + distance_cost(r, b, needs);
    if (cost < best_cost && !needs.is_connected(b.info.address)) {
      cost +=
        unconnected_penalty_runs / std::max<std::uint32_t>(b.info.slots, 1);
    }
    if (cost < best_cost) {
      best = &b;
      best_cost = cost;
    }
  }
  return best;
}

bool
is_usable(const registry& r,
          const backend& b,
          const item_needs& needs,
          std::uint64_t now_ms)
{
  return accepts(b, needs, now_ms) && !is_avoided(b, now_ms) &&
         eligibility_of(r, b, needs.homes, now_ms) == eligibility::eligible;
}

bool
is_withheld_by_budget(const registry& r,
                      const backend& b,
                      const item_needs& needs,
                      std::uint64_t now_ms)
{
  return accepts(b, needs, now_ms) && !is_avoided(b, now_ms) &&
         eligibility_of(r, b, needs.homes, now_ms) == eligibility::warming_up;
}

std::uint64_t
newest_version(const registry& r,
               std::string_view service,
               std::string_view model)
{
  std::uint64_t newest = 0;
  for (const auto& [id, b] : r.all) {
    const auto found = b.info.versions.find(std::string{ model });
    if (b.info.service == service && found != b.info.versions.end()) {
      newest = std::max(newest, found->second);
    }
  }
  return newest;
}

bool
can_serve(const registry& r, const item_needs& needs, std::uint64_t now_ms)
{
  // Engines that refuse runs temporarily also count.
  constexpr auto never_refused = std::numeric_limits<std::uint64_t>::max();
  return std::any_of(r.all.begin(), r.all.end(), [&](const auto& e) {
    const auto& b = e.second;
    const auto state = eligibility_of(r, b, needs.homes, now_ms);
    const bool is_possible =
      state == eligibility::eligible || state == eligibility::warming_up ||
      state == eligibility::unreachable || state == eligibility::returning;
    return is_possible && accepts(b, needs, never_refused);
  });
}

} // namespace cactusford::backends
