// The state of a call while it is forwarded. Internal to the forwarder.
#pragma once

#include "cactusford/edge/forward.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cactusford::edge {

struct forwarder::attempt
{
  http::pending_request exchange;
  backends::incarnation backend;
  std::string address;
  std::uint64_t sent_ms = 0;
  bool ended = false;
  // The backend server has certainly not run the request.
  bool not_run = false;
  // This instance ended it before it was sent: its end says nothing about the
  // server.
  bool is_withdrawn = false;
  std::uint64_t connect_timeout_ms = 0;
  // Load of the backend server when the request was sent, itself included.
  double load = 0;
  // How much of the attempt's time passes on the network.
  std::uint64_t network_ms = 0;

  // Returns the time that the backend server itself needed.
  std::uint64_t served_ms(std::uint64_t now_ms) const
  {
    const auto took = now_ms - sent_ms;
    return took > network_ms ? took - network_ms : 0;
  }
};

struct forwarder::service_queue
{
  std::string service;
  admission::call_queue state;
  std::map<std::uint64_t, std::shared_ptr<call_state>> waiting;
  asio::steady_timer timer;
  std::uint64_t queued = 0;
  std::uint64_t refused = 0;
};

struct forwarder::call_state
{
  forward_request input;
  handler done;
  std::string service;
  quarantine::fingerprint fingerprint;
  std::vector<std::string> contacted;
  std::vector<attempt> attempts;
  std::uint64_t started_ms = 0;
  // It was sent to an unreachable data centre, which may happen once.
  bool has_used_unreachable = false;
  std::unique_ptr<asio::steady_timer> deadline_timer;
  std::unique_ptr<asio::steady_timer> second_attempt_timer;
  std::unique_ptr<asio::steady_timer> wait_timer;
  std::uint32_t runs = 0;
  std::uint32_t failed_runs = 0;
  std::uint32_t refusals = 0;
  // Reported with the latest answer of a server.
  backends::reported_load load;
  // Backend servers had crashed while running this request before its first
  // attempt.
  bool is_suspect = false;
  // The next run of this call is the single trial run that shows whether the
  // request crashes backend servers.
  bool holds_trial = false;
  bool is_start_reported = false;
  // Refused because all servers of its service are drained.
  bool is_drained = false;
  // The quarantine decision because of which the call was refused.
  quarantine::decision refusal_decision;
  bool finished = false;
  // When the budget of a cold server returns, if no other server was left; 0
  // otherwise.
  std::uint64_t budget_returns_ms = 0;
  // The queue in which the call waits or to whose limit it counts; or null.
  service_queue* queue = nullptr;
  std::uint64_t queue_id = 0;
  std::uint64_t queue_started_ms = 0;
  // Its position when it arrived, and why the queue refused it.
  std::size_t queue_position = 0;
  admission::refusal queue_refusal = admission::refusal::too_late;

  bool is_repeatable() const
  {
    return input.route.kind == routes::call_kind::idempotent;
  }

  bool has_open_attempt() const
  {
    return std::any_of(
      attempts.begin(), attempts.end(), [](const auto& a) { return !a.ended; });
  }
};

} // namespace cactusford::edge
