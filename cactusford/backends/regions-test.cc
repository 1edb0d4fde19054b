// Simulates a deployment of three regions with two data centres each, 30 ms one
// way between regions: which region serves calls and items.
#include "cactusford/backends/registry.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <utility>

using namespace cactusford;
using namespace cactusford::backends;

namespace {

constexpr std::uint64_t start_ms = 100'000;
constexpr std::size_t region_count = 3;
constexpr std::size_t data_centre_count = 6;
constexpr std::uint32_t slots = 6;
constexpr std::uint64_t between_regions_ms = 30;

std::string
data_centre_name(std::size_t i)
{
  return "dc-" + std::to_string(i);
}

// Data centres 0 and 1 are in region 0, 2 and 3 in region 1, and so on.
std::size_t
region_of(std::size_t data_centre)
{
  return data_centre / 2;
}

std::uint64_t
one_way_ms(std::size_t from, std::size_t to)
{
  return region_of(from) == region_of(to) ? 0 : between_regions_ms;
}

// A view of servers that stand in the data centres in turn.
registry
registry_of(std::size_t own, std::size_t servers)
{
  registry r;
  r.topology.own = data_centre_name(own);
  r.topology.distance.is_enabled = true;
  for (std::size_t i = 0; i < data_centre_count; ++i) {
    r.topology.regions[data_centre_name(i)] = std::to_string(region_of(i));
  }
  for (std::size_t i = 0; i < servers; ++i) {
    announcement a;
    a.id = std::to_string(i);
    a.service = "s";
    a.address = a.id;
    a.data_centre = data_centre_name(i % data_centre_count);
    a.slots = slots;
    a.versions["m"] = 1;
    announce(r, a);
  }
  for (std::size_t i = 0; i < data_centre_count; ++i) {
    const auto trip = static_cast<double>(2 * one_way_ms(own, i)) + 0.4;
    data_centres::note_connect(
      r.topology.distance, data_centre_name(i), trip, start_ms);
  }
  return r;
}

std::size_t
server_of(const backend& b)
{
  return std::stoul(b.info.id);
}

// Share of the calls that left their region, by time.
struct call_period
{
  std::size_t calls = 0;
  std::size_t left_region = 0;
  std::uint64_t longest_ms = 0;

  double share_left() const
  {
    return calls == 0
             ? 0
             : static_cast<double>(left_region) / static_cast<double>(calls);
  }
};

class call_simulation
{
public:
  call_simulation()
    : servers_(server_count)
  {
    for (std::size_t i = 0; i < data_centre_count; ++i) {
      entries_.push_back(registry_of(i, server_count));
    }
  }

  // Plays calls of callers in region 0 at this rate, and a few elsewhere.
  call_period play(std::uint64_t for_ms, double calls_per_ms)
  {
    call_period period;
    const auto until = now_ + for_ms;
    for (; now_ < until; ++now_) {
      run_events();
      std::poisson_distribution<> busy{ calls_per_ms };
      for (int i = busy(random_); i > 0; --i) {
        send(random_() % 2, period);
      }
      std::poisson_distribution<> quiet{ 0.1 };
      for (int i = quiet(random_); i > 0; --i) {
        call_period others;
        send(2 + random_() % 4, others);
      }
    }
    period.longest_ms = std::exchange(longest_ms_, 0);
    return period;
  }

private:
  static constexpr std::size_t server_count = 12;
  static constexpr std::uint64_t service_ms = 25;

  struct server
  {
    std::uint32_t running = 0;
    std::deque<std::function<void()>> waiting;
  };

  struct event
  {
    std::uint64_t at_ms = 0;
    std::uint64_t order = 0;
    std::function<void()> run;

    friend bool operator>(const event& a, const event& b)
    {
      return std::pair{ a.at_ms, a.order } > std::pair{ b.at_ms, b.order };
    }
  };

  void later(std::uint64_t ms, std::function<void()> run)
  {
    events_.push({ now_ + ms, ++order_, std::move(run) });
  }

