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

constexpr std::uint32_t trainers_timeout_ms = 180000;
// Long enough for the last accepted change to be in force before the end.
constexpr std::uint32_t settle_ms = 1000;

int
report_failure(const std::string& why)
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

struct received_counts
{
  std::uint64_t live = 0;
  std::uint64_t service = 0;
  std::uint64_t samples = 0;
  std::uint64_t steps = 0;
  std::uint64_t duplicates = 0;
  std::uint64_t lost = 0;
  std::uint64_t unanswered = 0;
};

// Counts what receivers logged. The senders' own counts would not show losses.
received_counts
count_received(const std::vector<timeline::record>& records)
{
  received_counts counts;
  std::set<std::string> slots;
  std::uint64_t expected = 0;
  for (const auto& r : records) {
    if (r.name == "answer_received") {
      const bool answered =
        r.value("outcome") == "answered" && r.value("whole") == "1";
      auto& kind = r.value("class") == "live" ? counts.live : counts.service;
      kind += answered ? 1 : 0;
      counts.unanswered += answered ? 0 : 1;
    } else if (r.name == "sample_received") {
      ++counts.samples;
      const auto slot =
        r.value("trainer") + "/" + r.value("step") + "/" + r.value("slot");
      counts.duplicates += slots.insert(slot).second ? 0 : 1;
    } else if (r.name == "step_completed") {
      ++counts.steps;
      expected += r.number("size");
    }
  }
  counts.lost = expected > slots.size() ? expected - slots.size() : 0;
  return counts;
}

int
check_logs(const demo_options& o, std::uint64_t trainers)
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
  const auto counts = count_received(records);
  const auto in_force_ms = timeline::longest_propagation_ms(records);
  const bool passed =
    violations == 0 && counts.lost == 0 && counts.duplicates == 0 &&
    counts.steps == o.steps * trainers && counts.live > 0 && counts.service > 0;
  std::cout << "demo: " << (passed ? "ok" : "failed")
            << " live_calls=" << counts.live
            << " service_calls=" << counts.service
            << " samples=" << counts.samples << " steps=" << counts.steps
            << " duplicates=" << counts.duplicates << " lost=" << counts.lost
            << " stale=" << violations_of(results, "staleness")
            << " misattributed=" << violations_of(results, "attribution")
            << " in_force_ms=" << in_force_ms << std::endl;
  return passed ? 0 : 1;
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
    if (const auto error = fleet.start(); !error.empty()) {
      return report_failure(error);
    }
    if (const auto error = fleet.apply_declarations(); !error.empty()) {
      return report_failure(error);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ settle_ms });
    const auto& deployment = fleet.deployment();
    load_options l;
    l.entries = [&fleet] {
      std::vector<std::string> addresses;
      for (const auto& e : fleet.entries()) {
        addresses.push_back(fleet.address(e, "http"));
      }
      return addresses;
    };
    l.model = deployment.at("load").at("model");
    l.service = deployment.at("load").at("service");
    trainers = deployment.at("trainers").size();
    load_generator callers{ l };
    callers.start();
    fleet.start_trainers(o.steps);
    const int code = fleet.wait_exit("trainers", trainers_timeout_ms);
    callers.stop();
    std::this_thread::sleep_for(std::chrono::milliseconds{ settle_ms });
    std::cout << fleet.run_operator_command({ "status" }).second;
    if (code != 0) {
      return report_failure("the trainers failed or did not exit in time");
    }
  }
  return check_logs(o, trainers);
}

} // namespace cactusford::bench
