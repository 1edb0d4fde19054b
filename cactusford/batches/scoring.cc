#include "cactusford/backends/eligibility.h"
#include "cactusford/batches/manager_impl.h"
#include "cactusford/edge/home_regions.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <utility>

namespace cactusford::batches {

namespace {

// Allowance for clock differences between instances: an item is given up late
// rather than early.
constexpr std::uint64_t clock_margin_ms = 8000;

// Memory for texts of ended batches. Their items may be submitted again in a
// later batch.
constexpr std::size_t max_reusable_bytes = 4U << 20;

// Delay before a scorer call that was not answered is repeated.
constexpr std::uint64_t score_retry_ms = 80;

// How often to check whether servers of a drained scorer are back. The check
// sends no request.
constexpr std::uint64_t drained_check_ms = 250;

// How often to check whether a quarantined scorer call may be made again. The
// check sends no request.
constexpr std::uint64_t quarantine_check_ms = 1000;

// How often to check whether a scorer call that no home region can serve may be
// made.
constexpr std::uint64_t home_check_ms = 1000;

http::request
request_of(const scorer_call& call)
{
  return { "POST", call.path, { { "Host", call.host } }, call.body };
}

} // namespace

// Called when the text of an item is complete. The item has a result once the
// scorer has answered.
void
manager::impl::on_text_complete(batch_state& b, item_state& i)
{
  const auto& item = b.submission.items[i.index];
  if (!item.scorer) {
    finish_item(b, i, { item.id, true, i.text.text, i.text.versions, "" });
    return;
  }
  i.stage = item_stage::scoring;
  i.score_tries = 0;
  queue_score(b.stored.id, i.index);
  schedule_dispatch();
}

void
manager::impl::queue_score(const std::string& id, std::size_t at)
{
  find_batch(id)->items[at].score_retry_at_ms = 0;
  add(unscored, { id, at });
  start_queued_scores();
}

void
manager::impl::start_queued_scores()
{
  while (can_start(score_limiter)) {
    const auto next = take_next(
      unscored, [this](const unscored_text& t) { return is_suspect(t); });
    if (!next) {
      return;
    }
    start_score_call(*next);
  }
}

// Returns true if servers have crashed during this text's scorer call and the
// call is not quarantined.
bool
manager::impl::is_suspect(const unscored_text& t)
{
  const auto* b = find_batch(t.batch);
  if (deps.quarantine_manager == nullptr || b == nullptr || !b->owned ||
      t.at >= b->items.size()) {
    return false;
  }
  const auto work =
    quarantine::fingerprint_of(request_of(*b->submission.items[t.at].scorer));
  const auto decision =
    deps.quarantine_manager->evaluate(work, quarantine::run_kind::scorer_call);
  return quarantine::has_crashes(decision) &&
         decision.status != quarantine::request_status::quarantined;
}

// Returns the total number of slots of the route's servers in the homes.
std::size_t
manager::impl::slots_of(const routes::route& r,
                        const data_centres::home_regions& homes) const
{
  const auto now = http::now_ms();
  std::size_t slots = 0;
  for (const auto& [id, b] : deps.registry.all) {
    const bool serves_route = std::any_of(
      r.services.begin(), r.services.end(), [&b = b](const auto& s) {
        return s.service == b.info.service;
      });
    const bool counts =
      serves_route && backends::counts_as_capacity(deps.registry, b, now) &&
      data_centres::is_home(
        homes, deps.registry.topology.regions, b.info.data_centre);
    slots += counts ? b.info.slots : 0;
  }
  return slots;
}

// Lets the next suspect call start if this call was the suspect in flight.
void
manager::impl::release_suspect(const next_score& next)
{
  if (next.is_suspect) {
    on_suspect_finished(unscored);
  }
}

void
manager::impl::end_score_call(const next_score& next,
                              score_end end,
                              std::size_t slots)
{
  on_call_end(score_limiter, end, slots, http::now_ms());
  release_suspect(next);
}

void
manager::impl::start_score_call(const next_score& next)
{
  const auto& [id, at] = next.text;
  auto* b = find_batch(id);
  const bool is_wanted = b != nullptr && b->owned && at < b->items.size() &&
                         b->items[at].stage == item_stage::scoring;
  if (!is_wanted) {
    release_suspect(next);
    return;
  }
  auto& i = b->items[at];
  const auto& call = *b->submission.items[at].scorer;
  const auto route = route_to(call.host, call.path);
  if (route == nullptr) {
    i.score_retry_at_ms = http::now_ms() + score_retry_ms;
    release_suspect(next);
    return;
  }
  edge::forward_request f;
  f.id = call.id;
  f.route = *route;
  // Scorer calls may be repeated even if the route does not allow that to
  // callers.
  f.route.kind = routes::call_kind::idempotent;
  f.homes = routes::homes_of(*deps.table(), route.get(), b->stored.workspace);
  const auto refusal = edge::restrict_to_homes(f.route, deps.registry, f.homes);
  if (!refusal.empty()) {
    process::log_line(timeline::event{ "item_score_refused" }
                        .with("request", b->submission.items[at].id)
                        .with("scorer_request", call.id)
                        .with("why", refusal));
    i.score_retry_at_ms = http::now_ms() + home_check_ms;
    release_suspect(next);
    return;
  }
  f.no_retry_after_disconnect = true;
  f.demand.is_scorer = true;
  f.request = request_of(call);
  f.request.fields.push_back({ deps.dialect.headers.request_id, call.id });
  f.give_up_ms = http::now_ms() + route->timeout_ms;
  i.score_retry_at_ms = 0;
  ++i.score_tries;
  const bool yields = deps.score_calls_yield &&
                      routes::yields_to_callers(yielding, deps.table(), *route);
  if (yields) {
    restart_after_idle(score_limiter, http::now_ms());
  }
  on_call_start(score_limiter);
  const auto slots = slots_of(*route, f.homes);
  const auto cancel = deps.forwarder.start(
    std::move(f),
    [self = shared_from_this(), next, slots, yields](
      edge::forward_outcome&& o) {
      const bool is_full =
        o.refusals > 0 || o.what == edge::forward_end::unknown;
      auto end = yields ? yielding_end(self->score_limiter, o.load)
                        : score_end::answered;
      end = is_full ? score_end::refused : end;
      // A refusal by the queue of this instance says nothing about servers.
      end = o.is_unsent ? score_end::cancelled : end;
      self->end_score_call(next, end, slots);
      self->on_scored(next.text.batch, next.text.at, std::move(o));
      self->start_queued_scores();
    });
  i.cancel_score = [self = shared_from_this(), cancel, next] {
    cancel();
    self->end_score_call(next, score_end::cancelled, 0);
  };
}

void
manager::impl::on_scored(const std::string& id,
                         std::size_t at,
                         edge::forward_outcome&& o)
{
  auto* b = find_batch(id);
  if (b == nullptr || !b->owned || b->items[at].stage != item_stage::scoring) {
    return;
  }
  auto& i = b->items[at];
  i.cancel_score = nullptr;
  const auto& item = b->submission.items[at];
  const bool answered = o.what == edge::forward_end::answered;
  const bool success =
    answered && o.answer.status >= 200 && o.answer.status < 300;
  const auto signature =
    http::find(o.answer.fields, deps.dialect.headers.signature);
  if (success && signature) {
    finish_item(*b,
                i,
                { item.id,
                  true,
                  i.text.text,
                  i.text.versions,
                  std::string{ *signature } });
    return;
  }
  i.failed_scores += o.failed_runs;
  const auto route = route_to(item.scorer->host, item.scorer->path);
  if (route != nullptr && i.failed_scores >= route->max_attempts) {
    process::log_line(timeline::event{ "item_score_failed" }
                        .with("request", item.id)
                        .with("scorer_request", item.scorer->id)
                        .with("failures", i.failed_scores));
    reject_item(*b, i);
    return;
  }
  if (o.is_drained) {
    if (i.score_tries == 1) {
      process::log_line(timeline::event{ "item_score_drained" }
                          .with("request", item.id)
                          .with("scorer_request", item.scorer->id));
    }
    i.score_retry_at_ms = http::now_ms() + drained_check_ms;
    return;
  }
  const bool quarantined = o.what == edge::forward_end::quarantined;
  if (quarantined) {
    process::log_line(timeline::event{ "item_score_quarantined" }
                        .with("request", item.id)
                        .with("scorer_request", item.scorer->id)
                        .with("ends", o.crashes)
                        .with("come_back_ms", o.retry_after_ms));
  }
  // Servers that are all cold state when their budget returns.
  const auto retry_ms = std::max(score_retry_ms, o.budget_wait_ms);
  i.score_retry_at_ms =
    http::now_ms() + (quarantined ? quarantine_check_ms : retry_ms);
}

// Ends an item because servers have answered that it can't be done.
void
manager::impl::reject_item(batch_state& b, item_state& i)
{
  b.has_rejected_item = true;
  finish_item(b, i, { b.submission.items[i.index].id, false, "", {}, "" });
}

void
manager::impl::finish_item(batch_state& b, item_state& i, item_result r)
{
  i.stage = item_stage::finished;
  const auto now = http::now_ms();
  process::log_line(timeline::event{ "item_finished" }
                      .with("request", r.id)
                      .with("batch", b.stored.id)
                      .with("done", r.done ? 1U : 0U)
                      .with("events", i.text.events)
                      .with("tries", i.tries));
  add_result(b.ledger, std::move(r), now);
  b.on_item_finished(i.index, now);
  write_results_if_due(b, now);
  schedule_dispatch();
}

void
manager::impl::give_up_expired_items(batch_state& b)
{
  const auto route = route_to(b.stored.host, b.stored.target);
  const auto wall = timeline::wall_ms();
  if (route == nullptr || route->give_up_ms == 0 ||
      wall < b.stored.accepted_wall_ms + route->give_up_ms + clock_margin_ms) {
    return;
  }
  for (auto& i : b.items) {
    if (i.stage == item_stage::finished) {
      continue;
    }
    if (i.stage == item_stage::running) {
      stop_run(i);
    } else if (i.stage == item_stage::scoring && i.cancel_score) {
      std::exchange(i.cancel_score, nullptr)();
    }
    finish_item(b, i, { b.submission.items[i.index].id, false, "", {}, "" });
  }
}

// Items of incomplete groups are submitted again in a later batch. Reuses their
// saved text if the batch allows the versions that generated it.
void
manager::impl::reuse_saved_texts(batch_state& b)
{
  for (auto& i : b.items) {
    const auto& item = b.submission.items[i.index];
    const auto* text =
      find(reusable, key_of(b.stored, b.submission.model, item));
    if (text == nullptr || i.stage != item_stage::waiting ||
        !is_admissible(*text, version_rule_of(b))) {
      continue;
    }
    i.text = *text;
    process::log_line(timeline::event{ "item_text_reused" }
                        .with("request", item.id)
                        .with("batch", b.stored.id)
                        .with("events", text->events)
                        .with("complete", text->complete ? 1U : 0U));
    if (i.text.complete) {
      on_text_complete(b, i);
    }
  }
}

void
manager::impl::save_texts_for_reuse(batch_state& b)
{
  if (!b.owned) {
    return;
  }
  for (const auto& i : b.items) {
    if (i.text.events > 0) {
      const auto& item = b.submission.items[i.index];
      keep(reusable,
           key_of(b.stored, b.submission.model, item),
           i.text,
           max_reusable_bytes);
    }
  }
}

} // namespace cactusford::batches
