#include "cactusford/sidecar/call_handler.h"

#include "cactusford/timeline/event.h"

#include <xxhash.h>

#include <algorithm>

namespace cactusford::sidecar {

namespace {

using calls::call_request;

constexpr double smoothing_factor = 0.1;
constexpr std::uint32_t leaving_retry_ms = 50;
constexpr std::uint32_t not_ready_retry_ms = 200;

const char*
class_name(calls::call_class c)
{
  switch (c) {
    case calls::check:
      return "check";
    case calls::booking:
      return "booking";
    case calls::rollout:
      return "rollout";
    default:
      return "live";
  }
}

constexpr std::size_t framing_bytes = 64U << 10;
static_assert(engine::max_answer_bytes + framing_bytes <=
              link::limits{}.max_message);

std::uint64_t
fingerprint_of(const call_request& r)
{
  const auto text = r.service().method() + "\n" + r.service().path() + "\n" +
                    r.service().body();
  return XXH3_64bits(text.data(), text.size());
}

void
update_average(double& value, double sample)
{
  value = value == 0 ? sample : value + smoothing_factor * (sample - value);
}

timeline::event
call_event(std::string_view name, const call_request& r)
{
  return timeline::event{ name }
    .with("request", r.request_id())
    .with("attempt", r.attempt())
    .with("class", class_name(r.call_class()));
}

} // namespace

call_handler::call_handler(process::daemon& d,
                           const settings::sidecar_settings& s,
                           const weight_manager& weights)
  : daemon_{ d }
  , settings_{ s }
  , weights_{ weights }
  , backend_{ s.backend }
  , home_{ d, s, record_, [this](const std::string& key) {
            return calls_by_key_.contains(key);
          } }
{
  queue_.limit = s.max_queued;
  record_.limits = { s.record_limit,
                     s.record_bytes,
                     s.record_window_ms,
                     s.process.max_clock_skew_ms };
  // The record of an earlier incarnation is lost: keys issued before this start
  // may have run under it.
  record_.owned_since_ms = d.incarnation;
}

void
call_handler::accept(const link::stream_ptr& s)
{
  s->on_message = [this, s](std::string_view m) { on_request(s, m); };
}

void
call_handler::on_request(const link::stream_ptr& s, std::string_view message)
{
  s->on_message = nullptr;
  call_request r;
  if (!r.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    s->cancel();
    return;
  }
  receiver to;
  to.stream = s;
  to.request_id = r.request_id();
  to.attempt = r.attempt();
  if (const auto error = check_request(r)) {
    refuse(to, error);
    return;
  }
  if (!r.idempotency_key().empty() && !admit_keyed(r, to)) {
    return;
  }
  enqueue(std::move(r), std::move(to));
}

failure
call_handler::check_request(const call_request& r) const
{
  if (leaving_) {
    return { error_kind::leaving,
             settings_.process.instance,
             leaving_retry_ms };
  }
  if (!daemon_.configuration.is_ready()) {
    return { error_kind::not_ready,
             settings_.process.instance,
             not_ready_retry_ms };
  }
  if (r.pool() != settings_.serves) {
    return { error_kind::not_found,
             "this backend server serves " + settings_.serves };
  }
  const bool is_completion = r.has_completion();
  const bool is_engine = settings_.kind == settings::backend_kind::engine;
  if (is_completion != is_engine || (!r.has_service() && !is_completion)) {
    return { error_kind::bad_request, "wrong kind of work for this pool" };
  }
  const auto min_version = r.completion().min_version();
  if (is_completion && min_version > 0 &&
      weights_.serving(r.completion().model()) < min_version) {
    return { error_kind::stale_version,
             "weights " + std::to_string(min_version) + " are not active yet",
             not_ready_retry_ms };
  }
  // A call that cannot complete in time would only take capacity from calls
  // that can. Refused now, it is certain not to run.
  const auto wait = expected_wait_ms(r);
  if (r.call_class() != calls::rollout && wait > r.deadline_ms()) {
    return { error_kind::overloaded,
             "the expected wait is " + std::to_string(wait) + " ms",
             static_cast<std::uint32_t>(wait - r.deadline_ms()) };
  }
  return {};
}

std::uint64_t
call_handler::expected_wait_ms(const call_request& r) const
{
  if (r.call_class() == calls::rollout ||
      running_callers_ < settings_.max_running) {
    return 0;
  }
  const auto calls_ahead = static_cast<double>(queue_.callers.size() + 1);
  return static_cast<std::uint64_t>(calls_ahead * call_ms_ /
                                    settings_.max_running);
}

bool
call_handler::admit_keyed(const call_request& r, receiver& to)
{
  // A key belongs to one home only. Running it on another backend server would
  // bypass the record and could run it twice.
  if (const auto error = home_.check_key(r.idempotency_key())) {
    refuse(to, error);
    return false;
  }
  const auto admitted =
    calls::admit(record_,
                 { r.idempotency_key(), r.key_issued_ms(), fingerprint_of(r) },
                 timeline::wall_ms());
  switch (admitted.outcome) {
    case calls::admit_outcome::run:
      return true;
    case calls::admit_outcome::running: {
      const auto found = calls_by_key_.find(r.idempotency_key());
      calls_.at(found->second)->receivers.push_back(std::move(to));
      return false;
    }
    case calls::admit_outcome::answered:
      send_answer(to, *admitted.answer, true);
      return false;
    case calls::admit_outcome::refused:
    case calls::admit_outcome::unknown:
      refuse(to, admitted.error);
      return false;
  }
  return false;
}

void
call_handler::enqueue(call_request r, receiver to)
{
  const auto id = next_id_++;
  admission::waiting_call waiting;
  waiting.id = id;
  waiting.cls = static_cast<admission::call_class>(r.call_class());
  waiting.flow = r.trainer();
  waiting.share = r.share() / 1000.0;
  waiting.expected_tokens = r.completion().max_tokens();
  if (!admission::push(queue_, waiting)) {
    if (!r.idempotency_key().empty()) {
      calls::withdraw(record_, r.idempotency_key());
    }
    refuse(to,
           { error_kind::overloaded,
             "the queue holds " + std::to_string(queue_.limit) + " calls",
             static_cast<std::uint32_t>(
               std::max<std::uint64_t>(50, expected_wait_ms(r))) });
    return;
  }
  auto c = std::make_unique<call>();
  c->id = id;
  c->deadline = process::steady_ms() + r.deadline_ms();
  if (!r.idempotency_key().empty()) {
    calls_by_key_[r.idempotency_key()] = id;
  }
  to.stream->on_close = [this, raw = to.stream.get(), id](std::error_code) {
    on_closed(raw, id);
  };
  c->request = std::move(r);
  c->receivers.push_back(std::move(to));
  calls_[id] = std::move(c);
  start_waiting_calls();
}

// Callers' requests may use all slots even while rollouts occupy some: the
// engine's priorities then hold back the rollouts.
void
call_handler::start_waiting_calls()
{
  while (running_callers_ < settings_.max_running) {
    const auto next = admission::pop_caller(queue_);
    if (!next) {
      break;
    }
    ++running_callers_;
    start_call(*calls_.at(next->id));
  }
  while (running_ < settings_.max_running) {
    const auto next = admission::pop_rollout(queue_);
    if (!next) {
      break;
    }
    start_call(*calls_.at(next->id));
  }
}

void
call_handler::start_call(call& c)
{
  ++running_;
  c.running = true;
  c.started_ms = process::steady_ms();
  const auto& key = c.request.idempotency_key();
  auto e = call_event("call_started", c.request);
  if (!key.empty()) {
    e.with("key", key);
  }
  timeline::log(e);
  for (auto& to : c.receivers) {
    calls::call_frame frame;
    frame.mutable_started();
    send_frame(to, frame, true);
  }
  if (c.request.has_completion()) {
    run_completion(c);
  } else {
    run_service(c);
  }
}

void
call_handler::run_completion(call& c)
{
  const auto& work = c.request.completion();
  c.swap_epoch = weights_.swap_epoch(work.model());
  c.version = weights_.serving(work.model());
  const engine::generation_request g{
    c.request.request_id(),
    c.request.attempt(),
    work.model(),
    work.prompt(),
    work.max_tokens(),
    work.resume_from(),
    work.resume_text(),
    static_cast<std::uint32_t>(admission::tier_of(
      static_cast<admission::call_class>(c.request.call_class())))
  };
  daemon_.run_on_worker(
    [this, id = c.id, g, cancelled = c.cancelled] {
      return backend_.generate(
        g, *cancelled, [this, id](const engine::token_chunk& chunk) {
          asio::post(daemon_.io, [this, id, chunk] { on_chunk(id, chunk); });
        });
    },
    [this, id = c.id](const engine::generation_result& end) {
      on_generation_end(id, end);
    });
}

void
call_handler::run_service(call& c)
{
  const auto& work = c.request.service();
  const auto& key = c.request.idempotency_key();
  const engine::service_request r{ work.method(),
                                   work.path(),
                                   work.content_type(),
                                   work.body(),
                                   key.empty() ? c.request.request_id() : key };
  const auto now = process::steady_ms();
  const auto left =
    static_cast<std::uint32_t>(c.deadline > now ? c.deadline - now : 1);
  daemon_.run_on_worker(
    [this, r, left] { return backend_.call(r, left); },
    [this, id = c.id](const result<engine::service_answer>& a) {
      on_answer(id, a);
    });
}

// If the engine reports a weight version with each run of tokens, that version
// is used. Otherwise it is the version last read from the engine, which is
// valid only if no swap has begun or ended since the call started; else the
// tokens cannot be attributed to a version.
std::uint64_t
call_handler::version_of_chunk(call& c, const engine::token_chunk& chunk)
{
  if (chunk.weight_version != 0) {
    return chunk.weight_version;
  }
  const auto& model = c.request.completion().model();
  const bool no_swap = weights_.swap_epoch(model) == c.swap_epoch;
  if (!no_swap || c.version == 0) {
    c.is_unattributable = true;
  }
  return c.version;
}

void
call_handler::on_chunk(std::uint64_t id, const engine::token_chunk& chunk)
{
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second->stop_reason) {
    return;
  }
  auto& c = *found->second;
  const auto version = version_of_chunk(c, chunk);
  if (c.is_unattributable && c.request.call_class() == calls::rollout) {
    stop_call(c,
              { error_kind::stream_cut,
                "the weights changed and the engine names no version" });
    return;
  }
  c.tokens += chunk.count;
  if (c.request.call_class() == calls::rollout) {
    admission::charge(queue_, c.request.trainer(), chunk.count);
  }
  for (auto& to : c.receivers) {
    calls::call_frame frame;
    auto& run = *frame.mutable_tokens();
    run.set_count(chunk.count);
    run.set_text(chunk.text);
    run.set_weight_version(version);
    to.sum.add(chunk.text);
    send_frame(to, frame, false);
  }
}

