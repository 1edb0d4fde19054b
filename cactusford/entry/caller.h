// Drives one call from its first attempt to its final answer: routing,
// retries, resumption. Runs on the io thread.
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
  // Request id, pool, class and work; the rest is filled in per attempt.
  calls::call_request request;
  // Equal keys go to the same backend servers while their load allows.
  std::uint64_t affinity = 0;
  std::uint32_t deadline_ms = 60000;
  // Not to be sent there: a duplicate must run elsewhere.
  std::string not_on;
  bool may_resume = true;

  std::function<void(const calls::token_run&)> on_tokens;
  std::function<void(const calls::answer&)> on_answer;
  // Runs once, last.
  std::function<void(const call_result&)> on_done;
};

class caller
{
public:
  caller(process::daemon& d, const settings::entry_settings& s);
  ~caller();

  // Rebuilds the pools from the platform's list; known loads are kept.
  void on_configuration(const configuration::snapshot_ptr& view);

  // Returns a handle for `cancel`.
  std::uint64_t start(call_spec spec);

  // Ends the call without a result.
  void cancel(std::uint64_t handle);

  // Backend servers and slots of a pool that take new work.
  std::uint32_t slots_of(const std::string& pool) const;

private:
  struct call;

  void attempt(const std::shared_ptr<call>& c);
  std::optional<std::uint32_t> place(const call& c, routing::pool_state& p);
  std::optional<std::uint32_t> home(const call& c, routing::pool_state& p);
  void send(const std::shared_ptr<call>& c);
  void on_message(const std::shared_ptr<call>& c, std::string_view m);
  void on_content(const std::shared_ptr<call>& c, const calls::call_frame& f);
  void on_refusal(const std::shared_ptr<call>& c, const calls::refusal& r);
  void on_cut(const std::shared_ptr<call>& c, std::error_code ec);
  void leave_target(call& c);
  void retry(const std::shared_ptr<call>& c,
             const failure& why,
             bool counts_against_budget);
  void finish(const std::shared_ptr<call>& c, const failure& why);
  void on_deadline(const std::shared_ptr<call>& c);
  void note_load(call& c, const calls::load_report& load);
  routing::target* target_of(const call& c);

  process::daemon& daemon_;
  settings::entry_settings settings_;
  routing::options routing_;
  bool may_resume_ = true;
  admission::retry_budget budget_;
  std::map<std::string, routing::pool_state> pools_;
  std::shared_ptr<const configuration::table<configuration::instance>>
    instances_;
  std::unordered_map<std::uint64_t, std::shared_ptr<call>> calls_;
  std::uint64_t next_handle_ = 1;
  std::mt19937_64 random_;
};

} // namespace cactusford::entry
