// Plays runs of engines that differ in speed, slow down when they fill, and
// fall into trouble, as an owner of batches sees them.
#include "cactusford/backends/run_moves.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <optional>
#include <random>

using namespace cactusford::backends;

namespace {

constexpr std::uint64_t start_ms = 100'000;
constexpr std::uint64_t step_ms = 4000;
constexpr std::uint64_t due_after_ms = 7500;
constexpr std::size_t slots = 6;
constexpr double base_ms = 30;

std::string
engine_id(std::size_t i)
{
  return "engine-" + std::to_string(100 + i);
}

announcement
engine(std::size_t i)
{
  announcement a;
  a.id = engine_id(i);
  a.address = a.id;
  a.service = "drafts";
  a.data_centre = "dc-" + std::to_string(i % 3);
  a.slots = slots;
  a.versions["m"] = 1;
  return a;
}

registry
engines(std::size_t count)
{
  registry r;
  for (std::size_t i = 0; i < count; ++i) {
    announce(r, engine(i));
  }
  r.paces["drafts"].is_uneven = true;
  return r;
}

item_needs
needs()
{
  item_needs n;
  n.service = "drafts";
  n.model = "m";
  n.min_version = 1;
  n.data_centre = "dc-0";
  return n;
}

// The rule before engines' speeds were measured, for comparison.
backend*
choose_by_old_rule(registry& r, const item_needs& n, std::uint64_t now)
{
  std::vector<double> known;
  for (const auto& [id, b] : r.all) {
    if (b.pace_ms > 0 && now - b.pace_at_ms <= 2500) {
      known.push_back(b.pace_ms);
    }
  }
  std::sort(known.begin(), known.end());
  const double typical = known.empty() ? 0 : known[known.size() / 4];
  backend* best = nullptr;
  double best_cost = std::numeric_limits<double>::max();
  for (auto& [id, b] : r.all) {
    const auto load = static_cast<double>(b.in_flight) / slots;
    if (load >= 1 || id == n.excluded_id) {
      continue;
    }
    const bool slow =
      now - b.pace_at_ms <= 2500 && typical > 0 && b.pace_ms > 1.9 * typical;
    double cost =
      load + (slow ? 4 : 0) + (b.info.data_centre == n.data_centre ? 0 : 0.05);
    cost += n.is_connected(b.info.address) ? 0 : 1.2 / slots;
    if (cost < best_cost) {
      best = &b;
      best_cost = cost;
    }
  }
  return best;
}

struct world
{
  std::size_t engine_count = 43;
  std::vector<double> speeds{ 1 };
  // Slowdown of a full engine.
  double when_full = 1.5;
  std::size_t items_per_step = 140;
  std::size_t steps = 6;
  double mean_events = 14;
  // The engine (or all, if there are more) that is slower by a factor, and
  // when.
  std::vector<std::size_t> in_trouble;
  double trouble = 4;
  std::uint64_t trouble_from_ms = 0;
  std::uint64_t trouble_until_ms = 0;
  // The owner does not read for some time in every second, so that events
  // arrive in clumps; and an engine pauses while it reads a prompt.
  std::uint64_t busy_ms = 0;
  double prompt_ms = 20;
  bool server_speeds = true;
  std::uint64_t seed = 1;
};

struct outcome
{
  std::size_t items = 0;
  std::size_t moved_trouble = 0;
  std::size_t moved_late = 0;
  // Runs that left an engine because of trouble that it was not in.
  std::size_t moved_wrongly = 0;
  std::size_t moved_twice = 0;
  // Runs with many events left that are still on an engine in trouble a second
  // after it began.
  std::size_t long_runs_left = 0;
  double mean_ms = 0;
  // Mean number of events of the texts by the speed of their engine.
  std::map<double, double> events_by_speed;
  std::map<double, std::size_t> items_by_speed;
};

class play
{
public:
  explicit play(world w)
    : w_{ std::move(w) }
    , known_{ engines(w_.engine_count) }
    , pause_until_(w_.engine_count)
    , random_{ w_.seed }
  {
    known_.server_speeds = w_.server_speeds;
  }

