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

const fingerprint poisonous = "00000000000000aa";
const fingerprint bystander = "00000000000000bb";

// Each instance reports once a moment.
struct story
{
  evidence e;
  std::uint64_t now = start_ms;
  int next = 0;

  void add(report r)
  {
    r.at_ms = now;
    add_report(e, r.reporter + "." + std::to_string(next++), std::move(r));
  }

  // A second later a backend server ends; an instance was running these there.
  void end(const std::string& backend,
           std::vector<fingerprint> running,
           const std::string& reporter = "entry-0")
  {
    now += second_ms;
    end_now(backend, std::move(running), reporter);
  }

  void end_now(const std::string& backend,
               std::vector<fingerprint> running,
               const std::string& reporter = "entry-0")
  {
    add({ reporter, now, { { backend, 1, std::move(running) } }, {} });
  }

  void try_again(const fingerprint& f) { add({ "entry-0", now, {}, {}, f }); }

  void answer(const fingerprint& f) { add({ "entry-0", now, {}, { f } }); }

  request_status of(const fingerprint& f, run_kind kind = run_kind::call)
  {
    return evaluate(e, f, kind, now).status;
  }
};

} // namespace

// A request arrives at three entries, one after the other, and each sees one
// backend server end under it. None of them has seen enough; together they
// have.
Test(quarantine, adds_up_what_entries_have_seen_once_each)
{
  story s;
  cr_assert(s.of(poisonous) == request_status::clear);
  s.end("a", { poisonous }, "entry-0");
  s.end("b", { poisonous }, "entry-1");
  cr_assert(s.of(poisonous) == request_status::suspected);
  s.end("c", { poisonous }, "entry-2");
  cr_assert(s.of(poisonous) == request_status::quarantined);
  SECTION("a life that two entries saw end has ended once")
  {
    story t;
    t.end("a", { bystander }, "entry-0");
    t.end("a", { bystander }, "entry-1");
    t.end("b", { bystander }, "entry-0");
    cr_assert(t.of(bystander) == request_status::suspected);
    cr_assert_eq(evaluate(t.e, bystander, run_kind::call, t.now).crashes, 2);
  }
}

// Servers crash under a healthy request again and again, for causes of their
// own; between the crashes it is answered. What happened before an answer is
// not held against it.
Test(quarantine, an_answer_clears)
{
  story s;
  for (const auto* backend : { "a", "b", "c", "d", "e", "f" }) {
    s.end(backend, { bystander });
    s.now += second_ms;
    s.answer(bystander);
    s.now += second_ms;
    cr_assert(s.of(bystander) == request_status::clear);
  }
}

// The poisonous request and a healthy one run on the same servers, and both die
// there, time and again. The poisonous one ends one more server elsewhere: that
// explains all ends, and nothing is left against the other.
Test(quarantine, a_bystander_is_not_blamed)
{
  story s;
  s.end("a", { poisonous, bystander });
  s.end("b", { poisonous });
  s.end("c", { poisonous });
  cr_assert(s.of(poisonous) == request_status::quarantined);
  cr_assert(s.of(bystander) == request_status::clear);
  SECTION("nor one that died once more by chance")
  {
    story t;
    t.end("a", { poisonous, bystander });
    t.end("b", { poisonous, bystander });
    t.end("c", { bystander });
    cr_assert(t.of(bystander) == request_status::suspected);
    t.end("d", { poisonous });
    t.end("e", { poisonous });
    cr_assert(t.of(poisonous) == request_status::quarantined);
    cr_assert(t.of(bystander) == request_status::suspected);
  }
  SECTION("two that always ran together: the next end tells")
  {
    story t;
    for (const auto* backend : { "a", "b", "c" }) {
      t.end(backend, { poisonous, bystander });
    }
    cr_assert(t.of(poisonous) == request_status::suspected);
    cr_assert(t.of(bystander) == request_status::suspected);
    t.end("d", { poisonous });
    cr_assert(t.of(poisonous) == request_status::quarantined);
    cr_assert(t.of(bystander) == request_status::clear);
  }
  SECTION("or shows that both are kept out, rather than neither for ever")
  {
    story t;
    for (const auto* backend : { "a", "b", "c", "d" }) {
      t.end(backend, { poisonous, bystander });
    }
    cr_assert(t.of(poisonous) == request_status::quarantined);
    cr_assert(t.of(bystander) == request_status::quarantined);
  }
  SECTION("two poisonous ones are both found")
  {
    story t;
    for (const auto* backend : { "a", "b", "c" }) {
      t.end(backend, { poisonous });
      t.end(std::string{ backend } + "2", { bystander });
    }
    cr_assert(t.of(poisonous) == request_status::quarantined);
    cr_assert(t.of(bystander) == request_status::quarantined);
  }
}

