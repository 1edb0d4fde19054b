#include "cactusford/quarantine/evidence.h"

#include "cactusford/quarantine/report.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <random>
#include <set>

using namespace cactusford::quarantine;

namespace {

constexpr std::uint64_t start_ms = 1'000'000'000;
constexpr std::uint64_t second_ms = 1000;
constexpr std::uint64_t minute_ms = 60000;

const fingerprint poison = "00000000000000aa";
const fingerprint healthy = "00000000000000bb";

// Builds a sequence of reports, each under its own name.
struct history
{
  evidence e;
  std::uint64_t now = start_ms;
  int next_report = 0;

  void add(report r)
  {
    r.at_ms = now;
    const auto name = r.reporter + "." + std::to_string(next_report++);
    add_report(e, name, std::move(r));
  }

  // Reports that a backend server crashed a second later while it ran these
  // requests of the reporter.
  void crash_later(const std::string& backend,
                   std::vector<fingerprint> running,
                   const std::string& reporter = "entry-0")
  {
    now += second_ms;
    crash_now(backend, std::move(running), reporter);
  }

  void crash_now(const std::string& backend,
                 std::vector<fingerprint> running,
                 const std::string& reporter = "entry-0")
  {
    add({ reporter, now, { { backend, 1, std::move(running) } }, {} });
  }

  void start_trial(const fingerprint& f) { add({ "entry-0", now, {}, {}, f }); }

  void answer(const fingerprint& f) { add({ "entry-0", now, {}, { f } }); }

  request_status status_of(const fingerprint& f, run_kind kind = run_kind::call)
  {
    return evaluate(e, f, kind, now).status;
  }
};

} // namespace

// A request arrives at three entries, one after the other, and each sees one
// backend server crash. One crash at an entry is not enough to quarantine the
// request, but the reports of all three are.
Test(quarantine, adds_up_reports_of_several_entries)
{
  history s;
  cr_assert(s.status_of(poison) == request_status::clear);
  s.crash_later("a", { poison }, "entry-0");
  s.crash_later("b", { poison }, "entry-1");
  cr_assert(s.status_of(poison) == request_status::suspected);
  s.crash_later("c", { poison }, "entry-2");
  cr_assert(s.status_of(poison) == request_status::quarantined);
  SECTION("a crash that two entries report counts once")
  {
    history t;
    t.crash_later("a", { healthy }, "entry-0");
    t.crash_later("a", { healthy }, "entry-1");
    t.crash_later("b", { healthy }, "entry-0");
    cr_assert(t.status_of(healthy) == request_status::suspected);
    cr_assert_eq(evaluate(t.e, healthy, run_kind::call, t.now).crashes, 2);
  }
}

// Servers crash repeatedly for other causes while they run a healthy request,
// which is answered between the crashes. Crashes before an answer do not count.
Test(quarantine, an_answer_clears_a_request)
{
  history s;
  for (const auto* backend : { "a", "b", "c", "d", "e", "f" }) {
    s.crash_later(backend, { healthy });
    s.now += second_ms;
    s.answer(healthy);
    s.now += second_ms;
    cr_assert(s.status_of(healthy) == request_status::clear);
  }
}

// A poison request and a healthy one run on the same servers and fail together.
// The poison request crashes one more server elsewhere, so all crashes are
// attributed to it and none to the healthy request.
Test(quarantine, a_healthy_request_is_not_blamed)
{
  history s;
  s.crash_later("a", { poison, healthy });
  s.crash_later("b", { poison });
  s.crash_later("c", { poison });
  cr_assert(s.status_of(poison) == request_status::quarantined);
  cr_assert(s.status_of(healthy) == request_status::clear);
  SECTION("nor is one that met an additional unrelated crash")
  {
    history t;
    t.crash_later("a", { poison, healthy });
    t.crash_later("b", { poison, healthy });
    t.crash_later("c", { healthy });
    cr_assert(t.status_of(healthy) == request_status::on_trial);
    t.crash_later("d", { poison });
    t.crash_later("e", { poison });
    cr_assert(t.status_of(poison) == request_status::quarantined);
    cr_assert(t.status_of(healthy) == request_status::on_trial);
  }
  SECTION("if two always ran together, the next crash tells them apart")
  {
    history t;
    for (const auto* backend : { "a", "b", "c" }) {
      t.crash_later(backend, { poison, healthy });
    }
    cr_assert(t.status_of(poison) == request_status::on_trial);
    cr_assert(t.status_of(healthy) == request_status::on_trial);
    t.start_trial(poison);
    t.crash_later("d", { poison });
    cr_assert(t.status_of(poison) == request_status::quarantined);
    cr_assert(t.status_of(healthy) == request_status::on_trial);
    cr_assert_eq(evaluate(t.e, healthy, run_kind::call, t.now).crashes, 0);
  }
  SECTION("if they still ran together, both are quarantined")
  {
    history t;
    for (const auto* backend : { "a", "b", "c" }) {
      t.crash_later(backend, { poison, healthy });
    }
    t.start_trial(poison);
    t.start_trial(healthy);
    t.crash_later("d", { poison, healthy });
    cr_assert(t.status_of(poison) == request_status::quarantined);
    cr_assert(t.status_of(healthy) == request_status::quarantined);
  }
  SECTION("two poison requests are both found")
  {
    history t;
    for (const auto* backend : { "a", "b", "c" }) {
      t.crash_later(backend, { poison });
      t.crash_later(std::string{ backend } + "2", { healthy });
    }
    cr_assert(t.status_of(poison) == request_status::quarantined);
    cr_assert(t.status_of(healthy) == request_status::quarantined);
  }
}