void
call_handler::on_generation_end(std::uint64_t id,
                                const engine::generation_result& end)
{
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  auto& c = *found->second;
  const auto elapsed_ms =
    static_cast<double>(process::steady_ms() - c.started_ms);
  if (c.tokens > 0) {
    update_average(token_us_,
                   elapsed_ms * 1000 / static_cast<double>(c.tokens));
  }
  if (c.request.call_class() != calls::rollout) {
    update_average(call_ms_, elapsed_ms);
  }
  auto e = call_event("call_ended", c.request);
  e.with("tokens", c.tokens)
    .with("error",
          name_of(c.stop_reason ? c.stop_reason.kind : end.error.kind));
  timeline::log(e);
  if (!c.stop_reason) {
    for (auto& to : c.receivers) {
      if (end.error) {
        refuse(to, end.error);
      } else {
        send_end(to, end.finish_reason);
      }
    }
  }
  end_call(id);
}

void
call_handler::on_answer(std::uint64_t id,
                        const result<engine::service_answer>& r)
{
  auto& c = *calls_.at(id);
  const auto& key = c.request.idempotency_key();
  update_average(call_ms_,
                 static_cast<double>(process::steady_ms() - c.started_ms));
  timeline::log(
    call_event("call_ended", c.request).with("error", name_of(r.error.kind)));
  const auto answer = std::make_shared<const calls::stored_answer>(
    calls::stored_answer{ r.value.status, r.value.content_type, r.value.body });
  if (!key.empty()) {
    if (r) {
      calls::store_answer(record_, key, answer);
    } else if (is_not_run(r.error.kind)) {
      calls::withdraw(record_, key);
    } else {
      calls::mark_failed(record_, key);
    }
  }
  for (auto& to : c.receivers) {
    if (r) {
      send_answer(to, *answer, false);
    } else {
      refuse(to, r.error);
    }
  }
  end_call(id);
}