  outcome run()
  {
    const auto end = start_ms + w_.steps * step_ms;
    for (auto now = start_ms; now < end; ++now) {
      if ((now - start_ms) % step_ms == 0) {
        add_step(now);
      }
      generate(now);
      if (w_.busy_ms == 0 || now % 500 >= w_.busy_ms) {
        read(now);
        dispatch(now);
        if (now % 50 == 0) {
          check(now);
        }
      }
    }
    out_.mean_ms /= static_cast<double>(std::max<std::size_t>(out_.items, 1));
    for (auto& [speed, events] : out_.events_by_speed) {
      events /= static_cast<double>(out_.items_by_speed[speed]);
    }
    return out_;
  }

private:
  struct item
  {
    std::size_t events = 0;
    std::size_t hint = 0;
    std::uint64_t submitted_ms = 0;
    std::optional<std::size_t> on;
    std::size_t generated = 0;
    std::size_t seen = 0;
    double next_ms = 0;
    std::uint64_t last_seen_ms = 0;
    bool has_seen = false;
    gap_window gaps;
    move_history history;
    std::size_t moves = 0;
    std::string excluded;
  };

  double speed_of(std::size_t e) const
  {
    return w_.speeds[e % w_.speeds.size()];
  }

  bool in_trouble(std::size_t e, std::uint64_t now) const
  {
    return now >= start_ms + w_.trouble_from_ms &&
           now < start_ms + w_.trouble_until_ms &&
           std::find(w_.in_trouble.begin(), w_.in_trouble.end(), e) !=
             w_.in_trouble.end();
  }

  double gap(std::size_t e, std::uint64_t now)
  {
    const auto load =
      static_cast<double>(find(known_, engine_id(e))->in_flight) / slots;
    std::lognormal_distribution<> noise{ 0, 0.15 };
    return base_ms * speed_of(e) * (1 + (w_.when_full - 1) * load) *
           (in_trouble(e, now) ? w_.trouble : 1) * noise(random_);
  }

  double remaining(const item& i) const
  {
    const auto hint = static_cast<double>(i.hint);
    const auto seen = static_cast<double>(i.seen);
    return std::max(hint - seen, seen / 2);
  }

  void add_step(std::uint64_t now)
  {
    std::lognormal_distribution<> tail{ -0.25, 0.7 };
    for (std::size_t n = 0; n < w_.items_per_step; ++n) {
      item i;
      const auto length = std::min(tail(random_), 8.0) * w_.mean_events;
      i.events = std::max<std::size_t>(static_cast<std::size_t>(length), 2);
      std::lognormal_distribution<> error{ 0, 0.4 };
      i.hint = static_cast<std::size_t>(static_cast<double>(i.events) *
                                        error(random_));
      i.submitted_ms = now;
      items_.push_back(i);
    }
    std::stable_sort(items_.begin(), items_.end(), [&](auto& a, auto& b) {
      return a.submitted_ms != b.submitted_ms ? a.submitted_ms < b.submitted_ms
                                              : a.hint > b.hint;
    });
  }

  void dispatch(std::uint64_t now)
  {
    for (auto& i : items_) {
      if (i.on) {
        continue;
      }
      auto n = needs();
      n.excluded_id = i.excluded;
      auto* b = choose_for_item(known_, n, now);
      if (b == nullptr) {
        return;
      }
      ++b->in_flight;
      const auto e =
        static_cast<std::size_t>(std::stoul(b->info.id.substr(7))) - 100;
      i.on = e;
      i.has_seen = false;
      i.gaps = {};
      auto& pause = pause_until_[e];
      pause = std::max(pause, static_cast<double>(now)) + w_.prompt_ms;
      i.next_ms = pause + gap(e, now);
      out_.events_by_speed[speed_of(e)] += static_cast<double>(i.events);
      ++out_.items_by_speed[speed_of(e)];
    }
  }

  void generate(std::uint64_t now)
  {
    for (auto& i : items_) {
      if (i.on && i.generated < i.events) {
        const auto pause = pause_until_[*i.on];
        if (i.next_ms < pause && i.generated > 0) {
          i.next_ms += w_.prompt_ms;
        }
        if (i.next_ms <= static_cast<double>(now)) {
          ++i.generated;
          i.next_ms += gap(*i.on, now);
        }
      }
    }
  }

