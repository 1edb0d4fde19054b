#include "cactusford/batches/engine_shares.h"

#include "cactusford/backends/eligibility.h"
#include "cactusford/membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace cactusford::batches {

namespace {

// Demands are rounded up to a multiple of this. A step varies by a few items,
// and the slots an owner does not use are open to the others.
constexpr std::uint32_t demand_step = 16;

// Reports take up to 250 ms to arrive, so one that arrives earlier after a new
// batch may have been sent before the other owner's own step started.
constexpr std::uint64_t max_report_delay_ms = 250;

// Unchanged reports are repeated after 400 ms. An owner without a new report
// until then has no new step.
constexpr std::uint64_t report_wait_ms = 400;

// An owner uses a free slot of its share within the time that two reports take:
// that of the run that ended, and its own. One that has not done so cannot use
// it, for example because the engine is loading the weights of its model.
constexpr std::uint64_t max_withheld_ms = 300;

// Bounds the products in the division, as an announcement may state anything.
constexpr std::uint32_t max_slots = 4096;

// Same limit as for the registry's own load figures.
constexpr std::uint64_t max_load_age_ms = 1000;

std::uint32_t
rounded_up(std::uint32_t items)
{
  return (items + demand_step - 1) / demand_step * demand_step;
}

std::uint64_t
total_slots(const std::vector<engine_slots>& engines)
{
  return std::accumulate(engines.begin(),
                         engines.end(),
                         std::uint64_t{ 0 },
                         [](auto sum, auto& e) { return sum + e.slots; });
}

// Returns the position of each engine among those with equally many slots, in
// the order of a hash of their ids, and the number of these engines.
std::vector<std::pair<std::uint64_t, std::uint64_t>>
ranks_among_equals(const std::vector<engine_slots>& engines)
{
  struct hashed
  {
    std::uint32_t slots;
    std::uint64_t hash;
    std::size_t index;
  };
  std::vector<hashed> order;
  order.reserve(engines.size());
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const auto& id = engines[i].id;
    order.push_back({ engines[i].slots, XXH3_64bits(id.data(), id.size()), i });
  }
  std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
    return std::tie(a.slots, a.hash, engines[a.index].id) <
           std::tie(b.slots, b.hash, engines[b.index].id);
  });
  std::vector<std::pair<std::uint64_t, std::uint64_t>> ranks(engines.size());
  for (auto first = order.begin(); first != order.end();) {
    const auto last = std::find_if(first, order.end(), [&](const auto& e) {
      return e.slots != first->slots;
    });
    const auto count = static_cast<std::uint64_t>(last - first);
    for (std::uint64_t rank = 0; first != last; ++first, ++rank) {
      ranks[first->index] = { rank, count };
    }
  }
  return ranks;
}

bool
is_in_division(const backends::registry& r,
               const backends::backend& b,
               std::string_view service,
               std::uint64_t now)
{
  return b.info.service == service && b.info.slots > 0 &&
         backends::counts_as_capacity(r, b, now);
}

// Returns true if the list of engines has changed.
bool
update_engines(std::vector<engine_slots>& engines,
               const backends::registry& r,
               std::string_view service,
               std::uint64_t now)
{
  auto known = engines.begin();
  bool is_same = true;
  for (const auto& [id, b] : r.all) {
    if (!is_in_division(r, b, service, now)) {
      continue;
    }
    is_same = known != engines.end() &&
              known->slots == std::min(b.info.slots, max_slots) &&
              known->id == id;
    if (!is_same) {
      break;
    }
    ++known;
  }
  if (is_same && known == engines.end()) {
    return false;
  }
  engines.clear();
  for (const auto& [id, b] : r.all) {
    if (is_in_division(r, b, service, now)) {
      engines.push_back({ id, std::min(b.info.slots, max_slots) });
    }
  }
  return true;
}

