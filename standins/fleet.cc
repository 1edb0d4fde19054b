#include "standins/fleet.h"

#include "standins/child.h"

#include "cactusford/link/link.h"
#include "cactusford/process/daemon.h"
#include "cactusford/timeline/event.h"

#include <httplib.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

extern char** environ;

namespace cactusford::standins {

namespace {

using nlohmann::json;
namespace fs = std::filesystem;

constexpr std::uint32_t start_timeout_ms = 20000;
constexpr std::uint32_t stop_timeout_ms = 15000;

void
sleep_for_ms(std::uint32_t ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds{ ms });
}

json
read_json(const fs::path& path)
{
  std::ifstream in{ path };
  return json::parse(in, nullptr, false, true);
}

std::string
read_text(const fs::path& path)
{
  std::ifstream in{ path };
  return { std::istreambuf_iterator<char>{ in }, {} };
}

} // namespace

fleet::fleet(fleet_options options)
  : options_{ std::move(options) }
{
  std::signal(SIGPIPE, SIG_IGN);
  fs::remove_all(options_.folder);
  fs::create_directories(options_.folder);
  deployment_ = read_json(options_.deployment + "/deployment.json");
  deployment_.merge_patch(options_.deployment_settings);
}

// Stops the daemons before the stand-ins. Otherwise the daemons would report
// the shutdown of the stand-ins as failures.
fleet::~fleet()
{
  std::vector<std::string> standins;
  std::vector<std::string> daemons;
  for (const auto& [name, process] : processes_) {
    auto& group = process.list_entry.is_null() ? standins : daemons;
    group.push_back(name);
  }
  for (const auto* group : { &daemons, &standins }) {
    for (const auto& name : *group) {
      if (is_running(name)) {
        kill(processes_[name].pid, SIGCONT);
        kill(processes_[name].pid, SIGTERM);
      }
    }
    for (const auto& name : *group) {
      if (wait_exit(name, stop_timeout_ms) < 0) {
        signal(name, SIGKILL);
      }
    }
  }
}

json
fleet::common_settings(const std::string& name, std::size_t index) const
{
  const auto& data_centres = deployment_.at("data_centres");
  return { { "instance", name },
           { "region", deployment_.at("region") },
           { "data_centre", data_centres[index % data_centres.size()] },
           { "link", "127.0.0.1:0" },
           { "admin", "127.0.0.1:0" },
           { "platform", address("platform", "platform") },
           { "log", options_.folder + "/" + name + ".log" },
           { "ports_file", options_.folder + "/" + name + ".ports" } };
}

std::string
fleet::spawn(const std::string& name)
{
  auto& process = processes_.at(name);
  const auto base = options_.folder + "/" + name;
  fs::remove(base + ".ports");
  std::ofstream{ base + ".json" } << process.settings.dump(2) << "\n";
  process.pid = spawn_program(
    { options_.programs + "/" + process.program, "--settings", base + ".json" },
    base + ".out");
  return wait_for_ports(name)
           ? std::string{}
           : name + " failed to start: " + read_text(base + ".out");
}

bool
fleet::wait_for_ports(const std::string& name)
{
  auto& process = processes_.at(name);
  const auto path = options_.folder + "/" + name + ".ports";
  for (std::uint32_t waited = 0; waited < start_timeout_ms; waited += 10) {
    if (fs::exists(path)) {
      process.ports.clear();
      const auto bound = read_json(path);
      for (const auto& [port, number] : bound.items()) {
        process.ports[port] = number;
      }
      return true;
    }
    if (!is_running(name)) {
      return false;
    }
    sleep_for_ms(10);
  }
  return false;
}

std::string
fleet::address(const std::string& name, const std::string& port) const
{
  return "127.0.0.1:" + std::to_string(processes_.at(name).ports.at(port));
}

std::string
fleet::address_of_backend(const std::string& backend) const
{
  return address(host_processes_.at(backend), backend);
}