  void read(std::uint64_t now)
  {
    for (auto& i : items_) {
      const auto events = i.generated - i.seen;
      if (!i.on || events == 0) {
        continue;
      }
      auto& b = *find(known_, engine_id(*i.on));
      if (i.has_seen) {
        note_events(known_, b, i.gaps, events, i.last_seen_ms, now);
      }
      i.has_seen = true;
      i.last_seen_ms = now;
      i.seen = i.generated;
    }
    std::erase_if(items_, [&](const item& i) {
      if (i.seen < i.events) {
        return false;
      }
      --find(known_, engine_id(*i.on))->in_flight;
      ++out_.items;
      out_.mean_ms += static_cast<double>(now - i.submitted_ms);
      return true;
    });
  }

  void check(std::uint64_t now)
  {
    for (auto& i : items_) {
      if (!i.on) {
        continue;
      }
      auto& here = *find(known_, engine_id(*i.on));
      const run_outlook run{ remaining(i), i.submitted_ms + due_after_ms };
      const auto cause = cause_to_move(known_, here, run, i.history, now);
      if (cause == move_cause::none) {
        continue;
      }
      auto n = needs();
      n.excluded_id = here.info.id;
      auto* there = choose_for_item(known_, n, now);
      if (there == nullptr ||
          !should_move(known_, here, *there, cause, run, now)) {
        note_kept(known_, here, cause, i.history);
        continue;
      }
      note_move(known_, here, cause, i.history);
      out_.moved_trouble += cause == move_cause::trouble ? 1 : 0;
      out_.moved_late += cause == move_cause::late ? 1 : 0;
      out_.moved_wrongly +=
        cause == move_cause::trouble && !in_trouble(*i.on, now) ? 1 : 0;
      out_.moved_twice += i.moves > 0 ? 1 : 0;
      ++i.moves;
      --here.in_flight;
      i.on.reset();
      i.generated = i.seen;
      i.excluded = here.info.id;
      dispatch(now);
    }
    const auto since = start_ms + w_.trouble_from_ms + 1000;
    if (now == since) {
      for (const auto& i : items_) {
        const bool is_long =
          i.on && i.has_seen && in_trouble(*i.on, now) && i.hint > i.seen + 20;
        out_.long_runs_left += is_long ? 1 : 0;
      }
    }
  }

  world w_;
  registry known_;
  // Until when each engine reads prompts.
  std::vector<double> pause_until_;
  std::vector<item> items_;
  std::mt19937_64 random_;
  outcome out_;
};

void
print(const char* what, const outcome& o)
{
  std::printf("    %s: %zu items, %zu moved from trouble, %zu as late, %.0f "
              "ms\n",
              what,
              o.items,
              o.moved_trouble,
              o.moved_late,
              o.mean_ms);
}

const std::vector<double> three_speeds{ 0.7, 0.7, 1.7 };

// An owner that is busy for a quarter of each half second.
constexpr std::uint64_t busy_ms = 125;

// One engine, whose trouble lasts from shortly after the start of a step to
// its end.
world
with_trouble(std::vector<std::size_t> in_trouble)
{
  world w;
  w.speeds = three_speeds;
  w.items_per_step = 240;
  w.in_trouble = std::move(in_trouble);
  w.trouble_from_ms = 3 * step_ms + 100;
  w.trouble_until_ms = 4 * step_ms;
  return w;
}

// Feeds the streams of all engines with the given gaps, one run on each.
void
feed(registry& r,
     const std::vector<double>& gaps,
     std::uint64_t& now,
     int times)
{
  std::vector<gap_window> windows(gaps.size());
  std::vector<double> next(gaps.size());
  for (std::size_t e = 0; e < gaps.size(); ++e) {
    next[e] = static_cast<double>(now) + gaps[e];
  }
  const auto end = now + static_cast<std::uint64_t>(
                           times * *std::max_element(gaps.begin(), gaps.end()));
  for (; now < end; ++now) {
    for (std::size_t e = 0; e < gaps.size(); ++e) {
      if (gaps[e] > 0 && next[e] <= static_cast<double>(now)) {
        const auto last = static_cast<std::uint64_t>(next[e] - gaps[e]);
        note_events(r, *find(r, engine_id(e)), windows[e], 1, last, now);
        next[e] += gaps[e];
      }
    }
  }
}

} // namespace

