#include "cactusford/entry/owner.h"

#include "cactusford/store/fields.h"
#include "cactusford/timeline/event.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace cactusford::entry {

namespace {

constexpr std::uint32_t sample_deadline_ms = 900000;
constexpr std::uint32_t score_deadline_ms = 5000;
constexpr std::uint64_t ledger_interval_ms = 1000;
constexpr std::uint32_t max_fetch = 512;
constexpr std::uint32_t max_wait_ms = 30000;
constexpr std::uint64_t retry_delay_ms = 100;
// Samples in flight per free slot of the pool: enough to use an idle share, few
// enough to stop quickly when the weights change.
constexpr double in_flight_factor = 1.25;

std::string
format_runs(const rollout::sample& s)
{
  std::string text;
  for (const auto& run : s.runs()) {
    text += (text.empty() ? "" : ",") + std::to_string(run.weight_version()) +
            ":" + std::to_string(run.tokens());
  }
  return text;
}

// Returns the fencing token in a ledger, or 0 if there is none.
std::uint64_t
fence_in(const std::string& spec)
{
  const auto fence = store::try_decode(
    [&] { return store::uint_field(store::parse_message(spec), "fence"); });
  return fence.value_or(0);
}

rollout::fetch_reply
error_reply(const failure& f)
{
  rollout::fetch_reply reply;
  auto& e = *reply.mutable_error();
  e.set_kind(std::string{ name_of(f.kind) });
  e.set_message(message_of(f));
  e.set_retry_after_ms(f.retry_after_ms);
  return reply;
}

} // namespace

struct owner::pending_fetch
{
  rollout::fetch_request request;
  fetch_done done;
  std::uint64_t wait_until_ms = 0;
};

struct owner::session
{
  std::string trainer;
  std::uint64_t fence = 0;
  std::string job_name;
  configuration::rollout_job job;
  configuration::trainer declared;
  // 0 until the trainer's first fetch.
  std::uint64_t current_step = 0;
  std::uint64_t weight_version = 0;
  std::map<std::uint64_t, rollout::step> steps;
  std::map<std::pair<std::uint64_t, std::uint32_t>, std::vector<std::uint64_t>>
    handles;
  std::size_t in_flight = 0;
  std::vector<pending_fetch> pending_fetches;
  std::uint64_t ledger_version = 0;
  std::uint64_t ledger_ms = 0;
  std::size_t ledger_delivered = 0;
  std::uint64_t ledger_step = 0;
  bool ledger_busy = false;
  bool ledger_read = false;
  double staleness_sum = 0;
  std::uint64_t staleness_count = 0;
  bool ended = false;
};

struct owner::running_sample
{
  std::uint64_t step = 0;
  std::uint32_t index = 0;
  std::uint64_t handle = 0;
  std::string excluded_instance;
  rollout::sample body;
};

owner::owner(process::daemon& d,
             const settings::entry_settings& s,
             call_dispatcher& dispatcher)
  : daemon_{ d }
  , settings_{ s }
  , dispatcher_{ dispatcher }
  , leases_{ d, [this](const std::string& trainer, std::uint64_t fence) {
              on_lease(trainer, fence);
            } }
{
}

owner::~owner() = default;

void
owner::on_configuration(const configuration::snapshot_ptr& view)
{
  leases_.on_configuration(view);
  for (auto& [trainer, s] : sessions_) {
    const auto declared = view->trainers->find(trainer);
    if (declared != view->trainers->end()) {
      s->declared = declared->second.value;
    }
    for (const auto& [name, job] : *view->jobs) {
      if (job.value.trainer == trainer) {
        s->job_name = name;
        s->job = job.value;
        break;
      }
    }
  }
}

void
owner::on_lease(const std::string& trainer, std::uint64_t fence)
{
  const auto known = sessions_.find(trainer);
  if (known != sessions_.end()) {
    auto& s = *known->second;
    s.ended = true;
    for (const auto& [slot, handles] : s.handles) {
      for (const auto handle : handles) {
        dispatcher_.cancel(handle);
      }
    }
    for (auto& w : s.pending_fetches) {
      w.done(error_reply({ error_kind::not_owner, trainer, 200 }));
    }
    sessions_.erase(known);
  }
  if (fence != 0) {
    auto s = std::make_shared<session>();
    s->trainer = trainer;
    s->fence = fence;
    sessions_[trainer] = s;
    on_configuration(daemon_.configuration.current());
  }
}

