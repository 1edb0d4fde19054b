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

// Sized so that the engines need longer for a step than the trainer does. How
// long the trainer waits then depends on how the policy treats the longest
// samples of a step.
constexpr std::uint32_t train_ms = 3500;
constexpr int groups = 48;
constexpr std::uint32_t live_only_ms = 4000;
constexpr std::uint32_t trainers_timeout_ms = 240000;
constexpr std::uint32_t burst_factor = 5;

void
sleep_for_ms(std::uint64_t ms)
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

struct engine_totals
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
    , fleet_{ fleet_options_for(o, policy) }
  {
  }

  std::string run()
  {
    timeline::open_log(options_.folder + "/load.log", "load");
    auto error = fleet_.start();
    if (error.empty()) {
      error = fleet_.apply_declarations();
    }
    if (!error.empty()) {
      return error;
    }
    sleep_for_ms(1500);
    apply_large_job();
    live_only_ = measure_load(live_only_ms);
    auto callers = make_load(options_.scenario == "burst" ? burst_factor : 1);
    callers.start();
    fleet_.start_trainers(options_.steps);
    if (options_.scenario == "death") {
      sleep_for_ms(train_ms);
      fleet_.signal("engine-" + fleet_.sidecars(pool())[0], SIGKILL);
    }
    const int code = fleet_.wait_exit("trainers", trainers_timeout_ms);
    callers.stop();
    with_training_ = callers.counts();
    engine_totals_ = read_engine_totals();
    return code == 0 ? std::string{}
                     : "the trainers failed or did not exit in time";
  }

  json result() const
  {
    const auto records = timeline::read_logs(options_.folder);
    std::uint64_t violations = 0;
    for (const auto& r : timeline::check_history(records, {})) {
      violations += r.violations.size();
    }
    json result{ { "policy", policy_ },
                 { "scenario", options_.scenario },
                 { "violations", violations },
                 { "live_p99_ms", percentile(with_training_.live_ms, 0.99) },
                 { "live_alone_p99_ms", percentile(live_only_.live_ms, 0.99) },
                 { "prefix_hit_share",
                   ratio(engine_totals_.hits,
                         engine_totals_.hits + engine_totals_.misses) } };
    add_steps(records, result);
    add_samples(records, result);
    return result;
  }

private:
  static standins::fleet_options fleet_options_for(const rollout_options& o,
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

  void apply_large_job()
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

  load_generator make_load(std::uint32_t factor)
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
    return load_generator{ l };
  }

  load_counts measure_load(std::uint32_t ms)
  {
    auto callers = make_load(1);
    callers.start();
    sleep_for_ms(ms);
    callers.stop();
    return callers.counts();
  }

  engine_totals read_engine_totals()
  {
    engine_totals t;
    for (const auto& name : fleet_.sidecars(pool())) {
      const auto engine = "engine-" + name;
      if (!fleet_.is_running(engine)) {
        continue;
      }
      const auto a = link::address_from(fleet_.address(engine, engine));
      httplib::Client c{ a.ip, a.port };
      const auto r = c.Get("/load");
      const auto load =
        json::parse(r ? r->body : std::string{ "{}" }, nullptr, false);
      t.generated += load.value("generated", std::uint64_t{ 0 });
      t.hits += load.value("prefix_hits", std::uint64_t{ 0 });
      t.misses += load.value("prefix_misses", std::uint64_t{ 0 });
    }
    return t;
  }

  static double ratio(std::uint64_t part, std::uint64_t whole)
  {
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
  }

  // Leaves out the first step, for which nothing could be generated ahead.
  void add_steps(const std::vector<record>& records, json& result) const
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
    result["steps"] = steps;
    result["trainer_idle_share"] = idle / std::max(idle + train, 1.0);
    result["step_seconds"] = (idle + train) / n / 1000;
  }

  void add_samples(const std::vector<record>& records, json& result) const
  {
    std::vector<double> versions_behind;
    std::vector<double> age_seconds;
    std::map<std::uint64_t, std::uint64_t> published;
    std::uint64_t tokens = 0;
    std::uint64_t generated_tokens = 0;
    std::uint64_t steps = 0;
    for (const auto& r : records) {
      if (r.name == "trainer_published") {
        published[r.number("version")] = r.at.ms;
        ++steps;
      } else if (r.name == "call_ended" && r.value("class") == "rollout") {
        generated_tokens += r.number("tokens");
      } else if (r.name == "sample_received") {
        const auto oldest = r.number("oldest");
        tokens += tokens_of(r.value("runs"));
        versions_behind.push_back(
          static_cast<double>(r.number("version") - oldest));
        // The time since newer weights were published.
        const auto newer = published.find(oldest + 1);
        age_seconds.push_back(newer == published.end()
                                ? 0
                                : static_cast<double>(r.at.ms - newer->second) /
                                    1000);
      }
    }
    const auto n =
      static_cast<double>(std::max<std::size_t>(versions_behind.size(), 1));
    double total_versions_behind = 0;
    double total_age_seconds = 0;
    for (std::size_t i = 0; i < versions_behind.size(); ++i) {
      total_versions_behind += versions_behind[i];
      total_age_seconds += age_seconds[i];
    }
    result["staleness_mean_versions"] = total_versions_behind / n;
    result["staleness_p99_versions"] = percentile(versions_behind, 0.99);
    result["staleness_mean_seconds"] = total_age_seconds / n;
    result["samples"] = versions_behind.size();
    result["wasted_token_share"] =
      generated_tokens > tokens
        ? static_cast<double>(generated_tokens - tokens) /
            static_cast<double>(generated_tokens)
        : 0.0;
    add_capacity_bound(tokens / std::max<std::uint64_t>(steps, 1), result);
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

  // Adds the lower bound of the idle share: the time that fully loaded engines
  // need for the tokens of a step beyond the training time. The rate follows
  // from the model of the stand-in engine: 16 concurrent sequences, and 4 ms
  // plus 0.25 ms per sequence for each token.
  void add_capacity_bound(std::uint64_t tokens_per_step, json& result) const
  {
    constexpr double slots = 16;
    constexpr double tokens_per_s = slots / (0.004 + 0.00025 * slots);
    const auto engines = static_cast<double>(fleet_.sidecars(pool()).size());
    const auto needed =
      static_cast<double>(tokens_per_step) / (tokens_per_s * engines);
    const auto train = train_ms / 1000.0;
    result["capacity_bound_idle_share"] =
      needed > train ? (needed - train) / needed : 0.0;
    result["capacity_seconds_per_step"] = needed;
  }

  rollout_options options_;
  std::string policy_;
  standins::fleet fleet_;
  load_counts live_only_;
  load_counts with_training_;
  engine_totals engine_totals_;
};

} // namespace

int
run_rollout(const rollout_options& o)
{
  auto runs = json::array();
  bool all_passed = true;
  for (const auto& policy : o.policies) {
    experiment e{ o, policy };
    const auto error = e.run();
    auto result_line = e.result();
    result_line["deployment"] = o.deployment;
    result_line["wrong"] = error;
    all_passed = all_passed && error.empty() && result_line["violations"] == 0;
    std::cout << result_line.dump() << std::endl;
    runs.push_back(std::move(result_line));
  }
  if (!o.json.empty()) {
    std::ofstream{ o.json } << json{ { "runs", runs } }.dump(2) << "\n";
  }
  return all_passed ? 0 : 1;
}

} // namespace cactusford::bench
