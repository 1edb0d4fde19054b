#include "bench/faults.h"

#include "bench/load.h"
#include "cactusford/timeline/history.h"
#include "standins/fleet.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace cactusford::bench {

namespace {

using nlohmann::json;
using timeline::event;

constexpr std::uint32_t trainers_timeout_ms = 90000;
constexpr std::uint32_t settle_ms = 3000;
constexpr std::uint32_t stop_timeout_ms = 20000;

void
sleep_for_ms(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

// One run: a fleet, its load, and faults drawn from the seed.
class fault_run
{
public:
  fault_run(const faults_options& o,
            std::uint64_t seed,
            const std::string& deployment)
    : options_{ o }
    , random_{ seed }
    , fleet_{ fleet_options_for(o, deployment) }
  {
  }

  // Returns an error message, or an empty string. Violated guarantees are found
  // afterwards in the event logs.
  std::string execute(std::uint64_t seed)
  {
    timeline::open_log(fleet_.folder() + "/load.log", "load");
    timeline::log(event{ "run_started" }.with("seed", seed));
    if (auto error = fleet_.start(); !error.empty()) {
      return error;
    }
    if (auto error = fleet_.apply_declarations(); !error.empty()) {
      return error;
    }
    sleep_for_ms(1500);
    auto callers = make_load(seed);
    callers.start();
    fleet_.start_trainers(options_.steps);
    for (std::uint32_t i = 0; i < options_.faults; ++i) {
      sleep_for_ms(random_between(100, 900));
      inject_fault();
      // Sometimes a second fault follows immediately.
      if (random_between(0, 2) == 0) {
        inject_fault();
      }
    }
    heal();
    sleep_for_ms(settle_ms);
    const int code = fleet_.wait_exit("trainers", trainers_timeout_ms);
    callers.stop();
    sleep_for_ms(settle_ms);
    counts_ = callers.counts();
    return code == 0 ? std::string{}
                     : "the trainers failed or did not exit in time";
  }

  const load_counts& counts() const { return counts_; }

private:
  static standins::fleet_options fleet_options_for(
    const faults_options& o,
    const std::string& deployment)
  {
    standins::fleet_options f;
    f.deployment = deployment;
    f.folder = o.folder;
    f.programs = o.programs;
    f.split_backends = true;
    const json short_lease{ { "lease_ms", 1500 }, { "max_clock_skew_ms", 20 } };
    f.entry_settings = short_lease;
    f.sidecar_settings = short_lease;
    f.deployment_settings = { { "entries", 3 } };
    return f;
  }

  load_generator make_load(std::uint64_t seed)
  {
    const auto& d = fleet_.deployment();
    load_options l;
    l.entries = [this] {
      const std::lock_guard lock{ mutex_ };
      return balanced_entries_;
    };
    l.model = d.at("load").at("model");
    l.service = d.at("load").at("service");
    l.live_callers = 4;
    l.booking_callers = 4;
    l.check_callers = 2;
    l.seed = seed;
    update_balancer();
    return load_generator{ l };
  }

  // Restricts the load balancer to the entries that run and are not being
  // stopped.
  void update_balancer()
  {
    std::vector<std::string> available;
    for (const auto& e : fleet_.entries()) {
      if (!stopping_.contains(e) && fleet_.is_running(e)) {
        available.push_back(fleet_.address(e, "http"));
      }
    }
    const std::lock_guard lock{ mutex_ };
    balanced_entries_ = available;
  }

  std::uint64_t random_between(std::uint64_t low, std::uint64_t high)
  {
    return std::uniform_int_distribution<std::uint64_t>{ low, high }(random_);
  }

  std::string random_element(const std::vector<std::string>& names)
  {
    return names[random_between(0, names.size() - 1)];
  }

  std::string service_name() { return fleet_.deployment()["load"]["service"]; }

  std::string random_daemon()
  {
    auto names = fleet_.entries();
    for (const auto& sidecars :
         { fleet_.sidecars(service_name()), fleet_.sidecars(pool_name()) }) {
      // Only two sidecars of each service take part, so that entries and homes,
      // which are few and make most decisions, are drawn more often.
      names.insert(names.end(), sidecars.begin(), sidecars.begin() + 2);
    }
    return random_element(names);
  }

  std::string pool_name() { return fleet_.deployment()["engines"][0]["pool"]; }

  std::string random_engine()
  {
    return "engine-" + random_element(fleet_.sidecars(pool_name()));
  }

  void log_fault(const char* what, const std::string& target)
  {
    timeline::log(
      event{ "fault_injected" }.with("what", what).with("on", target));
  }

  void inject_fault()
  {
    static constexpr int kind_count = 12;
    switch (random_between(0, kind_count - 1)) {
      case 0:
      case 1:
        kill_and_restart(random_daemon());
        break;
      case 2:
        pause(random_daemon());
        break;
      case 3:
      case 4:
        stop_gracefully(random_daemon());
        break;
      case 5:
        kill_engine(random_engine());
        break;
      case 6:
        platform_outage();
        break;
      case 7:
        log_fault("lose_answers", "platform");
        fleet_.inject_platform_fault(
          { { "lose_answers", random_between(1, 4) } });
        break;
      case 8:
        stale_reads();
        break;
      case 9:
        weight_swap_fault();
        break;
      case 10:
        race_operators();
        break;
      default:
        kill_trainers();
        break;
    }
    update_balancer();
  }

  void kill_and_restart(const std::string& name)
  {
    if (!fleet_.is_running(name)) {
      return;
    }
    log_fault("kill", name);
    fleet_.signal(name, SIGKILL);
    update_balancer();
    if (random_between(0, 1) == 0) {
      fleet_.mark_gone(name);
    }
    sleep_for_ms(random_between(50, 1200));
    fleet_.respawn(name);
  }

  void pause(const std::string& name)
  {
    if (!fleet_.is_running(name)) {
      return;
    }
    log_fault("pause", name);
    fleet_.signal(name, SIGSTOP);
    const bool is_listed_as_gone = random_between(0, 1) == 0;
    if (is_listed_as_gone) {
      fleet_.mark_gone(name);
    }
    sleep_for_ms(random_between(300, 4000));
    fleet_.signal(name, SIGCONT);
    if (is_listed_as_gone) {
      sleep_for_ms(random_between(0, 1000));
      fleet_.mark_live(name);
    }
  }

  void stop_gracefully(const std::string& name)
  {
    if (!fleet_.is_running(name)) {
      return;
    }
    log_fault("stop", name);
    stopping_.insert(name);
    update_balancer();
    const auto removal = random_between(0, 2);
    if (removal == 0) {
      fleet_.mark_leaving(name);
    }
    fleet_.signal(name, SIGTERM);
    const int code = fleet_.wait_exit(name, stop_timeout_ms);
    timeline::log(event{ "stopped" }
                    .with("on", name)
                    .with("code", static_cast<std::uint64_t>(code)));
    if (removal == 1) {
      fleet_.mark_gone(name);
    }
    stopping_.erase(name);
    fleet_.respawn(name);
  }

  void kill_engine(const std::string& name)
  {
    log_fault("kill", name);
    fleet_.signal(name, SIGKILL);
    sleep_for_ms(random_between(50, 800));
    fleet_.restart_backend(name);
  }

  void platform_outage()
  {
    log_fault("outage", "platform");
    fleet_.inject_platform_fault({ { "outage", true } });
    const auto name = random_daemon();
    const auto extra_fault = random_between(0, 3);
    sleep_for_ms(random_between(200, 1500));
    if (extra_fault == 0) {
      kill_and_restart(name);
    } else if (extra_fault == 1) {
      pause(name);
    } else if (extra_fault == 2) {
      stop_gracefully(name);
    }
    sleep_for_ms(random_between(200, 2500));
    fleet_.inject_platform_fault({ { "outage", false } });
  }

  void stale_reads()
  {
    log_fault("stale", "platform");
    fleet_.inject_platform_fault({ { "stale_by", random_between(1, 20) } });
    sleep_for_ms(random_between(200, 1000));
    fleet_.inject_platform_fault({ { "stale_by", 0 } });
  }

  void weight_swap_fault()
  {
    const auto engine = random_engine();
    log_fault("swap", engine);
    fleet_.inject_backend_fault(
      engine,
      { { random_between(0, 1) == 0 ? "fail_swaps" : "lose_swap_answers",
          random_between(1, 2) } });
  }

  // Lets two operators change the same trainer concurrently.
  void race_operators()
  {
    log_fault("race", "operators");
    const auto trainer_name = fleet_.deployment()["trainers"][0]["name"];
    const std::string trainer = trainer_name;
    const auto spec = [&](double share) {
      return json{ { "model", pool_name() },
                   { "share", share },
                   { "staleness_bound", 1 },
                   { "run_ahead", 0.25 } };
    };
    const auto first_share = random_between(1, 100) / 100.0;
    const auto second_share = random_between(1, 100) / 100.0;
    std::thread first{ [&] {
      fleet_.apply("trainer", trainer, spec(first_share));
    } };
    fleet_.apply("trainer", trainer, spec(second_share), "b");
    first.join();
  }

  void kill_trainers()
  {
    if (!fleet_.is_running("trainers")) {
      return;
    }
    log_fault("kill", "trainers");
    fleet_.signal("trainers", SIGKILL);
    sleep_for_ms(random_between(50, 500));
    fleet_.respawn("trainers");
  }

  void heal()
  {
    fleet_.inject_platform_fault({ { "outage", false },
                                   { "slow_ms", 0 },
                                   { "lose_answers", 0 },
                                   { "stale_by", 0 } });
    update_balancer();
  }

  faults_options options_;
  std::mt19937_64 random_;
  standins::fleet fleet_;
  std::mutex mutex_;
  std::vector<std::string> balanced_entries_;
  std::set<std::string> stopping_;
  load_counts counts_;
};

json
summarize(std::uint64_t seed,
          const std::string& deployment,
          const std::string& error,
          const load_counts& counts,
          const std::vector<timeline::promise_result>& results)
{
  json promises;
  std::uint64_t violations = 0;
  for (const auto& r : results) {
    promises[r.promise] = { { "checked", r.checked },
                            { "violations", r.violations.size() } };
    violations += r.violations.size();
  }
  return { { "seed", seed },
           { "deployment", deployment },
           { "violations", violations },
           { "wrong", error },
           { "live", counts.live },
           { "service", counts.service },
           { "refused", counts.refused },
           { "unknown", counts.unknown },
           { "promises", promises } };
}

} // namespace

int
run_faults(const faults_options& o)
{
  auto run_summaries = json::array();
  bool all_passed = true;
  for (std::uint32_t i = 0; i < o.runs; ++i) {
    const auto seed = o.seed + i;
    const auto& deployment = o.deployments[i % o.deployments.size()];
    std::string error;
    load_counts counts;
    {
      fault_run run{ o, seed, deployment };
      error = run.execute(seed);
      counts = run.counts();
    }
    const auto results =
      timeline::check_history(timeline::read_logs(o.folder), {});
    const auto run_summary =
      summarize(seed, deployment, error, counts, results);
    const bool run_passed = error.empty() && run_summary["violations"] == 0;
    std::cout << "run seed=" << seed << " deployment=" << deployment
              << (run_passed ? " ok" : " FAILED") << " live=" << counts.live
              << " service=" << counts.service << " refused=" << counts.refused
              << " unknown=" << counts.unknown
              << " violations=" << run_summary["violations"] << " " << error
              << std::endl;
    for (const auto& r : results) {
      for (std::size_t v = 0; v < r.violations.size() && v < 5; ++v) {
        std::cout << "  " << r.promise << ": " << r.violations[v] << "\n";
      }
    }
    run_summaries.push_back(run_summary);
    all_passed = all_passed && run_passed;
    if (!run_passed) {
      std::cout << "  logs are in " << o.folder << ", copied to "
                << o.folder + "-" + std::to_string(seed) << std::endl;
      std::filesystem::remove_all(o.folder + "-" + std::to_string(seed));
      std::filesystem::copy(o.folder,
                            o.folder + "-" + std::to_string(seed),
                            std::filesystem::copy_options::recursive);
    }
  }
  if (!o.json.empty()) {
    std::ofstream{ o.json } << json{ { "runs", run_summaries } }.dump(2)
                            << "\n";
  }
  return all_passed ? 0 : 1;
}

} // namespace cactusford::bench