bool
owner::owns(const session& s) const
{
  return !s.ended && leases_.fence_of(s.trainer) == s.fence;
}

void
owner::fetch(const rollout::fetch_request& r, fetch_done done)
{
  const auto found = sessions_.find(r.trainer());
  if (found == sessions_.end() || !owns(*found->second)) {
    done(error_reply({ error_kind::not_owner, r.trainer(), 200 }));
    return;
  }
  const auto s = found->second;
  // The trainer has seen a newer owner: this process was paused while its lease
  // expired. Delivering samples now could deliver them twice.
  if (r.fence() > s->fence) {
    leases_.mark_lost(r.trainer());
    done(error_reply({ error_kind::fenced, r.trainer(), 200 }));
    return;
  }
  if (s->job_name.empty()) {
    done(error_reply(
      { error_kind::not_found, "no rollout_job names " + r.trainer(), 1000 }));
    return;
  }
  if (r.step() == 0 || r.step() > s->job.steps) {
    done(error_reply(
      { error_kind::not_found,
        "job " + s->job_name + " ends at step " + std::to_string(s->job.steps),
        1000 }));
    return;
  }
  enter_step(*s, r);
  pending_fetch w{ r,
                   std::move(done),
                   process::steady_ms() + std::min(r.wait_ms(), max_wait_ms) };
  if (!try_answer(*s, w)) {
    s->pending_fetches.push_back(std::move(w));
  }
  start_samples(s);
}

rollout::step&
owner::get_step(session& s, std::uint64_t number)
{
  const auto found = s.steps.find(number);
  if (found != s.steps.end()) {
    return found->second;
  }
  timeline::log(timeline::event{ "step_opened" }
                  .with("trainer", s.trainer)
                  .with("job", s.job_name)
                  .with("step", number)
                  .with("fence", s.fence));
  return s.steps
    .emplace(
      number,
      rollout::make_step(s.job_name, number, s.job.groups, s.job.group_size))
    .first->second;
}

void
owner::enter_step(session& s, const rollout::fetch_request& r)
{
  s.weight_version = std::max(s.weight_version, r.weight_version());
  s.current_step = r.step();
  while (!s.steps.empty() && s.steps.begin()->first < s.current_step) {
    const auto number = s.steps.begin()->first;
    for (std::uint32_t i = 0; i < s.steps.begin()->second.slots.size(); ++i) {
      cancel_calls(s, number, i);
    }
    s.steps.erase(s.steps.begin());
  }
  auto& step = get_step(s, s.current_step);
  if (rollout::mark_received(step, r.received()) > 0) {
    for (std::uint32_t i = 0; i < step.slots.size(); ++i) {
      if (step.slots[i].phase == rollout::slot_phase::delivered) {
        cancel_calls(s, s.current_step, i);
      }
    }
  }
}

void
owner::cancel_calls(session& s, std::uint64_t step, std::uint32_t index)
{
  const auto found = s.handles.find({ step, index });
  if (found == s.handles.end()) {
    return;
  }
  for (const auto handle : found->second) {
    dispatcher_.cancel(handle);
    --s.in_flight;
  }
  s.handles.erase(found);
}

// The staleness bound is checked at the last moment against the oldest version
// in the sample, as the trainer may have published new weights since the sample
// was started.
bool
owner::try_answer(session& s, pending_fetch& w)
{
  if (w.request.step() != s.current_step) {
    w.done(error_reply({ error_kind::conflict, "a newer fetch is open", 0 }));
    return true;
  }
  auto& step = get_step(s, s.current_step);
  const auto limit =
    std::clamp<std::uint32_t>(w.request.max_samples(), 1, max_fetch);
  rollout::fetch_reply reply;
  auto& response = *reply.mutable_response();
  for (const auto index : rollout::ready_slots(step, limit)) {
    auto& body = *step.slots[index].body;
    const auto staleness = s.weight_version > body.oldest_version()
                             ? s.weight_version - body.oldest_version()
                             : 0;
    if (staleness > s.declared.staleness_bound) {
      timeline::log(timeline::event{ "sample_dropped" }
                      .with("sample", body.sample_id())
                      .with("behind", staleness));
      daemon_.metrics.add("samples_dropped_total", { { "reason", "stale" } });
      rollout::release_slot(step, index);
      continue;
    }
    s.staleness_sum += static_cast<double>(staleness);
    ++s.staleness_count;
    timeline::log(timeline::event{ "sample_sent" }
                    .with("sample", body.sample_id())
                    .with("trainer", s.trainer)
                    .with("fence", s.fence));
    *response.add_samples() = body;
  }
  const bool is_complete = step.delivered == step.slots.size();
  if (response.samples_size() == 0 && !is_complete &&
      process::steady_ms() < w.wait_until_ms) {
    return false;
  }
  response.set_fence(s.fence);
  response.set_step(step.number);
  response.set_staleness_bound(s.declared.staleness_bound);
  response.set_step_size(static_cast<std::uint32_t>(step.slots.size()));
  w.done(reply);
  return true;
}

