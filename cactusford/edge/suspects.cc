// How the forwarder treats requests that may crash backend servers.
#include "cactusford/edge/forward_impl.h"

namespace cactusford::edge {

namespace {

// How often a suspected request checks whether the run that it waits for has
// ended. A plain call takes about ten milliseconds.
constexpr std::uint64_t suspect_poll_interval_ms = 20;

} // namespace

quarantine::decision
forwarder::check_quarantine(const call_state& call)
{
  return quarantine_ == nullptr
           ? quarantine::decision{}
           : quarantine_->evaluate(call.fingerprint,
                                   call.input.demand.is_scorer
                                     ? quarantine::run_kind::scorer_call
                                     : quarantine::run_kind::call);
}

// Refuses a poison request, unless one of its attempts is still open and will
// decide the call. Without the refusal, each arrival of such a request at any
// entry crashes all servers of the service and fails all other calls on them:
// four servers crashed sixteen times within 90 s.
void
forwarder::refuse_quarantined(const std::shared_ptr<call_state>& call,
                              const quarantine::decision& v)
{
  call->refusal_decision = v;
  if (call->has_open_attempt()) {
    return;
  }
  const bool may_have_run = call->runs > 0;
  quarantine_->note_refused();
  finish(
    call, may_have_run ? forward_end::unknown : forward_end::quarantined, {});
}

void
forwarder::report_to_quarantine(const call_state& call,
                                const attempt& a,
                                const attempt_end& end)
{
  if (quarantine_ == nullptr) {
    return;
  }
  if (end.state == http::exchange_outcome::connection_lost) {
    quarantine_->on_connection_lost(a.backend, a.address, call.fingerprint);
  } else if (end.state == http::exchange_outcome::complete && end.is_signed &&
             !end.not_run) {
    quarantine_->on_answered(call.fingerprint);
  }
}

// Returns whether an attempt may be sent now. If not, the call has been refused
// or resumes later, after a trial has been claimed or a pending run has ended.
bool
forwarder::may_send(const std::shared_ptr<call_state>& call)
{
  if (call->holds_trial) {
    return true;
  }
  const auto v = check_quarantine(*call);
  if (v.status == quarantine::request_status::quarantined) {
    refuse_quarantined(call, v);
    return false;
  }
  // Without a backend server the call ends now: it must not wait for the run of
  // another one.
  if (!call->has_open_attempt() && is_drained(*call)) {
    return true;
  }
  if (quarantine::has_crashes(v) && call->attempts.empty()) {
    call->is_suspect = true;
    if (has_unresolved_run(*call)) {
      wait_for_unresolved_run(call);
      return false;
    }
  }
  switch (v.status) {
    case quarantine::request_status::clear:
    case quarantine::request_status::suspected:
      return true;
    case quarantine::request_status::on_trial:
      // Without a backend server the call ends now. A claimed trial would hold
      // up the same request at all instances.
      if (choose_backend(*call) == nullptr) {
        return true;
      }
      start_trial(call);
      return false;
    case quarantine::request_status::awaiting_trial:
      wait_for_unresolved_run(call);
      return false;
    case quarantine::request_status::quarantined:
      return false;
    case quarantine::request_status::paused:
      return true;
  }
  return true;
}

// True while the same request is running, or while the outcome of such a run is
// still being checked.
bool
forwarder::has_unresolved_run(const call_state& call) const
{
  return running_attempts_.contains(call.fingerprint) ||
         quarantine_->is_probing(call.fingerprint);
}

// Runs of a suspected request are serialized. Concurrent ones could each crash
// a server before the first crash is known.
void
forwarder::wait_for_unresolved_run(const std::shared_ptr<call_state>& call)
{
  release_room(*call);
  call->wait_timer = std::make_unique<asio::steady_timer>(
    io_, std::chrono::milliseconds{ suspect_poll_interval_ms });
  call->wait_timer->async_wait([this, call](asio::error_code ec) {
    if (!ec && !call->finished) {
      send_next_attempt(call);
    }
  });
}

void
forwarder::start_trial(const std::shared_ptr<call_state>& call)
{
  release_room(*call);
  quarantine_->claim_trial(call->fingerprint, [this, call](bool is_granted) {
    if (call->finished) {
      return;
    }
    const auto v = check_quarantine(*call);
    call->holds_trial = is_granted;
    call->is_suspect = call->is_suspect || is_granted;
    if (is_granted || v.status == quarantine::request_status::awaiting_trial) {
      send_next_attempt(call);
    } else {
      refuse_quarantined(call, v);
    }
  });
}

} // namespace cactusford::edge