  void run_events()
  {
    while (!events_.empty() && events_.top().at_ms <= now_) {
      const auto next = events_.top();
      events_.pop();
      next.run();
    }
  }

  void send(std::size_t entry, call_period& period)
  {
    auto& known = entries_[entry];
    const call_needs needs{ "s", data_centre_name(entry), {}, [](auto&) {
                             return true;
                           } };
    const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
    auto* b = choose_for_call(known, needs, now_, random);
    const auto at = server_of(*b);
    const auto way = one_way_ms(entry, at % data_centre_count);
    ++period.calls;
    period.left_region += way > 0 ? 1 : 0;
    ++b->in_flight;
    const auto load = load_of(*b, now_);
    const auto sent = now_;
    later(way, [this, entry, at, way, sent, load] {
      arrive(at, [this, entry, at, way, sent, load] {
        const reported_load l{ servers_[at].running,
                               static_cast<std::uint32_t>(
                                 servers_[at].waiting.size()),
                               slots };
        later(way, [this, entry, at, sent, load, l] {
          answer(entry, at, sent, load, l);
        });
      });
    });
  }

  void arrive(std::size_t at, std::function<void()> done)
  {
    auto& s = servers_[at];
    if (s.running == slots) {
      s.waiting.push_back(std::move(done));
      return;
    }
    ++s.running;
    later(service_ms, [this, at, done = std::move(done)] {
      auto& ended = servers_[at];
      --ended.running;
      done();
      if (!ended.waiting.empty()) {
        auto next = std::move(ended.waiting.front());
        ended.waiting.pop_front();
        arrive(at, std::move(next));
      }
    });
  }

  void answer(std::size_t entry,
              std::size_t at,
              std::uint64_t sent,
              double load,
              const reported_load& l)
  {
    auto& known = entries_[entry];
    auto& b = *find(known, std::to_string(at));
    --b.in_flight;
    note_load(b, l, now_);
    const auto took = now_ - sent;
    const auto network = network_ms(known, b, true);
    note_success(known, b, took > network ? took - network : 0, load);
    longest_ms_ = std::max(longest_ms_, took);
  }

  std::vector<registry> entries_;
  std::vector<server> servers_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::mt19937_64 random_{ 1 };
  std::uint64_t now_ = start_ms;
  std::uint64_t order_ = 0;
  std::uint64_t longest_ms_ = 0;
};

} // namespace

// Distance was one constant of 0.05 ms for 30 ms one way: half of the calls of
// a quiet hour crossed regions. Counted the other way, as a bound that no load
// overcomes, calls wait for seconds beside idle regions. Two entries of a
// region that see the same room elsewhere must not fill it at once and leave it
// again.
Test(regions, calls_stay_near_and_overflow_by_expected_wait)
{
  call_simulation s;
  // The four servers of a region answer 0.96 calls a millisecond.
  SECTION("at normal load calls stay in the region")
  {
    const auto p = s.play(5000, 0.4);
    std::printf("    normal: %.3f leave, longest %lu ms\n",
                p.share_left(),
                static_cast<unsigned long>(p.longest_ms));
    cr_assert_lt(p.share_left(), 0.01);
  }
  SECTION("at a quarter more than the region can serve, the rest leaves it")
  {
    s.play(1000, 1.2);
    double least = 1;
    double most = 0;
    std::uint64_t longest = 0;
    for (int i = 0; i < 20; ++i) {
      const auto p = s.play(200, 1.2);
      least = std::min(least, p.share_left());
      most = std::max(most, p.share_left());
      longest = std::max(longest, p.longest_ms);
    }
    std::printf("    full: %.3f to %.3f of 200 ms leave, longest %lu ms\n",
                least,
                most,
                static_cast<unsigned long>(longest));
    cr_assert_gt(least, 0.02);
    cr_assert_lt(most, 0.45);
    cr_assert_lt(longest, 200);
  }
  SECTION("they return when there is room again")
  {
    s.play(500, 0.4);
    const auto p = s.play(2000, 0.4);
    std::printf("    after: %.3f leave\n", p.share_left());
    cr_assert_lt(p.share_left(), 0.01);
  }
}

