// Simulates the loss of a data centre under the items of three owners, without
// network: how many runs move, until when, and whether engines elsewhere get
// more runs than slots because of it.
#include "cactusford/backends/reach_evidence.h"
#include "cactusford/batches/engine_shares.h"
#include "cactusford/batches/schedule.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <vector>

using namespace cactusford;
using namespace cactusford::batches;

namespace {

constexpr std::uint64_t start_ms = 100'000;
constexpr std::uint64_t lost_at_ms = start_ms + 700;
constexpr std::uint32_t slots = 6;
constexpr std::uint64_t gap_ms = 40;

// Engines by data centre, and items by owner. The owners are not in "a", which
// is lost.
constexpr std::array<std::size_t, 3> engine_counts = { 16, 16, 15 };
constexpr std::array<std::uint32_t, 3> item_counts = { 128, 144, 160 };

// From the connect time-out of runs.
constexpr std::uint64_t connect_timeout_ms = 500;

struct sim_item
{
  std::size_t owner = 0;
  std::uint64_t left_ms = 0;
  bool is_running = false;
  bool has_events = false;
  std::uint64_t last_event_ms = 0;
  std::string engine;
};

struct sim_owner
{
  std::string name;
  backends::registry engines;
  peer_engine_usage reports;
  service_sharing sharing;
  // Reports on their way to this owner.
  std::vector<std::pair<std::uint64_t, engine_usage_report>> inbox;
  std::uint64_t next_check_ms = 0;
};

struct outcome
{
  // Runs that left the lost data centre, and when the last one started again.
  std::size_t left = 0;
  std::uint64_t last_moved_ms = 0;
  // Runs that were sent to lost engines after the loss.
  std::size_t sent_to_lost = 0;
  // The sum over engines elsewhere of runs beyond their slots, times time.
  std::uint64_t overload_ms = 0;
  std::uint32_t most_runs = 0;
  std::uint64_t unreachable_ms = 0;
  std::uint64_t completed_ms = 0;
};

class lost_data_centre
{
public:
  lost_data_centre(std::uint64_t seed, bool is_lost, bool is_enabled)
    : random_{ seed }
    , is_lost_{ is_lost }
  {
    for (std::size_t o = 0; o < owners_.size(); ++o) {
      owners_[o].name = "owner" + std::to_string(o);
      listed_.push_back({ owners_[o].name, 1, item_counts[o] });
      set_up(owners_[o], o == 0 ? "b" : "c", is_enabled);
    }
    std::lognormal_distribution<> length{ 6.8, 0.6 };
    for (std::size_t o = 0; o < owners_.size(); ++o) {
      for (std::uint32_t i = 0; i < item_counts[o]; ++i) {
        const auto ms = std::min(length(random_), 5500.0);
        items_.push_back(
          { o, static_cast<std::uint64_t>(ms), false, false, 0, "" });
      }
    }
  }

