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

constexpr std::uint32_t trainers_limit_ms = 90000;
constexpr std::uint32_t settle_ms = 3000;
constexpr std::uint32_t stop_limit_ms = 20000;

void
rest(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

// One run: a fleet, its load, and a schedule drawn from the seed.
class run
{
public:
  run(const faults_options& o, std::uint64_t seed, const std::string& where)
    : options_{ o }
    , random_{ seed }
    , fleet_{ fleet_options_of(o, where) }
  {
  }

  // What went wrong besides broken promises, or nothing.
  std::string play(std::uint64_t seed)
  {
    timeline::open_log(fleet_.folder() + "/load.log", "load");
    timeline::log(event{ "run_started" }.with("seed", seed));
    if (auto wrong = fleet_.start(); !wrong.empty()) {
      return wrong;
    }
    if (auto wrong = fleet_.apply_declarations(); !wrong.empty()) {
      return wrong;
    }
    rest(1500);
    auto callers = make_load(seed);
    callers.start();
    fleet_.start_trainers(options_.steps);
    for (std::uint32_t i = 0; i < options_.faults; ++i) {
      rest(draw(100, 900));
      fault();
      // Two at once, now and then.
      if (draw(0, 2) == 0) {
        fault();
      }
    }
    heal();
    rest(settle_ms);
    const int code = fleet_.wait_exit("trainers", trainers_limit_ms);
    callers.stop();
    rest(settle_ms);
    counts_ = callers.counts();
    return code == 0 ? std::string{} : "the trainers did not end their steps";
  }

  const load_counts& counts() const { return counts_; }

private:
  static standins::fleet_options fleet_options_of(const faults_options& o,
                                                  const std::string& where)
  {
    standins::fleet_options f;
    f.deployment = where;
    f.folder = o.folder;
    f.programs = o.programs;
    f.split_backends = true;
    const json quick{ { "lease_ms", 1500 }, { "max_clock_skew_ms", 20 } };
    f.entry_settings = quick;
    f.sidecar_settings = quick;
    f.deployment_settings = { { "entries", 3 } };
    return f;
  }

  load make_load(std::uint64_t seed)
  {
    const auto& d = fleet_.deployment();
    load_options l;
    l.entries = [this] {
      const std::lock_guard lock{ mutex_ };
      return balanced_;
    };
    l.model = d.at("load").at("model");
    l.service = d.at("load").at("service");
    l.live_callers = 4;
    l.booking_callers = 4;
    l.check_callers = 2;
    l.seed = seed;
    balance();
    return load{ l };
  }

  // The balancer sends to the entries that run and are not leaving.
  void balance()
  {
    std::vector<std::string> open;
    for (const auto& e : fleet_.entries()) {
      if (!down_.contains(e) && fleet_.is_running(e)) {
        open.push_back(fleet_.address(e, "http"));
      }
    }
    const std::lock_guard lock{ mutex_ };
    balanced_ = open;
  }

  std::uint64_t draw(std::uint64_t low, std::uint64_t high)
  {
    return std::uniform_int_distribution<std::uint64_t>{ low, high }(random_);
  }

  std::string any(const std::vector<std::string>& names)
  {
    return names[draw(0, names.size() - 1)];
  }

  std::string any_service() { return fleet_.deployment()["load"]["service"]; }

  std::string any_daemon()
  {
    auto names = fleet_.entries();
    for (const auto& more :
         { fleet_.sidecars(any_service()), fleet_.sidecars(pool()) }) {
      // Homes and entries are few and decide most: they are drawn more often.
      names.insert(names.end(), more.begin(), more.begin() + 2);
    }
    return any(names);
  }

  std::string pool() { return fleet_.deployment()["engines"][0]["pool"]; }

  std::string any_engine() { return "engine-" + any(fleet_.sidecars(pool())); }

  void note(const char* what, const std::string& target)
  {
    timeline::log(
      event{ "fault_injected" }.with("what", what).with("on", target));
  }

  void fault()
  {
    static constexpr int kinds = 12;
    switch (draw(0, kinds - 1)) {
      case 0:
      case 1:
        kill_and_restart(any_daemon());
        break;
      case 2:
        pause(any_daemon());
        break;
      case 3:
      case 4:
        stop_gracefully(any_daemon());
        break;
      case 5:
        kill_engine(any_engine());
        break;
      case 6:
        outage();
        break;
      case 7:
        note("lose_answers", "platform");
        fleet_.inject_platform_fault({ { "lose_answers", draw(1, 4) } });
        break;
      case 8:
        stale_reads();
        break;
      case 9:
        swap_faults();
        break;
      case 10:
        race_operators();
        break;
      default:
        kill_trainers();
        break;
    }
    balance();
  }

  void kill_and_restart(const std::string& name)
  {
    if (!fleet_.is_running(name)) {
      return;
    }
    note("kill", name);
    fleet_.signal(name, SIGKILL);
    balance();
    if (draw(0, 1) == 0) {
      fleet_.mark_gone(name);
    }
    rest(draw(50, 1200));
    fleet_.respawn(name);
  }

  void pause(const std::string& name)
  {
    if (!fleet_.is_running(name)) {
      return;
    }
    note("pause", name);
    fleet_.signal(name, SIGSTOP);
    const bool taken_for_dead = draw(0, 1) == 0;
    if (taken_for_dead) {
      fleet_.mark_gone(name);
    }
    rest(draw(300, 4000));
    fleet_.signal(name, SIGCONT);
    if (taken_for_dead) {
      rest(draw(0, 1000));
      fleet_.mark_live(name);
    }
  }

  void stop_gracefully(const std::string& name)
  {
    if (!fleet_.is_running(name)) {
      return;
    }
    note("stop", name);
    down_.insert(name);
    balance();
    const auto order = draw(0, 2);
    if (order == 0) {
      fleet_.mark_leaving(name);
    }
    fleet_.signal(name, SIGTERM);
    const int code = fleet_.wait_exit(name, stop_limit_ms);
    timeline::log(event{ "stopped" }
                    .with("on", name)
                    .with("code", static_cast<std::uint64_t>(code)));
    if (order == 1) {
      fleet_.mark_gone(name);
    }
    down_.erase(name);
    fleet_.respawn(name);
  }

  void kill_engine(const std::string& name)
  {
    note("kill", name);
    fleet_.signal(name, SIGKILL);
    rest(draw(50, 800));
    fleet_.restart_backend(name);
  }

  void outage()
  {
    note("outage", "platform");
    fleet_.inject_platform_fault({ { "outage", true } });
    const auto name = any_daemon();
    const auto other = draw(0, 3);
    rest(draw(200, 1500));
    if (other == 0) {
      kill_and_restart(name);
    } else if (other == 1) {
      pause(name);
    } else if (other == 2) {
      stop_gracefully(name);
    }
    rest(draw(200, 2500));
    fleet_.inject_platform_fault({ { "outage", false } });
  }

  void stale_reads()
  {
    note("stale", "platform");
    fleet_.inject_platform_fault({ { "stale_by", draw(1, 20) } });
    rest(draw(200, 1000));
    fleet_.inject_platform_fault({ { "stale_by", 0 } });
  }

  void swap_faults()
  {
    const auto engine = any_engine();
    note("swap", engine);
    fleet_.inject_backend_fault(
      engine,
      { { draw(0, 1) == 0 ? "fail_swaps" : "lose_swap_answers", draw(1, 2) } });
  }

  // Two operators change one trainer at the same time.
  void race_operators()
  {
    note("race", "operators");
    const auto file = fleet_.deployment()["trainers"][0]["name"];
    const std::string trainer = file;
    const auto spec = [&](double share) {
      return json{ { "model", pool() },
                   { "share", share },
                   { "staleness_bound", 1 },
                   { "run_ahead", 0.25 } };
    };
    const auto one = draw(1, 100) / 100.0;
    const auto two = draw(1, 100) / 100.0;
    std::thread first{ [&] { fleet_.apply("trainer", trainer, spec(one)); } };
    fleet_.apply("trainer", trainer, spec(two), "b");
    first.join();
  }

  void kill_trainers()
  {
    if (!fleet_.is_running("trainers")) {
      return;
    }
    note("kill", "trainers");
    fleet_.signal("trainers", SIGKILL);
    rest(draw(50, 500));
    fleet_.respawn("trainers");
  }

  void heal()
  {
    fleet_.inject_platform_fault({ { "outage", false },
                                   { "slow_ms", 0 },
                                   { "lose_answers", 0 },
                                   { "stale_by", 0 } });
    balance();
  }

  faults_options options_;
  std::mt19937_64 random_;
  standins::fleet fleet_;
  std::mutex mutex_;
  std::vector<std::string> balanced_;
  std::set<std::string> down_;
  load_counts counts_;
};

json
summary(std::uint64_t seed,
        const std::string& where,
        const std::string& wrong,
        const load_counts& c,
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
           { "deployment", where },
           { "violations", violations },
           { "wrong", wrong },
           { "live", c.live },
           { "service", c.service },
           { "refused", c.refused },
           { "unknown", c.unknown },
           { "promises", promises } };
}

} // namespace