// A server in another region that needs 25 ms is as fast as a near one. If the
// round trip counted as its own slowness too, calls would go there too late.
Test(regions, distance_is_not_taken_for_slowness)
{
  auto r = registry_of(0, 6);
  auto& near = *find(r, "0");
  auto& far = *find(r, "4");
  for (int i = 0; i < 20; ++i) {
    note_success(r, near, 25, 0);
    note_success(r, far, 85 - network_ms(r, far, true), 0);
  }
  cr_assert_float_eq(near.call_ms, far.call_ms, 0.5);
  cr_assert_eq(network_ms(r, far, true), 60);
  cr_assert_eq(network_ms(r, far, false), 121);
  cr_assert_eq(network_ms(r, near, true), 0);
}

// Opening a connection to another region takes a round trip of 60 ms, but was
// counted as 3 ms.
Test(regions, a_new_connection_costs_a_round_trip)
{
  auto r = registry_of(0, 6);
  for (auto& [id, b] : r.all) {
    note_success(b, 25);
  }
  for (const auto* id : { "0", "1" }) {
    find(r, id)->in_flight = 18;
  }
  call_needs needs{ "s", "dc-0", {}, [](auto& address) {
                     return address != "4";
                   } };
  cr_assert_neq(choose_for_call(r, needs, 0, 0.99)->info.id, "4");
  needs.is_connected = is_never_connected;
  cr_assert_eq(region_of(server_of(*choose_for_call(r, needs, 0, 0.5))),
               0,
               "waiting for 50 ms is shorter than two round trips");
}

namespace {

struct item_shares
{
  // Of all runs of each owner, those in its own region.
  std::vector<double> in_own_region = std::vector<double>(region_count);
  // Likewise, of all runs together.
  double all_in_own_region = 0;
  // Items that found no engine although one had a free slot.
  std::size_t waited_beside_free_slot = 0;
  // Runs that found their engine full.
  std::size_t met_full_engine = 0;
  std::size_t runs = 0;
};

struct item_case
{
  bool has_distances = true;
  // How much later the step of the next owner starts.
  std::uint64_t stagger_ms = 0;
  // How much later an owner hears of the runs of the others.
  std::uint64_t delay_ms = 0;
};

// Three owners in different regions start a step every four seconds.
item_shares
play_items(const item_case& c)
{
  constexpr std::size_t engines = 36;
  constexpr std::uint64_t step_every_ms = 4000;
  constexpr std::uint64_t day_ms = 40'000;
  const std::vector<std::size_t> items{ 144, 80, 160 };
  struct run
  {
    std::uint64_t ends_at_ms = 0;
    std::size_t owner = 0;
    std::string engine;
  };
  std::mt19937_64 random{ 1 };
  std::vector<registry> known;
  for (std::size_t o = 0; o < region_count; ++o) {
    known.push_back(registry_of(2 * o, engines));
    known.back().topology.distance.is_enabled = c.has_distances;
  }
  std::vector<run> running;
  std::deque<std::vector<run>> history;
  std::vector<std::size_t> waiting(region_count);
  std::vector<std::size_t> started(region_count);
  std::vector<std::size_t> started_near(region_count);
  item_shares shares;
  constexpr std::uint64_t tick_ms = 10;
  for (std::uint64_t t = 0; t < day_ms; t += tick_ms) {
    const auto now = start_ms + t;
    std::erase_if(running, [&](const run& r) {
      if (r.ends_at_ms <= now) {
        --find(known[r.owner], r.engine)->in_flight;
      }
      return r.ends_at_ms <= now;
    });
    history.push_back(running);
    if (history.size() > c.delay_ms / tick_ms + 1) {
      history.pop_front();
    }
    for (std::size_t o = 0; o < region_count; ++o) {
      if (t % step_every_ms == o * c.stagger_ms) {
        waiting[o] += items[o];
      }
      const auto& seen = c.delay_ms == 0 ? running : history.front();
      std::map<std::string, std::uint32_t> of_others;
      for (const auto& r : seen) {
        of_others[r.engine] += r.owner != o ? 1 : 0;
      }
      set_peer_runs(known[o], of_others, now);
      item_needs needs{ "s", "m", 1, 0, {}, data_centre_name(2 * o) };
      needs.expected_run_ms = 900;
      while (waiting[o] > 0) {
        auto* b = choose_for_item(known[o], needs, now);
        std::map<std::string, std::uint32_t> runs;
        for (const auto& r : running) {
          ++runs[r.engine];
        }
        if (b == nullptr) {
          const bool has_free_slot =
            std::any_of(known[o].all.begin(),
                        known[o].all.end(),
                        [&](const auto& e) { return runs[e.first] < slots; });
          shares.waited_beside_free_slot += has_free_slot ? 1 : 0;
          break;
        }
        shares.met_full_engine += runs[b->info.id] >= slots ? 1 : 0;
        --waiting[o];
        ++b->in_flight;
        ++started[o];
        started_near[o] +=
          region_of(server_of(*b) % data_centre_count) == o ? 1 : 0;
        const auto lasts =
          std::uniform_int_distribution<std::uint64_t>{ 300, 1500 }(random);
        running.push_back({ now + lasts, o, b->info.id });
      }
    }
  }
  for (std::size_t o = 0; o < region_count; ++o) {
    shares.in_own_region[o] =
      static_cast<double>(started_near[o]) / static_cast<double>(started[o]);
    shares.runs += started[o];
    shares.all_in_own_region += static_cast<double>(started_near[o]);
  }
  shares.all_in_own_region /= static_cast<double>(shares.runs);
  return shares;
}

} // namespace