// Engines of a service run different models. Compared with the fastest quarter,
// the slow ones lost half of their runs although nothing was wrong.
Test(speed, no_run_leaves_engines_that_are_slow_by_nature_or_load)
{
  for (const auto& speeds :
       { three_speeds, std::vector<double>{ 1, 1, 1.3 } }) {
    for (const std::size_t items : { 140, 240 }) {
      for (const std::uint64_t busy : { std::uint64_t{ 0 }, busy_ms }) {
        for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
          world w;
          w.speeds = speeds;
          w.items_per_step = items;
          w.busy_ms = busy;
          w.seed = seed;
          const auto o = play{ w }.run();
          cr_expect_eq(o.moved_trouble, 0, "%zu items, %lu", items, seed);
          cr_expect_eq(o.moved_late, 0, "%zu items, %lu", items, seed);
        }
      }
    }
  }
}

// Runs spread by load alone, so that long texts on slow engines ended a step.
Test(speed, long_texts_get_the_fast_engines)
{
  world w;
  w.speeds = three_speeds;
  w.items_per_step = 240;
  auto o = play{ w }.run();
  print("by speed", o);
  cr_expect_gt(o.events_by_speed[0.7], 1.3 * o.events_by_speed[1.7]);
  w.server_speeds = false;
  const auto by_load = play{ w }.run();
  print("by load", by_load);
  cr_expect_lt(o.mean_ms, by_load.mean_ms);
}

// An engine becomes three to four times slower for some seconds. Its long runs
// would end too late there; a move of any other run only costs.
Test(speed, runs_leave_an_engine_in_trouble_once)
{
  for (const std::size_t e : { 4, 5 }) {
    for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
      auto w = with_trouble({ e });
      w.seed = seed;
      const auto o = play{ w }.run();
      print("one in trouble", o);
      cr_expect_gt(o.moved_trouble, 0);
      cr_expect_leq(o.moved_trouble, slots);
      cr_expect_eq(o.moved_wrongly, 0);
      cr_expect_eq(o.moved_twice, 0);
      cr_expect_eq(o.long_runs_left, 0);
    }
  }
}

// At peak load a fifth of the engines are in trouble at once. They must not
// change what counts as normal for the others.
Test(speed, runs_leave_a_fifth_of_the_engines)
{
  auto w = with_trouble({ 3, 4, 5, 6, 7, 8, 9, 10 });
  w.trouble = 3.5;
  const auto o = play{ w }.run();
  print("eight in trouble", o);
  cr_expect_gt(o.moved_trouble, 8);
  cr_expect_eq(o.moved_wrongly, 0);
  cr_expect_eq(o.long_runs_left, 0);
}

// All engines become slow at once, for example in a burst. Moves would only add
// prompts to the load.
Test(speed, no_run_moves_when_the_whole_service_is_slow)
{
  auto w = with_trouble({});
  for (std::size_t e = 0; e < w.engine_count; ++e) {
    w.in_trouble.push_back(e);
  }
  for (const std::uint64_t seed : { 1, 2, 3, 4 }) {
    w.seed = seed;
    const auto o = play{ w }.run();
    print("all in trouble", o);
    cr_expect_eq(o.moved_trouble, 0);
  }
}

// The expected pace of a service that is slow for a while follows it and
// returns, also with few streams, without going beyond.
Test(speed, the_base_pace_follows_the_service_within_seconds)
{
  auto r = engines(6);
  std::uint64_t now = start_ms;
  const auto typical = [&] { return typical_gap_ms(r.paces["drafts"]); };
  feed(r, std::vector<double>(6, 40), now, 60);
  cr_expect_float_eq(typical(), 40, 3);
  for (const double gap : { 120, 40 }) {
    for (int i = 0; i < 5; ++i) {
      feed(r, std::vector<double>(6, gap), now, static_cast<int>(1000 / gap));
      cr_expect_eq(servers_in_trouble(r, now), 0);
      cr_expect_lt(typical(), 125);
      cr_expect_gt(typical(), 37);
    }
    cr_expect_float_eq(typical(), gap, gap / 5);
  }
}