void
fleet::add_backends()
{
  json shared{ { "role", "backends" },
               { "instance", "backends" },
               { "engines", json::array() },
               { "services", json::array() } };
  const auto add_backend =
    [&](const std::string& name, const char* group, const json& settings) {
      host_processes_[name] = options_.split_backends ? name : "backends";
      if (!options_.split_backends) {
        shared[group].push_back(settings);
        return;
      }
      processes_[name] = { "cactusford-standin",
                           { { "role", "backends" },
                             { "instance", name },
                             { group, json::array({ settings }) } },
                           nullptr,
                           0,
                           {} };
    };
  for (const auto& e : deployment_.value("engines", json::array())) {
    for (int i = 0; i < e.at("count"); ++i) {
      auto settings = e.value("settings", json::object());
      settings.merge_patch(options_.engine_settings);
      const auto name =
        "engine-" + e.at("pool").get<std::string>() + "-" + std::to_string(i);
      settings["name"] = name;
      add_backend(name, "engines", settings);
    }
  }
  for (const auto& s : deployment_.value("services", json::array())) {
    for (int i = 0; i < s.at("count"); ++i) {
      auto settings = s.value("settings", json::object());
      const auto name = "server-" + s.at("service").get<std::string>() + "-" +
                        std::to_string(i);
      settings["name"] = name;
      add_backend(name, "services", settings);
    }
  }
  if (!options_.split_backends) {
    processes_["backends"] = { "cactusford-standin", shared, nullptr, 0, {} };
  }
  for (auto& [name, process] : processes_) {
    process.settings["log"] = options_.folder + "/" + name + ".log";
    process.settings["ports_file"] = options_.folder + "/" + name + ".ports";
  }
}

void
fleet::add_sidecar(const std::string& name,
                   const std::string& kind,
                   const std::string& serves,
                   const std::string& backend,
                   std::size_t index)
{
  auto s = common_settings(name, index);
  s["backend"] = address_of_backend(backend);
  s["kind"] = kind;
  s["serves"] = serves;
  s.merge_patch(options_.sidecar_settings);
  json list_entry{ { "id", name },
                   { "role", "sidecar" },
                   { "region", s["region"] },
                   { "data_centre", s["data_centre"] },
                   { "serves", serves },
                   { "state", "live" } };
  processes_[name] = { "cactusford-sidecar", s, list_entry, 0, {} };
  sidecars_[serves].push_back(name);
}

std::string
fleet::start()
{
  json s{ { "role", "platform" }, { "instance", "platform" } };
  s.merge_patch(options_.platform_settings);
  processes_["platform"] = { "cactusford-standin", s, nullptr, 0, {} };
  add_backends();
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    names.push_back(name);
  }
  for (const auto& name : names) {
    if (const auto error = spawn(name); !error.empty()) {
      return error;
    }
  }
  std::vector<std::string> daemons;
  std::size_t index = 0;
  for (int i = 0; i < deployment_.value("entries", 2); ++i) {
    const auto name = "entry-" + std::to_string(i);
    auto e = common_settings(name, index++);
    e["http"] = "127.0.0.1:0";
    e["rpc"] = "127.0.0.1:0";
    e.merge_patch(options_.entry_settings);
    json list_entry{ { "id", name },
                     { "role", "entry" },
                     { "region", e["region"] },
                     { "data_centre", e["data_centre"] },
                     { "state", "live" } };
    processes_[name] = { "cactusford-entry", e, list_entry, 0, {} };
    daemons.push_back(name);
  }
  for (const auto& e : deployment_.value("engines", json::array())) {
    for (int i = 0; i < e.at("count"); ++i) {
      const std::string pool = e.at("pool");
      const auto n = pool + "-" + std::to_string(i);
      add_sidecar(n, "engine", pool, "engine-" + n, index++);
      daemons.push_back(n);
    }
  }
  for (const auto& e : deployment_.value("services", json::array())) {
    for (int i = 0; i < e.at("count"); ++i) {
      const std::string service = e.at("service");
      const auto n = service + "-" + std::to_string(i);
      add_sidecar(n, "service", service, "server-" + n, index++);
      daemons.push_back(n);
    }
  }
  for (const auto& name : daemons) {
    if (const auto error = spawn(name); !error.empty()) {
      return error;
    }
  }
  update_instance_list(daemons);
  for (const auto& name : daemons) {
    if (!wait_ready(name, start_timeout_ms)) {
      return name + " did not become ready";
    }
  }
  return {};
}

