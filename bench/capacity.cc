#include "bench/capacity.h"

#include "bench/load.h"
#include "cactusford/link/link.h"
#include "cactusford/process/daemon.h"
#include "cactusford/timeline/history.h"
#include "standins/fleet.h"

#include <httplib.h>

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace cactusford::bench {

namespace {

using nlohmann::json;

constexpr int configuration_changes = 10;

struct process_usage
{
  double cpu_s = 0;
  double rss_mb = 0;
  double sent_bytes = 0;
  double received_bytes = 0;
};

// Reads CPU time and memory from /proc.
process_usage
read_process(pid_t pid)
{
  process_usage usage;
  std::ifstream in{ "/proc/" + std::to_string(pid) + "/stat" };
  std::string text{ std::istreambuf_iterator<char>{ in }, {} };
  // The process name may contain spaces, so parsing starts after the last
  // parenthesis, which ends it.
  std::istringstream fields{ text.substr(text.rfind(')') + 2) };
  std::vector<std::string> values;
  std::string field;
  while (fields >> field) {
    values.push_back(field);
  }
  constexpr std::size_t user = 11;
  constexpr std::size_t resident = 21;
  const auto ticks =
    std::stod(values.at(user)) + std::stod(values.at(user + 1));
  usage.cpu_s = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.rss_mb = std::stod(values.at(resident)) *
                 static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return usage;
}

double
metric_value(const std::string& text, const std::string& name)
{
  const auto at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0
                                 : std::stod(text.substr(at + name.size() + 2));
}

process_usage
read_usage(standins::fleet& fleet, const std::string& name)
{
  auto usage = read_process(fleet.pid_of(name));
  const auto a = link::address_from(fleet.address(name, "admin"));
  httplib::Client c{ a.ip, a.port };
  if (const auto r = c.Get("/metrics")) {
    usage.sent_bytes = metric_value(r->body, "cactusford_link_sent_bytes");
    usage.received_bytes =
      metric_value(r->body, "cactusford_link_received_bytes");
  }
  return usage;
}

double
sum_counts(const json& counts)
{
  double sum = 0;
  for (const auto& [duty, count] : counts.items()) {
    sum += count.get<double>();
  }
  return sum;
}

standins::fleet_options
fleet_options_for(const capacity_options& o, int size)
{
  standins::fleet_options f;
  f.deployment = o.deployment;
  f.folder = o.folder;
  f.programs = o.programs;
  f.deployment_settings = {
    { "engines", json::array() },
    { "services",
      json::array({ { { "service", "orders-app" },
                      { "count", 3 },
                      { "settings", { { "threads", 4 } } } },
                    { { "service", "scorer" },
                      { "count", size - 3 },
                      { "settings", { { "threads", 4 } } } } }) },
  };
  f.sidecar_settings = { { "max_running", 2 } };
  return f;
}

json
summarize(int size,
          const std::vector<process_usage>& before,
          const std::vector<process_usage>& after,
          double seconds,
          double calls)
{
  std::vector<double> cpu;
  std::vector<double> rss;
  std::vector<double> bytes;
  for (std::size_t i = 0; i < before.size(); ++i) {
    cpu.push_back((after[i].cpu_s - before[i].cpu_s) / seconds * 100);
    rss.push_back(after[i].rss_mb);
    bytes.push_back((after[i].sent_bytes + after[i].received_bytes -
                     before[i].sent_bytes - before[i].received_bytes) /
                    seconds);
  }
  return { { "processes", size },
           { "cpu_percent_median", percentile(cpu, 0.5) },
           { "cpu_percent_max", percentile(cpu, 1) },
           { "rss_mb_median", percentile(rss, 0.5) },
           { "rss_mb_max", percentile(rss, 1) },
           { "link_bytes_per_s_median", percentile(bytes, 0.5) },
           { "link_bytes_per_s_max", percentile(bytes, 1) },
           { "platform_calls_per_s", calls / seconds } };
}

json
measure(const capacity_options& o, int size, std::string& error)
{
  json result;
  {
    standins::fleet fleet{ fleet_options_for(o, size) };
    timeline::open_log(o.folder + "/load.log", "load");
    error = fleet.start();
    if (error.empty()) {
      error = fleet.apply_declarations();
    }
    if (!error.empty()) {
      return result;
    }
    // Waits until the connections used during startup are idle and closed.
    std::this_thread::sleep_for(std::chrono::seconds{ 15 });
    auto names = fleet.entries();
    for (const auto* service : { "orders-app", "scorer" }) {
      const auto sidecars = fleet.sidecars(service);
      names.insert(names.end(), sidecars.begin(), sidecars.end());
    }
    std::vector<process_usage> before;
    std::vector<process_usage> after;
    const auto calls = sum_counts(fleet.platform_counts());
    for (const auto& n : names) {
      before.push_back(read_usage(fleet, n));
    }
    const auto start_ms = process::steady_ms();
    std::this_thread::sleep_for(std::chrono::seconds{ o.seconds });
    const auto seconds =
      static_cast<double>(process::steady_ms() - start_ms) / 1000;
    for (const auto& n : names) {
      after.push_back(read_usage(fleet, n));
    }
    result = summarize(static_cast<int>(names.size()),
                       before,
                       after,
                       seconds,
                       sum_counts(fleet.platform_counts()) - calls);
    timeline::log(timeline::event{ "changes_begin" });
    for (int i = 0; i < configuration_changes; ++i) {
      fleet.apply(
        "trainer", "plans", { { "model", "m" }, { "share", 0.01 * (i + 1) } });
    }
    std::this_thread::sleep_for(std::chrono::seconds{ 2 });
  }
  // Only the changes above count, because all processes were up by then.
  auto records = timeline::read_logs(o.folder);
  const auto begin =
    std::find_if(records.begin(), records.end(), [](const auto& r) {
      return r.name == "changes_begin";
    });
  // Earlier declarations were accepted while the distribution tree was still
  // forming.
  for (auto r = records.begin(); r != begin; ++r) {
    if (r->name == "configuration_accepted") {
      r->name = "earlier";
    }
  }
  result["in_force_ms_max"] = timeline::longest_propagation_ms(records);
  return result;
}

} // namespace

int
run_capacity(const capacity_options& o)
{
  auto results = json::array();
  for (const auto size : o.sizes) {
    std::string error;
    auto result = measure(o, size, error);
    if (!error.empty()) {
      std::cout << "capacity: failed at " << size << ": " << error << "\n";
      return 1;
    }
    std::cout << result.dump() << std::endl;
    results.push_back(std::move(result));
  }
  if (!o.json.empty()) {
    std::ofstream{ o.json } << json{ { "sizes", results } }.dump(2) << "\n";
  }
  return 0;
}

} // namespace cactusford::bench