// Equal engines get the items that they got before their speed was measured,
// with and without free connections and other owners' runs.
Test(speed, equal_engines_are_chosen_as_before)
{
  auto r = engines(43);
  std::uint64_t now = start_ms;
  std::mt19937_64 random{ 1 };
  std::size_t in_flight = 0;
  feed(r, std::vector<double>(43, 40), now, 100);
  for (int decision = 0; decision < 3000; ++decision) {
    auto n = needs();
    n.data_centre = decision % 2 == 0 ? "dc-1" : "dc-2";
    n.excluded_id = decision % 7 == 0 ? engine_id(random() % 43) : "";
    const auto excluded = std::string{ n.excluded_id };
    n.excluded_id = excluded;
    n.is_connected = [&](const std::string& a) {
      return (std::hash<std::string>{}(a) + decision / 50) % 3 == 0;
    };
    auto* expected = choose_by_old_rule(r, n, now);
    auto* b = choose_for_item(r, n, now);
    cr_assert_eq(b, expected, "decision %d", decision);
    in_flight += b != nullptr ? 1 : 0;
    if (b != nullptr) {
      ++b->in_flight;
    }
    while (in_flight > 150 + random() % 100) {
      auto& other = *find(r, engine_id(random() % 43));
      in_flight -= other.in_flight > 0 ? 1 : 0;
      other.in_flight -= other.in_flight > 0 ? 1 : 0;
    }
    // Equally fast streams whose samples vary.
    const auto e = random() % 43;
    auto& sampled = *find(r, engine_id(e));
    gap_window window;
    note_events(r, sampled, window, 5, now, now + 170 + random() % 61);
    now += 2;
  }
  cr_expect_eq(servers_in_trouble(r, now), 0);
}

// With the mechanism off, measured paces are compared with the fastest quarter
// of the service, as before.
Test(speed, switched_off_decides_as_before)
{
  auto r = engines(43);
  r.paces.clear();
  r.server_speeds = false;
  std::mt19937_64 random{ 1 };
  std::uint64_t now = start_ms;
  std::size_t avoided = 0;
  for (int decision = 0; decision < 3000; ++decision) {
    const auto e = random() % 43;
    gap_window window;
    const auto gap = (e % 3 == 2 ? 100 : 40) + random() % 20;
    note_events(r, *find(r, engine_id(e)), window, 1, now - gap, now);
    auto* expected = choose_by_old_rule(r, needs(), now);
    auto* b = choose_for_item(r, needs(), now);
    cr_assert_eq(b, expected);
    if (b == nullptr || decision % 2 == 0) {
      for (auto& [id, other] : r.all) {
        other.in_flight -= other.in_flight > 0 && random() % 20 == 0 ? 1 : 0;
      }
    }
    if (b != nullptr) {
      ++b->in_flight;
    }
    avoided +=
      is_slow(*find(r, engine_id(e)), typical_pace_ms(r, "drafts", now), now)
        ? 1
        : 0;
    cr_assert(cause_to_move(r, *find(r, engine_id(e)), { 100, 0 }, {}, now) ==
              move_cause::none);
    now += 3;
  }
  cr_expect_gt(avoided, 100);
  cr_expect(r.paces.empty());
}