bool
fleet::post(const std::string& address,
            const std::string& path,
            const json& body) const
{
  const auto endpoint = link::address_from(address);
  httplib::Client client{ endpoint.ip, endpoint.port };
  client.set_read_timeout(std::chrono::seconds{ 5 });
  const auto response = client.Post(path, body.dump(), "application/json");
  return response && response->status == 200;
}

void
fleet::update_instance_list(const std::vector<std::string>& names)
{
  auto list_entries = json::array();
  for (const auto& name : names) {
    auto& process = processes_.at(name);
    process.list_entry["link"] = address(name, "link");
    list_entries.push_back(process.list_entry);
  }
  post(address("platform", "platform"), "/control/instances", list_entries);
}

void
fleet::mark_leaving(const std::string& name)
{
  processes_.at(name).list_entry["state"] = "leaving";
  update_instance_list({ name });
}

void
fleet::mark_gone(const std::string& name)
{
  post(address("platform", "platform"),
       "/control/instances",
       json::array({ { { "id", name }, { "gone", true } } }));
}

void
fleet::mark_live(const std::string& name)
{
  if (is_running(name)) {
    processes_.at(name).list_entry["state"] = "live";
    update_instance_list({ name });
  }
}

void
fleet::restart_backend(const std::string& name)
{
  auto& process = processes_.at(name);
  for (const auto* group : { "engines", "services" }) {
    if (process.settings.contains(group)) {
      process.settings[group][0]["address"] = address(name, name);
    }
  }
  spawn(name);
}

bool
fleet::wait_ready(const std::string& name, std::uint32_t limit_ms)
{
  const auto endpoint = link::address_from(address(name, "admin"));
  const auto end = cactusford::process::steady_ms() + limit_ms;
  while (cactusford::process::steady_ms() < end && is_running(name)) {
    httplib::Client client{ endpoint.ip, endpoint.port };
    const auto response = client.Get("/readyz");
    if (response && response->status == 200) {
      return true;
    }
    sleep_for_ms(20);
  }
  return false;
}

bool
fleet::is_running(const std::string& name)
{
  auto& process = processes_.at(name);
  if (process.pid == 0) {
    return false;
  }
  int status = 0;
  if (waitpid(process.pid, &status, WNOHANG) == process.pid) {
    process.pid = 0;
    return false;
  }
  return true;
}

pid_t
fleet::pid_of(const std::string& name) const
{
  return processes_.at(name).pid;
}

json
fleet::platform_counts() const
{
  const auto endpoint = link::address_from(address("platform", "platform"));
  httplib::Client client{ endpoint.ip, endpoint.port };
  const auto response = client.Get("/control/counts");
  return response ? json::parse(response->body, nullptr, false)
                  : json::object();
}

void
fleet::signal(const std::string& name, int signal_number)
{
  auto& process = processes_.at(name);
  if (process.pid == 0) {
    return;
  }
  const auto* event_name = signal_number == SIGKILL   ? "process_killed"
                           : signal_number == SIGSTOP ? "process_paused"
                           : signal_number == SIGCONT ? "process_resumed"
                                                      : "process_signalled";
  timeline::log(timeline::event{ event_name }.with("target", name));
  kill(process.pid, signal_number);
  if (signal_number == SIGKILL) {
    int status = 0;
    waitpid(process.pid, &status, 0);
    process.pid = 0;
  }
}

int
fleet::wait_exit(const std::string& name, std::uint32_t limit_ms)
{
  auto& process = processes_.at(name);
  for (std::uint32_t waited = 0; process.pid != 0 && waited < limit_ms;
       waited += 10) {
    int status = 0;
    if (waitpid(process.pid, &status, WNOHANG) == process.pid) {
      process.pid = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
    }
    sleep_for_ms(10);
  }
  return process.pid == 0 ? 0 : -1;
}