// A rack goes down with sixty requests, of which some had a second attempt on
// another server of it. None of them is kept out.
Test(quarantine, a_rack_that_ends_keeps_nobody_out)
{
  story s;
  const auto end_rack = [&s](const std::string& rack, int works) {
    s.now += second_ms;
    for (int server = 0; server < 40; ++server) {
      std::vector<fingerprint> running;
      for (int i = 0; i < 2; ++i) {
        running.push_back("work-" + std::to_string((server * 2 + i) % works));
      }
      s.end_now(rack + std::to_string(server), running);
    }
  };
  end_rack("a", 60);
  cr_assert(quarantined_calls(s.e, s.now).empty());
  SECTION("nor does one that comes again and again, if an idle server shows it")
  {
    story t;
    for (const auto* round : { "a", "b", "c", "d" }) {
      t.end(std::string{ round } + "1", { bystander });
      t.end_now(std::string{ round } + "2", {});
    }
    cr_assert(t.of(bystander) == request_status::clear);
    // Another entry tells that it was not idle.
    t.end_now("d2", { poisonous }, "entry-1");
    cr_assert(t.of(bystander) == request_status::suspected);
  }
  SECTION("nor a request that ran on three of its servers, beside others")
  {
    story t;
    t.now += second_ms;
    t.end_now("a", { bystander, "work-1" });
    t.end_now("b", { "work-2", bystander }, "entry-1");
    t.end_now("c", { bystander }, "entry-2");
    cr_assert_eq(evaluate(t.e, bystander, run_kind::call, t.now).crashes, 1);
  }
  SECTION("ends of one request alone count each, however close")
  {
    story t;
    for (const auto* backend : { "a", "b", "c" }) {
      t.end_now(backend, { poisonous });
    }
    cr_assert(t.of(poisonous) == request_status::quarantined);
  }
}

// Three requests that each end every server are sent side by side again and
// again: to any of them the two others explain all its ends. Their number
// decides then, as a request that was never answered in so many tries is more
// likely poisonous than unlucky.
Test(quarantine, ends_that_others_explain_add_up)
{
  const fingerprint third = "00000000000000cc";
  story s;
  for (const auto* backend : { "a", "b", "c", "d" }) {
    s.end(backend, { poisonous, third });
  }
  cr_assert(s.of(poisonous) == request_status::quarantined);
  SECTION("one that was beside them three times may run")
  {
    story t;
    t.end("a", { poisonous });
    for (const auto* backend : { "b", "c", "d" }) {
      t.end(backend, { poisonous, bystander });
    }
    const auto v = evaluate(t.e, bystander, run_kind::call, t.now);
    cr_assert(v.status == request_status::clear);
    cr_assert_eq(v.explained, 3);
    cr_assert(has_crashes(v), "one run at a time");
    t.end("e", { poisonous, bystander });
    cr_assert(t.of(bystander) == request_status::quarantined);
  }
  SECTION("one answer clears it of all")
  {
    s.now += second_ms;
    s.answer(third);
    cr_assert_not(has_crashes(evaluate(s.e, third, run_kind::call, s.now)));
  }
}

// All servers go down together each second, and a poisonous request ends one in
// between. Reports gather for a fifth of a second; each end keeps the time at
// which it was seen, or half of the poisonous one's would count as the rack's.
Test(quarantine, an_idle_server_explains_only_what_ended_with_it)
{
  story s;
  const auto end_at = [&](const std::string& backend, std::uint64_t at_ms) {
    report r{ "entry-0", s.now, { { backend, 1, { poisonous }, at_ms } }, {} };
    s.add(r);
  };
  for (const auto* round : { "a", "b", "c" }) {
    s.now += second_ms;
    end_at(std::string{ round } + "1", s.now - 100);
    s.end_now(std::string{ round } + "2", {}, "entry-1");
  }
  cr_assert(s.of(poisonous) == request_status::quarantined);
  SECTION("six that ended with it are enough too")
  {
    story t;
    for (const auto* round : { "a", "b", "c", "d", "e" }) {
      t.end(std::string{ round } + "1", { poisonous });
      t.end_now(std::string{ round } + "2", {});
    }
    cr_assert(t.of(poisonous) == request_status::clear);
    t.end("f1", { poisonous });
    t.end_now("f2", {});
    cr_assert(t.of(poisonous) == request_status::quarantined);
  }
}

Test(quarantine, an_item_needs_more_ends_than_a_call)
{
  story s;
  for (const auto* backend : { "a", "b", "c", "d" }) {
    s.end(backend, { poisonous });
  }
  cr_assert(s.of(poisonous) == request_status::quarantined);
  cr_assert(s.of(poisonous, run_kind::item) == request_status::suspected);
  s.end("e", { poisonous });
  cr_assert(s.of(poisonous, run_kind::item) == request_status::quarantined);
}