// A rack fails with sixty requests, some of which had a second attempt on
// another server of the same rack. None of them may be quarantined.
Test(quarantine, a_rack_failure_quarantines_nothing)
{
  history s;
  const auto crash_rack = [&s](const std::string& rack, int requests) {
    s.now += second_ms;
    for (int server = 0; server < 40; ++server) {
      std::vector<fingerprint> running;
      for (int i = 0; i < 2; ++i) {
        running.push_back("work-" +
                          std::to_string((server * 2 + i) % requests));
      }
      s.crash_now(rack + std::to_string(server), running);
    }
  };
  crash_rack("a", 60);
  cr_assert(quarantined_calls(s.e, s.now).empty());
  SECTION("nor do repeated failures if an idle server crashes each time")
  {
    history t;
    for (const auto* round : { "a", "b", "c", "d" }) {
      t.crash_later(std::string{ round } + "1", { healthy });
      t.crash_now(std::string{ round } + "2", {});
    }
    cr_assert(t.status_of(healthy) == request_status::clear);
    // Another entry reports that the server was not idle.
    t.crash_now("d2", { poison }, "entry-1");
    cr_assert(t.status_of(healthy) == request_status::on_trial);
  }
  SECTION("a request on three servers of the rack, next to others, counts once")
  {
    history t;
    t.now += second_ms;
    t.crash_now("a", { healthy, "work-1" });
    t.crash_now("b", { "work-2", healthy }, "entry-1");
    t.crash_now("c", { healthy }, "entry-2");
    cr_assert_eq(evaluate(t.e, healthy, run_kind::call, t.now).crashes, 1);
  }
  SECTION("simultaneous crashes with no other request each count")
  {
    history t;
    for (const auto* backend : { "a", "b", "c" }) {
      t.crash_now(backend, { poison });
    }
    cr_assert(t.status_of(poison) == request_status::quarantined);
  }
  SECTION("those of three entries count once, and a trial decides")
  {
    history t;
    t.crash_now("a", { healthy }, "entry-0");
    t.crash_now("b", { healthy }, "entry-1");
    t.crash_now("c", { healthy }, "entry-2");
    cr_assert(t.status_of(healthy) == request_status::on_trial);
  }
}

namespace {

// All servers fail every two seconds; the request runs in every other failure.
// Each run from the third on is a trial that is lost to the failure.
void
lose_runs_to_failures(history& s, const fingerprint& f, int runs)
{
  for (int i = 0; i < runs; ++i) {
    const auto round = std::to_string(s.next_report);
    if (i >= 3) {
      s.start_trial(f);
    }
    s.crash_later("with" + round, { f });
    s.crash_now("idle" + round, {});
    s.crash_later("without" + round, {});
  }
}

} // namespace