// Returns the link addresses of a few running instances. A process that starts
// while the platform is down can ask them for the configuration.
std::vector<std::string>
fleet::peer_links(const std::string& excluded)
{
  constexpr std::size_t max_links = 4;
  std::vector<std::string> links;
  for (const auto& [name, process] : processes_) {
    if (name != excluded && !process.list_entry.is_null() &&
        links.size() < max_links && is_running(name)) {
      links.push_back(address(name, "link"));
    }
  }
  return links;
}

std::string
fleet::respawn(const std::string& name)
{
  auto& process = processes_.at(name);
  if (!process.list_entry.is_null()) {
    process.settings["peers"] = peer_links(name);
  }
  // The rpc port must not change, because trainers know the entries only by
  // address, as behind a load balancer.
  if (process.ports.contains("rpc")) {
    process.settings["rpc"] = address(name, "rpc");
  }
  auto error = spawn(name);
  if (error.empty() && !process.list_entry.is_null()) {
    process.list_entry["state"] = "live";
    update_instance_list({ name });
  }
  return error;
}

std::string
fleet::restart(const std::string& name)
{
  auto error = respawn(name);
  const bool is_daemon = !processes_.at(name).list_entry.is_null();
  if (error.empty() && is_daemon && !wait_ready(name, start_timeout_ms)) {
    error = name + " did not become ready";
  }
  return error;
}

void
fleet::inject_platform_fault(const json& faults)
{
  post(address("platform", "platform"), "/control/faults", faults);
}

void
fleet::inject_backend_fault(const std::string& backend, const json& faults)
{
  post(address_of_backend(backend), "/control/faults", faults);
}

std::vector<std::string>
fleet::entries() const
{
  std::vector<std::string> names;
  for (const auto& [name, process] : processes_) {
    if (process.program == "cactusford-entry") {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string>
fleet::sidecars(const std::string& serves) const
{
  const auto found = sidecars_.find(serves);
  return found == sidecars_.end() ? std::vector<std::string>{} : found->second;
}

std::string
fleet::data_centre(const std::string& name) const
{
  return processes_.at(name).settings.at("data_centre");
}

std::pair<int, std::string>
fleet::run_operator_command(const std::vector<std::string>& arguments)
{
  std::vector<std::string> command{ options_.programs + "/cactusford" };
  for (const auto& e : entries()) {
    if (is_running(e)) {
      command.push_back("--entry=" + address(e, "rpc"));
    }
  }
  command.insert(command.end(), arguments.begin(), arguments.end());
  const auto output = options_.folder + "/operator-" +
                      cactusford::process::generate_id() + ".out";
  const auto pid = spawn_program(command, output);
  int status = 0;
  waitpid(pid, &status, 0);
  auto text = read_text(output);
  fs::remove(output);
  return { WIFEXITED(status) ? WEXITSTATUS(status) : 128, text };
}

std::string
fleet::apply_declarations()
{
  const auto [code, text] = run_operator_command(
    { "apply", "-f", options_.deployment + "/declarations" });
  return code == 0 ? std::string{} : "apply failed: " + text;
}

std::string
fleet::apply(const std::string& kind,
             const std::string& name,
             const json& spec,
             const std::string& operator_name)
{
  const auto path = options_.folder + "/declare-" + kind + "-" + name + "-" +
                    operator_name + ".json";
  std::ofstream{ path } << json{ { "kind", kind },
                                 { "name", name },
                                 { "spec", spec } };
  const auto [code, text] = run_operator_command({ "apply", "-f", path });
  return code == 0 ? std::string{} : "apply failed: " + text;
}

void
fleet::start_trainers(std::uint64_t steps)
{
  auto trainers = deployment_.value("trainers", json::array());
  for (auto& trainer : trainers) {
    trainer["steps"] = steps;
    trainer["entries"] = json::array();
    for (const auto& e : entries()) {
      trainer["entries"].push_back(address(e, "rpc"));
    }
  }
  processes_["trainers"] = { "cactusford-standin",
                             { { "role", "trainers" },
                               { "instance", "trainers" },
                               { "trainers", trainers },
                               { "log", options_.folder + "/trainers.log" },
                               { "ports_file",
                                 options_.folder + "/trainers.ports" } },
                             nullptr,
                             0,
                             {} };
  spawn("trainers");
}

} // namespace cactusford::standins
