#include "cactusford/admission/call_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace cactusford::admission {

namespace {

// An entry with few calls must not wait for its own second call.
constexpr double min_limit = 2;

// Entries learn from refusals, so each may start with a part of the slots.
constexpr double initial_share = 0.25;

constexpr double decrease_factor = 0.67;

// The refusals of a burst arrive within the duration of one or two calls.
constexpr std::uint64_t decrease_interval_ms = 200;

// With at least this share of a server's slots free, the limit rises by one for
// each answer instead of one for `limit` answers.
constexpr double free_share = 0.25;

// Servers restart under the same or another id within about this time of their
// disappearance; longer outages are left to the caller's next attempt.
constexpr std::uint64_t max_wait_for_server_ms = 300;

constexpr double duration_gain = 0.2;

constexpr std::uint64_t rate_interval_ms = 1000;

// Lowest rate at which refused callers are told to return. An entry with few
// calls answers few, but not because servers are full.
constexpr double min_return_rate = 10;

constexpr std::uint64_t min_retry_ms = 100;
constexpr std::uint64_t retry_unit_ms = 10;
// Callers ignore a Retry-After that takes more than this part of the time they
// have left.
constexpr std::uint64_t max_retry_fraction = 3;

constexpr double ms_per_second = 1000;

call_rank
rank_of(const call_demand& d)
{
  return d.is_scorer ? std::numeric_limits<call_rank>::max() : d.urgency;
}

double
weight_of(const call_demand& d)
{
  return std::max<std::uint32_t>(d.weight, 1);
}

double
usual_ms_of(const call_queue& q, const call_demand& d)
{
  return q.usual_ms[d.is_scorer ? 1 : 0];
}

double
limit_of(const call_queue& q)
{
  const auto slots = static_cast<double>(q.slots);
  return std::max(min_limit, std::floor(std::min(q.limit, slots)));
}

// Scorers' calls in flight take no room from callers: a burst of them must not
// delay a caller's call. Callers' calls take room from scorers.
bool
has_room(const call_queue& q, const call_demand& d)
{
  if (q.slots == 0) {
    return false;
  }
  const auto in_flight =
    d.is_scorer ? q.running.size() : q.running.size() - q.running_scorers;
  return static_cast<double>(in_flight) + 1 <= limit_of(q);
}

bool
is_within_maximum(const call_queue& q, const call_demand& d)
{
  const auto found = q.workspaces.find(d.workspace);
  return d.max_running == 0 || found == q.workspaces.end() ||
         found->second.running < d.max_running;
}

// The latest time at which the call can start and be answered in time.
std::uint64_t
latest_start_ms(const call_queue& q, const queued_call& c)
{
  const auto usual =
    static_cast<std::uint64_t>(std::ceil(usual_ms_of(q, c.demand)));
  return c.deadline_ms > usual ? c.deadline_ms - usual : 0;
}

// The last time at which the call may wait.
std::uint64_t
wait_until_ms(const call_queue& q, const queued_call& c)
{
  const auto latest = latest_start_ms(q, c);
  const auto since = std::max(c.arrived_ms, q.without_servers_since_ms);
  return q.slots > 0 ? latest
                     : std::min(latest, since + max_wait_for_server_ms);
}

double
virtual_ms_of(const call_queue& q, const queued_call& c)
{
  const auto found =
    q.virtual_ms.find({ rank_of(c.demand), c.demand.workspace });
  return found == q.virtual_ms.end() ? 0 : found->second;
}

// Order in which calls start, smallest first. The workspace that has used the
// least service time for its weight is served first. Its running calls alone
// would not do: with a limit of two, a workspace of weight four would always
// have the lowest `(running + 1) / weight`.
auto
order_of(const call_queue& q, const queued_call& c)
{
  const auto found = q.workspaces.find(c.demand.workspace);
  const auto running =
    found == q.workspaces.end() ? 0 : double(found->second.running);
  return std::tuple{ rank_of(c.demand),
                     virtual_ms_of(q, c),
                     (running + 1) / weight_of(c.demand),
                     c.deadline_ms,
                     c.id };
}

struct queue_place
{
  // Among all waiting calls and among those of the same workspace, from one.
  std::size_t position = 1;
  std::size_t own = 1;
};

// A call in a turn of its workspace's waiting calls starts in the same turn of
// the others.
queue_place
position_of(const call_queue& q, const queued_call& c)
{
  const auto rank = rank_of(c.demand);
  std::size_t before = 0;
  std::size_t own = 1;
  std::map<std::string, std::pair<std::size_t, double>> others;
  for (const auto& [id, w] : q.waiting) {
    const auto other = rank_of(w.demand);
    if (id == c.id || other > rank) {
      continue;
    }
    if (other < rank) {
      ++before;
    } else if (w.demand.workspace == c.demand.workspace) {
      own += std::pair{ w.deadline_ms, w.id } < std::pair{ c.deadline_ms, c.id }
               ? 1
               : 0;
    } else {
      auto& o = others[w.demand.workspace];
      ++o.first;
      o.second = weight_of(w.demand);
    }
  }
  const auto turns = static_cast<double>(own) / weight_of(c.demand);
  for (const auto& [name, o] : others) {
    const auto in_turns = static_cast<std::size_t>(std::ceil(turns * o.second));
    before += std::min(o.first, in_turns);
  }
  return { before + own, own };
}

// Calls that started together also end together, so a call is expected to start
// at the end of its round and not in the middle of it.
double
expected_wait_ms(const call_queue& q, const queued_call& c, queue_place at)
{
  const auto rounds_of = [](std::size_t calls, double at_once) {
    return std::ceil(static_cast<double>(calls) / at_once);
  };
  const auto rounds = rounds_of(at.position, limit_of(q));
  const auto own_rounds =
    c.demand.max_running > 0 ? rounds_of(at.own, c.demand.max_running) : 0;
  return std::max(rounds, own_rounds) * usual_ms_of(q, c.demand);
}

// Bound on the workspaces whose figures are kept while they have no calls.
constexpr std::size_t max_idle_workspaces = 1024;

void
forget_idle_workspaces(call_queue& q)
{
  if (q.virtual_ms.size() <= max_idle_workspaces &&
      q.workspaces.size() <= max_idle_workspaces) {
    return;
  }
  std::erase_if(q.workspaces, [](const auto& w) {
    return w.second.running + w.second.waiting == 0;
  });
  std::erase_if(q.virtual_ms, [&](const auto& v) {
    return !q.workspaces.contains(v.first.second);
  });
}

void
remove_waiting(call_queue& q, std::uint64_t id)
{
  const auto found = q.waiting.find(id);
  --q.workspaces[found->second.demand.workspace].waiting;
  q.waiting.erase(found);
}

void
refuse(call_queue& q, std::uint64_t id)
{
  ++q.workspaces[q.waiting.at(id).demand.workspace].refused;
  remove_waiting(q, id);
}

// Raises the used time of a workspace that was idle to that of the others.
// Otherwise it would be served alone until it had caught up.
void
raise_virtual_time(call_queue& q, const queued_call& c)
{
  const auto rank = rank_of(c.demand);
  const auto is_same = [&](const queued_call& other) {
    return other.demand.workspace == c.demand.workspace &&
           rank_of(other.demand) == rank;
  };
  const bool is_active =
    std::any_of(q.waiting.begin(),
                q.waiting.end(),
                [&](const auto& e) { return is_same(e.second); }) ||
    std::any_of(q.running.begin(), q.running.end(), [&](const auto& e) {
      return is_same(e.second.call);
    });
  auto& v = q.virtual_ms[{ rank, c.demand.workspace }];
  v = is_active ? v : std::max(v, q.last_virtual_ms[rank]);
}

std::optional<running_call>
remove_running(call_queue& q, std::uint64_t id)
{
  const auto found = q.running.find(id);
  if (found == q.running.end()) {
    return std::nullopt;
  }
  auto r = std::move(found->second);
  q.running.erase(found);
  --q.workspaces[r.call.demand.workspace].running;
  q.running_scorers -= r.call.demand.is_scorer ? 1 : 0;
  return r;
}

void
count_answer(call_queue& q, std::uint64_t now_ms)
{
  if (now_ms >= q.interval_started_ms + rate_interval_ms) {
    q.answered_before = q.answered_in_interval;
    q.answered_in_interval = 0;
    q.interval_started_ms = now_ms;
  }
  ++q.answered_in_interval;
}

// The measured rate. It is kept while all servers are gone.
double
return_rate(const call_queue& q)
{
  const double measured =
    std::max(q.answered_before, q.answered_in_interval) *
    (ms_per_second / static_cast<double>(rate_interval_ms));
  const auto highest = std::max(rate_per_second(q), min_return_rate);
  return std::clamp(measured, min_return_rate, highest);
}

} // namespace