// A healthy request was refused for ten minutes: each of its runs, trials
// included, was lost to failures of all servers, which also happened while it
// did not run.
Test(quarantine,
     runs_lost_to_failures_of_all_servers_refuse_no_answered_request)
{
  history s;
  s.crash_later("first", { healthy });
  s.now += second_ms;
  s.answer(healthy);
  lose_runs_to_failures(s, healthy, 8);
  cr_assert(s.status_of(healthy) == request_status::on_trial);
  s.start_trial(healthy);
  s.now += second_ms;
  cr_assert(s.status_of(healthy) == request_status::awaiting_trial);
  SECTION("three trials that are not lost to a failure are still the limit")
  {
    for (int i = 0; i < 3; ++i) {
      s.start_trial(healthy);
    }
    cr_assert(s.status_of(healthy) == request_status::quarantined);
  }
  SECTION("the ninth lost run is the last")
  {
    lose_runs_to_failures(s, healthy, 1);
    cr_assert(s.status_of(healthy) == request_status::quarantined);
    lose_runs_to_failures(s, healthy, 1);
    cr_assert(s.status_of(healthy, run_kind::scorer_call) ==
              request_status::quarantined);
    cr_assert(s.status_of(healthy, run_kind::item) == request_status::paused);
  }
  SECTION("a request that was never answered is quarantined")
  {
    history t;
    lose_runs_to_failures(t, poison, 6);
    cr_assert(t.status_of(poison) == request_status::quarantined);
  }
  SECTION("so is one that also crashed a server by itself")
  {
    history t;
    t.crash_later("first", { poison });
    t.now += second_ms;
    t.answer(poison);
    t.crash_later("alone", { poison });
    lose_runs_to_failures(t, poison, 5);
    cr_assert(t.status_of(poison) == request_status::quarantined);
  }
  SECTION("so is one without which no server fails")
  {
    history t;
    t.crash_later("first", { poison });
    t.now += second_ms;
    t.answer(poison);
    for (const auto* round : { "a", "b", "c", "d", "e", "f" }) {
      t.crash_later(std::string{ round } + "1", { poison });
      t.crash_now(std::string{ round } + "2", {});
    }
    cr_assert(t.status_of(poison) == request_status::quarantined);
  }
}

// Poison requests that are repeatedly sent together explain each other's
// crashes. The number of crashes then decides, because a request that was never
// answered in so many attempts is more likely poison than unlucky.
Test(quarantine, explained_crashes_add_up)
{
  const fingerprint third_poison = "00000000000000cc";
  history s;
  for (const auto* backend : { "a", "b", "c" }) {
    s.crash_later(backend, { poison, third_poison });
  }
  cr_assert(s.status_of(poison) == request_status::on_trial);
  s.start_trial(poison);
  s.crash_later("d", { poison, third_poison });
  cr_assert(s.status_of(poison) == request_status::quarantined);
  SECTION("a request with three explained crashes may still run")
  {
    history t;
    t.crash_later("a", { poison });
    for (const auto* backend : { "b", "c", "d" }) {
      t.crash_later(backend, { poison, healthy });
    }
    const auto v = evaluate(t.e, healthy, run_kind::call, t.now);
    cr_assert(v.status == request_status::on_trial);
    cr_assert_eq(v.explained, 3);
    cr_assert(has_crashes(v), "it must be limited to one run at a time");
    t.start_trial(healthy);
    t.crash_later("e", { poison, healthy });
    cr_assert(t.status_of(healthy) == request_status::quarantined);
  }
  SECTION("one answer clears a request of all crashes")
  {
    s.now += second_ms;
    s.answer(third_poison);
    cr_assert_not(
      has_crashes(evaluate(s.e, third_poison, run_kind::call, s.now)));
  }
}

// All servers crash together each second, and a poison request crashes one in
// between. A report collects crashes for a fifth of a second. Each crash must
// keep its own time: with the time of the report, half of the crashes by the
// poison request would count as part of the rack failure.
Test(quarantine, an_idle_crash_explains_only_simultaneous_crashes)
{
  history s;
  const auto crash_at = [&](const std::string& backend, std::uint64_t at_ms) {
    report r{ "entry-0", s.now, { { backend, 1, { poison }, at_ms } }, {} };
    s.add(r);
  };
  for (const auto* round : { "a", "b", "c" }) {
    s.now += second_ms;
    crash_at(std::string{ round } + "1", s.now - 100);
    s.crash_now(std::string{ round } + "2", {}, "entry-1");
  }
  cr_assert(s.status_of(poison) == request_status::quarantined);
  SECTION("six crashes together with an idle server are also enough")
  {
    history t;
    for (const auto* round : { "a", "b", "c", "d", "e" }) {
      t.crash_later(std::string{ round } + "1", { poison });
      t.crash_now(std::string{ round } + "2", {});
    }
    cr_assert(t.status_of(poison) == request_status::clear);
    t.crash_later("f1", { poison });
    t.crash_now("f2", {});
    cr_assert(t.status_of(poison) == request_status::quarantined);
  }
}

