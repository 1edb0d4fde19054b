// Owns trainers: starts their samples, has them scored, and delivers each to
// the trainer exactly once. See docs/ROLLOUT.md.
#pragma once

#include "cactusford/entry/call_dispatcher.h"
#include "cactusford/entry/lease_manager.h"
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
  owner(process::daemon& d,
        const settings::entry_settings& s,
        call_dispatcher& dispatcher);
  ~owner();

  void on_configuration(const configuration::snapshot_ptr& view);
  void tick();

  // Releases all trainers.
  void leave();
  bool is_idle() const;

  // Calls `done` when samples are ready or the wait has ended.
  void fetch(const rollout::fetch_request& r, fetch_done done);

  std::vector<owner_status> status() const;

private:
  struct pending_fetch;
  struct session;
  using session_ptr = std::shared_ptr<session>;
  struct running_sample;
  using sample_ptr = std::shared_ptr<running_sample>;

  void on_lease(const std::string& trainer, std::uint64_t fence);
  void enter_step(session& s, const rollout::fetch_request& r);
  rollout::step& get_step(session& s, std::uint64_t number);
  bool try_answer(session& s, pending_fetch& w);
  void answer_pending_fetches(session& s);
  void start_samples(const session_ptr& s);
  bool start_sample_of_step(const session_ptr& s, std::uint64_t number);
  std::uint64_t min_version_for(const session& s, std::uint64_t number) const;
  void start_sample(const session_ptr& s, std::uint64_t step, std::uint32_t i);
  void start_call(const session_ptr& s, const sample_ptr& sample);
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
  call_dispatcher& dispatcher_;
  lease_manager leases_;
  std::map<std::string, session_ptr> sessions_;
  bool leaving_ = false;
};

} // namespace cactusford::entry