void
owner::answer_pending_fetches(session& s)
{
  auto waiting = std::exchange(s.pending_fetches, {});
  for (auto& w : waiting) {
    if (!try_answer(s, w)) {
      s.pending_fetches.push_back(std::move(w));
    }
  }
}

void
owner::tick()
{
  leases_.tick();
  const auto held = sessions_;
  for (const auto& [trainer, s] : held) {
    answer_pending_fetches(*s);
    start_samples(s);
    write_ledger(s);
  }
}

// A sample of a later step is delivered under the version that the trainer will
// have by then, so its weights must be newer by as many versions. A trainer
// with `run_ahead` below one step waits for the swap, to keep staleness low.
// With whole steps run ahead there is no such wait, as those samples use older
// weights anyway.
std::uint64_t
owner::min_version_for(const session& s, std::uint64_t number) const
{
  if (number == s.current_step && settings_.policy != "baseline" &&
      run_ahead_of(s) < 1) {
    return std::max<std::uint64_t>(s.weight_version, 1);
  }
  const auto version_at_delivery = s.weight_version + (number - s.current_step);
  const auto bound = s.declared.staleness_bound;
  return version_at_delivery > bound
           ? std::max<std::uint64_t>(version_at_delivery - bound, 1)
           : 1;
}

double
owner::run_ahead_of(const session& s) const
{
  return settings::is_enabled(settings_, "run_ahead") ? s.declared.run_ahead
                                                      : 0;
}

void
owner::start_samples(const session_ptr& s)
{
  if (s->ended || s->current_step == 0 || s->job_name.empty() || leaving_) {
    return;
  }
  const auto max_in_flight = static_cast<std::size_t>(
    std::ceil(dispatcher_.available_slots(s->job.pool) * in_flight_factor));
  bool more = true;
  while (more && s->in_flight < max_in_flight) {
    more = start_sample_of_step(s, s->current_step);
    for (std::uint64_t steps_ahead = 1;
         !more && static_cast<double>(steps_ahead) < run_ahead_of(*s) + 1 &&
         s->current_step + steps_ahead <= s->job.steps;
         ++steps_ahead) {
      more = start_sample_of_step(s, s->current_step + steps_ahead);
    }
  }
}

bool
owner::start_sample_of_step(const session_ptr& s, std::uint64_t number)
{
  const auto view = daemon_.configuration.current();
  const auto published = view->weights->find(s->declared.model);
  const auto active =
    published == view->weights->end() ? 0 : published->second.value.version;
  if (min_version_for(*s, number) > std::max<std::uint64_t>(active, 1)) {
    return false;
  }
  auto& step = get_step(*s, number);
  const auto steps_ahead = static_cast<double>(number - s->current_step);
  const auto allowed = steps_ahead == 0
                         ? 1.0
                         : std::min(1.0, run_ahead_of(*s) - (steps_ahead - 1));
  const auto started = step.slots.size() - step.waiting;
  if (static_cast<double>(started) >=
      allowed * static_cast<double>(step.slots.size())) {
    return false;
  }
  const auto index = rollout::start_next(step, process::steady_ms());
  if (!index) {
    return false;
  }
  start_sample(s, number, *index);
  return true;
}