std::string_view
name_of(refusal r) noexcept
{
  switch (r) {
    case refusal::no_room:
      return "no_room";
    case refusal::too_late:
      return "too_late";
    case refusal::no_server:
      return "no_server";
    case refusal::unreachable:
      return "unreachable";
    case refusal::leaving:
      return "leaving";
  }
  return "no_room";
}

void
set_slots(call_queue& q, std::size_t slots, std::uint64_t now_ms)
{
  if (slots == 0 && (q.slots > 0 || q.without_servers_since_ms == 0)) {
    q.without_servers_since_ms = now_ms;
  }
  if (q.limit == 0 && slots > 0) {
    q.limit = std::max(min_limit, initial_share * static_cast<double>(slots));
  }
  q.slots = slots;
}

enqueue_result
enqueue(call_queue& q, queued_call c, std::uint64_t now_ms)
{
  raise_virtual_time(q, c);
  const auto id = c.id;
  auto& added = q.waiting.emplace(id, std::move(c)).first->second;
  ++q.workspaces[added.demand.workspace].waiting;
  enqueue_result result;
  const auto place = position_of(q, added);
  result.position = place.position;
  added.had_room_on_arrival =
    has_room(q, added.demand) && is_within_maximum(q, added.demand);
  if (added.had_room_on_arrival) {
    return result;
  }
  const auto start =
    static_cast<double>(now_ms) + expected_wait_ms(q, added, place);
  if (q.slots > 0 && start > static_cast<double>(latest_start_ms(q, added))) {
    result.refused = refused_call{ id, refusal::too_late };
    refuse(q, id);
    return result;
  }
  // Checked last, as a call that is refused must displace no other one: only
  // one refused call is returned.
  if (q.waiting.size() > q.max_waiting) {
    const auto last = std::max_element(
      q.waiting.begin(), q.waiting.end(), [&](const auto& a, const auto& b) {
        return order_of(q, a.second) < order_of(q, b.second);
      });
    // Within a rank, a call that waits already is not displaced.
    const bool is_displaced =
      rank_of(last->second.demand) > rank_of(added.demand);
    const auto out = is_displaced ? last->first : id;
    result.refused = refused_call{ out, refusal::no_room };
    refuse(q, out);
  }
  return result;
}

