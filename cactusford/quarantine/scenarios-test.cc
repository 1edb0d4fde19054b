// Seeded simulations of poison requests in a small service whose entries
// receive each other's reports late.
#include "cactusford/quarantine/evidence.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

using namespace cactusford::quarantine;

namespace {

constexpr std::uint64_t start_ms = 1'000'000'000;
constexpr std::uint64_t step_ms = 10;
constexpr std::uint64_t entries = 4;

// Time in which reports must reach all entries. The promise limits the runs of
// a request later than this after its third crash.
constexpr std::uint64_t propagation_ms = 3000;

struct scenario_options
{
  std::size_t poisonous = 1;
  double poisonous_per_s = 1;
  double others_per_s = 6;
  std::size_t servers = 4;
  // Servers restart after this time, plus a random part of up to half of it.
  std::uint64_t down_ms = 3000;
  // Period at which all servers crash together for an unrelated cause; 0:
  // never.
  std::uint64_t rack_every_ms = 0;
  std::uint64_t length_ms = 60000;
};

struct outcome
{
  // Runs of a poison request later than `propagation_ms` after its third crash:
  // the maximum over all poison requests.
  std::size_t late_runs = 0;
  std::size_t crashes = 0;
  // Healthy requests that were refused although a server was up.
  std::size_t others_refused = 0;
  std::size_t others_served = 0;
};

struct server
{
  std::uint64_t up_at_ms = 0;
  std::uint64_t incarnation = 1;
};

struct run
{
  fingerprint work;
  std::size_t server = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t ends_at_ms = 0;
  std::uint64_t hedge_at_ms = 0;
  std::uint32_t runs_left = 0;
  bool is_poisonous = false;
  std::uint64_t entry = 0;
  bool has_run = false;
};

struct report_in_transit
{
  std::uint64_t at_ms = 0;
  report value;
};

class scenario
{
public:
  scenario(std::uint64_t seed, scenario_options o)
    : o_{ o }
    , random_{ seed }
    , servers_(o.servers)
    , poisonous_(o.poisonous)
  {
  }

  outcome play()
  {
    for (; now_ < start_ms + o_.length_ms; now_ += step_ms) {
      deliver_reports();
      send_waiting();
      arrive();
      crash_rack();
      advance_runs();
    }
    return outcome_;
  }

private:
  struct poisonous_state
  {
    std::size_t crashes = 0;
    std::uint64_t third_crash_ms = 0;
    std::size_t late_runs = 0;
  };

  bool occurs(double per_s)
  {
    const auto p = per_s * static_cast<double>(step_ms) / 1000;
    return std::uniform_real_distribution<>{ 0, 1 }(random_) < p;
  }

  std::uint64_t random_between(std::uint64_t a, std::uint64_t b)
  {
    return std::uniform_int_distribution<std::uint64_t>{ a, b }(random_);
  }

  static fingerprint poison_request(std::size_t i)
  {
    return "00000000000000a" + std::to_string(i);
  }

  // Applies the reports that have reached the entries by now.
  void deliver_reports()
  {
    std::erase_if(in_transit_, [&](const report_in_transit& t) {
      if (t.at_ms <= now_) {
        add_report(evidence_, "r" + std::to_string(next_report_++), t.value);
      }
      return t.at_ms <= now_;
    });
  }

  void send_report(report r)
  {
    constexpr std::uint64_t spread_ms = 40;
    in_transit_.push_back({ now_ + spread_ms, std::move(r) });
  }