// Each owner chose the least loaded of all engines, two thirds of which stand
// in other regions: the texts of two items in three crossed regions. Items must
// not wait for a near engine either while any other has a free slot, so runs
// leave a region as long as steps are larger than its 72 slots.
Test(regions, items_stay_near_and_go_over_before_they_wait)
{
  const auto play = [](const char* name, const item_case& c) {
    const auto s = play_items(c);
    std::printf("    %s, in the own region: %.2f, %.2f, %.2f; %zu of %zu runs "
                "met a full engine\n",
                name,
                s.in_own_region[0],
                s.in_own_region[1],
                s.in_own_region[2],
                s.met_full_engine,
                s.runs);
    return s;
  };
  SECTION("steps that start one after the other")
  {
    const auto before = play("without distances", { false, 1300, 0 });
    const auto s = play("with distances", { true, 1300, 0 });
    cr_assert_eq(s.waited_beside_free_slot, 0);
    for (std::size_t o = 0; o < region_count; ++o) {
      cr_assert_gt(s.in_own_region[o], before.in_own_region[o] + 0.1);
    }
  }
  SECTION("steps that start together fill all engines")
  {
    const auto s = play("with distances", { true, 0, 0 });
    cr_assert_eq(s.waited_beside_free_slot, 0);
    cr_assert_gt(s.all_in_own_region, 0.4, "equally spread they are 0.33");
  }
  SECTION("owners that hear of each other's runs after 130 ms")
  {
    const auto before = play("without distances", { false, 1300, 130 });
    const auto s = play("with distances", { true, 1300, 130 });
    cr_assert_gt(s.all_in_own_region, before.all_in_own_region + 0.1);
    for (std::size_t o = 0; o < region_count; ++o) {
      cr_assert_gt(s.in_own_region[o], before.in_own_region[o] + 0.05);
    }
    cr_assert_leq(s.met_full_engine, before.met_full_engine);
  }
}