std::optional<std::uint64_t>
next_start(call_queue& q, std::uint64_t now_ms)
{
  const queued_call* best = nullptr;
  for (const auto& [id, c] : q.waiting) {
    // A call that has just arrived starts even if it is expected to be late:
    // the estimate may be wrong, and it takes the time of no other call. The
    // clock may have advanced since its arrival.
    const bool is_late =
      !c.had_room_on_arrival && latest_start_ms(q, c) < now_ms;
    if (is_late || !has_room(q, c.demand) || !is_within_maximum(q, c.demand)) {
      continue;
    }
    if (best == nullptr || order_of(q, c) < order_of(q, *best)) {
      best = &c;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const auto c = *best;
  remove_waiting(q, c.id);
  const auto charged = std::max(usual_ms_of(q, c.demand), 1.0);
  const auto rank = rank_of(c.demand);
  auto& used = q.virtual_ms[{ rank, c.demand.workspace }];
  q.last_virtual_ms[rank] = std::max(q.last_virtual_ms[rank], used);
  used += charged / weight_of(c.demand);
  q.running.emplace(c.id, running_call{ c, charged });
  ++q.workspaces[c.demand.workspace].running;
  q.running_scorers += c.demand.is_scorer ? 1 : 0;
  return c.id;
}

std::vector<refused_call>
take_refused(call_queue& q, std::uint64_t now_ms)
{
  std::vector<refused_call> out;
  for (auto& [id, c] : q.waiting) {
    c.had_room_on_arrival = false;
    if (wait_until_ms(q, c) < now_ms) {
      out.push_back(
        { id, q.slots == 0 ? refusal::no_server : refusal::too_late });
    }
  }
  for (const auto& r : out) {
    refuse(q, r.id);
  }
  return out;
}

std::optional<std::uint64_t>
next_refusal_ms(const call_queue& q)
{
  std::optional<std::uint64_t> next;
  for (const auto& [id, c] : q.waiting) {
    const auto at = wait_until_ms(q, c) + 1;
    next = std::min(next.value_or(at), at);
  }
  return next;
}

std::vector<refused_call>
refuse_all(call_queue& q, refusal why)
{
  return refuse_if(q, why, [](std::uint64_t) { return true; });
}

std::vector<refused_call>
refuse_if(call_queue& q,
          refusal why,
          const std::function<bool(std::uint64_t id)>& is_refused)
{
  std::vector<refused_call> out;
  for (const auto& [id, c] : q.waiting) {
    if (is_refused(id)) {
      out.push_back({ id, why });
    }
  }
  for (const auto& r : out) {
    refuse(q, r.id);
  }
  return out;
}

void
on_refusal(call_queue& q, std::uint64_t now_ms)
{
  q.full_at_ms = now_ms;
  if (now_ms >= q.next_decrease_ms) {
    q.limit = std::max(min_limit, limit_of(q) * decrease_factor);
    q.next_decrease_ms = now_ms + decrease_interval_ms;
  }
}

void
on_end(call_queue& q,
       std::uint64_t id,
       std::uint64_t took_ms,
       const backends::reported_load& load,
       std::uint64_t now_ms)
{
  const auto ended = remove_running(q, id);
  if (!ended) {
    return;
  }
  const auto& c = ended->call;
  const auto took = static_cast<double>(took_ms);
  auto& usual = q.usual_ms[c.demand.is_scorer ? 1 : 0];
  usual = usual > 0 ? usual + duration_gain * (took - usual) : took;
  q.virtual_ms[{ rank_of(c.demand), c.demand.workspace }] +=
    (took - ended->charged_ms) / weight_of(c.demand);
  count_answer(q, now_ms);
  forget_idle_workspaces(q);
  if (load.waiting > 0) {
    q.full_at_ms = now_ms;
  } else if (now_ms <= c.deadline_ms) {
    const bool is_free =
      load.slots > 0 && load.running <= (1 - free_share) * load.slots;
    q.limit += is_free ? 1 : 1 / std::max(q.limit, min_limit);
    q.limit =
      std::min(q.limit, std::max(min_limit, static_cast<double>(q.slots)));
  }
}

void
on_cancel(call_queue& q, std::uint64_t id)
{
  if (q.waiting.contains(id)) {
    remove_waiting(q, id);
  } else {
    remove_running(q, id);
  }
}

double
rate_per_second(const call_queue& q)
{
  const auto usual = q.usual_ms[0] > 0 ? q.usual_ms[0] : q.usual_ms[1];
  return usual > 0 ? limit_of(q) * ms_per_second / usual : 0;
}

std::uint64_t
retry_after_ms(call_queue& q, std::uint64_t remaining_ms, std::uint64_t now_ms)
{
  const auto now = static_cast<double>(now_ms);
  const auto spacing = ms_per_second / return_rate(q);
  const auto callers =
    std::count_if(q.waiting.begin(), q.waiting.end(), [](const auto& w) {
      return !w.second.demand.is_scorer;
    });
  const auto backlog = static_cast<double>(callers) * spacing;
  const auto at =
    std::max({ q.next_return_ms, now + backlog, now + double(min_retry_ms) });
  const auto round_up = [](double ms) {
    return static_cast<std::uint64_t>(std::ceil(ms / retry_unit_ms)) *
           retry_unit_ms;
  };
  const auto longest =
    std::max(remaining_ms / max_retry_fraction / retry_unit_ms * retry_unit_ms,
             retry_unit_ms);
  const auto wait = std::min(round_up(at - now), longest);
  // A reservation ends with its return time. One that was shortened must not
  // push later ones further back.
  q.next_return_ms = std::max(
    q.next_return_ms, std::min(at, now + static_cast<double>(wait)) + spacing);
  return wait;
}

bool
is_congested(const call_queue& q, std::uint64_t now_ms)
{
  return !q.waiting.empty() && q.full_at_ms &&
         now_ms < *q.full_at_ms + decrease_interval_ms;
}

std::vector<std::pair<std::string, workspace_calls>>
busiest_workspaces(const call_queue& q, std::size_t count)
{
  std::vector<std::pair<std::string, workspace_calls>> all{
    q.workspaces.begin(), q.workspaces.end()
  };
  std::erase_if(all, [](const auto& w) {
    return w.second.waiting == 0 && w.second.refused == 0;
  });
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return std::pair{ a.second.waiting, a.second.refused } >
           std::pair{ b.second.waiting, b.second.refused };
  });
  all.resize(std::min(all.size(), count));
  return all;
}

} // namespace cactusford::admission