// Returns the demand by which another owner takes part in the division.
owner_demand
demand_of(const listed_owner& o,
          const sharing_view& v,
          std::uint32_t own_items,
          std::uint64_t now)
{
  const auto* report = find_report(v.reports, o.instance, now);
  const auto* history = find_demand(v.reports, o.instance, v.service);
  const auto peak =
    history == nullptr ? std::nullopt : peak_demand(*history, now);
  // An owner that was never heard from has the items that the store lists, or
  // else a step like this one's.
  const auto unheard = o.items > 0 ? o.items : own_items;
  const auto items = peak.value_or(report != nullptr ? 0 : unheard);
  return { o.instance,
           rounded_up(items),
           history == nullptr ? o.weight : history->weight };
}

bool
contains(const std::vector<owner_demand>& owners, const std::string& name)
{
  return std::any_of(owners.begin(), owners.end(), [&](const auto& o) {
    return o.owner == name;
  });
}

// Returns the owners with open batches on the service. The store's list may
// be late: an owner that reports a demand has open batches as well, and in the
// moment in which this owner's step starts, so may one that had a step in the
// last 8 s.
std::vector<owner_demand>
owners_of(const service_sharing& s, const sharing_view& v, std::uint64_t now)
{
  const auto own_items = peak_demand(s.own_demand, now).value_or(0);
  std::vector<owner_demand> owners{
    { std::string{ v.self }, rounded_up(own_items), v.own.weight }
  };
  for (const auto& o : v.owners) {
    if (o.instance != v.self) {
      owners.push_back(demand_of(o, v, own_items, now));
    }
  }
  for (const auto& [instance, by_service] : v.reports.demands) {
    const auto history = by_service.find(v.service);
    if (history == by_service.end() || contains(owners, instance)) {
      continue;
    }
    const auto& h = history->second;
    const bool has_demand =
      h.items > 0 && find_report(v.reports, instance, now) != nullptr;
    const bool had_demand = peak_demand(h, now).value_or(0) > 0;
    if (has_demand || (had_demand && s.is_new_batch_period)) {
      owners.push_back(demand_of({ instance, h.weight }, v, own_items, now));
    }
  }
  std::sort(owners.begin(), owners.end(), [](const auto& a, const auto& b) {
    return a.owner < b.owner;
  });
  return owners;
}

std::uint32_t
runs_on_service(const engine_runs& runs,
                const std::vector<engine_slots>& engines)
{
  std::uint32_t sum = 0;
  auto run = runs.begin();
  for (const auto& e : engines) {
    while (run != runs.end() && run->first < e.id) {
      ++run;
    }
    if (run != runs.end() && run->first == e.id) {
      sum += run->second;
    }
  }
  return sum;
}

// Returns false if the owner's items are all running, as far as that is known.
// After a new batch, a report counts only if it was sent after the other
// owner's step had started as well.
bool
needs_slots(const service_sharing& s,
            const sharing_view& v,
            const std::string& owner,
            std::uint32_t runs,
            std::uint64_t now)
{
  const auto* report = find_report(v.reports, owner, now);
  if (s.is_new_batch_period || report == nullptr) {
    return true;
  }
  const auto* history = find_demand(v.reports, owner, v.service);
  if (history != nullptr && history->items > runs) {
    return true;
  }
  const auto since = s.new_batch_ms;
  if (since == 0 || now >= since + report_wait_ms ||
      report->at_ms >= since + max_report_delay_ms) {
    return false;
  }
  return history == nullptr ||
         history->rose_at_ms + max_report_delay_ms < since;
}

std::vector<other_owner>
others_of(const service_sharing& s, const sharing_view& v, std::uint64_t now)
{
  std::vector<other_owner> others;
  for (std::size_t i = 0; i < s.owners.size(); ++i) {
    const auto& owner = s.owners[i].owner;
    if (owner == v.self) {
      continue;
    }
    other_owner other{ i };
    if (const auto* report = find_report(v.reports, owner, now)) {
      const auto known =
        std::find_if(s.others.begin(), s.others.end(), [&](const auto& o) {
          return o.index == i && o.reported_ms == report->at_ms;
        });
      other.reported_ms = report->at_ms;
      other.runs = known != s.others.end()
                     ? known->runs
                     : runs_on_service(report->runs, s.engines);
    }
    other.needs_slots = needs_slots(s, v, owner, other.runs, now);
    others.push_back(other);
  }
  return others;
}

