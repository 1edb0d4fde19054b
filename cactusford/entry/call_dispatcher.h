// Drives calls from the first attempt to the final answer: routing, retries and
// resumption. Runs on the io thread.
#pragma once

#include "cactusford/admission/budget.h"
#include "cactusford/calls/assembly.h"
#include "cactusford/calls/calls.pb.h"
#include "cactusford/process/daemon.h"
#include "cactusford/routing/choose.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusford::entry {

struct call_result
{
  failure error;
  std::string finish_reason;
  std::string instance;
  std::uint32_t attempts = 0;
  std::uint64_t tokens = 0;
};

struct call_spec
{
  // Request id, pool, class and work; the other fields are set per attempt.
  calls::call_request request;
  // Calls with equal values go to the same backend servers while their load
  // allows.
  std::uint64_t affinity = 0;
  std::uint32_t deadline_ms = 60000;
  // An instance that must not be used, as a duplicate has to run elsewhere.
  std::string excluded_instance;
  bool may_resume = true;

  std::function<void(const calls::token_run&)> on_tokens;
  std::function<void(const calls::answer&)> on_answer;
  // Called once, after all other callbacks.
  std::function<void(const call_result&)> on_done;
};

class call_dispatcher
{
public:
  call_dispatcher(process::daemon& d, const settings::entry_settings& s);
  ~call_dispatcher();

  // Rebuilds the pools from the platform's list and keeps the known load of
  // each target.
  void on_configuration(const configuration::snapshot_ptr& view);

  // Returns a handle for `cancel`.
  std::uint64_t start(call_spec spec);

  // Ends the call without calling `on_done`.
  void cancel(std::uint64_t handle);

  // Ends all calls: those that are at a sidecar with an unknown outcome, the
  // others as not run.
  void end_all();

  // Number of slots in a pool on backend servers that take new work.
  std::uint32_t available_slots(const std::string& pool) const;

private:
  struct call;

  void start_attempt(const std::shared_ptr<call>& c);
  std::optional<std::uint32_t> choose_target(const call& c,
                                             routing::pool_state& pool);
  std::optional<std::uint32_t> home_target(const call& c,
                                           routing::pool_state& pool);
  void send(const std::shared_ptr<call>& c);
  void on_message(const std::shared_ptr<call>& c, std::string_view m);
  void on_content(const std::shared_ptr<call>& c, const calls::call_frame& f);
  void on_refusal(const std::shared_ptr<call>& c, const calls::refusal& r);
  void on_connection_lost(const std::shared_ptr<call>& c, std::error_code ec);
  void release_target(call& c);
  void retry(const std::shared_ptr<call>& c,
             const failure& error,
             bool counts_against_budget);
  void finish(const std::shared_ptr<call>& c, const failure& error);
  void on_deadline(const std::shared_ptr<call>& c);
  void record_load(call& c, const calls::load_report& load);
  routing::target* target_of(const call& c);
  failure no_target_error(const call& c);

  process::daemon& daemon_;
  settings::entry_settings settings_;
  routing::options routing_;
  bool may_resume_ = true;
  admission::retry_budget budget_;
  std::map<std::string, routing::pool_state> pools_;
  std::shared_ptr<const configuration::table<configuration::instance>>
    instances_;
  std::shared_ptr<const configuration::table<configuration::drain>> drains_;
  std::unordered_map<std::uint64_t, std::shared_ptr<call>> calls_;
  std::uint64_t next_handle_ = 1;
  std::mt19937_64 random_;
};

} // namespace cactusford::entry
