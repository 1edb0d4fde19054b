#include "cactusford/usage/meter.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <algorithm>
#include <utility>

namespace cactusford::usage {

namespace {

constexpr std::string_view duty_name = "usage";

constexpr std::uint64_t tick_ms = 200;

// Interval at which changed counts are sent: a crashed entry loses at most one
// second of its requests.
constexpr std::uint64_t send_interval_ms = 1000;
constexpr std::uint64_t send_counts_timeout_ms = 800;

// Delay after the end of a window, in which its last requests end and their
// counts arrive.
constexpr std::uint64_t settle_ms = 3500;

// A new holder receives the counts of all instances within this time.
constexpr std::uint64_t collect_all_ms = 1400;

// Timeout of calls to the platform, and the pause between them while it is
// unavailable.
constexpr std::uint64_t report_timeout_ms = 1500;
constexpr std::uint64_t retry_ms = 500;

// A window that the platform has not accepted by then is given up.
constexpr std::uint64_t give_up_ms = 90000;

// Larger than the difference of any two clocks.
constexpr std::uint64_t max_clock_difference_ms = 3600'000;

// How long the store may hold the watch of the leases.
constexpr std::uint64_t watch_wait_ms = 2000;

} // namespace

meter::meter(asio::io_context& io,
             http::client& http,
             store::client& store,
             const edge::dialect& d,
             meter_settings s)
  : http_{ http }
  , store_{ store }
  , dialect_{ d }
  , settings_{ std::move(s) }
  , duty_{ store,
           { std::string{ duty_name },
             settings_.instance,
             settings_.address,
             settings_.capacity } }
  , watcher_{ io,
              store,
              { std::string{ duties::duty_kind }, watch_wait_ms, 0, true },
              { [this](std::vector<store::object>&& all) {
                 const auto found =
                   std::find_if(all.begin(), all.end(), [](const auto& o) {
                     return o.name == duty_name;
                   });
                 duty_.on_lease(found == all.end() ? nullptr : &*found);
               },
                [this](store::change&& c) {
                  if (c.value.name == duty_name) {
                    duty_.on_lease(c.deleted ? nullptr : &c.value);
                  }
                },
                [this] { duty_.on_confirmed(); },
                [this](const store::unreadable_object& u) {
                  store::log_unreadable(duties::duty_kind, u);
                  if (u.name == duty_name && !u.deleted) {
                    duty_.on_unreadable_lease(u.revision);
                  }
                } } }
  , ticker_{ io }
{
}

void
meter::start()
{
  if (is_on()) {
    watcher_.start();
    tick();
  }
}

void
meter::refresh()
{
  watcher_.refresh();
}

std::uint64_t
meter::now()
{
  return corrected_time(clock_, timeline::wall_ms(), http::boot_ms());
}

std::uint64_t
meter::window_at(std::uint64_t corrected_ms) const
{
  return corrected_ms / settings_.window_ms;
}

// Returns false for a number that no instance's clock can have reached: it is
// that of another writer.
bool
meter::is_possible_window(std::uint64_t number)
{
  return number <= window_at(now() + max_clock_difference_ms);
}

void
meter::note_run(const std::string& workspace, std::uint64_t at_ms)
{
  if (!is_on() || workspace.empty()) {
    return;
  }
  ++totals_.requests;
  ++version_;
  const auto ago = http::now_ms() - at_ms;
  if (const auto lost =
        count_run(own_counts_, window_at(now() - ago), workspace)) {
    process::log_line(
      timeline::event{ "usage_counts_dropped" }.with("window", *lost));
  }
}

void
meter::tick()
{
  now();
  duty_.tick();
  drop_reported();
  send_counts();
  report_next();
  remove_recorded_windows();
  ticker_.expires_after(std::chrono::milliseconds{ tick_ms });
  ticker_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      tick();
    }
  });
}

void
meter::drop_reported()
{
  drop_through(own_counts_, duty_.recorded());
  drop_through(received_counts_, duty_.recorded());
}