int
run_faults(const faults_options& o)
{
  auto all = json::array();
  bool good = true;
  for (std::uint32_t i = 0; i < o.runs; ++i) {
    const auto seed = o.seed + i;
    const auto& where = o.deployments[i % o.deployments.size()];
    std::string wrong;
    load_counts counts;
    {
      run r{ o, seed, where };
      wrong = r.play(seed);
      counts = r.counts();
    }
    const auto results =
      timeline::check_history(timeline::read_logs(o.folder), {});
    const auto line = summary(seed, where, wrong, counts, results);
    const bool kept = wrong.empty() && line["violations"] == 0;
    std::cout << "run seed=" << seed << " deployment=" << where
              << (kept ? " ok" : " FAILED") << " live=" << counts.live
              << " service=" << counts.service << " refused=" << counts.refused
              << " unknown=" << counts.unknown
              << " violations=" << line["violations"] << " " << wrong
              << std::endl;
    for (const auto& r : results) {
      for (std::size_t v = 0; v < r.violations.size() && v < 5; ++v) {
        std::cout << "  " << r.promise << ": " << r.violations[v] << "\n";
      }
    }
    all.push_back(line);
    good = good && kept;
    if (!kept) {
      std::cout << "  logs are in " << o.folder << ", kept as "
                << o.folder + "-" + std::to_string(seed) << std::endl;
      std::filesystem::remove_all(o.folder + "-" + std::to_string(seed));
      std::filesystem::copy(o.folder,
                            o.folder + "-" + std::to_string(seed),
                            std::filesystem::copy_options::recursive);
    }
  }
  if (!o.json.empty()) {
    std::ofstream{ o.json } << json{ { "runs", all } }.dump(2) << "\n";
  }
  return good ? 0 : 1;
}

} // namespace cactusford::bench
