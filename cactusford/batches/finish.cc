#include "cactusford/batches/keeper_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <utility>

namespace cactusford::batches {

namespace {

// Clocks of instances differ; an item is given up late rather than early.
constexpr std::uint64_t clock_margin_ms = 8000;

// What is remembered of the items of ended batches, which may come again.
constexpr std::size_t carried_limit = 2000;

// A scorer call that got no answer is made again after this pause.
constexpr std::uint64_t scorer_pause_ms = 80;

// How often it is looked whether a scorer call that ends its backend servers
// may be made. Nothing is sent for it.
constexpr std::uint64_t kept_out_look_ms = 1000;

http::request
request_of(const scorer_call& call)
{
  return { "POST", call.path, { { "Host", call.host } }, call.body };
}

} // namespace

// The whole text is there; the scorer's verdict makes it a result.
void
keeper::impl::on_text(batch_state& b, item_state& i)
{
  const auto& item = b.submission.items[i.index];
  if (!item.scorer) {
    finish_item(b, i, { item.id, true, i.text.text, i.text.versions, "" });
    return;
  }
  i.stage = item_stage::scoring;
  i.score_tries = 0;
  want_score(b.stored.id, i.index);
  plan_soon();
}

void
keeper::impl::want_score(const std::string& id, std::size_t at)
{
  known(id)->items[at].score_again_ms = 0;
  add(unscored, { id, at });
  start_scores();
}

void
keeper::impl::start_scores()
{
  while (may_start(scores)) {
    const auto next = take_next(
      unscored, [this](const unscored_text& t) { return is_suspect(t); });
    if (!next) {
      return;
    }
    score(*next);
  }
}

// Servers have ended under this text's call, and it is not kept out.
bool
keeper::impl::is_suspect(const unscored_text& t)
{
  const auto* b = known(t.batch);
  if (p.guard == nullptr || b == nullptr || !b->owned ||
      t.at >= b->items.size()) {
    return false;
  }
  const auto work =
    quarantine::fingerprint_of(request_of(*b->submission.items[t.at].scorer));
  const auto v = p.guard->evaluate(work, quarantine::run_kind::call);
  return quarantine::has_crashes(v) &&
         v.status != quarantine::request_status::quarantined;
}

// The places that the servers of a route have together.
std::size_t
keeper::impl::places_of(const routes::route& r) const
{
  std::size_t places = 0;
  for (const auto& [id, b] : p.registry.all) {
    const bool is_of_it = std::any_of(
      r.services.begin(), r.services.end(), [&b = b](const auto& s) {
        return s.service == b.info.service;
      });
    places += is_of_it && !b.info.leaving ? b.info.slots : 0;
  }
  return places;
}

// Others may go where it stood in the way.
void
keeper::impl::release(const next_score& next)
{
  if (next.is_suspect) {
    note_suspect_ended(unscored);
  }
}

void
keeper::impl::end_score(const next_score& next,
                        score_end end,
                        std::size_t places)
{
  note_end(scores, end, places, http::now_ms());
  release(next);
}

void
keeper::impl::score(const next_score& next)
{
  const auto& [id, at] = next.text;
  auto* b = known(id);
  const bool is_wanted = b != nullptr && b->owned && at < b->items.size() &&
                         b->items[at].stage == item_stage::scoring;
  if (!is_wanted) {
    release(next);
    return;
  }
  auto& i = b->items[at];
  const auto& call = *b->submission.items[at].scorer;
  const auto route = route_to(call.host, call.path);
  if (route == nullptr) {
    i.score_again_ms = http::now_ms() + scorer_pause_ms;
    release(next);
    return;
  }
  edge::forward_request f;
  f.id = call.id;
  f.route = *route;
  // May be repeated, whatever the route allows to callers.
  f.route.kind = routes::call_kind::idempotent;
  f.no_retry_after_disconnect = true;
  f.request = request_of(call);
  f.request.fields.push_back({ p.dialect.headers.request_id, call.id });
  f.give_up_ms = http::now_ms() + route->timeout_ms;
  i.score_again_ms = 0;
  ++i.score_tries;
  note_start(scores);
  const auto cancel = p.forwarder.start(
    std::move(f),
    [self = shared_from_this(), next, places = places_of(*route)](
      edge::forward_outcome&& o) {
      const bool is_full =
        o.refusals > 0 || o.what == edge::forward_end::unknown;
      self->end_score(
        next, is_full ? score_end::refused : score_end::answered, places);
      self->on_scored(next.text.batch, next.text.at, std::move(o));
      self->start_scores();
    });
  i.cancel_score = [self = shared_from_this(), cancel, next] {
    cancel();
    self->end_score(next, score_end::cancelled, 0);
  };
}

void
keeper::impl::on_scored(const std::string& id,
                        std::size_t at,
                        edge::forward_outcome&& o)
{
  auto* b = known(id);
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
    http::find(o.answer.fields, p.dialect.headers.signature);
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
    finish_item(*b, i, { item.id, false, "", {}, "" });
    return;
  }
  const bool kept_out = o.what == edge::forward_end::quarantined;
  if (kept_out) {
    process::log_line(timeline::event{ "item_score_quarantined" }
                        .with("request", item.id)
                        .with("scorer_request", item.scorer->id)
                        .with("ends", o.crashes)
                        .with("come_back_ms", o.retry_after_ms));
  }
  i.score_again_ms =
    http::now_ms() + (kept_out ? kept_out_look_ms : scorer_pause_ms);
}

void
keeper::impl::finish_item(batch_state& b, item_state& i, item_result r)
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
  b.note_finished(i.index, now);
  maybe_write(b, now);
  plan_soon();
}

void
keeper::impl::give_up_late(batch_state& b)
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

// Items of groups that were not complete come again in a later batch. What is
// known of their text is used if its weights are new enough.
void
keeper::impl::reuse_carried(batch_state& b)
{
  for (auto& i : b.items) {
    const auto& item = b.submission.items[i.index];
    const auto found = carried.find(item.id);
    if (found == carried.end() || i.stage != item_stage::waiting) {
      continue;
    }
    const auto& text = found->second.text;
    const bool fresh = std::all_of(
      text.versions.begin(), text.versions.end(), [&](std::uint64_t v) {
        return v >= b.submission.min_version;
      });
    if (!fresh || text.events == 0) {
      continue;
    }
    i.text = text;
    if (found->second.whole) {
      on_text(b, i);
    }
  }
}

void
keeper::impl::remember(batch_state& b)
{
  if (!b.owned) {
    return;
  }
  if (carried.size() > carried_limit) {
    carried.clear();
  }
  for (const auto& i : b.items) {
    const bool whole =
      i.stage == item_stage::scoring || i.stage == item_stage::finished;
    if (i.text.events > 0) {
      carried[b.submission.items[i.index].id] = { i.text, whole };
    }
  }
}

} // namespace cactusford::batches