  void arrive()
  {
    for (std::size_t i = 0; i < o_.poisonous; ++i) {
      if (occurs(o_.poisonous_per_s)) {
        begin(poison_request(i), true);
      }
    }
    if (occurs(o_.others_per_s)) {
      constexpr std::uint64_t kinds = 40;
      begin(
        std::to_string(1'000'000'000'000'000 + random_between(0, kinds - 1)),
        false);
    }
  }

  void begin(const fingerprint& work, bool is_poisonous)
  {
    run r;
    r.work = work;
    r.is_poisonous = is_poisonous;
    constexpr std::uint32_t attempts = 2;
    r.runs_left = attempts;
    r.entry = random_between(0, entries - 1);
    send(r);
  }

  // Retries the runs that wait for a run of the same request at their entry.
  void send_waiting()
  {
    const auto all = std::exchange(pending_, {});
    for (const auto& r : all) {
      send(r);
    }
  }

  bool is_running_at_entry(const run& r) const
  {
    return std::any_of(runs_.begin(), runs_.end(), [&](const run& each) {
      return each.work == r.work && each.entry == r.entry;
    });
  }

  void send(run r)
  {
    const auto v = evaluate(evidence_, r.work, run_kind::call, now_);
    const bool is_suspect = has_crashes(v);
    const bool is_waiting = v.status == request_status::awaiting_trial ||
                            (is_suspect && is_running_at_entry(r));
    if (is_waiting) {
      pending_.push_back(r);
      return;
    }
    // A request that was already suspected when it arrived is not retried after
    // a crash.
    r.runs_left = is_suspect && !r.has_run ? 1 : r.runs_left;
    r.has_run = true;
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].up_at_ms <= now_ && i != r.server - 1) {
        up.push_back(i);
      }
    }
    if (up.empty()) {
      return;
    }
    const bool is_quarantined =
      v.status == request_status::quarantined ||
      (v.status == request_status::on_trial && !claim(r.work));
    if (is_quarantined) {
      outcome_.others_refused += r.is_poisonous ? 0 : 1;
      return;
    }
    const auto at = up[random_between(0, up.size() - 1)];
    r.server = at + 1;
    r.incarnation = servers_[at].incarnation;
    r.ends_at_ms = now_ + (r.is_poisonous ? random_between(50, 120)
                                          : random_between(20, 70));
    constexpr std::uint64_t hedge_ms = 60;
    const bool hedged = !is_suspect && r.runs_left > 1;
    r.hedge_at_ms = hedged ? now_ + hedge_ms : 0;
    --r.runs_left;
    runs_.push_back(r);
    if (r.is_poisonous) {
      auto& g = poisonous_.at(static_cast<std::size_t>(r.work.back() - '0'));
      const bool late =
        g.crashes >= 3 && now_ > g.third_crash_ms + propagation_ms;
      g.late_runs += late ? 1 : 0;
      outcome_.late_runs = std::max(outcome_.late_runs, g.late_runs);
    }
  }

  bool claim(const fingerprint& work)
  {
    report r{ "entry", now_, {}, {}, work };
    add_report(evidence_, "trial" + std::to_string(next_report_++), r);
    return true;
  }

  // `is_detected`: the crash is found by a probe even if nothing runs there.
  void crash_server(std::size_t at, bool is_detected = false)
  {
    auto& s = servers_[at];
    report r{
      "entry-" + std::to_string(random_between(0, entries - 1)), now_, {}, {}
    };
    r.crashes.push_back(
      { "s" + std::to_string(at) + "." + std::to_string(s.incarnation),
        1,
        {} });
    std::vector<run> cut;
    std::erase_if(runs_, [&](const run& each) {
      const bool here =
        each.server == at + 1 && each.incarnation == s.incarnation;
      if (here) {
        r.crashes[0].running.push_back(each.work);
        cut.push_back(each);
      }
      return here;
    });
    s.up_at_ms = now_ + o_.down_ms + random_between(0, o_.down_ms / 2);
    ++s.incarnation;
    if (!cut.empty() || is_detected) {
      send_report(r);
    }
    for (const auto& each : cut) {
      if (each.runs_left > 0) {
        send(each);
      }
    }
  }

  void crash_rack()
  {
    const auto since = now_ - start_ms;
    if (o_.rack_every_ms == 0 || since == 0 || since % o_.rack_every_ms != 0) {
      return;
    }
    // Take all servers down before any of their runs is retried elsewhere.
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].up_at_ms <= now_) {
        up.push_back(i);
        servers_[i].up_at_ms = now_ + o_.down_ms;
      }
    }
    const bool is_detected = !runs_.empty();
    for (const auto i : up) {
      crash_server(i, is_detected);
    }
  }

  void advance_runs()
  {
    const auto all = runs_;
    for (const auto& r : all) {
      const bool alive = servers_[r.server - 1].incarnation == r.incarnation;
      if (!alive) {
        continue;
      }
      if (r.ends_at_ms <= now_ && r.is_poisonous) {
        auto& g = poisonous_.at(static_cast<std::size_t>(r.work.back() - '0'));
        ++g.crashes;
        ++outcome_.crashes;
        g.third_crash_ms = g.crashes == 3 ? now_ : g.third_crash_ms;
        crash_server(r.server - 1);
      } else if (r.ends_at_ms <= now_) {
        ++outcome_.others_served;
        answer(r);
      } else if (r.hedge_at_ms != 0 && r.hedge_at_ms <= now_) {
        hedge(r);
      }
    }
  }

  void answer(const run& r)
  {
    const auto v = evaluate(evidence_, r.work, run_kind::call, now_);
    if (has_crashes(v)) {
      send_report({ "entry", now_, {}, { r.work } });
    }
    std::erase_if(runs_, [&](const run& each) {
      return each.server == r.server && each.incarnation == r.incarnation &&
             each.work == r.work;
    });
  }

  void hedge(const run& r)
  {
    for (auto& each : runs_) {
      if (each.server == r.server && each.incarnation == r.incarnation &&
          each.work == r.work) {
        each.hedge_at_ms = 0;
        each.runs_left = 0;
      }
    }
    auto again = r;
    send(again);
  }

  scenario_options o_;
  std::mt19937_64 random_;
  std::uint64_t now_ = start_ms;
  std::vector<server> servers_;
  std::vector<poisonous_state> poisonous_;
  std::vector<run> runs_;
  std::vector<run> pending_;
  std::vector<report_in_transit> in_transit_;
  evidence evidence_;
  std::uint64_t next_report_ = 0;
  outcome outcome_;
};