// An engine in trouble is not worth the bytes that it saves.
Test(regions, items_leave_the_region_of_a_slow_engine)
{
  auto r = registry_of(0, 6);
  const item_needs needs{ "s", "m", 1, 0, {}, "dc-0" };
  cr_assert_eq(region_of(server_of(*choose_for_item(r, needs, 0))), 0);
  for (auto& [id, b] : r.all) {
    const bool is_near = region_of(server_of(b)) == 0;
    note_pace(b, is_near ? 100 : 20, start_ms);
  }
  cr_assert_neq(region_of(server_of(*choose_for_item(r, needs, start_ms))), 0);
}

// Where distances are not in force, or there is one region, every choice must
// be as before: the cost is that of `far_penalty`, whatever was measured.
Test(regions, choices_without_distances_are_as_before)
{
  std::mt19937_64 random{ 7 };
  auto measured = registry_of(0, 12);
  measured.topology.distance.is_enabled = false;
  auto plain = measured;
  plain.topology = {};
  const auto is_connected = [](const std::string& a) {
    return a.size() == 1 && a[0] % 2 == 0;
  };
  for (int i = 0; i < 2000; ++i) {
    const auto id = std::to_string(random() % 12);
    const auto took = 10 + random() % 60;
    for (auto* r : { &measured, &plain }) {
      auto& b = *find(*r, id);
      b.in_flight = static_cast<std::uint32_t>((took + i) % 8);
      note_success(*r, b, took - network_ms(*r, b, false), 0);
    }
    const auto at = std::uniform_real_distribution<>{ 0, 1 }(random);
    const call_needs call{ "s", "dc-0", {}, is_connected };
    const item_needs item{ "s", "m", 1, 0, {}, "dc-0", is_connected };
    const auto* a = choose_for_call(measured, call, start_ms, at);
    const auto* b = choose_for_call(plain, call, start_ms, at);
    cr_assert_eq(a->info.id, b->info.id);
    const auto* c = choose_for_item(measured, item, start_ms);
    const auto* d = choose_for_item(plain, item, start_ms);
    cr_assert_eq(c == nullptr ? "" : c->info.id,
                 d == nullptr ? "" : d->info.id);
  }
}

// The choices in a deployment of one region, recorded before distances and
// homes existed (c28baac).
Test(regions, choices_in_one_region_are_those_recorded_before)
{
  constexpr std::uint64_t recorded = 1252399014897718470U;
  std::mt19937_64 random{ 7 };
  registry r;
  r.topology.own = "dc-0";
  for (std::size_t i = 0; i < 3; ++i) {
    r.topology.regions[data_centre_name(i)] = "one";
  }
  for (std::size_t i = 0; i < 12; ++i) {
    announcement a;
    a.id = std::to_string(i);
    a.service = "s";
    a.address = a.id;
    a.data_centre = data_centre_name(i % 3);
    a.slots = slots;
    a.versions["m"] = 1;
    announce(r, a);
  }
  const auto is_connected = [](const std::string& a) {
    return a.size() == 1 && a[0] % 2 == 0;
  };
  // FNV-1a over the ids of the chosen servers.
  std::uint64_t digest = 14695981039346656037U;
  const auto add = [&](const backend* b) {
    for (const char c : (b == nullptr ? "-" : b->info.id) + ";") {
      digest = (digest ^ static_cast<unsigned char>(c)) * 1099511628211U;
    }
  };
  for (std::uint64_t i = 0; i < 2000; ++i) {
    auto& b = *find(r, std::to_string(random() % 12));
    b.in_flight = static_cast<std::uint32_t>(random() % 8);
    note_success(r, b, 10 + random() % 60, 0);
    note_pace(b, 20.0 + static_cast<double>(random() % 60), start_ms + i);
    const auto at = static_cast<double>(random() % 1000) / 1000;
    const call_needs call{ "s", "dc-0", {}, is_connected };
    const item_needs item{ "s", "m", 1, 0, {}, "dc-0", is_connected };
    add(choose_for_call(r, call, start_ms + i, at));
    add(choose_for_item(r, item, start_ms + i));
  }
  cr_assert_eq(digest, recorded);
}