void
owner::start_sample(const session_ptr& s, std::uint64_t step, std::uint32_t i)
{
  const auto sample = std::make_shared<running_sample>();
  sample->step = step;
  sample->index = i;
  auto& slot = *sample->body.mutable_slot();
  slot.set_job(s->job_name);
  slot.set_step(step);
  slot.set_group(i / s->job.group_size);
  slot.set_index(i % s->job.group_size);
  sample->body.set_slot_index(i);
  const auto group = s->job_name + "/" + std::to_string(step) + "/" +
                     std::to_string(slot.group());
  sample->body.set_prompt("prompt " + group);
  const auto attempts = get_step(*s, step).slots[i].attempts;
  sample->body.set_sample_id(group + "/" + std::to_string(slot.index()) + "#" +
                             std::to_string(s->fence) + "." +
                             std::to_string(attempts));
  timeline::log(timeline::event{ "sample_started" }
                  .with("sample", sample->body.sample_id())
                  .with("trainer", s->trainer)
                  .with("fence", s->fence));
  start_call(s, sample);
}

void
owner::start_call(const session_ptr& s, const sample_ptr& sample)
{
  const auto& body = sample->body;
  call_spec spec;
  auto& r = spec.request;
  r.set_request_id(body.sample_id());
  r.set_pool(s->job.pool);
  r.set_call_class(calls::rollout);
  r.set_trainer(s->trainer);
  r.set_share(static_cast<std::uint32_t>(s->declared.share * 1000));
  auto& work = *r.mutable_completion();
  work.set_model(s->declared.model);
  work.set_prompt(body.prompt());
  work.set_max_tokens(s->job.max_tokens);
  work.set_min_version(min_version_for(*s, sample->step));
  // All samples of a group share a prefix, so they get the same affinity.
  spec.affinity = routing::hash_of(body.prompt());
  spec.deadline_ms = sample_deadline_ms;
  spec.excluded_instance = sample->excluded_instance;
  spec.on_tokens = [sample](const calls::token_run& t) {
    rollout::add_run(sample->body, t.weight_version(), t.count());
    sample->body.mutable_text()->append(t.text());
  };
  spec.on_done = [this, s, sample](const call_result& result) {
    on_sample_end(s, sample, result);
  };
  ++s->in_flight;
  sample->handle = dispatcher_.start(std::move(spec));
  s->handles[{ sample->step, sample->index }].push_back(sample->handle);
}

void
owner::on_sample_end(const session_ptr& s,
                     const sample_ptr& sample,
                     const call_result& r)
{
  if (s->ended) {
    return;
  }
  --s->in_flight;
  auto& handles = s->handles[{ sample->step, sample->index }];
  std::erase(handles, sample->handle);
  const bool is_last = handles.empty();
  if (is_last) {
    s->handles.erase({ sample->step, sample->index });
  }
  const auto found = s->steps.find(sample->step);
  if (found == s->steps.end()) {
    return;
  }
  auto& step = found->second;
  const auto oldest = rollout::oldest_version(sample->body);
  if (r.error || oldest == 0) {
    timeline::log(timeline::event{ "sample_failed" }
                    .with("sample", sample->body.sample_id())
                    .with("error", name_of(r.error.kind))
                    .with("tokens", r.tokens));
    daemon_.metrics.add("wasted_tokens_total",
                        { { "trainer", s->trainer } },
                        static_cast<double>(r.tokens));
    if (is_last) {
      daemon_.run_after(retry_delay_ms, [this, s, sample] {
        const auto found_again = s->steps.find(sample->step);
        if (!s->ended && found_again != s->steps.end() &&
            found_again->second.slots[sample->index].phase ==
              rollout::slot_phase::running) {
          rollout::release_slot(found_again->second, sample->index);
          start_samples(s);
        }
      });
    }
    return;
  }
  if (!rollout::begin_scoring(step, sample->index)) {
    return;
  }
  cancel_calls(*s, sample->step, sample->index);
  sample->body.set_oldest_version(oldest);
  score(s, sample);
  start_samples(s);
}

void
owner::score(const session_ptr& s, const sample_ptr& sample)
{
  if (s->job.scorer.empty()) {
    on_scored(s, sample, 0);
    return;
  }
  call_spec spec;
  auto& r = spec.request;
  r.set_request_id(sample->body.sample_id() + "/score");
  r.set_pool(s->job.scorer);
  r.set_call_class(calls::check);
  auto& work = *r.mutable_service();
  work.set_method("POST");
  work.set_path("/score");
  work.set_content_type("application/json");
  work.set_body(nlohmann::json{ { "sample", sample->body.sample_id() },
                                { "text", sample->body.text() } }
                  .dump());
  spec.affinity = routing::hash_of(sample->body.sample_id());
  spec.deadline_ms = score_deadline_ms;
  const auto value = std::make_shared<std::optional<double>>();
  spec.on_answer = [value](const calls::answer& a) {
    const auto j = store::parse_message(a.body());
    if (a.status() == 200 && j.is_object() && j.contains("score") &&
        j["score"].is_number()) {
      *value = j["score"].get<double>();
    }
  };
  spec.on_done = [this, s, sample, value](const call_result& result) {
    if (!result.error && *value) {
      on_scored(s, sample, **value);
      return;
    }
    timeline::log(timeline::event{ "score_failed" }
                    .with("sample", sample->body.sample_id())
                    .with("error", name_of(result.error.kind)));
    daemon_.run_after(retry_delay_ms, [this, s, sample] {
      if (!s->ended) {
        score(s, sample);
      }
    });
  };
  dispatcher_.start(std::move(spec));
}

