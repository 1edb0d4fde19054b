#include "cactusford/backends/eligibility.h"
#include "cactusford/backends/warm_up_events.h"
#include "cactusford/edge/cold_servers.h"
#include "cactusford/edge/forward_impl.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>

namespace cactusford::edge {

namespace {

// Maximum number of backend servers contacted for one call, including those
// that refuse to run it.
constexpr std::uint32_t max_contacted = 6;

// How long the other attempts may continue after one has been answered. This is
// enough for plain calls that take five times their usual latency.
constexpr std::uint64_t losing_attempt_grace_ms = 300;

// Retry delay for a caller whose request another instance is running as a
// trial.
constexpr std::uint64_t trial_retry_after_ms = 1000;

// Retry delay for a caller all of whose servers are drained. Orders last for
// minutes, so a shorter delay would only repeat the refusal.
constexpr std::uint64_t drained_retry_after_ms = 1000;

// How long a connection may take to open, in addition to the round trip.
constexpr std::uint64_t max_connect_ms = 250;

// Answers are buffered completely before they are returned to the caller.
constexpr std::size_t max_answer_bytes = 16U << 20;

bool
is_success(int status)
{
  return status >= 200 && status < 300;
}

} // namespace

std::string_view
name_of(forward_end e) noexcept
{
  switch (e) {
    case forward_end::answered:
      return "answered";
    case forward_end::not_run:
      return "not_run";
    case forward_end::quarantined:
      return "quarantined";
    case forward_end::unknown:
      return "unknown";
    case forward_end::timed_out:
      return "timed_out";
  }
  return "unknown";
}

bool
is_failed_run(const attempt_end& end)
{
  constexpr int failed = 500;
  return end.state == http::exchange_outcome::complete && !end.not_run &&
         end.status == failed;
}

next_step
after_attempt(const attempt_end& end, const call_progress& p)
{
  const bool may_contact_another = p.contacted_count < max_contacted;
  const bool complete = end.state == http::exchange_outcome::complete;
  if (end.state == http::exchange_outcome::not_sent ||
      (complete && end.not_run)) {
    if (may_contact_another) {
      return next_step::try_another;
    }
    return p.runs == 0 ? next_step::give_up_not_run
                       : next_step::give_up_unknown;
  }
  const bool is_cut = end.state == http::exchange_outcome::connection_lost;
  const bool repeatable =
    p.repeatable && (!is_cut || p.repeatable_after_disconnect);
  const bool may_repeat =
    repeatable && may_contact_another && p.runs < p.max_runs;
  if (complete) {
    // A successful response without a signature is not from a backend server.
    const bool is_authentic = end.is_signed || !is_success(end.status);
    constexpr int first_server_error = 500;
    if (is_authentic && end.status < first_server_error) {
      return next_step::deliver;
    }
    if (is_authentic && !may_repeat) {
      return next_step::deliver;
    }
  }
  return may_repeat ? next_step::try_another : next_step::give_up_unknown;
}

// Also called for the last attempt, and for one that ends after another attempt
// has been answered.
void
forwarder::log_lost_connection(const call_state& call,
                               const attempt& a,
                               std::uint64_t now) const
{
  process::log_line(timeline::event{ "run_cut" }
                      .with("request", call.input.id)
                      .with("work", call.fingerprint)
                      .with("backend", a.backend.id)
                      .with("started_ms", a.backend.started_ms)
                      .with("ran_ms", now - a.sent_ms)
                      .with("attempts", call.attempts.size()));
}

forwarder::forwarder(asio::io_context& io,
                     http::client& http,
                     backends::registry& registry,
                     const dialect& d,
                     std::string data_centre,
                     quarantine::manager* quarantine_manager)
  : io_{ io }
  , http_{ http }
  , registry_{ registry }
  , dialect_{ d }
  , data_centre_{ std::move(data_centre) }
  , quarantine_{ quarantine_manager }
{
}

std::function<void()>
forwarder::start(forward_request r, handler done)
{
  auto call = std::make_shared<call_state>();
  call->input = std::move(r);
  call->done = std::move(done);
  const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
  call->service = routes::pick_service(call->input.route, random);
  call->fingerprint =
    call->input.workspace.empty()
      ? quarantine::fingerprint_of(call->input.request)
      : quarantine::fingerprint_of(call->input.request, call->input.workspace);
  record_first_attempt(second_attempts_[call->input.route.path_prefix]);
  const auto now = http::now_ms();
  call->started_ms = now;
  open_calls_.insert(call);
  const auto remaining_ms =
    call->input.give_up_ms > now ? call->input.give_up_ms - now : 0;
  call->deadline_timer = std::make_unique<asio::steady_timer>(
    io_, std::chrono::milliseconds{ remaining_ms });
  call->deadline_timer->async_wait([this, call](asio::error_code ec) {
    if (!ec && !call->finished) {
      finish(call,
             call->runs == 0 ? forward_end::not_run : forward_end::timed_out,
             {});
    }
  });
  asio::post(io_, [this, call] {
    if (!call->finished) {
      begin(call);
    }
  });
  return [this, call] {
    if (call->finished) {
      return;
    }
    call->finished = true;
    open_calls_.erase(call);
    forward_outcome cancelled;
    leave_queue(*call, cancelled);
    call->deadline_timer->cancel();
    if (call->second_attempt_timer) {
      call->second_attempt_timer->cancel();
    }
    if (call->wait_timer) {
      call->wait_timer->cancel();
    }
    for (auto& a : call->attempts) {
      if (!a.ended) {
        close_attempt(*call, a);
        a.exchange.cancel();
        report_run_started(*call);
      }
    }
    call->done = nullptr;
  };
}

std::size_t
forwarder::end_calls()
{
  refuse_waiting();
  std::size_t unknown = 0;
  const auto open = open_calls_;
  for (const auto& call : open) {
    if (call->finished || call->input.demand.is_scorer) {
      continue;
    }
    const bool has_run = call->runs > 0;
    unknown += has_run ? 1 : 0;
    finish(call, has_run ? forward_end::unknown : forward_end::not_run, {});
  }
  return unknown;
}

// Reports only the first run of a request, even if later attempts run it again.
void
forwarder::report_run_started(call_state& call)
{
  const auto first = std::find_if(call.attempts.begin(),
                                  call.attempts.end(),
                                  [](const auto& a) { return !a.not_run; });
  if (call.is_start_reported || !on_run_started ||
      first == call.attempts.end()) {
    return;
  }
  call.is_start_reported = true;
  on_run_started(call.input.workspace, first->sent_ms);
}

// Marks the attempt as ended. Returns its backend server, or null if that
// incarnation is gone.
backends::backend*
forwarder::close_attempt(const call_state& call, attempt& a)
{
  a.ended = true;
  const auto running = running_attempts_.find(call.fingerprint);
  if (running != running_attempts_.end() && --running->second == 0) {
    running_attempts_.erase(running);
  }
  backends::end_run(registry_, a.backend);
  return backends::find(registry_, a.backend);
}

backends::call_needs
forwarder::needs_of(const call_state& call) const
{
  return { call.service,
           data_centre_,
           call.contacted,
           [this](const std::string& address) {
             return http_.has_idle(address);
           },
           call.input.homes,
           may_use_unreachable(call) };
}

// Returns null if no backend server is left for the call.
backends::backend*
forwarder::choose_backend(const call_state& call)
{
  const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
  return backends::choose_for_call(
    registry_, needs_of(call), http::now_ms(), random);
}

void
forwarder::send_next_attempt(const std::shared_ptr<call_state>& call)
{
  if (!may_send(call)) {
    return;
  }
  auto* b = choose_backend(*call);
  if (b != nullptr) {
    send(call, *b);
  } else if (!call->has_open_attempt()) {
    end_without_server(call);
  }
}

// Returns true if no server may take the call because all are drained.
bool
forwarder::is_drained(const call_state& call) const
{
  return backends::are_all_drained(registry_, call.service, call.input.homes);
}

void
forwarder::end_without_server(const std::shared_ptr<call_state>& call)
{
  log_if_beyond_reach(*call);
  if (call->runs > 0) {
    finish(call, forward_end::unknown, {});
  } else if (is_drained(*call)) {
    refuse_drained(call);
  } else {
    note_held(*call);
    finish(call, forward_end::not_run, {});
  }
}

// Refuses a call of which no attempt is open and that no server has run.
void
forwarder::refuse_drained(const std::shared_ptr<call_state>& call)
{
  release_room(*call);
  call->is_drained = true;
  // Scorers' calls are repeated several times a second; their lines would take
  // the place of those of callers.
  if (!call->input.demand.is_scorer) {
    process::log_line(timeline::event{ "call_refused" }
                        .with("request", call->input.id)
                        .with("why", "drained")
                        .with("service", call->service)
                        .with("workspace", call->input.workspace)
                        .with("attempts", call->attempts.size())
                        .with("come_back_ms", drained_retry_after_ms));
  }
  finish(call, forward_end::not_run, {});
}

// Returns the request to a server without its body, which all attempts share.
http::request
forwarder::prepare(const call_state& call, const backends::backend& b) const
{
  const auto& names = dialect_.headers;
  http::request r;
  r.method = call.input.request.method;
  r.target = call.input.request.target;
  for (const auto& h : call.input.request.fields) {
    if (!http::is_hop_by_hop(h.name)) {
      r.fields.push_back(h);
    }
  }
  const auto now = http::now_ms();
  const auto remaining_ms =
    call.input.give_up_ms > now ? call.input.give_up_ms - now : 1;
  http::set(r.fields, names.deadline_ms, std::to_string(remaining_ms));
  http::set(r.fields, names.expected_backend, b.info.id);
  return r;
}

void
forwarder::send(const std::shared_ptr<call_state>& call, backends::backend& b)
{
  const auto index = call->attempts.size();
  const auto now = http::now_ms();
  prepare_last_resort(*call, b);
  call->contacted.push_back(b.info.id);
  call->attempts.push_back(
    { {}, backends::incarnation_of(b), b.info.address, now, false });
  process::log_line(
    timeline::event{ "call_sent" }
      .with("request", call->input.id)
      .with("work", call->fingerprint)
      .with("route", call->input.route.name)
      .with("backend", b.info.id)
      .with("address", b.info.address)
      .with("attempt", call->attempts.size())
      .with("in_flight", b.in_flight)
      .with("others", b.other_load)
      .with("connected", http_.has_idle(b.info.address) ? 1U : 0U)
      .with("left_ms",
            call->input.give_up_ms > now ? call->input.give_up_ms - now : 0));
  backends::begin_run(b);
  backends::note_sent(registry_, b, now);
  call->attempts.back().load = backends::load_of(b, now);
  call->attempts.back().network_ms =
    backends::network_ms(registry_, b, http_.has_idle(b.info.address));
  ++running_attempts_[call->fingerprint];
  ++call->runs;
  http::exchange_options o;
  // The deadline timer of the call fires first.
  constexpr std::uint64_t margin_ms = 500;
  o.timeout_ms =
    (call->input.give_up_ms > now ? call->input.give_up_ms - now : 0) +
    margin_ms;
  o.connect_timeout_ms =
    max_connect_ms + backends::network_ms(registry_, b, true);
  call->attempts[index].connect_timeout_ms = o.connect_timeout_ms;
  o.echo = { dialect_.headers.request_id, call->input.id };
  o.reset_on_abandon = true;
  o.max_body_bytes = max_answer_bytes;
  o.is_for_caller = true;
  o.body =
    std::shared_ptr<const std::string>{ call, &call->input.request.body };
  call->attempts[index].exchange = http_.fetch(
    b.info.address,
    prepare(*call, b),
    o,
    [this, call, index](http::exchange_outcome end, http::response&& r) {
      on_attempt_ended(call, index, end, std::move(r));
    });
  if (call->is_repeatable()) {
    schedule_second_attempt(call);
  }
}

void
forwarder::schedule_second_attempt(const std::shared_ptr<call_state>& call)
{
  // The measured delay is without the network.
  const auto wait =
    second_attempt_delay_ms(second_attempts_[call->input.route.path_prefix]) +
    call->attempts.back().network_ms;
  call->second_attempt_timer = std::make_unique<asio::steady_timer>(
    io_, std::chrono::milliseconds{ wait });
  call->second_attempt_timer->async_wait([this, call](asio::error_code ec) {
    if (!ec && !call->finished && call->queue != nullptr &&
        admission::is_congested(call->queue->state, http::now_ms())) {
      schedule_second_attempt(call);
      return;
    }
    if (!ec) {
      try_second_attempt(call);
    }
  });
}

// Two concurrent attempts of a suspected request could crash two backend
// servers at once.
void
forwarder::try_second_attempt(const std::shared_ptr<call_state>& call)
{
  if (!call->finished && call->runs < call->input.route.max_attempts &&
      call->contacted.size() < max_contacted &&
      !quarantine::has_crashes(check_quarantine(*call)) &&
      try_take_second_attempt(
        second_attempts_[call->input.route.path_prefix])) {
    send_next_attempt(call);
  }
}

void
forwarder::on_attempt_ended(const std::shared_ptr<call_state>& call,
                            std::size_t index,
                            http::exchange_outcome end,
                            http::response&& r)
{
  auto& a = call->attempts[index];
  if (a.ended) {
    return;
  }
  auto* b = close_attempt(*call, a);
  if (!a.is_withdrawn) {
    note_reach(a, end);
  }
  const auto now = http::now_ms();
  const auto& names = dialect_.headers;
  const bool complete = end == http::exchange_outcome::complete;
  constexpr int misdirected = 421;
  const bool not_run = complete && (http::find(r.fields, names.not_run) ||
                                    r.status == misdirected);
  if (not_run && r.status != misdirected && call->queue != nullptr) {
    admission::on_refusal(call->queue->state, now);
  }
  if (complete && r.status == misdirected && on_misdirected) {
    on_misdirected();
  }
  if (b != nullptr) {
    if (const auto text = http::find(r.fields, names.load)) {
      if (const auto load = dialect_.load_from(*text)) {
        backends::note_load(*b, *load, now);
        call->load = *load;
      }
    }
    if (complete && !not_run) {
      const auto served_ms = a.served_ms(now);
      record_answer(second_attempts_[call->input.route.path_prefix], served_ms);
      backends::note_success(registry_, *b, served_ms, a.load);
    } else {
      backends::note_failure(*b, now);
    }
    if (end == http::exchange_outcome::not_sent && !a.is_withdrawn) {
      note_unsent(registry_, *b, a.sent_ms, now);
    }
    if (const auto left_ms = http::find_number(r.fields, names.cold_ms)) {
      backends::note_cold_header(registry_, *b, *left_ms, now);
      log_cold_servers(registry_);
    }
  }
  attempt_end ended;
  ended.state = end;
  ended.status = r.status;
  ended.not_run = not_run;
  ended.is_signed = http::find(r.fields, names.signature).has_value();
  if (end == http::exchange_outcome::connection_lost) {
    log_lost_connection(*call, a, now);
  }
  report_to_quarantine(*call, a, ended);
  const bool was_run = !not_run && end != http::exchange_outcome::not_sent;
  a.not_run = !was_run;
  if (was_run) {
    call->holds_trial = false;
    report_run_started(*call);
  }
  if (call->finished) {
    return;
  }
  call->runs -= was_run ? 0 : 1;
  call->refusals += not_run ? 1 : 0;
  call->failed_runs += is_failed_run(ended) ? 1 : 0;
  call_progress progress;
  progress.repeatable = call->is_repeatable();
  progress.repeatable_after_disconnect =
    !call->is_suspect && !call->input.no_retry_after_disconnect;
  progress.runs = call->runs;
  progress.max_runs =
    std::max<std::uint32_t>(call->input.route.max_attempts, 1);
  progress.contacted_count = static_cast<std::uint32_t>(call->contacted.size());
  switch (after_attempt(ended, progress)) {
    case next_step::deliver:
      finish(call, forward_end::answered, std::move(r));
      return;
    case next_step::try_another:
      process::log_line(timeline::event{ "call_retried" }
                          .with("request", call->input.id)
                          .with("backend", a.backend.id)
                          .with("end", http::name_of(end))
                          .with("status", static_cast<std::uint64_t>(r.status))
                          .with("not_run", not_run ? 1U : 0U));
      send_next_attempt(call);
      return;
    case next_step::give_up_not_run:
      if (!call->has_open_attempt()) {
        finish(call, forward_end::not_run, {});
      }
      return;
    case next_step::give_up_unknown:
      if (!call->has_open_attempt()) {
        finish(call, forward_end::unknown, {});
      }
      return;
  }
}

// Cancels all open attempts and records a failure for their backend servers.
void
forwarder::cancel_open_attempts(const std::shared_ptr<call_state>& call)
{
  for (auto& a : call->attempts) {
    if (a.ended) {
      continue;
    }
    auto* b = close_attempt(*call, a);
    a.exchange.cancel();
    report_run_started(*call);
    if (b != nullptr) {
      backends::note_failure(*b, http::now_ms());
    }
  }
}

// Gives attempts that lost to another one a grace period to finish, as
// cancelling them at once would waste the work of their backend servers. A
// longer delay points to a network partition: the request would be delivered
// when it heals, and a backend server would run a scorer call seconds after its
// batch has ended.
void
forwarder::schedule_cancellation(const std::shared_ptr<call_state>& call)
{
  call->deadline_timer->expires_after(
    std::chrono::milliseconds{ losing_attempt_grace_ms });
  call->deadline_timer->async_wait([this, call](asio::error_code ec) {
    if (!ec) {
      cancel_open_attempts(call);
    }
  });
}

void
forwarder::finish(const std::shared_ptr<call_state>& call,
                  forward_end what,
                  http::response&& r)
{
  call->finished = true;
  open_calls_.erase(call);
  call->deadline_timer->cancel();
  if (call->second_attempt_timer) {
    call->second_attempt_timer->cancel();
  }
  if (call->wait_timer) {
    call->wait_timer->cancel();
  }
  if (what == forward_end::timed_out) {
    cancel_open_attempts(call);
  } else if (call->has_open_attempt()) {
    schedule_cancellation(call);
  }
  forward_outcome o;
  o.what = what;
  if (what == forward_end::quarantined) {
    const auto wall = timeline::wall_ms();
    const auto until = call->refusal_decision.until_ms;
    o.retry_after_ms = until > wall ? until - wall : trial_retry_after_ms;
    o.crashes = call->refusal_decision.crashes;
  }
  o.answer = std::move(r);
  o.failed_runs = call->failed_runs;
  o.refusals = call->refusals;
  o.load = call->load;
  o.attempts = static_cast<std::uint32_t>(call->attempts.size());
  if (!call->contacted.empty()) {
    o.backend = call->contacted.back();
  }
  leave_queue(*call, o);
  if (call->is_drained) {
    o.is_drained = true;
    o.is_unsent = call->attempts.empty();
    o.retry_after_ms = drained_retry_after_ms;
  }
  report_held(*call, o);
  const auto done = std::move(call->done);
  call->done = nullptr;
  done(std::move(o));
}

} // namespace cactusford::edge