// A server restarts under its id: its model is the same, its trouble is over.
// One that disappears from the list for a while is the same server as well.
Test(speed, a_factor_outlasts_restarts_and_gaps_in_the_list)
{
  auto r = engines(4);
  std::uint64_t now = start_ms;
  feed(r, { 40, 40, 40, 80 }, now, 60);
  const auto id = engine_id(3);
  const auto factor = find(r, id)->speed.factor;
  cr_expect_gt(factor, 1.8);
  feed(r, { 40, 40, 40, 300 }, now, 5);
  cr_expect(is_in_trouble(r, *find(r, id), now));
  cr_expect_geq(find(r, id)->speed.factor, factor);
  cr_expect_lt(find(r, id)->speed.factor, 1.1 * factor);
  find(r, id)->in_flight = 5;

  auto restarted = r;
  for (auto& [other, b] : restarted.all) {
    b.info.started_ms = 1;
  }
  auto later = engine(3);
  later.started_ms = 2;
  announce(restarted, later);
  const auto& again = *find(restarted, id);
  cr_expect_eq(again.speed.factor, find(r, id)->speed.factor);
  cr_expect_not(is_in_trouble(restarted, again, now));
  cr_expect_eq(again.in_flight, 0);

  const auto measured = find(r, id)->speed.factor;
  withdraw(r, id, now);
  cr_expect_null(find(r, id));
  auto forgotten = r;
  expire(forgotten, now + 600'001);
  announce(forgotten, engine(3));
  cr_expect_not(is_factor_known(find(forgotten, id)->speed));
  announce(r, engine(3));
  cr_expect_eq(find(r, id)->speed.factor, measured);
  cr_expect_not(is_in_trouble(r, *find(r, id), now));
}

// Servers come and go under new ids; what is known of them must not grow
// without bound.
Test(speed, remembers_a_bounded_number_of_servers)
{
  registry r;
  for (std::size_t i = 0; i < 20'010; ++i) {
    announce(r, engine(i));
    find(r, engine_id(i))->speed.samples = 10;
    withdraw(r, engine_id(i), start_ms + i);
  }
  cr_expect_eq(r.past_speeds.size(), 20'000);
  cr_expect_eq(r.past_speeds.count(engine_id(5)), 0);
  cr_expect_eq(r.past_speeds.count(engine_id(20'009)), 1);
}

// A server that replaces another one under a new id has an unknown factor. If
// it were compared with the fast ones, one with a slow model would lose its
// first runs.
Test(speed, a_new_server_is_compared_with_the_slower_quartile)
{
  auto r = engines(9);
  std::uint64_t now = start_ms;
  feed(r, { 40, 40, 40, 40, 40, 40, 100, 100, 100 }, now, 60);
  announce(r, engine(9));
  auto slow = r;
  auto then = now;
  feed(slow, { 40, 40, 40, 40, 40, 40, 100, 100, 100, 100 }, then, 6);
  cr_expect_eq(servers_in_trouble(slow, then), 0);
  feed(r, { 40, 40, 40, 40, 40, 40, 100, 100, 100, 350 }, now, 8);
  cr_expect(is_in_trouble(r, *find(r, engine_id(9)), now));
  cr_expect_eq(servers_in_trouble(r, now), 1);
}

// Guards against a slow model that counts as an engine in trouble for ever: it
// joins fast engines and is slower than they are by more than the limit.
Test(speed, a_new_engine_of_a_slow_model_is_not_in_trouble)
{
  auto r = engines(5);
  std::uint64_t now = start_ms;
  feed(r, { 25, 25, 25, 25 }, now, 60);
  feed(r, { 25, 25, 25, 25, 61 }, now, 60);
  cr_expect_eq(servers_in_trouble(r, now), 0);
  SECTION("it is known as slow, so that long texts leave it")
  {
    const run_outlook late{ 100, now + 5000 };
    const auto& slow = *find(r, engine_id(4));
    cr_expect(cause_to_move(r, slow, late, {}, now) == move_cause::late);
    cr_expect(should_move(
      r, slow, *find(r, engine_id(0)), move_cause::late, late, now));
  }
  SECTION("real trouble is still seen")
  {
    feed(r, { 25, 25, 25, 25, 244 }, now, 8);
    cr_expect(is_in_trouble(r, *find(r, engine_id(4)), now));
  }
}

// Guards against runs that leave an engine because it loads weights: all its
// streams pause once, for about a second, and go on at their usual pace.
Test(speed, a_single_pause_is_no_trouble)
{
  auto r = engines(5);
  std::uint64_t now = start_ms;
  feed(r, { 66, 66, 66, 66, 66 }, now, 60);
  auto& paused = *find(r, engine_id(4));
  std::array<gap_window, 2> windows;
  std::uint64_t last = now;
  now += 900;
  for (int event = 0; event < 40; ++event) {
    for (auto& w : windows) {
      note_events(r, paused, w, 1, last, now);
    }
    cr_assert_not(is_in_trouble(r, paused, now));
    last = now;
    now += 66;
  }
}

// Guards against a change where servers are alike: speeds take effect only once
// the servers of a service were measured to differ.
Test(speed, takes_effect_only_where_servers_differ)
{
  auto r = engines(8);
  r.paces.clear();
  std::uint64_t now = start_ms;
  SECTION("equal servers, one of them in trouble")
  {
    auto equal = r;
    feed(equal, { 40, 41, 42, 40, 39, 40, 41, 42 }, now, 60);
    feed(equal, { 40, 41, 42, 40, 39, 40, 41, 160 }, now, 8);
    cr_expect_null(pace_of(equal, "drafts"));
    cr_expect_eq(servers_in_trouble(equal, now), 0);
    const auto typical = typical_pace_ms(equal, "drafts", now);
    cr_expect(is_slow(*find(equal, engine_id(7)), typical, now));
  }
  SECTION("a third of the servers is faster")
  {
    feed(r, { 40, 40, 40, 40, 40, 30, 30, 30 }, now, 60);
    cr_expect_not_null(pace_of(r, "drafts"));
    cr_expect(has_uneven_service(r));
  }
}

// Without samples, or with stale ones, no engine is in trouble, and a recovered
// one is tried again.
Test(speed, trouble_expires_without_samples)
{
  auto r = engines(5);
  std::uint64_t now = start_ms;
  cr_expect_eq(servers_in_trouble(r, now), 0);
  cr_expect_eq(expected_gap_ms(r, *find(r, engine_id(0)), 0, now), 0);
  feed(r, { 40, 40, 40, 40, 40 }, now, 60);
  feed(r, { 40, 40, 40, 40, 160 }, now, 7);
  cr_expect(is_in_trouble(r, *find(r, engine_id(4)), now));
  cr_expect_not(is_in_trouble(r, *find(r, engine_id(4)), now + 2600));
}

// A move reads the prompt again and opens a connection. Short runs lose more by
// it than they gain.
Test(speed, a_move_must_pay)
{
  cr_expect(move_pays(10, 140, 40));
  cr_expect_not(move_pays(2, 140, 40));
  cr_expect_not(move_pays(100, 48, 40));
  cr_expect(move_pays(100, 68, 40));
}

// A text that turns out long on a slow engine ends after its step is due. It
// moves to a clearly faster engine, but only once, and not if it is in time.
Test(speed, a_long_text_leaves_a_slow_engine_once)
{
  auto r = engines(6);
  std::uint64_t now = start_ms;
  feed(r, { 28, 28, 28, 28, 68, 68 }, now, 60);
  const auto& slow = *find(r, engine_id(4));
  const auto& fast = *find(r, engine_id(0));
  const run_outlook late{ 60, now + 3000 };
  move_history history;
  cr_expect(cause_to_move(r, slow, late, history, now) == move_cause::late);
  cr_expect(should_move(r, slow, fast, move_cause::late, late, now));
  cr_expect_not(
    should_move(r, slow, *find(r, engine_id(5)), move_cause::late, late, now));
  cr_expect(cause_to_move(r, slow, { 20, now + 3000 }, history, now) ==
            move_cause::none);
  cr_expect(cause_to_move(r, fast, { 200, now + 3000 }, history, now) ==
            move_cause::none);
  note_move(r, slow, move_cause::late, history);
  cr_expect(cause_to_move(r, slow, late, history, now) == move_cause::none);
  cr_expect_eq(r.moves.moved_late, 1);
}

// A run that returns to an engine, because all others were full, moves no
// second time in the same period of trouble.
Test(speed, a_run_leaves_a_period_of_trouble_once)
{
  auto r = engines(5);
  std::uint64_t now = start_ms;
  feed(r, { 40, 40, 40, 40, 40 }, now, 60);
  feed(r, { 40, 40, 40, 40, 160 }, now, 7);
  const auto& here = *find(r, engine_id(4));
  const run_outlook run{ 40, now + 7000 };
  move_history history;
  cr_expect(cause_to_move(r, here, run, history, now) == move_cause::trouble);
  note_kept(r, here, move_cause::trouble, history);
  note_kept(r, here, move_cause::trouble, history);
  cr_expect_eq(r.moves.kept_despite_trouble, 1);
  note_move(r, here, move_cause::trouble, history);
  cr_expect(cause_to_move(r, here, run, history, now) == move_cause::none);
}

namespace {

struct call_end
{
  std::uint64_t at_ms = 0;
  std::size_t entry = 0;
  std::size_t server = 0;
  std::uint64_t took_ms = 0;
  double load = 0;
};

// Entries that call plain servers, which slow down beyond their slots. Returns
// the ratio of the busiest server's calls to the mean.
double
busiest_to_mean(std::size_t entries, std::size_t servers)
{
  std::mt19937_64 random{ 1 };
  std::vector<registry> known(entries, engines(servers));
  std::vector<std::size_t> running(servers);
  std::vector<std::size_t> arrivals(servers);
  std::vector<double> speed(servers);
  for (auto& s : speed) {
    s = std::uniform_real_distribution<>{ 0.8, 1.3 }(random);
  }
  std::vector<call_end> calls;
  constexpr std::uint64_t day_ms = 20'000;
  std::exponential_distribution<> gap{ 0.65 * static_cast<double>(entries) /
                                       1000 };
  std::size_t all = 0;
  double at = 0;
  while (at < day_ms) {
    const auto now = start_ms + static_cast<std::uint64_t>(at);
    std::erase_if(calls, [&](const call_end& c) {
      if (c.at_ms > now) {
        return false;
      }
      auto& b = *find(known[c.entry], engine_id(c.server));
      --b.in_flight;
      --running[c.server];
      note_load(b,
                { static_cast<std::uint32_t>(running[c.server]), 0, slots },
                c.at_ms);
      note_success(known[c.entry], b, c.took_ms, c.load);
      return true;
    });
    const auto entry = random() % entries;
    const auto dc = "dc-" + std::to_string(entry % 3);
    auto* b = choose_for_call(known[entry],
                              { "drafts", dc, {} },
                              now,
                              std::generate_canonical<double, 53>(random));
    const auto server =
      static_cast<std::size_t>(std::stoul(b->info.id.substr(7))) - 100;
    ++b->in_flight;
    ++running[server];
    ++arrivals[server];
    ++all;
    const auto queued =
      std::max(1.0, static_cast<double>(running[server]) / slots);
    std::lognormal_distribution<> work{ 0, 0.5 };
    const auto took = static_cast<std::uint64_t>(2 + 22 * speed[server] *
                                                       work(random) * queued);
    calls.push_back({ now + took, entry, server, took, load_of(*b, now) });
    at += gap(random);
  }
  const auto busiest = *std::max_element(arrivals.begin(), arrivals.end());
  return static_cast<double>(busiest * servers) / static_cast<double>(all);
}

} // namespace

// A call that waited at a full server made the server look slow, on top of its
// load. It was then avoided after its load had gone.
Test(speed, the_duration_of_a_call_does_not_count_load_twice)
{
  auto r = engines(2);
  auto& idle = *find(r, engine_id(0));
  auto& full = *find(r, engine_id(1));
  for (int i = 0; i < 10; ++i) {
    note_success(r, idle, 22, 0.5);
    note_success(r, full, 44, 2);
  }
  cr_expect_eq(idle.call_ms, full.call_ms);
  r.server_speeds = false;
  note_success(r, full, 44, 2);
  cr_expect_gt(full.call_ms, idle.call_ms);
}

// Many entries that learn the speed of the same servers must not all prefer the
// same ones. The limit is that of spread-test.cc.
Test(speed, calls_of_many_entries_still_spread)
{
  for (const auto& [entries, servers] :
       { std::pair<std::size_t, std::size_t>{ 30, 6 }, { 1000, 200 } }) {
    const auto ratio = busiest_to_mean(entries, servers);
    std::printf(
      "    %zu entries: busiest %.1f times the mean\n", entries, ratio);
    cr_expect_lt(ratio, 3.0);
  }
}