Test(quarantine, forgets_in_steps)
{
  story s;
  for (const auto* backend : { "a", "b", "c" }) {
    s.end(backend, { poisonous });
  }
  const auto v = evaluate(s.e, poisonous, run_kind::call, s.now);
  cr_assert_eq(v.until_ms, s.now + 10 * minute_ms);
  SECTION("kept out for ten minutes")
  {
    s.now += 10 * minute_ms - 1;
    cr_assert(s.of(poisonous) == request_status::quarantined);
  }
  SECTION("then tried again, by one alone, and kept out by one end more")
  {
    s.now += 1;
    cr_assert(s.of(poisonous) == request_status::on_trial);
    s.try_again(poisonous);
    cr_assert(s.of(poisonous) == request_status::quarantined);
    s.end("d", { poisonous });
    cr_assert_eq(evaluate(s.e, poisonous, run_kind::call, s.now).until_ms,
                 s.now + 10 * minute_ms);
  }
  SECTION("or cleared by an answer")
  {
    s.now += 10 * minute_ms;
    s.answer(poisonous);
    cr_assert(s.of(poisonous) == request_status::clear);
  }
  SECTION("after an hour nothing is left of it")
  {
    s.now += 60 * minute_ms + 1;
    cr_assert_eq(expire_reports(s.e, s.now).size(), 6);
    cr_assert(s.of(poisonous) == request_status::clear);
    cr_assert(s.e.reports.empty());
  }
}

Test(quarantine, holds_a_bounded_number_of_reports)
{
  story s;
  constexpr int many = 5000;
  for (int i = 0; i < many; ++i) {
    s.now += 1;
    s.end("server-" + std::to_string(i), { "work-" + std::to_string(i) });
  }
  cr_assert_eq(s.e.reports.size(), s.e.limits.max_reports);
  SECTION("the oldest go first")
  {
    cr_assert(s.of("work-0") == request_status::clear);
    cr_assert(s.of("work-" + std::to_string(many - 1)) ==
              request_status::suspected);
  }
}

// At full size each of 11,000 backend servers runs work of some forty entries.
// 120 of them crash on an ordinary day, each reported by all that had work
// there, and every report goes to every entry.
Test(quarantine, costs_little_at_full_size)
{
  constexpr std::size_t entries_at_a_server = 40;
  constexpr double ends_a_day = 120;
  constexpr double day_s = 86400;
  constexpr double budget_bytes_s = 2048;
  report r{ "entry-dc-a-0001", start_ms, { { "i-7f3a91c2de", 1, {} } }, {} };
  r.crashes[0].running = { poisonous, bystander };
  const auto bytes = static_cast<double>(encode(r).dump().size());
  const auto bytes_s = bytes * entries_at_a_server * ends_a_day / day_s;
  std::printf(
    "    %.0f bytes a report, %.1f bytes/s at each entry\n", bytes, bytes_s);
  // A hundredth of what a node may spend on control in all.
  cr_assert_lt(bytes_s, budget_bytes_s / 100);
}

namespace {

struct tally
{
  int others_refused = 0;
  // Servers that the poisonous one ended.
  int crashes = 0;
};

// Ten minutes of a service of 300 kinds of work in which a server ends every
// five seconds, 140 times as often as the whole fleet's do on an ordinary day:
// most by themselves and some under the poisonous request, with what else runs
// there. One other request runs beside the poisonous one each second time. What
// died is asked for again, and three in five are answered each second.
tally
play(std::uint64_t seed, const evidence_limits& limits)
{
  std::mt19937_64 random{ seed };
  const auto below = [&](std::uint64_t n) { return random() % n; };
  story s;
  s.e.limits = limits;
  tally t;
  std::set<fingerprint> unanswered;
  constexpr int rounds = 120;
  constexpr int seconds_between = 5;
  for (int i = 0; i < rounds; ++i) {
    std::vector<fingerprint> running;
    for (auto beside = below(4); beside > 0; --beside) {
      running.push_back(std::to_string(1'000'000'000'000'000 + below(300)));
    }
    if (below(4) == 0 && s.of(poisonous) != request_status::quarantined) {
      ++t.crashes;
      running.push_back(poisonous);
      if (below(2) == 0) {
        running.push_back(bystander);
      }
    }
    s.end_now("s" + std::to_string(i), running);
    unanswered.insert(running.begin(), running.end());
    unanswered.erase(poisonous);
    for (const auto& [f, v] : quarantined_calls(s.e, s.now)) {
      t.others_refused += f != poisonous ? 1 : 0;
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

// Seeds 1 to 200: the poisonous one is kept out after three ends, or four where
// another always ran beside it, and nobody else ever is.
Test(quarantine, finds_the_poisonous_one_and_nobody_else)
{
  tally all;
  constexpr std::uint64_t seeds = 200;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto t = play(seed, {});
    all.others_refused += t.others_refused;
    all.crashes = std::max(all.crashes, t.crashes);
  }
  std::printf("    others refused %d, ends by the poisonous one %d at most\n",
              all.others_refused,
              all.crashes);
  cr_assert_eq(all.others_refused, 0);
  cr_assert_leq(all.crashes, 4);
}