// Sends the open windows to the holder. A new holder receives them even if they
// have not changed.
void
meter::send_counts()
{
  const auto& holder = duty_.current_holder();
  const bool is_new = holder.address != counts_sent_to_;
  const auto now_ms = http::now_ms();
  if (holder.address.empty() || is_sending_counts_ || own_counts_.empty() ||
      (!is_new && sent_version_ == version_) ||
      now_ms - counts_sent_at_ms_ < send_interval_ms) {
    return;
  }
  counts_sent_at_ms_ = now_ms;
  const instance_counts t{ settings_.instance,
                           settings_.started_ms,
                           own_counts_ };
  if (holder.address == settings_.address) {
    merge(received_counts_, t);
    counts_sent_to_ = holder.address;
    sent_version_ = version_;
    return;
  }
  is_sending_counts_ = true;
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_counts_path };
  r.fields = { { "Host", holder.instance } };
  r.body = encode(t).dump();
  http::exchange_options o;
  o.timeout_ms = send_counts_timeout_ms;
  http_.fetch(holder.address,
              r,
              o,
              [this, to = holder.address, version = version_](
                http::exchange_outcome end, http::response&& a) {
                is_sending_counts_ = false;
                constexpr int ok = 200;
                if (end == http::exchange_outcome::complete && a.status == ok) {
                  counts_sent_to_ = to;
                  sent_version_ = version;
                }
              });
}

// An instance that has just lost the duty also accepts counts: it may acquire
// the duty again.
void
meter::on_peer(const http::call& c)
{
  const auto t = instance_counts_from(store::parse_message(c.request().body));
  if (!t) {
    process::log_line(timeline::event{ "usage_counts_unreadable" }
                        .with("field", t.fault.field)
                        .with("why", t.fault.what));
  } else {
    merge(received_counts_, *t);
  }
  http::response a;
  a.status = t ? 200 : 400;
  c.respond(std::move(a));
}

// As the holder, performs the next step of reporting.
void
meter::report_next()
{
  if (is_busy_ || !duty_.may_act() || http::boot_ms() < retry_at_ms_) {
    return;
  }
  if (loaded_fence_ != duty_.fence()) {
    load_fixed_windows();
    return;
  }
  const auto corrected_ms = now();
  if (next_window_ == 0) {
    next_window_ = window_at(corrected_ms);
  }
  const auto end_ms = (next_window_ + 1) * settings_.window_ms;
  if (corrected_ms < end_ms + settle_ms) {
    return;
  }
  if (corrected_ms > end_ms + give_up_ms) {
    // All of them at once: another writer's window may be years old.
    const auto last = window_at(corrected_ms - give_up_ms) - 1;
    give_up_windows(next_window_, std::max(next_window_, last));
    return;
  }
  const auto found = fixed_windows_.find(next_window_);
  if (found != fixed_windows_.end()) {
    send_report({ next_window_, found->second });
  } else if (http::boot_ms() - loaded_at_ms_ >= collect_all_ms) {
    fix_window(next_window_);
  }
}

// Windows that an earlier holder has fixed are sent unchanged, and windows that
// it has reported are skipped.
void
meter::load_fixed_windows()
{
  is_busy_ = true;
  store::call c;
  c.op = store::operation::list;
  c.kind = window_kind;
  store_.perform(c, [this, fence = duty_.fence()](store::reply&& r) {
    is_busy_ = false;
    if (r.result != store::call_result::done) {
      retry_later();
      return;
    }
    fixed_windows_.clear();
    for (const auto& o : r.items) {
      const auto number = http::parse_number(o.name);
      const auto value = counts_from(o.spec);
      if (!number || !value || !is_possible_window(*number)) {
        store::log_unreadable(window_kind, { o.name, value.fault });
      } else if (*number <= duty_.recorded()) {
        windows_to_remove_.insert(*number);
      } else {
        fixed_windows_[*number] = *value;
      }
    }
    loaded_fence_ = fence;
    loaded_at_ms_ = http::boot_ms();
    const bool has_progress =
      duty_.recorded() != 0 && is_possible_window(duty_.recorded());
    next_window_ = has_progress ? duty_.recorded() + 1 : 0;
    if (next_window_ == 0 && !fixed_windows_.empty()) {
      next_window_ = fixed_windows_.begin()->first;
    }
    process::log_line(timeline::event{ "usage_duty_begun" }
                        .with("fence", fence)
                        .with("next", next_window_)
                        .with("fixed", fixed_windows_.size()));
  });
}

void
meter::fix_window(std::uint64_t number)
{
  is_busy_ = true;
  merge(received_counts_,
        { settings_.instance, settings_.started_ms, own_counts_ });
  fixed_window w{ number, sum(received_counts_, number) };
  store::call c;
  c.op = store::operation::create;
  c.kind = window_kind;
  c.name = std::to_string(number);
  c.body = encode(w.value);
  store_.perform(c, [this, w = std::move(w)](store::reply&& r) mutable {
    on_fixed(std::move(w), std::move(r));
  });
}

