// How the forwarder treats calls to data centres that do not answer.
#include "cactusford/backends/reach_evidence.h"
#include "cactusford/edge/forward_impl.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/event.h"

#include <utility>

namespace cactusford::edge {

// Records what the end of an attempt says about the data centre of its server.
// A call that has no answer yet says nothing: its server may be slow or full.
void
forwarder::note_reach(const attempt& a, http::exchange_outcome end)
{
  const auto* b = backends::find(registry_, a.backend);
  if (b == nullptr) {
    return;
  }
  const auto now = http::now_ms();
  bool has_changed = false;
  switch (end) {
    case http::exchange_outcome::complete:
      has_changed = backends::note_reached(registry_, *b, now);
      break;
    case http::exchange_outcome::not_sent:
      has_changed = backends::note_not_connected(
        registry_, *b, { a.sent_ms, a.connect_timeout_ms }, now);
      break;
    case http::exchange_outcome::connection_lost:
      has_changed = backends::note_silent(registry_, *b, a.sent_ms, now);
      break;
    case http::exchange_outcome::timed_out:
    case http::exchange_outcome::malformed:
      break;
  }
  const bool is_in_doubt =
    end != http::exchange_outcome::complete &&
    !backends::doubtful_data_centres(registry_, now).empty();
  if ((has_changed || is_in_doubt) && on_reachability_changed) {
    on_reachability_changed();
  }
}

bool
forwarder::is_in(const attempt& a, const std::string& data_centre)
{
  const auto* b = backends::find(registry_, a.backend);
  return b != nullptr && b->info.data_centre == data_centre;
}

// A call may be sent to an unreachable data centre once, while it is the only
// choice, and only if it can still be refused in good time afterwards. An
// instance that reaches no other data centre would only keep its callers
// waiting.
bool
forwarder::may_use_unreachable(const call_state& call) const
{
  const auto now = http::now_ms();
  const auto give_up = call.input.give_up_ms;
  const auto left = give_up > now ? give_up - now : 0;
  const auto total = give_up > call.started_ms ? give_up - call.started_ms : 0;
  return !call.has_used_unreachable && !call.has_open_attempt() &&
         2 * left >= total && !backends::is_cut_off(registry_, now);
}

// An idle connection would keep the call waiting until its deadline, as nothing
// tells that it is dead. A new one fails after the connect time-out.
void
forwarder::prepare_last_resort(call_state& call, const backends::backend& b)
{
  if (data_centres::is_reachable(
        registry_.topology.reach, b.info.data_centre, http::now_ms())) {
    return;
  }
  call.has_used_unreachable = true;
  http_.close_idle(b.info.address);
}

bool
forwarder::is_beyond_reach(const call_state& call) const
{
  return backends::is_beyond_reach(
    registry_, call.service, call.input.homes, http::now_ms());
}

void
forwarder::log_if_beyond_reach(const call_state& call) const
{
  if (is_beyond_reach(call)) {
    process::log_line(timeline::event{ "call_refused" }
                        .with("request", call.input.id)
                        .with("why", "unreachable")
                        .with("service", call.service)
                        .with("attempts", call.attempts.size()));
  }
}

// Ends the attempts whose connection is not open yet: the call has not run
// there, so that it may be sent elsewhere whatever its kind.
void
forwarder::withdraw_unsent_attempts(const std::shared_ptr<call_state>& call,
                                    const std::string& data_centre)
{
  const auto count = call->attempts.size();
  for (std::size_t at = 0; at < count && !call->finished; ++at) {
    auto& a = call->attempts[at];
    if (!a.ended && !a.exchange.is_sent() && is_in(a, data_centre)) {
      a.exchange.cancel();
      a.is_withdrawn = true;
      on_attempt_ended(call, at, http::exchange_outcome::not_sent, {});
    }
  }
}

// Makes the second attempt at once if all open ones are in the data centre.
void
forwarder::repeat_elsewhere(const std::shared_ptr<call_state>& call,
                            const std::string& data_centre)
{
  bool has_open = false;
  for (const auto& a : call->attempts) {
    if (!a.ended && !is_in(a, data_centre)) {
      return;
    }
    has_open = has_open || !a.ended;
  }
  if (has_open && call->is_repeatable() && choose_backend(*call) != nullptr) {
    try_second_attempt(call);
  }
}

void
forwarder::on_unreachable(const std::string& data_centre)
{
  // Calls that end or start meanwhile change the set.
  const auto calls = open_calls_;
  for (const auto& call : calls) {
    if (!call->finished) {
      withdraw_unsent_attempts(call, data_centre);
    }
    if (!call->finished) {
      repeat_elsewhere(call, data_centre);
    }
  }
  for (const auto& [service, q] : queues_) {
    // Calls of one queue may have different home regions.
    const auto is_refused = [this, &waiting = q->waiting](std::uint64_t id) {
      return is_beyond_reach(*waiting.at(id));
    };
    for (const auto& r : admission::refuse_if(
           q->state, admission::refusal::unreachable, is_refused)) {
      refuse_queued(*q, r);
    }
  }
}

} // namespace cactusford::edge
