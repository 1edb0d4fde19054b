// A test cluster: each entry is a process of its own, the store, the engines
// and the service are stand-ins in this process, and proxies inject faults
// between the entries and the store and between the entries and the engines.
#pragma once

#include "cactusford/http/client.h"
#include "cactusford/http/server.h"
#include "soak/change_checker.h"
#include "soak/invariant_checker.h"
#include "soak/plan.h"
#include "soak/proxy.h"
#include "standins/object_store.h"
#include "standins/stream_engine.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cactusford::soak {

struct soak_options
{
  plan_options plan;
  // Path of the entry program, and the folder for settings and logs.
  std::string program;
  std::string folder;
  std::size_t trainers = 3;
  // Longest time until a change is in force. With 0, only reverted changes are
  // violations.
  std::uint64_t in_force_ms = 0;
};

class cluster
{
public:
  explicit cluster(soak_options o);
  ~cluster();
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;

  // Injects the planned faults, ends them all, and waits until the accepted
  // work is complete.
  void run();

  const invariant_checker& invariants() const { return invariants_; }
  const change_checker& changes() const { return changes_; }
  std::size_t applied_faults() const { return applied_faults_; }
  // Items that were submitted again in a later batch.
  std::size_t reused_items() const { return reused_items_; }

private:
  struct entry;
  struct engine;
  struct trainer;

  void write_settings(entry& e);
  void start(entry& e);
  void poll_processes();
  void pass_engine_runs();
  void apply(const fault& f);
  void heal(const fault& f);
  void run_after(std::uint64_t ms, std::function<void()> action);
  void run_for(std::uint64_t ms);
  bool all_work_done() const;

  void start_step(trainer& t);
  void send_batch(trainer& t);
  void read_results(trainer& t);
  void end_batch(trainer& t);
  void send_call();
  void schedule_changes();
  void change_configuration();
  void probe_entries();
  void probe_entry(std::size_t i, std::uint64_t version);
  void track_fault(const fault& f, int delta);
  bool is_undisturbed(const entry& e, std::uint64_t for_ms) const;
  void drain(const std::string& data_centre);
  void undrain(const std::string& data_centre);
  void set_data_centre_fault(const std::string& data_centre, link_fault fault);
  void announce(const std::string& id,
                const char* service,
                const std::string& data_centre,
                const std::string& address);
  nlohmann::json announcement_of(const engine& e) const;
  void restart_cold(engine& e);
  void load_weights(engine& e);
  void set_failures(engine& e, bool fail_resumed_runs, bool active);
  void check_engines_are_used();
  void check_arrivals(engine& e);
  void check_drained(const std::string& server,
                     const std::string& data_centre,
                     const std::string& request,
                     std::uint64_t at_ms);
  entry& random_entry();

  soak_options options_;
  asio::io_context io_;
  std::mt19937_64 random_;
  invariant_checker invariants_;
  change_checker changes_;
  standins::object_store store_;
  std::vector<std::unique_ptr<engine>> engines_;
  http::server service_;
  http::client call_client_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<std::unique_ptr<trainer>> trainers_;
  http::client probe_client_;
  std::uint64_t version_ = 0;
  // Active faults of the store, and the time when the last one began or ended.
  int store_faults_ = 0;
  std::uint64_t store_undisturbed_since_ms_ = 0;
  bool store_refuses_ = false;
  bool store_loses_responses_ = false;
  bool is_draining_ = false;
  bool has_finished_ = false;
  std::size_t applied_faults_ = 0;
  std::size_t reused_items_ = 0;
  std::uint64_t newest_weights_ = 1;
  std::uint64_t next_id_ = 1;
};

} // namespace cactusford::soak
