// The request queue of a sidecar. Callers' requests run first; rollouts share
// the remaining capacity by weighted fair queueing, with a share for each
// trainer that is measured in tokens. Free of side effects beyond `queue`.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cactusford::admission {

enum class call_class
{
  live,
  check,
  booking,
  rollout,
};

// Priority of a class of calls; smaller values run first.
int
tier_of(call_class c) noexcept;

struct waiting_call
{
  std::uint64_t id = 0;
  call_class cls = call_class::live;
  // The trainer whose share this call is charged to.
  std::string flow;
  double share = 1;
  std::uint64_t expected_tokens = 1;

  friend bool operator==(const waiting_call&, const waiting_call&) = default;
};

struct flow_state
{
  double share = 1;
  // Tokens used, divided by the share. The flow with the lowest value is served
  // next.
  double virtual_time = 0;
  std::size_t waiting = 0;
  std::size_t running = 0;
};

struct queue
{
  std::size_t limit = 256;
  bool longest_first = true;
  // Callers' requests by tier and arrival; rollouts by flow, by length or
  // arrival.
  std::map<std::pair<int, std::uint64_t>, waiting_call> callers;
  std::map<std::string,
           std::map<std::pair<std::int64_t, std::uint64_t>, waiting_call>>
    rollouts;
  std::map<std::string, flow_state> flows;
  std::map<std::uint64_t, waiting_call> by_id;
};

// Returns false, without adding the call, if the queue is full.
bool
push(queue& q, const waiting_call& c);

// Removes and returns the next request of a caller.
std::optional<waiting_call>
pop_caller(queue& q);

// Removes and returns the next rollout, of the trainer with the lowest virtual
// time.
std::optional<waiting_call>
pop_rollout(queue& q);

// Returns false if the call is not queued, for example because it is running.
bool
remove(queue& q, std::uint64_t id);

// Charges the tokens that a running rollout has produced to its flow.
void
charge(queue& q, const std::string& flow, std::uint64_t tokens);

// Records that a rollout returned by `pop_rollout` has ended.
void
note_finished(queue& q, const std::string& flow);

std::size_t
size(const queue& q);

} // namespace cactusford::admission