struct totals
{
  std::size_t max_late_runs = 0;
  std::size_t seeds_over_limit = 0;
  std::size_t max_crashes_seen = 0;
  std::size_t others_refused = 0;
  std::size_t others_served = 0;
};

totals
play_seeds(const char* name, std::uint64_t seeds, const scenario_options& o)
{
  totals s;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto r = scenario{ seed, o }.play();
    constexpr std::size_t allowed = 3;
    s.max_late_runs = std::max(s.max_late_runs, r.late_runs);
    s.seeds_over_limit += r.late_runs > allowed ? 1 : 0;
    s.max_crashes_seen = std::max(s.max_crashes_seen, r.crashes);
    s.others_refused += r.others_refused;
    s.others_served += r.others_served;
  }
  std::printf(
    "    %s: late runs %zu at most, over in %zu of %lu, crashes %zu at "
    "most, others refused %zu of %zu\n",
    name,
    s.max_late_runs,
    s.seeds_over_limit,
    static_cast<unsigned long>(seeds),
    s.max_crashes_seen,
    s.others_refused,
    s.others_served);
  return s;
}

} // namespace

namespace {

constexpr std::uint64_t seeds = 100;

// Expects that no poison request runs more often than promised and that no
// healthy request is refused.
void
expect_contained(std::size_t poisonous, double per_s)
{
  scenario_options o;
  o.poisonous = poisonous;
  o.poisonous_per_s = per_s;
  const auto name = std::to_string(poisonous) + " poison requests, " +
                    std::to_string(per_s) + "/s";
  const auto s = play_seeds(name.c_str(), seeds, o);
  cr_expect_eq(s.others_refused, 0);
  cr_expect_eq(s.seeds_over_limit, 0);
}

} // namespace