// Guards against an item that is never run again because servers crashed under
// it: its trainer is owed the result.
Test(quarantine, an_item_pauses_after_crashes_and_is_never_refused)
{
  history s;
  for (const auto* backend : { "a", "b", "c", "d" }) {
    s.crash_later(backend, { poison });
  }
  cr_assert(s.status_of(poison) == request_status::quarantined);
  cr_assert(s.status_of(poison, run_kind::item) == request_status::suspected);
  SECTION("the fifth crash delays it")
  {
    s.crash_later("e", { poison });
    cr_assert(s.status_of(poison, run_kind::item) == request_status::paused);
    s.now += s.e.limits.item_pause_ms;
    cr_assert(s.status_of(poison, run_kind::item) == request_status::suspected);
  }
  SECTION("further ones delay it longer, up to the maximum")
  {
    for (int i = 0; i < 20; ++i) {
      s.crash_later("f" + std::to_string(i), { poison });
    }
    s.now += s.e.limits.max_item_pause_ms - 1;
    cr_assert(s.status_of(poison, run_kind::item) == request_status::paused);
    s.now += 1;
    cr_assert(s.status_of(poison, run_kind::item) == request_status::suspected);
  }
  SECTION("a crash dated ahead by another instance does not extend the pause")
  {
    s.now -= 2 * s.e.limits.max_item_pause_ms;
    cr_assert(s.status_of(poison, run_kind::item) == request_status::suspected);
  }
}

// Guards against a sound scorer's call that is not made again for minutes,
// which keeps its item from being listed, and against a poison one that is.
Test(quarantine, a_scorer_call_is_tried_again_after_growing_pauses)
{
  history s;
  for (const auto* backend : { "a", "b", "c" }) {
    s.crash_later(backend, { poison });
  }
  const auto status = [&] {
    return s.status_of(poison, run_kind::scorer_call);
  };
  auto pause_ms = s.e.limits.scorer_pause_ms;
  for (std::uint32_t trial = 0; trial < s.e.limits.max_trials; ++trial) {
    cr_assert(status() == request_status::quarantined);
    s.now += pause_ms - 1;
    cr_assert(status() == request_status::quarantined);
    s.now += 1;
    cr_assert(status() == request_status::on_trial);
    s.start_trial(poison);
    const bool is_last = trial + 1 == s.e.limits.max_trials;
    cr_assert(status() == (is_last ? request_status::quarantined
                                   : request_status::awaiting_trial));
    if (trial == 1) {
      auto answered = s;
      answered.now += 1;
      answered.answer(poison);
      cr_assert(answered.status_of(poison, run_kind::scorer_call) ==
                request_status::clear);
    }
    s.crash_later("t" + std::to_string(trial), { poison });
    pause_ms *= 2;
  }
  s.now += pause_ms;
  cr_assert(status() == request_status::quarantined, "no trials are left");
}

Test(quarantine, expires_in_steps)
{
  history s;
  for (const auto* backend : { "a", "b", "c" }) {
    s.crash_later(backend, { poison });
  }
  const auto v = evaluate(s.e, poison, run_kind::call, s.now);
  cr_assert_eq(v.until_ms, s.now + 10 * minute_ms);
  SECTION("a request is quarantined for ten minutes")
  {
    s.now += 10 * minute_ms - 1;
    cr_assert(s.status_of(poison) == request_status::quarantined);
  }
  SECTION("then one trial may run, and one more crash quarantines it again")
  {
    s.now += 1;
    cr_assert(s.status_of(poison) == request_status::on_trial);
    s.start_trial(poison);
    cr_assert(s.status_of(poison) == request_status::quarantined);
    s.crash_later("d", { poison });
    cr_assert_eq(evaluate(s.e, poison, run_kind::call, s.now).until_ms,
                 s.now + 10 * minute_ms);
  }
  SECTION("an answer clears it")
  {
    s.now += 10 * minute_ms;
    s.answer(poison);
    cr_assert(s.status_of(poison) == request_status::clear);
  }
  SECTION("after an hour all reports have expired")
  {
    s.now += 60 * minute_ms + 1;
    cr_assert_eq(expire_reports(s.e, s.now).size(), 6);
    cr_assert(s.status_of(poison) == request_status::clear);
    cr_assert(s.e.reports.empty());
  }
}