void
owner::on_scored(const session_ptr& s, const sample_ptr& sample, double score)
{
  const auto found = s->steps.find(sample->step);
  if (s->ended || found == s->steps.end()) {
    return;
  }
  sample->body.set_score(score);
  timeline::log(timeline::event{ "sample_ready" }
                  .with("sample", sample->body.sample_id())
                  .with("trainer", s->trainer)
                  .with("oldest", sample->body.oldest_version())
                  .with("runs", format_runs(sample->body)));
  rollout::fill(found->second, sample->index, sample->body);
  answer_pending_fetches(*s);
}

// The trainer itself reports which samples it has. The ledger lets a new owner
// begin at the right step and shows progress while no trainer is connected.
void
owner::write_ledger(const session_ptr& s)
{
  const auto now = process::steady_ms();
  const auto step = s->steps.find(s->current_step);
  if (s->ledger_busy || s->current_step == 0 || step == s->steps.end() ||
      now - s->ledger_ms < ledger_interval_ms) {
    return;
  }
  const auto delivered = step->second.delivered;
  if (delivered == s->ledger_delivered && s->current_step == s->ledger_step) {
    return;
  }
  s->ledger_busy = true;
  s->ledger_ms = now;
  const auto number = s->current_step;
  const platform::write w{ "ledger",
                           s->trainer,
                           s->ledger_version,
                           nlohmann::json{
                             { "job", s->job_name },
                             { "step", number },
                             { "delivered", delivered },
                             { "step_size", step->second.slots.size() },
                             { "weight_version", s->weight_version },
                             { "fence", s->fence } }
                             .dump(),
                           process::generate_id(),
                           false };
  daemon_.run_on_worker(
    [this, w, own_fence = s->fence] {
      auto r = daemon_.platform.put(w);
      if (r.error.kind != error_kind::conflict) {
        return std::pair{ r, false };
      }
      // Another owner wrote the ledger. An older owner's entry is overwritten
      // by the next write; a newer owner has taken over the trainer.
      const auto stored = daemon_.platform.get(w.kind, w.name);
      const bool is_fenced = stored && fence_in(stored.value.spec) > own_fence;
      r.value = stored.value.version;
      return std::pair{ r, is_fenced };
    },
    [this, s, number, delivered](const auto& answer) {
      const auto& [r, is_fenced] = answer;
      s->ledger_busy = false;
      if (is_fenced) {
        leases_.mark_lost(s->trainer);
      } else if (r) {
        s->ledger_version = r.value;
        s->ledger_step = number;
        s->ledger_delivered = delivered;
      } else if (r.error.kind == error_kind::conflict) {
        s->ledger_version = r.value;
      }
    });
}

void
owner::leave()
{
  leaving_ = true;
  leases_.release_all();
}

bool
owner::is_idle() const
{
  return !leases_.holds_any();
}

std::vector<owner_status>
owner::status() const
{
  std::vector<owner_status> all;
  for (const auto& [trainer, s] : sessions_) {
    owner_status item;
    item.trainer = trainer;
    item.fence = s->fence;
    item.step = s->current_step;
    const auto step = s->steps.find(s->current_step);
    if (step != s->steps.end()) {
      item.received = static_cast<std::uint32_t>(step->second.delivered);
      item.step_size = static_cast<std::uint32_t>(step->second.slots.size());
    }
    item.weight_version = s->weight_version;
    item.staleness_mean =
      s->staleness_count == 0
        ? 0
        : s->staleness_sum / static_cast<double>(s->staleness_count);
    all.push_back(item);
  }
  return all;
}

} // namespace cactusford::entry
