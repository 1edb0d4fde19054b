#include "cactusford/store/watcher.h"

#include "cactusford/http/clock.h"
#include "cactusford/process/line_log.h"

#include <algorithm>
#include <iterator>

namespace cactusford::store {

namespace {

// Time from the start of a failed call to the start of the next, in
// milliseconds. Recovery of the store should be noticed well within a second;
// the paths limit how often it is actually asked.
constexpr std::uint64_t first_pause_ms = 50;
constexpr std::uint64_t max_pause_ms = 400;

// An answer with changes may have been delayed by a relay that was paused, and
// the relay may be silent next: the delay plus the whole next watch would
// exceed the time within which a change must be known. A view that is older
// than this is confirmed by a watch that the store does not hold.
constexpr std::uint64_t stale_after_ms = 150;

std::uint64_t
pause_after(std::uint32_t failures)
{
  constexpr std::uint32_t doublings = 4;
  return std::min(first_pause_ms << std::min(failures - 1, doublings),
                  max_pause_ms);
}

} // namespace

watcher::watcher(asio::io_context& io,
                 client& store,
                 watch_settings s,
                 watch_events events)
  : timer_{ io }
  , store_{ store }
  , settings_{ std::move(s) }
  , events_{ std::move(events) }
{
}

void
watcher::start()
{
  running_ = true;
  watch();
}

void
watcher::stop()
{
  running_ = false;
  ++round_;
  timer_.cancel();
}

void
watcher::refresh()
{
  if (running_) {
    ++round_;
    timer_.cancel();
    watch();
  }
}

void
watcher::perform(const call& c, client::handler done)
{
  asked_ms_ = http::now_ms();
  store_.perform(c, std::move(done));
}

// The duration of the failed call counts towards the pause.
std::uint64_t
watcher::pause_left() const
{
  const auto waited = http::now_ms() - asked_ms_;
  const auto pause = pause_after(failures_);
  return waited < pause ? pause - waited : 0;
}

// At most one check after each long watch, as a slow store would otherwise be
// asked again and again.
void
watcher::schedule_check()
{
  const auto age = http::boot_ms() - confirmed_ms_;
  is_check_ = settings_.is_urgent && !is_check_ && age > stale_after_ms;
}

// Subtracts the pause, so that a relay that falls silent during it is detected
// no later than otherwise. The result is equal for all watchers of a kind, so
// that their watches can be joined.
std::uint64_t
watcher::hold_ms() const
{
  if (is_check_) {
    return min_hold_ms;
  }
  const auto gathered = has_gathered_ ? settings_.gather_ms : 0;
  return settings_.wait_ms - std::min(gathered, settings_.wait_ms);
}

void
watcher::list(listing partial)
{
  call c;
  c.op = operation::list;
  c.kind = settings_.kind;
  c.after = partial.after;
  c.shared = settings_.shared;
  perform(c, [this, partial, round = round_](reply&& r) mutable {
    const bool is_useful = r.result == call_result::done && !r.more;
    if (!running_ || (round != round_ && !is_useful)) {
      return;
    }
    if (r.result != call_result::done) {
      record_failed_call(operation::list, r.result);
      watch_after(pause_left());
      return;
    }
    // Pages are read one after the other; the watch repeats changes since the
    // first of them, which is harmless.
    if (partial.first_as_of == 0) {
      partial.first_as_of = r.as_of;
      partial.confirmed_ms = r.confirmed_ms;
    }
    std::move(
      r.items.begin(), r.items.end(), std::back_inserter(partial.objects));
    std::move(r.unreadable_objects.begin(),
              r.unreadable_objects.end(),
              std::back_inserter(partial.unreadable_objects));
    // A page without a readable name would be requested forever.
    const bool makes_progress =
      !r.last_name.empty() && r.last_name != partial.after;
    if (r.more && makes_progress) {
      partial.after = r.last_name;
      list(std::move(partial));
      return;
    }
    end_list(std::move(partial), round);
  });
}

// A list that was joined with one of another instance may be older than what a
// watch has shown since.
bool
watcher::is_older_than_shown(const listing& l) const
{
  return l.first_as_of < std::max(as_of_, shown_.newest);
}

void
watcher::end_list(listing&& l, std::uint64_t round)
{
  if (is_older_than_shown(l)) {
    if (round != round_) {
      return;
    }
    process::log_line(timeline::event{ "list_too_old" }
                        .with("kind", settings_.kind)
                        .with("as_of", l.first_as_of)
                        .with("shown", std::max(as_of_, shown_.newest)));
    ++failures_;
    watch_after(pause_left());
    return;
  }
  listed_ = true;
  needs_list_ = false;
  as_of_ = l.first_as_of;
  record_confirmation(l.confirmed_ms);
  record_list(l);
  events_.on_list(std::move(l.objects));
  for (const auto& u : l.unreadable_objects) {
    report_unreadable(u);
  }
  if (events_.on_current) {
    events_.on_current();
  }
  if (round == round_) {
    watch();
  }
}

void
watcher::record_failed_call(operation op, call_result v)
{
  ++failures_;
  process::log_line(
    timeline::event{ "view_unconfirmed" }
      .with("kind", settings_.kind)
      .with("op", name_of(op))
      .with("verdict", name_of(v))
      .with("as_of", as_of_)
      .with("age_ms", listed_ ? http::boot_ms() - confirmed_ms_ : 0)
      .with("failures", failures_));
}

void
watcher::record_confirmation(std::uint64_t at_ms)
{
  if (failures_ > 0) {
    process::log_line(
      timeline::event{ "view_confirmed" }
        .with("kind", settings_.kind)
        .with("as_of", as_of_)
        .with("after_ms",
              confirmed_ms_ == 0 ? 0 : http::boot_ms() - confirmed_ms_)
        .with("failures", failures_));
  }
  failures_ = 0;
  confirmed_ms_ = std::max(confirmed_ms_, at_ms);
}

// Answers may arrive in another order than the store has made them: a relay
// that was paused answers a watch after the next one was answered on another
// path, and no later change would correct what the older answer shows.
bool
watcher::accept(const std::string& name,
                std::uint64_t revision,
                bool is_removed)
{
  if (is_outdated(shown_, name, revision, is_removed)) {
    ++outdated_changes_;
    process::log_line(timeline::event{ "change_outdated" }
                        .with("kind", settings_.kind)
                        .with("name", name)
                        .with("revision", revision)
                        .with("shown", shown_revision(shown_, name))
                        .with("removed", is_removed ? 1U : 0U));
    return false;
  }
  record_change(shown_, name, revision, is_removed);
  return true;
}

void
watcher::show_changes(std::vector<change>&& changes)
{
  for (auto& c : changes) {
    if (accept(c.value.name, c.value.revision, c.deleted)) {
      events_.on_change(std::move(c));
    }
  }
}

void
watcher::show_unreadable(std::vector<unreadable_object>&& unreadable_objects)
{
  for (const auto& u : unreadable_objects) {
    if (u.name.empty() || accept(u.name, u.revision, u.deleted)) {
      report_unreadable(u);
    }
  }
}

void
watcher::record_list(const listing& l)
{
  start_list(shown_, l.first_as_of);
  for (const auto& o : l.objects) {
    record_change(shown_, o.name, o.revision, false);
  }
  for (const auto& u : l.unreadable_objects) {
    if (!u.name.empty()) {
      record_change(shown_, u.name, u.revision, false);
    }
  }
}

void
watcher::report_unreadable(const unreadable_object& u)
{
  if (events_.on_unreadable) {
    events_.on_unreadable(u);
  } else {
    log_unreadable(settings_.kind, u);
  }
}

void
watcher::watch()
{
  if (!running_) {
    return;
  }
  if (needs_list_) {
    list({});
    return;
  }
  call c;
  c.op = operation::watch;
  c.kind = settings_.kind;
  c.since = as_of_;
  c.wait_ms = hold_ms();
  has_gathered_ = false;
  c.shared = settings_.shared;
  perform(c, [this, round = round_](reply&& r) {
    const bool is_useful = r.result == call_result::done;
    if (running_ && (round == round_ || is_useful)) {
      on_reply(std::move(r), round);
    }
  });
}

void
watcher::on_reply(reply&& r, std::uint64_t round)
{
  if (r.result == call_result::history_gone ||
      r.result == call_result::missing) {
    needs_list_ = true;
    watch();
    return;
  }
  if (r.result != call_result::done) {
    // A watch whose connection was lost may have missed changes whose history
    // is dropped a moment later. The next watch would be held as if nothing had
    // changed; a list returns the current state.
    needs_list_ = true;
    record_failed_call(operation::watch, r.result);
    watch_after(pause_left());
    return;
  }
  // An answer without changes may have been made while the store was still
  // holding some back. Its revision is then ahead of the changes received, and
  // continuing from it would skip them for good. Watching from the older
  // revision still returns them, or the history is gone and the kind is listed
  // again.
  const bool has_changes = !r.changes.empty() || !r.unreadable_objects.empty();
  if (has_changes) {
    as_of_ = std::max(as_of_, r.as_of);
  }
  record_confirmation(r.confirmed_ms);
  schedule_check();
  show_changes(std::move(r.changes));
  show_unreadable(std::move(r.unreadable_objects));
  if (events_.on_current) {
    events_.on_current();
  }
  if (round == round_) {
    has_gathered_ = has_changes;
    watch_after(has_changes ? settings_.gather_ms : 0);
  }
}

void
watcher::watch_after(std::uint64_t ms)
{
  if (ms == 0) {
    watch();
    return;
  }
  timer_.expires_after(std::chrono::milliseconds{ ms });
  timer_.async_wait([this, round = round_](asio::error_code ec) {
    if (!ec && round == round_) {
      watch();
    }
  });
}

} // namespace cactusford::store
