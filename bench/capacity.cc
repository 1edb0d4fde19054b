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

constexpr int changes = 10;

struct sample
{
  double cpu_s = 0;
  double rss_mb = 0;
  double sent = 0;
  double received = 0;
};

// Processor time and memory from the kernel's own accounting.
sample
read_process(pid_t pid)
{
  sample s;
  std::ifstream in{ "/proc/" + std::to_string(pid) + "/stat" };
  std::string text{ std::istreambuf_iterator<char>{ in }, {} };
  // The name may hold blanks; it ends with the last parenthesis.
  std::istringstream fields{ text.substr(text.rfind(')') + 2) };
  std::vector<std::string> all;
  std::string field;
  while (fields >> field) {
    all.push_back(field);
  }
  constexpr std::size_t user = 11;
  constexpr std::size_t resident = 21;
  const auto ticks = std::stod(all.at(user)) + std::stod(all.at(user + 1));
  s.cpu_s = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  s.rss_mb = std::stod(all.at(resident)) *
             static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return s;
}

double
metric(const std::string& text, const std::string& name)
{
  const auto at = text.find("\n" + name + " ");
  return at == std::string::npos ? 0
                                 : std::stod(text.substr(at + name.size() + 2));
}

sample
read_daemon(standins::fleet& fleet, const std::string& name)
{
  auto s = read_process(fleet.pid_of(name));
  const auto a = link::address_from(fleet.address(name, "admin"));
  httplib::Client c{ a.ip, a.port };
  if (const auto r = c.Get("/metrics")) {
    s.sent = metric(r->body, "cactusford_link_sent_bytes");
    s.received = metric(r->body, "cactusford_link_received_bytes");
  }
  return s;
}

double
total(const json& counts)
{
  double sum = 0;
  for (const auto& [duty, count] : counts.items()) {
    sum += count.get<double>();
  }
  return sum;
}

standins::fleet_options
options_of(const capacity_options& o, int size)
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
summary(int size,
        const std::vector<sample>& before,
        const std::vector<sample>& after,
        double seconds,
        double calls)
{
  std::vector<double> cpu;
  std::vector<double> rss;
  std::vector<double> bytes;
  for (std::size_t i = 0; i < before.size(); ++i) {
    cpu.push_back((after[i].cpu_s - before[i].cpu_s) / seconds * 100);
    rss.push_back(after[i].rss_mb);
    bytes.push_back((after[i].sent + after[i].received - before[i].sent -
                     before[i].received) /
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
measure(const capacity_options& o, int size, std::string& wrong)
{
  json line;
  {
    standins::fleet fleet{ options_of(o, size) };
    timeline::open_log(o.folder + "/load.log", "load");
    wrong = fleet.start();
    if (wrong.empty()) {
      wrong = fleet.apply_declarations();
    }
    if (!wrong.empty()) {
      return line;
    }
    // Connections of the start are idle by then and closed.
    std::this_thread::sleep_for(std::chrono::seconds{ 15 });
    auto names = fleet.entries();
    for (const auto* service : { "orders-app", "scorer" }) {
      const auto more = fleet.sidecars(service);
      names.insert(names.end(), more.begin(), more.end());
    }
    std::vector<sample> before;
    std::vector<sample> after;
    const auto calls = total(fleet.platform_counts());
    for (const auto& n : names) {
      before.push_back(read_daemon(fleet, n));
    }
    const auto began = process::steady_ms();
    std::this_thread::sleep_for(std::chrono::seconds{ o.seconds });
    const auto seconds =
      static_cast<double>(process::steady_ms() - began) / 1000;
    for (const auto& n : names) {
      after.push_back(read_daemon(fleet, n));
    }
    line = summary(static_cast<int>(names.size()),
                   before,
                   after,
                   seconds,
                   total(fleet.platform_counts()) - calls);
    timeline::log(timeline::event{ "changes_begin" });
    for (int i = 0; i < changes; ++i) {
      fleet.apply(
        "trainer", "plans", { { "model", "m" }, { "share", 0.01 * (i + 1) } });
    }
    std::this_thread::sleep_for(std::chrono::seconds{ 2 });
  }
  // Only what was accepted when all was up: the changes above.
  auto records = timeline::read_logs(o.folder);
  const auto begin =
    std::find_if(records.begin(), records.end(), [](const auto& r) {
      return r.name == "changes_begin";
    });
  // Earlier declarations came while the tree was still forming.
  for (auto r = records.begin(); r != begin; ++r) {
    if (r->name == "configuration_accepted") {
      r->name = "earlier";
    }
  }
  line["in_force_ms_max"] = timeline::longest_propagation_ms(records);
  return line;
}

} // namespace

int
run_capacity(const capacity_options& o)
{
  auto lines = json::array();
  for (const auto size : o.sizes) {
    std::string wrong;
    auto line = measure(o, size, wrong);
    if (!wrong.empty()) {
      std::cout << "capacity: failed at " << size << ": " << wrong << "\n";
      return 1;
    }
    std::cout << line.dump() << std::endl;
    lines.push_back(std::move(line));
  }
  if (!o.json.empty()) {
    std::ofstream{ o.json } << json{ { "sizes", lines } }.dump(2) << "\n";
  }
  return 0;
}

} // namespace cactusford::bench
