// The systems around the entries and the entries themselves: stand-ins in this
// process, entries as processes of their own, a proxy on each connection.
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

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cactusford::soak {

struct soak_options
{
  plan_options plan;
  // The entry program, and where logs go.
  std::string program;
  std::string folder;
  std::size_t trainers = 3;
  // For how late a change may be; 0: only that none goes back is checked.
  std::uint64_t in_force_ms = 0;
};

class world
{
public:
  explicit world(soak_options o);
  ~world();
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  // Plays the plan, heals everything, and waits for what was accepted.
  void play();

  const judge& seen() const { return judge_; }
  const change_judge& changes() const { return changes_; }
  std::size_t faults() const { return faults_; }

private:
  struct entry;
  struct engine;
  struct trainer;

  void write_settings(entry& e);
  void start(entry& e);
  void note_exits();
  void apply(const fault& f);
  void heal(const fault& f);
  void after(std::uint64_t ms, std::function<void()> run);
  void run_for(std::uint64_t ms);
  bool all_work_done() const;

  void submit(trainer& t);
  void send_batch(trainer& t);
  void read(trainer& t);
  void end_batch(trainer& t);
  void call_plain();
  void plan_changes();
  void change_configuration();
  void probe_entries();
  void probe_entry(std::size_t i, std::uint64_t version);
  void note_disturbance(const fault& f, int begins);
  bool is_undisturbed(const entry& e) const;
  entry& any_entry();

  soak_options options_;
  asio::io_context io_;
  std::mt19937_64 random_;
  judge judge_;
  change_judge changes_;
  standins::object_store store_;
  std::vector<std::unique_ptr<engine>> engines_;
  http::server service_;
  http::client callers_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<std::unique_ptr<trainer>> trainers_;
  http::client probers_;
  std::uint64_t version_ = 0;
  // Faults of the store under way, and when the last one began or ended.
  int store_faults_ = 0;
  std::uint64_t store_calm_since_ms_ = 0;
  bool refusing_ = false;
  bool losing_ = false;
  bool winding_up_ = false;
  bool over_ = false;
  std::size_t faults_ = 0;
  std::uint64_t next_id_ = 1;
};

} // namespace cactusford::soak
