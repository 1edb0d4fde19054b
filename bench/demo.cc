#include "bench/demo.h"

#include "bench/load.h"
#include "cactusford/timeline/history.h"
#include "standins/fleet.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <set>
#include <thread>

namespace cactusford::bench {

namespace {

constexpr std::uint32_t trainers_limit_ms = 180000;
// Long enough that what was accepted last is in force before the end.
constexpr std::uint32_t settle_ms = 1000;

int
failed(const std::string& why)
{
  std::cout << "demo: failed " << why << std::endl;
  return 1;
}

std::uint64_t
violations_of(const std::vector<timeline::promise_result>& results,
              const std::string& promise)
{
  for (const auto& r : results) {
    if (r.promise == promise) {
      return r.violations.size();
    }
  }
  return 0;
}

struct tally
{
  std::uint64_t live = 0;
  std::uint64_t service = 0;
  std::uint64_t samples = 0;
  std::uint64_t steps = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t lost = 0;
  std::uint64_t unanswered = 0;
};

// Counted from what receivers logged, never from the senders' own sums.
tally
count(const std::vector<timeline::record>& records)
{
  tally t;
  std::set<std::string> slots;
  std::uint64_t expected = 0;
  for (const auto& r : records) {
    if (r.name == "answer_received") {
      const bool answered =
        r.value("outcome") == "answered" && r.value("whole") == "1";
      auto& kind = r.value("class") == "live" ? t.live : t.service;
      kind += answered ? 1 : 0;
      t.unanswered += answered ? 0 : 1;
    } else if (r.name == "sample_received") {
      ++t.samples;
      const auto slot =
        r.value("trainer") + "/" + r.value("step") + "/" + r.value("slot");
      t.duplicates += slots.insert(slot).second ? 0 : 1;
    } else if (r.name == "step_completed") {
      ++t.steps;
      expected += r.number("size");
    }
  }
  t.lost = expected > slots.size() ? expected - slots.size() : 0;
  return t;
}

int
judge(const demo_options& o, std::uint64_t trainers)
{
  const auto records = timeline::read_logs(o.folder);
  const auto results = timeline::check_history(records, {});
  std::uint64_t violations = 0;
  for (const auto& r : results) {
    std::cout << timeline::to_string(r) << "\n";
    violations += r.violations.size();
    for (const auto& v : r.violations) {
      std::cout << "  " << v << "\n";
    }
  }
  const auto t = count(records);
  const auto in_force = timeline::longest_propagation_ms(records);
  const bool good = violations == 0 && t.lost == 0 && t.duplicates == 0 &&
                    t.steps == o.steps * trainers && t.live > 0 &&
                    t.service > 0;
  std::cout << "demo: " << (good ? "ok" : "failed") << " live_calls=" << t.live
            << " service_calls=" << t.service << " samples=" << t.samples
            << " steps=" << t.steps << " duplicates=" << t.duplicates
            << " lost=" << t.lost
            << " stale=" << violations_of(results, "staleness")
            << " misattributed=" << violations_of(results, "attribution")
            << " in_force_ms=" << in_force << std::endl;
  return good ? 0 : 1;
}

} // namespace

int
run_demo(const demo_options& o)
{
  standins::fleet_options f;
  f.deployment = o.deployment;
  f.folder = o.folder;
  f.programs = o.programs;
  std::uint64_t trainers = 0;
  {
    standins::fleet fleet{ f };
    timeline::open_log(o.folder + "/load.log", "load");
    if (const auto wrong = fleet.start(); !wrong.empty()) {
      return failed(wrong);
    }
    if (const auto wrong = fleet.apply_declarations(); !wrong.empty()) {
      return failed(wrong);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ settle_ms });
    const auto& d = fleet.deployment();
    load_options l;
    l.entries = [&fleet] {
      std::vector<std::string> all;
      for (const auto& e : fleet.entries()) {
        all.push_back(fleet.address(e, "http"));
      }
      return all;
    };
    l.model = d.at("load").at("model");
    l.service = d.at("load").at("service");
    trainers = d.at("trainers").size();
    load callers{ l };
    callers.start();
    fleet.start_trainers(o.steps);
    const int code = fleet.wait_exit("trainers", trainers_limit_ms);
    callers.stop();
    std::this_thread::sleep_for(std::chrono::milliseconds{ settle_ms });
    std::cout << fleet.run_operator_command({ "status" }).second;
    if (code != 0) {
      return failed("the trainers did not end their steps");
    }
  }
  return judge(o, trainers);
}

} // namespace cactusford::bench