Test(quarantine, holds_a_bounded_number_of_reports)
{
  history s;
  constexpr int many = 5000;
  for (int i = 0; i < many; ++i) {
    s.now += 1;
    s.crash_later("server-" + std::to_string(i),
                  { "work-" + std::to_string(i) });
  }
  cr_assert_eq(s.e.reports.size(), s.e.limits.max_reports);
  SECTION("the oldest reports are dropped first")
  {
    cr_assert(s.status_of("work-0") == request_status::clear);
    cr_assert(s.status_of("work-" + std::to_string(many - 1)) ==
              request_status::suspected);
  }
}

// At full size each of 11,000 backend servers runs requests of some forty
// entries. On an ordinary day 120 servers crash, each is reported by all
// entries with requests there, and every report reaches every entry.
Test(quarantine, costs_little_at_full_size)
{
  constexpr std::size_t entries_per_server = 40;
  constexpr double crashes_per_day = 120;
  constexpr double day_s = 86400;
  constexpr double budget_bytes_per_s = 2048;
  report r{ "entry-dc-a-0001", start_ms, { { "i-7f3a91c2de", 1, {} } }, {} };
  r.crashes[0].running = { poison, healthy };
  const auto bytes = static_cast<double>(encode(r).dump().size());
  const auto bytes_per_s = bytes * entries_per_server * crashes_per_day / day_s;
  std::printf("    %.0f bytes a report, %.1f bytes/s at each entry\n",
              bytes,
              bytes_per_s);
  // One percent of the total control traffic that a node may use.
  cr_assert_lt(bytes_per_s, budget_bytes_per_s / 100);
}

namespace {

struct totals
{
  int healthy_quarantined = 0;
  // Servers that the poison request crashed.
  int crashes = 0;
};

// Simulates ten minutes of a service with 300 different requests in which a
// server crashes every five seconds, 140 times as often as in the whole fleet
// on an ordinary day. Most crashes are unrelated to requests, and some are
// caused by the poison request together with whatever else runs there. A
// certain healthy request runs next to the poison one every second time.
// Requests that failed are sent again, and three in five of them are answered
// each second.
totals
simulate(std::uint64_t seed, const evidence_limits& limits)
{
  std::mt19937_64 random{ seed };
  const auto below = [&](std::uint64_t n) { return random() % n; };
  history s;
  s.e.limits = limits;
  totals t;
  std::set<fingerprint> unanswered;
  constexpr int rounds = 120;
  constexpr int seconds_between = 5;
  for (int i = 0; i < rounds; ++i) {
    std::vector<fingerprint> running;
    for (auto companions = below(4); companions > 0; --companions) {
      running.push_back(std::to_string(1'000'000'000'000'000 + below(300)));
    }
    const auto status = s.status_of(poison);
    if (below(4) == 0 && status != request_status::quarantined) {
      if (status == request_status::on_trial) {
        s.start_trial(poison);
      }
      ++t.crashes;
      running.push_back(poison);
      if (below(2) == 0) {
        running.push_back(healthy);
      }
    }
    s.crash_now("s" + std::to_string(i), running);
    unanswered.insert(running.begin(), running.end());
    unanswered.erase(poison);
    for (const auto& [f, v] : quarantined_calls(s.e, s.now)) {
      t.healthy_quarantined += f != poison ? 1 : 0;
    }
    for (int second = 0; second < seconds_between; ++second) {
      s.now += second_ms;
      std::erase_if(unanswered, [&](const fingerprint& f) {
        const bool answered = below(5) < 3;
        if (answered) {
          s.answer(f);
        }
        return answered;
      });
    }
  }
  return t;
}

} // namespace

// Seeds 1 to 200: the poison request is quarantined after three crashes, or
// four if another request always ran next to it. No healthy request is
// quarantined.
Test(quarantine, finds_only_the_poison_request)
{
  totals all;
  constexpr std::uint64_t seeds = 200;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto t = simulate(seed, {});
    all.healthy_quarantined += t.healthy_quarantined;
    all.crashes = std::max(all.crashes, t.crashes);
  }
  std::printf(
    "    healthy quarantined %d, crashes by the poison request %d at most\n",
    all.healthy_quarantined,
    all.crashes);
  cr_assert_eq(all.healthy_quarantined, 0);
  cr_assert_leq(all.crashes, 4);
}
