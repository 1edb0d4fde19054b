// Handles calls in front of a backend server: refuses, queues and runs them,
// and sends the answers. All decisions are made on one thread, so a call
// reported as "not run" really was not run.
#pragma once

#include "cactusford/admission/queue.h"
#include "cactusford/calls/assembly.h"
#include "cactusford/calls/calls.pb.h"
#include "cactusford/calls/record.h"
#include "cactusford/process/daemon.h"
#include "cactusford/sidecar/home_membership.h"
#include "cactusford/sidecar/weight_manager.h"

#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

namespace cactusford::sidecar {

class call_handler
{
public:
  call_handler(process::daemon& d,
               const settings::sidecar_settings& s,
               const weight_manager& weights);

  // Serves a "/calls" stream: one request, followed by the frames of the
  // answer.
  void accept(const link::stream_ptr& s);

  // Refuses new calls from now on and notifies the open streams.
  void leave();

  bool is_leaving() const { return leaving_; }

  // True when no call runs or waits and the keys of this home have been handed
  // over.
  bool is_idle() const { return calls_.empty() && home_.is_handed_over(); }
  bool has_calls() const { return !calls_.empty(); }

  home_membership& home() { return home_; }

  // Stops calls whose deadline has passed.
  void tick();

private:
  // A stream that receives an answer: that of the call itself or of a repeat.
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
    std::uint64_t started_ms = 0;
    std::uint64_t tokens = 0;
    std::uint64_t swap_epoch = 0;
    std::uint64_t version = 0;
    bool running = false;
    bool is_unattributable = false;
    failure stop_reason;
  };

  void on_request(const link::stream_ptr& s, std::string_view message);
  failure check_request(const calls::call_request& r) const;
  bool admit_keyed(const calls::call_request& r, receiver& to);
  void enqueue(calls::call_request r, receiver to);
  void start_waiting_calls();
  void start_call(call& c);
  void run_completion(call& c);
  void run_service(call& c);
  void on_chunk(std::uint64_t id, const engine::token_chunk& chunk);
  void on_generation_end(std::uint64_t id,
                         const engine::generation_result& end);
  void on_answer(std::uint64_t id, const result<engine::service_answer>& r);
  void on_closed(link::stream* s, std::uint64_t id);
  void stop_call(call& c, const failure& error);
  void end_call(std::uint64_t id);
  void send_end(receiver& to, std::string_view reason);
  void send_answer(receiver& to, const calls::stored_answer& a, bool is_repeat);
  void send_frame(receiver& to, calls::call_frame& frame, bool with_load);
  void refuse(receiver& to, const failure& error);
  std::uint64_t version_of_chunk(call& c, const engine::token_chunk& chunk);
  std::uint64_t expected_wait_ms(const calls::call_request& r) const;

  process::daemon& daemon_;
  settings::sidecar_settings settings_;
  const weight_manager& weights_;
  engine::client backend_;
  admission::queue queue_;
  calls::idempotency_record record_;
  home_membership home_;
  std::unordered_map<std::uint64_t, std::unique_ptr<call>> calls_;
  // Running or waiting calls by idempotency key.
  std::unordered_map<std::string, std::uint64_t> calls_by_key_;
  std::uint64_t next_id_ = 1;
  std::uint32_t running_callers_ = 0;
  std::uint32_t running_ = 0;
  double token_us_ = 0;
  double call_ms_ = 0;
  bool leaving_ = false;
};

} // namespace cactusford::sidecar
