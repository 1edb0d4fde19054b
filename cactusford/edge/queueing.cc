// How the forwarder lets calls wait while their service is full.
#include "cactusford/backends/eligibility.h"
#include "cactusford/edge/forward_impl.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <asio/post.hpp>

namespace cactusford::edge {

namespace {

// How often to check for servers while a service has none. A call waits at most
// a few tenths of a second for one.
constexpr std::uint64_t server_poll_interval_ms = 20;

constexpr std::uint64_t
remaining_ms(std::uint64_t until_ms, std::uint64_t now_ms)
{
  return until_ms > now_ms ? until_ms - now_ms : 0;
}

} // namespace

forwarder::service_queue&
forwarder::queue_of(const std::string& service)
{
  auto& q = queues_[service];
  if (q == nullptr) {
    q = std::make_shared<service_queue>(
      service_queue{ service, {}, {}, asio::steady_timer{ io_ } });
  }
  return *q;
}

void
forwarder::refresh_slots(service_queue& q) const
{
  const auto now = http::now_ms();
  std::size_t slots = 0;
  for (const auto& [id, b] : registry_.all) {
    const bool counts = b.info.service == q.service &&
                        backends::counts_as_capacity(registry_, b, now);
    slots += counts ? b.info.slots : 0;
  }
  admission::set_slots(q.state, slots, now);
}

// Sends the first attempt, at once or after waiting in the queue. Requests that
// may crash servers are not queued: their runs are serialized, and one that
// waits for its turn would take the room of other calls. Nor are calls whose
// servers are all unreachable: the queue would let them wait for a server.
void
forwarder::begin(const std::shared_ptr<call_state>& call)
{
  if (!is_queued(call->service) || is_drained(*call) ||
      is_beyond_reach(*call) ||
      quarantine::has_crashes(check_quarantine(*call))) {
    send_next_attempt(call);
    return;
  }
  auto& q = queue_of(call->service);
  const auto now = http::now_ms();
  const auto id = ++last_queue_id_;
  call->queue = &q;
  call->queue_id = id;
  q.waiting.emplace(id, call);
  refresh_slots(q);
  const auto result = admission::enqueue(
    q.state, { id, call->input.demand, now, call->input.give_up_ms }, now);
  call->queue_position = result.position;
  if (result.refused) {
    refuse_queued(q, *result.refused);
  }
  start_waiting_calls(q);
  if (q.waiting.contains(id)) {
    ++q.queued;
    process::log_line(
      timeline::event{ "call_queued" }
        .with("request", call->input.id)
        .with("service", q.service)
        .with("workspace", call->input.workspace)
        .with("position", result.position)
        .with("rate", static_cast<std::uint64_t>(rate_per_second(q.state)))
        .with("left_ms", remaining_ms(call->input.give_up_ms, now)));
  }
}

void
forwarder::start_waiting_calls(service_queue& q)
{
  refresh_slots(q);
  // A wait for servers to return would hold these calls without any prospect.
  if (backends::are_all_drained(registry_, q.service, {})) {
    for (const auto& [id, call] : std::exchange(q.waiting, {})) {
      refuse_drained(call);
    }
  }
  const auto now = http::now_ms();
  while (const auto id = admission::next_start(q.state, now)) {
    const auto call = q.waiting.extract(*id).mapped();
    call->queue_started_ms = now;
    if (on_queue_wait) {
      on_queue_wait(now - q.state.running.at(*id).call.arrived_ms);
    }
    if (quarantine::has_crashes(check_quarantine(*call))) {
      admission::on_cancel(q.state, *id);
      call->queue = nullptr;
    }
    send_next_attempt(call);
  }
  for (const auto& r : admission::take_refused(q.state, now)) {
    refuse_queued(q, r);
  }
  schedule_queue_check(q);
}

void
forwarder::schedule_queue_check(service_queue& q)
{
  q.timer.cancel();
  const auto refusal_ms = admission::next_refusal_ms(q.state);
  if (!refusal_ms) {
    return;
  }
  const auto now = http::now_ms();
  auto wait = remaining_ms(*refusal_ms, now);
  if (q.state.slots == 0) {
    wait = std::min(wait, server_poll_interval_ms);
  }
  q.timer.expires_after(std::chrono::milliseconds{ wait });
  q.timer.async_wait([this, &q](asio::error_code ec) {
    if (!ec) {
      start_waiting_calls(q);
    }
  });
}

void
forwarder::refuse_queued(service_queue& q, const admission::refused_call& r)
{
  const auto call = q.waiting.at(r.id);
  call->queue_refusal = r.why;
  finish(call, forward_end::not_run, {});
}

void
forwarder::refuse_waiting()
{
  for (const auto& [service, q] : queues_) {
    for (const auto& r :
         admission::refuse_all(q->state, admission::refusal::leaving)) {
      refuse_queued(*q, r);
    }
    q->timer.cancel();
  }
}

void
forwarder::refuse_waiting_beyond(std::uint64_t latest_end_ms)
{
  for (const auto& [service, q] : queues_) {
    const auto is_late = [&queue = *q, latest_end_ms](std::uint64_t id) {
      const auto& input = queue.waiting.at(id)->input;
      return !input.demand.is_scorer && input.give_up_ms > latest_end_ms;
    };
    for (const auto& r :
         admission::refuse_if(q->state, admission::refusal::leaving, is_late)) {
      refuse_queued(*q, r);
    }
  }
}

void
forwarder::on_servers_changed()
{
  for (const auto& [service, q] : queues_) {
    start_waiting_calls(*q);
  }
}

// Ends the call's part in its queue. Sets what the outcome says about the
// queue.
void
forwarder::leave_queue(call_state& call, forward_outcome& o)
{
  if (call.queue == nullptr) {
    return;
  }
  auto& q = *std::exchange(call.queue, nullptr);
  const auto now = http::now_ms();
  o.is_unsent = q.waiting.erase(call.queue_id) > 0;
  if (o.what == forward_end::answered && !o.is_unsent) {
    admission::on_end(
      q.state, call.queue_id, now - call.queue_started_ms, o.load, now);
  } else {
    admission::on_cancel(q.state, call.queue_id);
  }
  if (o.what == forward_end::not_run && !call.input.demand.is_scorer) {
    o.retry_after_ms = admission::retry_after_ms(
      q.state, remaining_ms(call.input.give_up_ms, now), now);
  }
  if (o.what == forward_end::not_run && o.is_unsent) {
    ++q.refused;
    process::log_line(
      timeline::event{ "call_refused" }
        .with("request", call.input.id)
        .with("why", admission::name_of(call.queue_refusal))
        .with("service", q.service)
        .with("workspace", call.input.workspace)
        .with("position", call.queue_position)
        .with("rate", static_cast<std::uint64_t>(rate_per_second(q.state)))
        .with("come_back_ms", o.retry_after_ms));
  }
  if (!q.waiting.empty()) {
    asio::post(io_, [this, &q] { start_waiting_calls(q); });
  }
}

// Ends the call's part in its queue while it waits for a trial or for a run of
// the same request, which takes up to seconds: other calls could run meanwhile.
void
forwarder::release_room(call_state& call)
{
  if (call.queue == nullptr || call.has_open_attempt()) {
    return;
  }
  auto& q = *std::exchange(call.queue, nullptr);
  admission::on_cancel(q.state, call.queue_id);
  if (!q.waiting.empty()) {
    asio::post(io_, [this, &q] { start_waiting_calls(q); });
  }
}

std::vector<queue_view>
forwarder::queues() const
{
  std::vector<queue_view> all;
  for (const auto& [service, q] : queues_) {
    all.push_back({ service, &q->state, q->queued, q->refused });
  }
  return all;
}

} // namespace cactusford::edge