// The entry disconnected or gave up. An idempotent call is stopped, as no
// receiver is left. A call with an idempotency key continues, as a repeat will
// ask for its answer.
void
call_handler::on_closed(link::stream* s, std::uint64_t id)
{
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  auto& c = *found->second;
  std::erase_if(c.receivers,
                [s](const receiver& r) { return r.stream.get() == s; });
  if (!c.receivers.empty() ||
      (c.running && !c.request.idempotency_key().empty())) {
    return;
  }
  stop_call(c, { error_kind::cancelled, "nobody waits for it" });
}

void
call_handler::stop_call(call& c, const failure& error)
{
  c.stop_reason = error;
  *c.cancelled = true;
  for (auto& to : c.receivers) {
    refuse(to, error);
  }
  c.receivers.clear();
  if (!c.running && admission::remove(queue_, c.id)) {
    if (!c.request.idempotency_key().empty()) {
      calls::withdraw(record_, c.request.idempotency_key());
    }
    end_call(c.id);
  }
}

void
call_handler::end_call(std::uint64_t id)
{
  const auto found = calls_.find(id);
  const auto& c = *found->second;
  if (c.running) {
    --running_;
    if (c.request.call_class() == calls::rollout) {
      admission::note_finished(queue_, c.request.trainer());
    } else {
      --running_callers_;
    }
  }
  const auto& key = c.request.idempotency_key();
  if (!key.empty()) {
    calls_by_key_.erase(key);
  }
  calls_.erase(found);
  start_waiting_calls();
}

