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

// Counts are told this often while they change: what an entry that is killed
// takes with it is a second's requests of one entry.
constexpr std::uint64_t tell_ms = 1000;
constexpr std::uint64_t tell_timeout_ms = 800;

// After the end of a window its last requests end, and their counts arrive.
constexpr std::uint64_t settle_ms = 3500;

// A new holder hears within this time from all instances.
constexpr std::uint64_t hear_all_ms = 1400;

// Calls to the platform, and pauses between them while it is away.
constexpr std::uint64_t send_timeout_ms = 1500;
constexpr std::uint64_t retry_ms = 500;

// What the platform has not taken by then is given up.
constexpr std::uint64_t give_up_ms = 90000;

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
                [this] { duty_.on_confirmed(); } } }
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
  return look(clock_, timeline::wall_ms(), http::boot_ms());
}

std::uint64_t
meter::window_at(std::uint64_t true_ms) const
{
  return true_ms / settings_.window_ms;
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
  if (const auto lost = note(own_, window_at(now() - ago), workspace)) {
    process::log_line(
      timeline::event{ "usage_counts_dropped" }.with("window", *lost));
  }
}

void
meter::tick()
{
  now();
  duty_.tick();
  forget_reported();
  tell();
  advance();
  remove_recorded();
  ticker_.expires_after(std::chrono::milliseconds{ tick_ms });
  ticker_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      tick();
    }
  });
}

void
meter::forget_reported()
{
  close_until(own_, duty_.recorded());
  close_until(collected_, duty_.recorded());
}

// A new holder is told everything that is still open.
void
meter::tell()
{
  const auto& holder = duty_.held_by();
  const bool is_new = holder.address != told_to_;
  const auto now_ms = http::now_ms();
  if (holder.address.empty() || telling_ || own_.empty() ||
      (!is_new && told_version_ == version_) || now_ms - told_ms_ < tell_ms) {
    return;
  }
  told_ms_ = now_ms;
  const told_counts t{ settings_.instance, settings_.started_ms, own_ };
  if (holder.address == settings_.address) {
    take(collected_, t);
    told_to_ = holder.address;
    told_version_ = version_;
    return;
  }
  telling_ = true;
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_counts_path };
  r.fields = { { "Host", holder.instance } };
  r.body = encode(t).dump();
  http::exchange_options o;
  o.timeout_ms = tell_timeout_ms;
  http_.fetch(holder.address,
              r,
              o,
              [this, to = holder.address, version = version_](
                http::end_state end, http::response&& a) {
                telling_ = false;
                constexpr int ok = 200;
                if (end == http::end_state::complete && a.status == ok) {
                  told_to_ = to;
                  told_version_ = version;
                }
              });
}

// Also an instance that has just lost the duty takes them in: it may hold it
// again.
void
meter::on_peer(const http::call& c)
{
  const auto t = told_counts_from(store::parse_message(c.request().body));
  if (!t) {
    process::log_line(timeline::event{ "usage_counts_unreadable" }
                        .with("field", t.fault.field)
                        .with("why", t.fault.what));
  } else {
    take(collected_, *t);
  }
  http::response a;
  a.status = t ? 200 : 400;
  c.respond(std::move(a));
}

// The holder's next step.
void
meter::advance()
{
  if (busy_ || !duty_.may_act() || http::boot_ms() < again_at_ms_) {
    return;
  }
  if (fence_known_ != duty_.fence()) {
    learn_fixed();
    return;
  }
  const auto true_ms = now();
  if (next_ == 0) {
    next_ = window_at(true_ms);
  }
  const auto end_ms = (next_ + 1) * settings_.window_ms;
  if (true_ms < end_ms + settle_ms) {
    return;
  }
  if (true_ms > end_ms + give_up_ms) {
    give_up(next_);
    return;
  }
  const auto found = fixed_.find(next_);
  if (found != fixed_.end()) {
    send({ next_, found->second });
  } else if (http::boot_ms() - held_since_ms_ >= hear_all_ms) {
    fix(next_);
  }
}

