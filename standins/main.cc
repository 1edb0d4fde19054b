// cactusford-standin: stand-ins for the external systems (platform, backend
// servers and trainers), for tests and the demo.

#include "cactusford/process/daemon.h"
#include "cactusford/timeline/event.h"
#include "standins/engine.h"
#include "standins/platform.h"
#include "standins/service.h"
#include "standins/trainer.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <thread>

namespace {

using namespace cactusford;
using nlohmann::json;

std::atomic<bool> stopped{ false };

void
on_signal(int)
{
  stopped = true;
}

// Writes the bound ports to `ports_file`. The file appears under its name only
// when it is complete, because the parent process waits for it.
void
write_ports(const json& settings, const json& ports)
{
  const auto path = settings.value("ports_file", std::string{});
  if (path.empty()) {
    return;
  }
  std::ofstream{ path + ".part" } << ports.dump();
  std::rename((path + ".part").c_str(), path.c_str());
}

void
wait_for_signal()
{
  while (!stopped) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  }
}

// Assigns the value of a key, if the key is present.
template<typename T>
void
read_optional(const json& j, const char* key, T& value)
{
  value = j.value(key, value);
}

int
run_platform(const json& j)
{
  standins::platform_settings s;
  read_optional(j, "address", s.address);
  read_optional(j, "latency_ms", s.latency_ms);
  read_optional(j, "list_lag_ms", s.list_lag_ms);
  read_optional(j, "writes_per_s", s.writes_per_s);
  read_optional(j, "reads_per_s", s.reads_per_s);
  standins::platform platform{ s };
  const int port = platform.start();
  if (port == 0) {
    std::cerr << "address " << s.address << " cannot be bound\n";
    return process::exit_settings;
  }
  write_ports(j, { { "platform", port } });
  wait_for_signal();
  return process::exit_ok;
}

standins::engine_settings
engine_settings_from(const json& j)
{
  standins::engine_settings s;
  read_optional(j, "name", s.name);
  read_optional(j, "address", s.address);
  read_optional(j, "threads", s.threads);
  read_optional(j, "step_base_us", s.step_base_us);
  read_optional(j, "step_per_sequence_us", s.step_per_sequence_us);
  read_optional(j, "prefill_us_per_token", s.prefill_us_per_token);
  read_optional(j, "max_batch", s.max_batch);
  read_optional(j, "kv_tokens", s.kv_tokens);
  read_optional(j, "cache_tokens", s.cache_tokens);
  read_optional(j, "length_mean", s.length_mean);
  read_optional(j, "length_sigma", s.length_sigma);
  read_optional(j, "straggler_share", s.straggler_share);
  read_optional(j, "straggler_factor", s.straggler_factor);
  read_optional(j, "stage_ms", s.stage_ms);
  read_optional(j, "swap_ms", s.swap_ms);
  read_optional(j, "obeys_fencing", s.obeys_fencing);
  read_optional(j, "reports_versions", s.reports_versions);
  read_optional(j, "latency_us", s.latency_us);
  return s;
}

int
run_backends(const json& j)
{
  std::vector<std::unique_ptr<standins::engine>> engines;
  std::vector<std::unique_ptr<standins::service>> services;
  json ports;
  for (const auto& item : j.value("engines", json::array())) {
    engines.push_back(
      std::make_unique<standins::engine>(engine_settings_from(item)));
    ports[engines.back()->name()] = engines.back()->start();
  }
  for (const auto& item : j.value("services", json::array())) {
    standins::service_settings s;
    read_optional(item, "name", s.name);
    read_optional(item, "address", s.address);
    read_optional(item, "threads", s.threads);
    read_optional(item, "work_ms", s.work_ms);
    services.push_back(std::make_unique<standins::service>(s));
    ports[s.name] = services.back()->start();
  }
  write_ports(j, ports);
  wait_for_signal();
  return process::exit_ok;
}

int
run_trainers(const json& j)
{
  std::vector<std::thread> threads;
  for (const auto& item : j.value("trainers", json::array())) {
    standins::trainer_settings s;
    read_optional(item, "name", s.name);
    read_optional(item, "entries", s.entries);
    read_optional(item, "steps", s.steps);
    read_optional(item, "train_ms", s.train_ms);
    s.log = j.value("log", std::string{});
    threads.emplace_back([s] { standins::run_trainer(s, stopped); });
  }
  write_ports(j, json::object());
  for (auto& t : threads) {
    t.join();
  }
  timeline::log(timeline::event{ "trainers_ended" });
  return process::exit_ok;
}

} // namespace

int
main(int argc, char** argv)
{
  int code = 0;
  const auto path = process::parse_settings_path(argc, argv, "", code);
  if (path.empty()) {
    return code;
  }
  std::ifstream in{ path };
  const auto j = json::parse(in, nullptr, false);
  if (!j.is_object()) {
    std::cerr << path << ": not a JSON object\n";
    return process::exit_settings;
  }
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  std::signal(SIGPIPE, SIG_IGN);
  timeline::open_log(j.value("log", std::string{}),
                     j.value("instance", std::string{ "standin" }));
  const auto role = j.value("role", std::string{});
  if (role == "platform") {
    return run_platform(j);
  }
  if (role == "backends") {
    return run_backends(j);
  }
  if (role == "trainers") {
    return run_trainers(j);
  }
  std::cerr << "unknown value '" << role
            << "' of key role; expected platform, backends or trainers\n";
  return process::exit_settings;
}