std::vector<engine_permit>
permits_of(const service_sharing& s, const sharing_view& v, std::uint64_t now)
{
  std::size_t self = 0;
  while (s.owners[self].owner != v.self) {
    ++self;
  }
  std::vector<engine_permit> permits;
  permits.reserve(s.division.size());
  for (const auto& e : s.division) {
    permits.push_back({ e.of.id, e.shares[self], 0, true });
  }
  static const engine_runs no_runs;
  for (const auto& other : s.others) {
    if (!other.needs_slots) {
      continue;
    }
    const auto& name = s.owners[other.index].owner;
    const auto* report = find_report(v.reports, name, now);
    const auto& runs = report == nullptr ? no_runs : report->runs;
    auto run = runs.begin();
    for (std::size_t i = 0; i < permits.size(); ++i) {
      auto& p = permits[i];
      while (run != runs.end() && run->first < p.engine) {
        ++run;
      }
      const auto used =
        run != runs.end() && run->first == p.engine ? run->second : 0;
      const auto share = s.division[i].shares[other.index];
      p.reserved += share > used ? share - used : 0;
      const auto& ranks = s.division[i].ranks;
      p.is_first = p.is_first && ranks[other.index] < ranks[self];
    }
  }
  return permits;
}

const engine_permit*
find_permit(const service_sharing& s, const std::string& engine)
{
  const auto found = std::lower_bound(
    s.permits.begin(), s.permits.end(), engine, [](const auto& p, auto& id) {
      return p.engine < id;
    });
  return found != s.permits.end() && found->engine == engine ? &*found
                                                             : nullptr;
}

} // namespace

std::vector<std::uint32_t>
divide_fairly(std::uint32_t slots, const std::vector<owner_demand>& owners)
{
  std::vector<std::uint32_t> shares(owners.size(), 0);
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    if (owners[i].items > 0) {
      open.push_back(i);
    }
  }
  std::uint64_t left = slots;
  while (!open.empty()) {
    std::uint64_t weights = 0;
    for (const auto i : open) {
      weights += std::max<std::uint32_t>(owners[i].weight, 1);
    }
    // Owners that need no more than their part of what is left are satisfied.
    std::uint64_t taken = 0;
    const auto satisfied = std::erase_if(open, [&](auto i) {
      const auto weight = std::max<std::uint32_t>(owners[i].weight, 1);
      if (owners[i].items * weights > left * weight) {
        return false;
      }
      shares[i] = owners[i].items;
      taken += owners[i].items;
      return true;
    });
    if (satisfied > 0) {
      left -= taken;
      continue;
    }
    // The others share what is left by weight. Cumulative rounding gives away
    // all of it.
    std::uint64_t before = 0;
    std::uint64_t weight = 0;
    for (const auto i : open) {
      weight += std::max<std::uint32_t>(owners[i].weight, 1);
      const auto until = left * weight / weights;
      shares[i] = static_cast<std::uint32_t>(until - before);
      before = until;
    }
    break;
  }
  return shares;
}