// What an earlier holder has fixed is sent as it stands, and what it has
// reported is left alone.
void
meter::learn_fixed()
{
  busy_ = true;
  store::call c;
  c.op = store::operation::list;
  c.kind = window_kind;
  store_.perform(c, [this, fence = duty_.fence()](store::reply&& r) {
    busy_ = false;
    if (r.result != store::call_result::done) {
      retry_later();
      return;
    }
    fixed_.clear();
    for (const auto& o : r.items) {
      const auto number = http::parse_number(o.name);
      const auto value = counts_from(o.spec);
      if (!number || !value) {
        store::log_unreadable(window_kind, { o.name, value.fault });
      } else if (*number <= duty_.recorded()) {
        to_remove_.insert(*number);
      } else {
        fixed_[*number] = *value;
      }
    }
    fence_known_ = fence;
    held_since_ms_ = http::boot_ms();
    next_ = duty_.recorded() == 0 ? 0 : duty_.recorded() + 1;
    if (next_ == 0 && !fixed_.empty()) {
      next_ = fixed_.begin()->first;
    }
    process::log_line(timeline::event{ "usage_duty_begun" }
                        .with("fence", fence)
                        .with("next", next_)
                        .with("fixed", fixed_.size()));
  });
}

void
meter::fix(std::uint64_t number)
{
  busy_ = true;
  take(collected_, { settings_.instance, settings_.started_ms, own_ });
  fixed_window w{ number, sum(collected_, number) };
  store::call c;
  c.op = store::operation::create;
  c.kind = window_kind;
  c.name = std::to_string(number);
  c.body = encode(w.value);
  store_.perform(c, [this, w = std::move(w)](store::reply&& r) mutable {
    on_fixed(std::move(w), std::move(r));
  });
}

// On a conflict an earlier holder, or a lost write of our own, has fixed it:
// what stands is what is sent.
void
meter::on_fixed(fixed_window&& w, store::reply&& r)
{
  busy_ = false;
  process::log_line(timeline::event{ "usage_window_fixed" }
                      .with("window", w.number)
                      .with("workspaces", w.value.size())
                      .with("verdict", store::name_of(r.result)));
  if (r.result == store::call_result::done) {
    fixed_[w.number] = std::move(w.value);
    return;
  }
  if (r.result == store::call_result::conflict && !r.items.empty()) {
    if (auto value = counts_from(r.items.front().spec)) {
      fixed_[w.number] = std::move(*value);
      return;
    }
  }
  fence_known_ = r.result == store::call_result::conflict ? std::uint64_t{ 0 }
                                                          : fence_known_;
  retry_later();
}

void
meter::send(fixed_window w)
{
  busy_ = true;
  http::exchange_options o;
  o.timeout_ms = send_timeout_ms;
  // Carried out late it would do no harm, but the connection may be dead.
  o.reset_when_given_up = true;
  const auto request = dialect_.usage_request(
    { w.number, w.value, settings_.instance, duty_.fence() });
  http_.fetch(
    settings_.platform,
    request,
    o,
    [this, w = std::move(w)](http::end_state end, http::response&& r) {
      on_sent(w, end, r);
    });
}

void
meter::on_sent(const fixed_window& w,
               http::end_state end,
               const http::response& r)
{
  busy_ = false;
  const bool complete = end == http::end_state::complete;
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
      done(w.number);
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
meter::give_up(std::uint64_t number)
{
  ++totals_.given_up;
  process::log_line(
    timeline::event{ "usage_window_given_up" }.with("window", number));
  done(number);
}

void
meter::done(std::uint64_t number)
{
  fixed_.erase(number);
  to_remove_.insert(number);
  duty_.note_progress(number);
  next_ = number + 1;
}

// Removed before the lease tells that it is done, a window could be fixed again
// by another holder, with other counts.
void
meter::remove_recorded()
{
  while (!to_remove_.empty() && *to_remove_.begin() <= duty_.recorded()) {
    store::call c;
    c.op = store::operation::remove;
    c.kind = window_kind;
    c.name = std::to_string(*to_remove_.begin());
    to_remove_.erase(to_remove_.begin());
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
  again_at_ms_ = http::boot_ms() + retry_ms;
}

void
meter::leave()
{
  told_ms_ = 0;
  duty_.leave();
}

bool
meter::has_left() const
{
  const bool told = own_.empty() || told_version_ == version_;
  return !is_on() || (duty_.has_left() && told && !telling_);
}

} // namespace cactusford::usage
