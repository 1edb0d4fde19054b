// The last gate before a backend server: refuses, queues, runs, and answers.
// The verdict "not run" is decided here, by one thread.
#pragma once

#include "cactusford/admission/queue.h"
#include "cactusford/calls/assembly.h"
#include "cactusford/calls/calls.pb.h"
#include "cactusford/calls/record.h"
#include "cactusford/process/daemon.h"
#include "cactusford/sidecar/home_guard.h"
#include "cactusford/sidecar/weight_keeper.h"

#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cactusford::sidecar {

class gate
{
public:
  gate(process::daemon& d,
       const settings::sidecar_settings& s,
       const weight_keeper& weights);

  // Serves a "/calls" stream: one request, then frames until its end.
  void accept(const link::stream_ptr& s);

  // Refuses what comes from now on and tells the open streams.
  void leave();

  bool is_leaving() const { return leaving_; }

  // True when nothing runs or waits, here or of what must be handed over.
  bool is_idle() const { return calls_.empty() && guard_.is_handed_over(); }
  bool has_calls() const { return !calls_.empty(); }

  home_guard& homes() { return guard_; }

  // Refuses what waited past its deadline.
  void tick();

private:
  // One receiver of an answer: the call's own stream, or a repeat's.
  struct receiver
  {
    link::stream_ptr stream;
    std::string request_id;
    std::uint32_t attempt = 0;
    std::uint32_t sequence = 0;
    calls::checksum sum;
  };

  struct call
  {
    std::uint64_t id = 0;
    calls::call_request request;
    std::vector<receiver> receivers;
    std::shared_ptr<std::atomic<bool>> cancelled =
      std::make_shared<std::atomic<bool>>(false);
    std::uint64_t deadline = 0;
    std::uint64_t begun = 0;
    std::uint64_t tokens = 0;
    std::uint64_t swap_epoch = 0;
    std::uint64_t version = 0;
    bool running = false;
    bool misattributed = false;
    failure stopped;
  };

  void on_request(const link::stream_ptr& s, std::string_view message);
  failure judge(const calls::call_request& r) const;
  bool admit_keyed(const calls::call_request& r, receiver& to);
  void enqueue(calls::call_request r, receiver to);
  void pump();
  void begin(call& c);
  void run_completion(call& c);
  void run_service(call& c);
  void on_chunk(std::uint64_t id, const engine::token_chunk& chunk);
  void on_generation_end(std::uint64_t id, const engine::generation_end& end);
  void on_answer(std::uint64_t id, const result<engine::service_answer>& r);
  void on_closed(link::stream* s, std::uint64_t id);
  void stop_call(call& c, const failure& why);
  void end_call(std::uint64_t id);
  void send_end(receiver& to, std::string_view reason);
  void send_answer(receiver& to, const calls::kept_answer& a, bool repeated);
  void send_frame(receiver& to, calls::call_frame& frame, bool with_load);
  void refuse(receiver& to, const failure& why);
  std::uint64_t attribute(call& c, const engine::token_chunk& chunk);
  std::uint64_t expected_wait_ms(const calls::call_request& r) const;

  process::daemon& daemon_;
  settings::sidecar_settings settings_;
  const weight_keeper& weights_;
  engine::client backend_;
  admission::queue queue_;
  calls::record record_;
  home_guard guard_;
  std::unordered_map<std::uint64_t, std::unique_ptr<call>> calls_;
  // Calls with an idempotency key that wait or run.
  std::unordered_map<std::string, std::uint64_t> keyed_;
  std::uint64_t next_id_ = 1;
  std::uint32_t running_callers_ = 0;
  std::uint32_t running_ = 0;
  double token_us_ = 0;
  double call_ms_ = 0;
  bool leaving_ = false;
};

} // namespace cactusford::sidecar