  outcome play()
  {
    constexpr std::uint64_t step_ms = 10;
    for (now_ = start_ms; result_.completed_ms == 0; now_ += step_ms) {
      cr_assert_lt(now_, start_ms + 60'000, "the items do not end");
      run_engines(step_ms);
      for (auto& o : owners_) {
        receive_reports(o);
        check_runs(o);
        dispatch(o);
      }
      measure(step_ms);
    }
    return result_;
  }

private:
  void set_up(sim_owner& o, const char* own, bool is_enabled)
  {
    auto& t = o.engines.topology;
    t.own = own;
    t.reach.own = own;
    t.reach.is_enabled = is_enabled;
    const std::array<const char*, 3> names{ "a", "b", "c" };
    for (std::size_t d = 0; d < names.size(); ++d) {
      for (std::size_t i = 0; i < engine_counts[d]; ++i) {
        backends::announcement a;
        a.id = std::string{ names[d] } + "-" + std::to_string(i);
        a.service = "s";
        a.data_centre = names[d];
        a.slots = slots;
        a.versions["m"] = 1;
        backends::announce(o.engines, a);
      }
    }
    o.next_check_ms =
      start_ms + std::uniform_int_distribution<std::uint64_t>{ 0, 99 }(random_);
  }

  bool is_lost(const std::string& engine) const
  {
    return is_lost_ && now_ >= lost_at_ms && engine.front() == 'a';
  }

  std::uint32_t runs_on(const std::string& engine) const
  {
    std::uint32_t runs = 0;
    for (const auto& o : owners_) {
      runs += o.engines.all.at(engine).in_flight;
    }
    return runs;
  }

  // Each stream has an event every 40 ms, at times of its own.
  void run_engines(std::uint64_t step_ms)
  {
    bool has_unfinished = false;
    for (std::size_t at = 0; at < items_.size(); ++at) {
      auto& i = items_[at];
      has_unfinished = has_unfinished || i.left_ms > 0;
      if (!i.is_running || is_lost(i.engine)) {
        continue;
      }
      i.left_ms -= std::min(i.left_ms, step_ms);
      auto& o = owners_[i.owner];
      auto& b = o.engines.all.at(i.engine);
      if ((now_ + at * step_ms) % gap_ms == 0 || i.left_ms == 0) {
        const auto runs = runs_on(i.engine);
        if (!i.has_events) {
          backends::note_load(
            b,
            { std::min(runs, slots), runs > slots ? runs - slots : 0, slots },
            now_);
        }
        backends::note_reached(o.engines, b, now_);
        i.has_events = true;
        i.last_event_ms = now_;
      }
      if (i.left_ms == 0) {
        i.is_running = false;
        --b.in_flight;
      }
    }
    if (!has_unfinished) {
      result_.completed_ms = now_ - start_ms;
    }
  }

  void receive_reports(sim_owner& o)
  {
    for (auto& [at_ms, report] : o.inbox) {
      if (at_ms <= now_) {
        record_report(o.reports, report, now_);
      }
    }
    std::erase_if(o.inbox, [this](const auto& r) { return r.first <= now_; });
    set_reported_runs(o.engines, total_runs(o.reports, now_), now_);
  }

  own_use use_of(const sim_owner& o) const
  {
    own_use use;
    for (const auto& i : items_) {
      if (i.left_ms > 0 && &owners_[i.owner] == &o) {
        ++(i.is_running ? use.running : use.waiting);
      }
    }
    return use;
  }

  void report(const sim_owner& o)
  {
    engine_usage_report r;
    r.instance = o.name;
    for (const auto& [id, b] : o.engines.all) {
      if (b.in_flight > 0) {
        r.runs[id] = b.in_flight;
      }
    }
    const auto use = use_of(o);
    r.demand = { { "s", { use.running + use.waiting, 1 } } };
    // Shorter than the interval of reports, so that they arrive in order.
    std::uniform_int_distribution<std::uint64_t> delay{ 0, 90 };
    for (auto& to : owners_) {
      if (&to != &o) {
        to.inbox.emplace_back(now_ + delay(random_), r);
      }
    }
  }

  // As the periodic check of runs, with a report to the other owners.
  void check_runs(sim_owner& o)
  {
    if (now_ < o.next_check_ms) {
      return;
    }
    constexpr std::uint64_t check_interval_ms = 100;
    o.next_check_ms += check_interval_ms;
    for (auto& i : items_) {
      if (i.is_running && &owners_[i.owner] == &o) {
        check_run(o, i);
      }
    }
    report(o);
  }

  void check_run(sim_owner& o, sim_item& i)
  {
    auto& b = o.engines.all.at(i.engine);
    const auto silent_ms = now_ - i.last_event_ms;
    const auto limit =
      i.has_events ? silence_limit_ms(gap_ms) : connect_timeout_ms;
    if (silent_ms <= limit ||
        backends::is_stranded(o.engines, b, i.last_event_ms)) {
      return;
    }
    if (i.has_events) {
      backends::note_silent(o.engines, b, i.last_event_ms, now_);
    } else {
      backends::note_not_connected(
        o.engines, b, { i.last_event_ms, connect_timeout_ms }, now_);
    }
    backends::note_failure(b, now_);
    note_unreachable(o);
    stop(o, i);
  }

  void note_unreachable(sim_owner& o)
  {
    for (const auto& c : data_centres::take_changes(o.engines.topology.reach)) {
      cr_assert_not(c.is_reachable);
      cr_assert_eq(c.data_centre, "a");
      result_.unreachable_ms =
        std::max(result_.unreachable_ms, now_ - lost_at_ms);
    }
  }

  void stop(sim_owner& o, sim_item& i)
  {
    i.is_running = false;
    --o.engines.all.at(i.engine).in_flight;
  }

  void dispatch(sim_owner& o)
  {
    const bool is_divided =
      data_centres::count_unreachable(o.engines.topology.reach) > 0;
    update_shares(o.sharing,
                  { o.name,
                    service_,
                    use_of(o),
                    listed_,
                    o.reports,
                    o.engines,
                    is_divided },
                  now_);
    forget_used_slots(o.sharing, o.engines, now_);
    std::vector<waiting_item> open;
    for (std::size_t at = 0; at < items_.size(); ++at) {
      const auto& i = items_[at];
      const bool is_stranded =
        i.is_running && backends::is_stranded(o.engines,
                                              o.engines.all.at(i.engine),
                                              i.last_event_ms);
      if (&owners_[i.owner] == &o && i.left_ms > 0 &&
          (!i.is_running || is_stranded)) {
        open.push_back({ 0, at, start_ms + 7500, i.left_ms });
      }
    }
    sort_by_slack(open);
    for (const auto& w : open) {
      if (!start(o, items_[w.item])) {
        return;
      }
    }
  }

  bool start(sim_owner& o, sim_item& i)
  {
    backends::item_needs needs;
    needs.service = "s";
    needs.model = "m";
    needs.data_centre = o.engines.topology.own;
    needs.excluded_id = i.is_running ? "" : i.engine;
    if (o.sharing.is_shared) {
      needs.may_use = [&](const auto& engine) {
        return may_start_run(o.sharing, engine, now_);
      };
    }
    auto* b = backends::choose_for_item(o.engines, needs, now_);
    if (b == nullptr) {
      i.engine = i.is_running ? i.engine : "";
      return false;
    }
    if (i.is_running) {
      stop(o, i);
    }
    if (is_lost_ && now_ >= lost_at_ms && !i.engine.empty() &&
        i.engine.front() == 'a') {
      ++result_.left;
      result_.last_moved_ms = now_ - lost_at_ms;
    }
    note_run_started(o.sharing, *b);
    ++b->in_flight;
    i.is_running = true;
    i.has_events = false;
    i.last_event_ms = now_;
    i.engine = b->info.id;
    result_.sent_to_lost += is_lost(i.engine) ? 1 : 0;
    return true;
  }

  void measure(std::uint64_t step_ms)
  {
    if (now_ < lost_at_ms) {
      return;
    }
    for (const auto& [id, b] : owners_[0].engines.all) {
      const auto runs = id.front() == 'a' ? 0 : runs_on(id);
      result_.most_runs = std::max(result_.most_runs, runs);
      result_.overload_ms += runs > slots ? (runs - slots) * step_ms : 0;
    }
  }

  std::mt19937_64 random_;
  bool is_lost_;
  std::uint64_t now_ = start_ms;
  std::string service_ = "s";
  std::vector<listed_owner> listed_;
  std::array<sim_owner, 3> owners_;
  std::vector<sim_item> items_;
  outcome result_;
};

void
print(const char* what, std::uint64_t seed, const outcome& o)
{
  std::printf("    seed %lu %-9s left %zu, the last after %lu ms; sent there "
              "%zu; noticed after %lu ms; most runs %u, overload %lu slot ms; "
              "completed after %lu ms\n",
              seed,
              what,
              o.left,
              o.last_moved_ms,
              o.sent_to_lost,
              o.unreachable_ms,
              o.most_runs,
              o.overload_ms,
              o.completed_ms);
}

} // namespace

// 16 of 47 engines go silent in the same moment under 432 items of three
// owners. Guards against runs that wait for their own time-outs, new runs on
// lost engines, and runs of all owners that crowd on the same engines
// elsewhere.
Test(reachability, three_owners_lose_a_third_of_their_engines)
{
  // The silence limit, a check and the events before it, and the time after
  // which an owner may use slots that are withheld from it.
  constexpr std::uint64_t max_moved_ms = 250 + 100 + gap_ms + 300;
  std::uint64_t overload_off = 0;
  std::uint64_t overload_on = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const auto quiet = lost_data_centre{ seed, false, true }.play();
    const auto off = lost_data_centre{ seed, true, false }.play();
    const auto on = lost_data_centre{ seed, true, true }.play();
    print("quiet", seed, quiet);
    print("disabled", seed, off);
    print("enabled", seed, on);
    cr_assert_eq(quiet.unreachable_ms, 0);
    cr_assert_gt(on.unreachable_ms, 0);
    cr_assert_leq(on.sent_to_lost, off.sent_to_lost);
    cr_assert_leq(on.most_runs, std::max(slots, quiet.most_runs));
    cr_assert_leq(on.overload_ms, quiet.overload_ms);
    cr_assert_leq(on.last_moved_ms, max_moved_ms);
    cr_assert_leq(on.completed_ms, off.completed_ms);
    overload_off += off.overload_ms;
    overload_on += on.overload_ms;
  }
  cr_assert_lt(overload_on * 5, overload_off);
}