// The owners' shares are laid out one after the other, and each engine cuts
// this line at multiples of its own size, shifted by an offset of its own. The
// offsets are spread evenly, by the engine's rank in the order of a hash.
// Rounding up and down therefore cancels out over engines with equally many
// slots, and an engine that only some owners know changes few of the others'
// shares. Rendezvous hashing of each slot would leave the number of slots of an
// owner to chance: with 78 of 234 slots it varies by 7.
std::vector<divided_engine>
divide_engines(const std::vector<engine_slots>& engines,
               const std::vector<owner_demand>& owners)
{
  const auto total = total_slots(engines);
  const auto shares = divide_fairly(static_cast<std::uint32_t>(total), owners);
  const auto ranks = ranks_among_equals(engines);
  std::vector<divided_engine> division;
  division.reserve(engines.size());
  for (std::size_t e = 0; e < engines.size(); ++e) {
    const auto [rank, count] = ranks[e];
    divided_engine d{ engines[e], {}, {} };
    d.shares.reserve(owners.size());
    d.ranks.reserve(owners.size());
    for (const auto& o : owners) {
      d.ranks.push_back(membership::weight_of(o.owner, d.of.id));
    }
    std::uint64_t cumulative = 0;
    std::uint64_t before = 0;
    for (const auto share : shares) {
      cumulative += share;
      // floor(slots * cumulative / total + (rank + 1/2) / count)
      const auto until = total == 0
                           ? 0
                           : (engines[e].slots * cumulative * 2 * count +
                              (2 * rank + 1) * total) /
                               (2 * count * total);
      d.shares.push_back(static_cast<std::uint32_t>(until - before));
      before = until;
    }
    division.push_back(std::move(d));
  }
  return division;
}

slot_shares
shares_of(std::string_view self,
          const std::vector<engine_slots>& engines,
          const std::vector<owner_demand>& owners)
{
  auto sorted = owners;
  std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
    return a.owner < b.owner;
  });
  const auto found = std::find_if(
    sorted.begin(), sorted.end(), [&](auto& o) { return o.owner == self; });
  slot_shares shares;
  if (found == sorted.end()) {
    return shares;
  }
  const auto index = static_cast<std::size_t>(found - sorted.begin());
  for (const auto& e : divide_engines(engines, sorted)) {
    shares[e.of.id] = e.shares[index];
  }
  return shares;
}

// Slots follow the work, so that steps of different lengths take about equally
// long: by priority alone, a step of 160 long texts had as many slots as one of
// 144 short ones, and its longest texts started seconds late. Priority makes a
// step faster by up to a half. Estimates of single texts are rough, so weights
// are rounded to half powers of two, which also keeps the division stable.
std::uint32_t
weight_of_steps(std::uint32_t priority, std::uint64_t work_ms)
{
  constexpr std::array<double, 3> rank_factors{ 1.5, 1.25, 1 };
  const auto rank = std::min<std::size_t>(priority, rank_factors.size() - 1);
  const auto seconds = static_cast<double>(work_ms) / 1000 * rank_factors[rank];
  const auto exponent = std::round(2 * std::log2(std::max(seconds, 1.0))) / 2;
  return static_cast<std::uint32_t>(
    std::min(std::round(std::exp2(exponent)), double{ max_owner_weight }));
}

void
note_new_batch(service_sharing& s, std::uint64_t now_ms)
{
  s.new_batch_ms = now_ms;
  s.withheld_since_ms.clear();
}

bool
update_shares(service_sharing& s, const sharing_view& v, std::uint64_t now_ms)
{
  s.own = v.own;
  s.is_new_batch_period =
    s.new_batch_ms != 0 && now_ms < s.new_batch_ms + new_batch_period_ms;
  record_demand(
    s.own_demand, rounded_up(v.own.running + v.own.waiting), now_ms);
  if (v.own.waiting == 0) {
    s.withheld_since_ms.clear();
  }
  auto owners = owners_of(s, v, now_ms);
  s.is_shared = v.is_needed && owners.size() > 1;
  if (!s.is_shared) {
    s.owners.clear();
    s.others.clear();
    s.division.clear();
    s.permits.clear();
    s.engines.clear();
    s.withheld_since_ms.clear();
    return false;
  }
  const bool new_engines =
    update_engines(s.engines, v.engines, v.service, now_ms);
  const bool is_new_division = new_engines || owners != s.owners;
  if (is_new_division) {
    s.owners = std::move(owners);
    s.division = divide_engines(s.engines, s.owners);
    s.others.clear();
  }
  auto others = others_of(s, v, now_ms);
  if (is_new_division || others != s.others) {
    s.others = std::move(others);
    s.permits = permits_of(s, v, now_ms);
  }
  return is_new_division;
}