// On a conflict, an earlier holder or a lost write of this instance has fixed
// the window: the stored counts are the ones to send.
void
meter::on_fixed(fixed_window&& w, store::reply&& r)
{
  is_busy_ = false;
  process::log_line(timeline::event{ "usage_window_fixed" }
                      .with("window", w.number)
                      .with("workspaces", w.value.size())
                      .with("verdict", store::name_of(r.result)));
  if (r.result == store::call_result::done) {
    fixed_windows_[w.number] = std::move(w.value);
    return;
  }
  if (r.result == store::call_result::conflict && !r.items.empty()) {
    if (auto value = counts_from(r.items.front().spec)) {
      fixed_windows_[w.number] = std::move(*value);
      return;
    }
  }
  loaded_fence_ = r.result == store::call_result::conflict ? std::uint64_t{ 0 }
                                                           : loaded_fence_;
  retry_later();
}

void
meter::send_report(fixed_window w)
{
  is_busy_ = true;
  http::exchange_options o;
  o.timeout_ms = report_timeout_ms;
  // Late execution would be harmless, but the connection may be dead.
  o.reset_on_abandon = true;
  const auto request = dialect_.usage_request(
    { w.number, w.value, settings_.instance, duty_.fence() });
  http_.fetch(
    settings_.platform,
    request,
    o,
    [this, w = std::move(w)](http::exchange_outcome end, http::response&& r) {
      on_report_sent(w, end, r);
    });
}

void
meter::on_report_sent(const fixed_window& w,
                      http::exchange_outcome end,
                      const http::response& r)
{
  is_busy_ = false;
  const bool complete = end == http::exchange_outcome::complete;
  const auto answer =
    complete ? dialect_.duty_answer_from(r) : edge::duty_answer::refused;
  process::log_line(timeline::event{ "usage_window_sent" }
                      .with("window", w.number)
                      .with("fence", duty_.fence())
                      .with("end", http::name_of(end))
                      .with("status", static_cast<std::uint64_t>(r.status)));
  switch (answer) {
    case edge::duty_answer::accepted:
      ++totals_.reported;
      finish_window(w.number);
      return;
    case edge::duty_answer::fenced:
      duty_.step_down("fenced");
      return;
    case edge::duty_answer::refused:
      retry_later();
      return;
  }
}

void
meter::give_up_windows(std::uint64_t first, std::uint64_t last)
{
  totals_.given_up += last - first + 1;
  process::log_line(timeline::event{ "usage_window_given_up" }
                      .with("window", first)
                      .with("last", last));
  for (auto at = fixed_windows_.lower_bound(first);
       at != fixed_windows_.end() && at->first <= last;
       at = fixed_windows_.erase(at)) {
    windows_to_remove_.insert(at->first);
  }
  finish_window(last);
}

void
meter::finish_window(std::uint64_t number)
{
  fixed_windows_.erase(number);
  windows_to_remove_.insert(number);
  duty_.note_progress(number);
  next_window_ = number + 1;
}

// Waits until the lease has recorded that the window is done. If its object
// were removed earlier, another holder could fix the window again with other
// counts.
void
meter::remove_recorded_windows()
{
  while (!windows_to_remove_.empty() &&
         *windows_to_remove_.begin() <= duty_.recorded()) {
    store::call c;
    c.op = store::operation::remove;
    c.kind = window_kind;
    c.name = std::to_string(*windows_to_remove_.begin());
    windows_to_remove_.erase(windows_to_remove_.begin());
    store_.perform(c, [name = c.name](store::reply&& r) {
      process::log_line(timeline::event{ "usage_window_removed" }
                          .with("window", name)
                          .with("verdict", store::name_of(r.result)));
    });
  }
}

void
meter::retry_later()
{
  retry_at_ms_ = http::boot_ms() + retry_ms;
}

void
meter::leave()
{
  counts_sent_at_ms_ = 0;
  duty_.release();
}

bool
meter::has_left() const
{
  const bool counts_sent = own_counts_.empty() || sent_version_ == version_;
  return !is_on() ||
         (duty_.is_released() && counts_sent && !is_sending_counts_);
}

} // namespace cactusford::usage