void
call_handler::tick()
{
  const auto now = process::steady_ms();
  std::vector<std::uint64_t> expired;
  for (const auto& [id, c] : calls_) {
    const bool service = c->request.has_service();
    if (now >= c->deadline && !c->stop_reason && !(c->running && service)) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    auto& c = *calls_.at(id);
    const auto kind =
      c.running ? error_kind::stream_cut : error_kind::deadline_exceeded;
    stop_call(c, { kind, "the deadline has passed" });
  }
  calls::expire(record_, timeline::wall_ms());
  home_.tick();
  daemon_.metrics.set("queued", static_cast<double>(admission::size(queue_)));
  daemon_.metrics.set("running", running_);
}

void
call_handler::leave()
{
  leaving_ = true;
  home_.leave();
  for (auto& [id, c] : calls_) {
    for (auto& to : c->receivers) {
      calls::call_frame frame;
      frame.set_leaving(true);
      send_frame(to, frame, true);
    }
  }
}

void
call_handler::send_frame(receiver& to, calls::call_frame& frame, bool with_load)
{
  frame.set_request_id(to.request_id);
  frame.set_attempt(to.attempt);
  frame.set_sequence(to.sequence++);
  if (with_load) {
    auto& load = *frame.mutable_load();
    load.set_running(running_);
    load.set_queued(static_cast<std::uint32_t>(admission::size(queue_)));
    load.set_slots(settings_.max_running);
    load.set_incarnation(daemon_.incarnation);
    load.set_token_us(static_cast<std::uint32_t>(token_us_));
  }
  to.stream->send(frame.SerializeAsString());
}

void
call_handler::send_end(receiver& to, std::string_view reason)
{
  calls::call_frame frame;
  auto& end = *frame.mutable_end();
  end.set_frames(to.sequence);
  end.set_checksum(to.sum.value());
  end.set_finish_reason(std::string{ reason });
  send_frame(to, frame, true);
  to.stream->finish();
}

void
call_handler::send_answer(receiver& to,
                          const calls::stored_answer& a,
                          bool is_repeat)
{
  calls::call_frame frame;
  auto& answer = *frame.mutable_answer();
  answer.set_status(a.status);
  answer.set_content_type(a.content_type);
  answer.set_body(a.body);
  answer.set_repeated(is_repeat);
  to.sum.add(a.body);
  send_frame(to, frame, false);
  send_end(to, "answered");
}

void
call_handler::refuse(receiver& to, const failure& error)
{
  timeline::log(timeline::event{ "call_refused" }
                  .with("request", to.request_id)
                  .with("attempt", to.attempt)
                  .with("error", name_of(error.kind))
                  .with("detail", error.detail));
  daemon_.metrics.add("refusals_total",
                      { { "kind", std::string{ name_of(error.kind) } } });
  calls::call_frame frame;
  auto& refusal = *frame.mutable_refusal();
  refusal.set_kind(std::string{ name_of(error.kind) });
  refusal.set_message(error.detail);
  refusal.set_retry_after_ms(error.retry_after_ms);
  send_frame(to, frame, true);
  to.stream->finish();
}

} // namespace cactusford::sidecar