bool
may_start_run(service_sharing& s,
              const backends::backend& engine,
              std::uint64_t now_ms)
{
  const auto* p = s.is_shared ? find_permit(s, engine.info.id) : nullptr;
  if (p == nullptr || engine.in_flight < p->own_share) {
    return true;
  }
  const auto since =
    s.withheld_since_ms.try_emplace(engine.info.id, now_ms).first->second;
  if (s.is_new_batch_period) {
    return false;
  }
  const bool has_unclaimed_slot =
    known_runs(engine, now_ms) + p->reserved < engine.info.slots;
  return (has_unclaimed_slot && p->is_first) ||
         now_ms > since + max_withheld_ms;
}

bool
is_share_usable(const service_sharing& s,
                const backends::registry& engines,
                const backends::item_needs& needs,
                std::uint64_t now_ms)
{
  std::uint64_t owned = 0;
  std::uint64_t usable = 0;
  auto known = engines.all.begin();
  for (const auto& p : s.permits) {
    while (known != engines.all.end() && known->first < p.engine) {
      ++known;
    }
    owned += p.own_share;
    if (known != engines.all.end() && known->first == p.engine &&
        backends::is_usable(engines, known->second, needs, now_ms)) {
      usable += p.own_share;
    }
  }
  return usable * 4 >= owned * 3;
}

void
note_run_started(service_sharing& s, const backends::backend& engine)
{
  // A run within the own share leaves the withheld slot free. If it started the
  // time anew, owners with short runs would never use that slot.
  const auto* p = find_permit(s, engine.info.id);
  if (p == nullptr || engine.in_flight >= p->own_share) {
    s.withheld_since_ms.erase(engine.info.id);
  }
  if (s.own.waiting > 0) {
    --s.own.waiting;
    ++s.own.running;
  }
}

void
forget_used_slots(service_sharing& s,
                  const backends::registry& engines,
                  std::uint64_t now_ms)
{
  std::erase_if(s.withheld_since_ms, [&](const auto& e) {
    const auto found = engines.all.find(e.first);
    return found == engines.all.end() ||
           known_runs(found->second, now_ms) >= found->second.info.slots;
  });
}

std::uint32_t
known_runs(const backends::backend& engine, std::uint64_t now_ms)
{
  const auto fresh = [now_ms](std::uint64_t at_ms) {
    return now_ms - at_ms < max_load_age_ms;
  };
  return engine.in_flight +
         (fresh(engine.peer_runs_at_ms) ? engine.peer_runs : 0) +
         (fresh(engine.other_load_at_ms) ? engine.other_load : 0);
}

// At the start of a step, the first answers of engines arrive before the other
// owners' reports. Runs that were counted twice made engines with half of their
// slots free appear full for a second.
void
set_reported_runs(backends::registry& engines,
                  const engine_runs& runs,
                  std::uint64_t now_ms)
{
  for (auto& [id, b] : engines.all) {
    const auto found = runs.find(id);
    const auto reported = found == runs.end() ? 0 : found->second;
    // An answer that arrived after the last report had expired counted all of
    // the other owners' runs.
    const auto before =
      now_ms - b.peer_runs_at_ms < max_load_age_ms ? b.peer_runs : 0;
    const auto added = reported > before ? reported - before : 0;
    b.other_load -= std::min(b.other_load, added);
  }
  backends::set_peer_runs(engines, runs, now_ms);
}

slots_in_use
slots_in_use_of(const service_sharing& s, const backends::registry& engines)
{
  slots_in_use sum;
  for (const auto& p : s.permits) {
    sum.owned += p.own_share;
    const auto found = engines.all.find(p.engine);
    const auto runs = found == engines.all.end() ? 0 : found->second.in_flight;
    sum.borrowed += runs > p.own_share ? runs - p.own_share : 0;
  }
  return sum;
}

demand_by_service
demand_of_runs(const backends::registry& engines, const engine_runs& runs)
{
  demand_by_service demand;
  for (const auto& [id, count] : runs) {
    const auto found = engines.all.find(id);
    if (found != engines.all.end()) {
      demand[found->second.info.service].items += count;
    }
  }
  return demand;
}

} // namespace cactusford::batches
