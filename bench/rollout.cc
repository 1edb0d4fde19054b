#include "bench/rollout.h"

#include "bench/load.h"
#include "cactusford/link/link.h"
#include "cactusford/timeline/history.h"
#include "standins/fleet.h"

#include <httplib.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <thread>

namespace cactusford::bench {

namespace {

using nlohmann::json;
using timeline::record;

// A step that the engines need longer for than the trainer: what the policy
// does with the tail then decides how long the trainer waits.
constexpr std::uint32_t train_ms = 3500;
constexpr int groups = 48;
constexpr std::uint32_t alone_ms = 4000;
constexpr std::uint32_t limit_ms = 240000;
constexpr std::uint32_t burst_factor = 5;

void
rest(std::uint64_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

json
entry_settings_of(const std::string& policy)
{
  if (policy == "baseline") {
    return { { "policy", "baseline" } };
  }
  if (policy.starts_with("no-")) {
    return { { "disabled", json::array({ policy.substr(3) }) } };
  }
  return json::object();
}

struct totals
{
  std::uint64_t generated = 0;
  std::uint64_t hits = 0;
  std::uint64_t misses = 0;
};

class experiment
{
public:
  experiment(const rollout_options& o, const std::string& policy)
    : options_{ o }
    , policy_{ policy }
    , fleet_{ options_of(o, policy) }
  {
  }

  std::string play()
  {
    timeline::open_log(options_.folder + "/load.log", "load");
    auto wrong = fleet_.start();
    if (wrong.empty()) {
      wrong = fleet_.apply_declarations();
    }
    if (!wrong.empty()) {
      return wrong;
    }
    rest(1500);
    widen_job();
    alone_ = measure_load(alone_ms);
    auto callers = make_load(options_.scenario == "burst" ? burst_factor : 1);
    callers.start();
    fleet_.start_trainers(options_.steps);
    if (options_.scenario == "death") {
      rest(train_ms);
      fleet_.signal("engine-" + fleet_.sidecars(pool())[0], SIGKILL);
    }
    const int code = fleet_.wait_exit("trainers", limit_ms);
    callers.stop();
    with_training_ = callers.counts();
    engines_ = read_engines();
    return code == 0 ? std::string{} : "the trainers did not end";
  }

  json result() const
  {
    const auto records = timeline::read_logs(options_.folder);
    std::uint64_t violations = 0;
    for (const auto& r : timeline::check_history(records, {})) {
      violations += r.violations.size();
    }
    json j{ { "policy", policy_ },
            { "scenario", options_.scenario },
            { "violations", violations },
            { "live_p99_ms", percentile(with_training_.live_ms, 0.99) },
            { "live_alone_p99_ms", percentile(alone_.live_ms, 0.99) },
            { "prefix_hit_share",
              share(engines_.hits, engines_.hits + engines_.misses) } };
    add_steps(records, j);
    add_samples(records, j);
    return j;
  }

private:
  static standins::fleet_options options_of(const rollout_options& o,
                                            const std::string& policy)
  {
    standins::fleet_options f;
    f.deployment = o.deployment;
    f.folder = o.folder;
    f.programs = o.programs;
    f.split_backends = true;
    f.entry_settings = entry_settings_of(policy);
    const auto name = o.deployment.ends_with("kingston") ? "drafts" : "plans";
    f.deployment_settings = {
      { "trainers",
        json::array({ { { "name", name }, { "train_ms", train_ms } } }) }
    };
    return f;
  }

  std::string pool() const { return fleet_.deployment()["engines"][0]["pool"]; }

  void widen_job()
  {
    const std::string trainer = fleet_.deployment()["trainers"][0]["name"];
    fleet_.apply("rollout_job",
                 trainer == "plans" ? "cut-plans" : "quotes",
                 { { "trainer", trainer },
                   { "pool", pool() },
                   { "scorer", "scorer" },
                   { "steps", options_.steps },
                   { "groups", groups },
                   { "group_size", 8 },
                   { "max_tokens", 600 } });
  }

  load make_load(std::uint32_t factor)
  {
    const auto& d = fleet_.deployment();
    std::vector<std::string> entries;
    for (const auto& e : fleet_.entries()) {
      entries.push_back(fleet_.address(e, "http"));
    }
    load_options l;
    l.entries = [entries] { return entries; };
    l.model = d.at("load").at("model");
    l.service = d.at("load").at("service");
    l.live_callers = 4 * factor;
    l.check_callers = 1;
    l.booking_callers = 1;
    l.seed = options_.seed;
    return load{ l };
  }

  load_counts measure_load(std::uint32_t ms)
  {
    auto callers = make_load(1);
    callers.start();
    rest(ms);
    callers.stop();
    return callers.counts();
  }

  totals read_engines()
  {
    totals t;
    for (const auto& name : fleet_.sidecars(pool())) {
      const auto engine = "engine-" + name;
      if (!fleet_.is_running(engine)) {
        continue;
      }
      const auto a = link::address_from(fleet_.address(engine, engine));
      httplib::Client c{ a.ip, a.port };
      const auto r = c.Get("/load");
      const auto j =
        json::parse(r ? r->body : std::string{ "{}" }, nullptr, false);
      t.generated += j.value("generated", std::uint64_t{ 0 });
      t.hits += j.value("prefix_hits", std::uint64_t{ 0 });
      t.misses += j.value("prefix_misses", std::uint64_t{ 0 });
    }
    return t;
  }

  static double share(std::uint64_t part, std::uint64_t whole)
  {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  }

  // The first step has nothing ahead of it, so it is left out.
  void add_steps(const std::vector<record>& records, json& j) const
  {
    double idle = 0;
    double train = 0;
    std::uint64_t steps = 0;
    for (const auto& r : records) {
      if (r.name == "step_completed" && r.number("step") > 1) {
        idle += static_cast<double>(r.number("idle_ms"));
        train += static_cast<double>(r.number("train_ms"));
        ++steps;
      }
    }
    const auto n = static_cast<double>(std::max<std::uint64_t>(steps, 1));
    j["steps"] = steps;
    j["trainer_idle_share"] = idle / std::max(idle + train, 1.0);
    j["step_seconds"] = (idle + train) / n / 1000;
  }

  void add_samples(const std::vector<record>& records, json& j) const
  {
    std::vector<double> behind;
    std::vector<double> age_s;
    std::map<std::uint64_t, std::uint64_t> published;
    std::uint64_t tokens = 0;
    std::uint64_t made = 0;
    std::uint64_t steps = 0;
    for (const auto& r : records) {
      if (r.name == "trainer_published") {
        published[r.number("version")] = r.at.ms;
        ++steps;
      } else if (r.name == "call_ended" && r.value("class") == "rollout") {
        made += r.number("tokens");
      } else if (r.name == "sample_received") {
        const auto oldest = r.number("oldest");
        tokens += tokens_of(r.value("runs"));
        behind.push_back(static_cast<double>(r.number("version") - oldest));
        // How long newer weights had been out when the sample came.
        const auto newer = published.find(oldest + 1);
        age_s.push_back(newer == published.end()
                          ? 0
                          : static_cast<double>(r.at.ms - newer->second) /
                              1000);
      }
    }
    const auto n = static_cast<double>(std::max<std::size_t>(behind.size(), 1));
    double sum = 0;
    double seconds = 0;
    for (std::size_t i = 0; i < behind.size(); ++i) {
      sum += behind[i];
      seconds += age_s[i];
    }
    j["staleness_mean_versions"] = sum / n;
    j["staleness_p99_versions"] = percentile(behind, 0.99);
    j["staleness_mean_seconds"] = seconds / n;
    j["samples"] = behind.size();
    j["wasted_token_share"] =
      made > tokens
        ? static_cast<double>(made - tokens) / static_cast<double>(made)
        : 0.0;
    add_bound(tokens / std::max<std::uint64_t>(steps, 1), j);
  }

  static std::uint64_t tokens_of(const std::string& runs)
  {
    std::uint64_t tokens = 0;
    std::istringstream in{ runs };
    std::string part;
    while (std::getline(in, part, ',')) {
      tokens += std::stoull(part.substr(part.find(':') + 1));
    }
    return tokens;
  }

  // The trainer waits at least for what the engines, all full, cannot make in
  // the time of a training step. The model of the stand-in gives their rate:
  // 16 sequences at 4 ms and 0.25 ms a sequence for each token.
  void add_bound(std::uint64_t tokens_per_step, json& j) const
  {
    constexpr double slots = 16;
    constexpr double tokens_per_s = slots / (0.004 + 0.00025 * slots);
    const auto engines = static_cast<double>(fleet_.sidecars(pool()).size());
    const auto needed =
      static_cast<double>(tokens_per_step) / (tokens_per_s * engines);
    const auto train = train_ms / 1000.0;
    j["capacity_bound_idle_share"] =
      needed > train ? (needed - train) / needed : 0.0;
    j["capacity_seconds_per_step"] = needed;
  }

  rollout_options options_;
  std::string policy_;
  standins::fleet fleet_;
  load_counts alone_;
  load_counts with_training_;
  totals engines_;
};

} // namespace

int
run_rollout(const rollout_options& o)
{
  auto runs = json::array();
  bool good = true;
  for (const auto& policy : o.policies) {
    experiment e{ o, policy };
    const auto wrong = e.play();
    auto line = e.result();
    line["deployment"] = o.deployment;
    line["wrong"] = wrong;
    good = good && wrong.empty() && line["violations"] == 0;
    std::cout << line.dump() << std::endl;
    runs.push_back(std::move(line));
  }
  if (!o.json.empty()) {
    std::ofstream{ o.json } << json{ { "runs", runs } }.dump(2) << "\n";
  }
  return good ? 0 : 1;
}

} // namespace cactusford::bench