// One, two and four poison requests, rare and frequent, on four servers that
// restart after three seconds, with six healthy calls a second out of forty
// different ones.
Test(quarantine, quarantines_poison_requests)
{
  for (const double per_s : { 0.3, 1.0 }) {
    for (const std::size_t poisonous : { 1U, 2U, 4U }) {
      expect_contained(poisonous, per_s);
    }
  }
  expect_contained(1, 4.0);
  expect_contained(2, 4.0);
}

// Four poison requests arrive four times a second each. They share nearly every
// crash, so each of them explains the crashes of the others.
Test(quarantine, quarantines_four_frequent_poison_requests)
{
  expect_contained(4, 4.0);
}

// All servers crash together every second while a poison request arrives as
// well. Some of its crashes coincide with those of idle servers and count for
// less.
Test(quarantine, finds_a_poison_request_while_servers_crash_every_second)
{
  scenario_options o;
  o.rack_every_ms = 1000;
  o.down_ms = 500;
  o.others_per_s = 30;
  const auto s =
    play_seeds("together every 1000 ms, 1 poison request", seeds, o);
  cr_expect_eq(s.others_refused, 0);
  cr_expect_eq(s.seeds_over_limit, 0);
}

// Either two or more entries sent the same request before the decisive crash
// was known, and it ran four or five times late; or a healthy request met
// crashes of its servers three times in a row and was refused.
Test(quarantine, keeps_the_promise_in_further_scenarios)
{
  const auto play = [](std::initializer_list<std::uint64_t> all,
                       const scenario_options& o) {
    for (const auto seed : all) {
      const auto r = scenario{ seed, o }.play();
      cr_expect_leq(r.late_runs, 3);
      cr_expect_eq(r.others_refused, 0);
    }
  };
  scenario_options o;
  o.poisonous_per_s = 4;
  o.poisonous = 4;
  play({ 1247, 1283, 1359, 1557, 1763, 1765, 1781 }, o);
  o.poisonous = 2;
  play({ 1791 }, o);
  o.poisonous = 4;
  o.poisonous_per_s = 0.3;
  play({ 1177 }, o);
  scenario_options together;
  together.rack_every_ms = 1000;
  together.down_ms = 500;
  together.others_per_s = 30;
  play({ 1061, 1206, 1292, 1482, 1487, 1508, 1578, 1590 }, together);
}

// All servers crash together every second or every four, and a poison request
// crashes some in between. A healthy request loses each of its runs, trials
// included, until it is refused.
Test(quarantine, refuses_no_healthy_request_beside_repeated_rack_failures)
{
  struct play
  {
    std::uint64_t seed = 0;
    std::uint64_t every_ms = 0;
  };
  for (const auto& p : { play{ 337, 1000 },
                         play{ 597, 1000 },
                         play{ 2072, 1000 },
                         play{ 899, 4000 } }) {
    scenario_options o;
    o.rack_every_ms = p.every_ms;
    o.down_ms = p.every_ms / 2;
    o.others_per_s = 30;
    cr_expect_eq(scenario(p.seed, o).play().others_refused, 0);
  }
}

// All servers of the service crash together every few seconds, with thirty
// calls a second, and are down for half of the time.
Test(quarantine, servers_that_crash_together_quarantine_nothing)
{
  for (const std::uint64_t every : { 2000U, 4000U, 10000U }) {
    scenario_options o;
    o.poisonous = 0;
    o.rack_every_ms = every;
    o.down_ms = every / 2;
    o.others_per_s = 30;
    const auto name = "together every " + std::to_string(every) + " ms";
    const auto s = play_seeds(name.c_str(), seeds, o);
    cr_expect_eq(s.others_refused, 0);
    o.poisonous = 1;
    cr_expect_eq(play_seeds((name + ", 1 poison request").c_str(), seeds, o)
                   .seeds_over_limit,
                 0);
  }
}
