// The owner of trainers: starts their samples, has them scored, and hands them
// to the trainer exactly once. See docs/ROLLOUT.md.
#pragma once

#include "cactusford/entry/caller.h"
#include "cactusford/entry/lease_holder.h"
#include "cactusford/rollout/step.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cactusford::entry {

using fetch_done = std::function<void(const rollout::fetch_reply&)>;

struct owner_status
{
  std::string trainer;
  std::uint64_t fence = 0;
  std::uint64_t step = 0;
  std::uint32_t received = 0;
  std::uint32_t step_size = 0;
  std::uint64_t weight_version = 0;
  double staleness_mean = 0;
};

class owner
{
public:
  owner(process::daemon& d, const settings::entry_settings& s, caller& calls);
  ~owner();

  void on_configuration(const configuration::snapshot_ptr& view);
  void tick();

  // Gives up all trainers.
  void leave();
  bool is_idle() const;

  // Answers when samples are ready or the wait is over.
  void fetch(const rollout::fetch_request& r, fetch_done done);

  std::vector<owner_status> status() const;

private:
  struct waiter;
  struct session;
  using session_ptr = std::shared_ptr<session>;
  struct running_sample;
  using sample_ptr = std::shared_ptr<running_sample>;

  void on_lease(const std::string& trainer, std::uint64_t fence);
  void enter_step(session& s, const rollout::fetch_request& r);
  rollout::step& step_of(session& s, std::uint64_t number);
  bool answer_ready(session& s, waiter& w);
  void answer_waiters(session& s);
  void fill(const session_ptr& s);
  bool start_from(const session_ptr& s, std::uint64_t number);
  std::uint64_t least_version(const session& s, std::uint64_t number) const;
  void start_sample(const session_ptr& s, std::uint64_t step, std::uint32_t i);
  void launch(const session_ptr& s, const sample_ptr& sample);
  void on_sample_end(const session_ptr& s,
                     const sample_ptr& sample,
                     const call_result& r);
  void score(const session_ptr& s, const sample_ptr& sample);
  void on_scored(const session_ptr& s, const sample_ptr& sample, double score);
  void cancel_calls(session& s, std::uint64_t step, std::uint32_t index);
  void write_ledger(const session_ptr& s);
  bool owns(const session& s) const;
  double run_ahead_of(const session& s) const;

  process::daemon& daemon_;
  settings::entry_settings settings_;
  caller& calls_;
  lease_holder leases_;
  std::map<std::string, session_ptr> sessions_;
  bool leaving_ = false;
};

} // namespace cactusford::entry
