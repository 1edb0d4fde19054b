#include "cactusford/edge/forward.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>

namespace cactusford::edge {

namespace {

// Backend servers asked for one call, those included that refuse to run it.
constexpr std::uint32_t max_tries = 6;

// How long an attempt may go on when another has been answered: plain calls
// that take five times the usual are through by then.
constexpr std::uint64_t lost_attempt_ms = 300;

// When a caller may come back whose request another instance is trying.
constexpr std::uint64_t trial_look_ms = 1000;

// How often a suspect looks whether the run that it waits for has ended: a
// plain call takes some ten milliseconds.
constexpr std::uint64_t suspect_look_ms = 20;

// An answer is kept whole before it is passed on.
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
  return end.state == http::end_state::complete && !end.not_run &&
         end.status == failed;
}

next_step
after_attempt(const attempt_end& end, const call_progress& p)
{
  const bool tries_left = p.tries < max_tries;
  const bool complete = end.state == http::end_state::complete;
  if (end.state == http::end_state::not_sent || (complete && end.not_run)) {
    if (tries_left) {
      return next_step::try_another;
    }
    return p.runs == 0 ? next_step::give_up_not_run
                       : next_step::give_up_unknown;
  }
  const bool is_cut = end.state == http::end_state::cut;
  const bool repeatable = p.repeatable && (!is_cut || p.repeatable_after_cut);
  const bool may_repeat = repeatable && tries_left && p.runs < p.max_runs;
  if (complete) {
    // A success without its signature was made by no backend server.
    const bool genuine = end.is_signed || !is_success(end.status);
    constexpr int first_server_error = 500;
    if (genuine && end.status < first_server_error) {
      return next_step::deliver;
    }
    if (genuine && !may_repeat) {
      return next_step::deliver;
    }
  }
  return may_repeat ? next_step::try_another : next_step::give_up_unknown;
}

struct forwarder::attempt
{
  http::pending sent;
  backends::incarnation backend;
  std::string address;
  std::uint64_t at_ms = 0;
  bool ended = false;
  // It surely has not run there.
  bool not_run = false;
};

struct forwarder::flight
{
  forward_request ask;
  handler done;
  std::string service;
  quarantine::fingerprint work;
  std::vector<std::string> tried;
  std::vector<attempt> attempts;
  std::unique_ptr<asio::steady_timer> deadline;
  std::unique_ptr<asio::steady_timer> hedge;
  std::unique_ptr<asio::steady_timer> pause;
  std::uint32_t runs = 0;
  std::uint32_t failed_runs = 0;
  std::uint32_t refusals = 0;
  // Backend servers had ended under it when it was sent first.
  bool is_suspect = false;
  // The one run that shows whether the request still ends what runs it.
  bool is_trial = false;
  bool is_counted = false;
  // What keeps it out, once it is kept out.
  quarantine::decision kept_out;
  bool finished = false;

  bool is_repeatable() const
  {
    return ask.route.kind == routes::call_kind::idempotent;
  }

  bool has_open_attempt() const
  {
    return std::any_of(
      attempts.begin(), attempts.end(), [](const auto& a) { return !a.ended; });
  }
};

// Also when it is the last attempt, or another has been answered meanwhile.
void
forwarder::log_cut(const flight& f, const attempt& a, std::uint64_t now) const
{
  process::log_line(timeline::event{ "run_cut" }
                      .with("request", f.ask.id)
                      .with("work", f.work)
                      .with("backend", a.backend.id)
                      .with("started_ms", a.backend.started_ms)
                      .with("ran_ms", now - a.at_ms)
                      .with("attempts", f.attempts.size()));
}

forwarder::forwarder(asio::io_context& io,
                     http::client& http,
                     backends::registry& registry,
                     const dialect& d,
                     std::string data_centre,
                     quarantine::manager* guard)
  : io_{ io }
  , http_{ http }
  , registry_{ registry }
  , dialect_{ d }
  , data_centre_{ std::move(data_centre) }
  , guard_{ guard }
{
}

std::function<void()>
forwarder::start(forward_request r, handler done)
{
  auto f = std::make_shared<flight>();
  f->ask = std::move(r);
  f->done = std::move(done);
  const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
  f->service = routes::pick_service(f->ask.route, random);
  f->work = f->ask.workspace.empty()
              ? quarantine::fingerprint_of(f->ask.request)
              : quarantine::fingerprint_of(f->ask.request, f->ask.workspace);
  note_first_attempt(second_[f->ask.route.path_prefix]);
  const auto now = http::now_ms();
  const auto left = f->ask.give_up_ms > now ? f->ask.give_up_ms - now : 0;
  f->deadline = std::make_unique<asio::steady_timer>(
    io_, std::chrono::milliseconds{ left });
  f->deadline->async_wait([this, f](asio::error_code ec) {
    if (!ec && !f->finished) {
      finish(
        f, f->runs == 0 ? forward_end::not_run : forward_end::timed_out, {});
    }
  });
  asio::post(io_, [this, f] {
    if (!f->finished) {
      step(f);
    }
  });
  return [this, f] {
    if (f->finished) {
      return;
    }
    f->finished = true;
    f->deadline->cancel();
    if (f->hedge) {
      f->hedge->cancel();
    }
    if (f->pause) {
      f->pause->cancel();
    }
    for (auto& a : f->attempts) {
      if (!a.ended) {
        end_attempt(*f, a);
        a.sent.cancel();
        note_begun(*f);
      }
    }
    f->done = nullptr;
  };
}

quarantine::decision
forwarder::judge(const flight& f)
{
  return guard_ == nullptr
           ? quarantine::decision{}
           : guard_->evaluate(f.work, quarantine::run_kind::call);
}

// Without this a request that ends each backend server that runs it takes all
// servers of a service down together, at every arrival at any entry, and all
// other callers with them: four servers went down sixteen times within 90 s.
// An attempt that is still out decides the call.
void
forwarder::keep_out(const std::shared_ptr<flight>& f,
                    const quarantine::decision& v)
{
  f->kept_out = v;
  if (f->has_open_attempt()) {
    return;
  }
  const bool may_have_run = f->runs > 0;
  guard_->note_refused();
  finish(f, may_have_run ? forward_end::unknown : forward_end::quarantined, {});
}

void
forwarder::tell_guard(const flight& f, const attempt& a, const attempt_end& end)
{
  if (guard_ == nullptr) {
    return;
  }
  if (end.state == http::end_state::cut) {
    guard_->on_connection_lost(a.backend, a.address, f.work);
  } else if (end.state == http::end_state::complete && end.is_signed &&
             !end.not_run) {
    guard_->on_answered(f.work);
  }
}

// Otherwise the call goes on when its trial is claimed, or has ended.
bool
forwarder::may_send(const std::shared_ptr<flight>& f)
{
  if (f->is_trial && f->attempts.empty()) {
    return true;
  }
  const auto v = judge(*f);
  switch (v.status) {
    case quarantine::request_status::clear:
    case quarantine::request_status::suspected:
      if (!quarantine::has_crashes(v) || !f->attempts.empty()) {
        return true;
      }
      f->is_suspect = true;
      if (is_run_by_another(*f)) {
        wait_and_step(f);
        return false;
      }
      return true;
    case quarantine::request_status::on_trial:
      if (f->attempts.empty()) {
        try_again(f);
      } else {
        keep_out(f, v);
      }
      return false;
    case quarantine::request_status::quarantined:
      keep_out(f, v);
      return false;
  }
  return true;
}

// Or has just ended in a way that is still being looked at.
bool
forwarder::is_run_by_another(const flight& f) const
{
  return running_.contains(f.work) || guard_->is_probing(f.work);
}

// A suspect that comes several times at once would end a server each time
// before the first end is known.
void
forwarder::wait_and_step(const std::shared_ptr<flight>& f)
{
  f->pause = std::make_unique<asio::steady_timer>(
    io_, std::chrono::milliseconds{ suspect_look_ms });
  f->pause->async_wait([this, f](asio::error_code ec) {
    if (!ec && !f->finished) {
      step(f);
    }
  });
}

// Only the first run of a request counts, wherever it goes on.
void
forwarder::note_begun(flight& f)
{
  const auto first = std::find_if(f.attempts.begin(),
                                  f.attempts.end(),
                                  [](const auto& a) { return !a.not_run; });
  if (f.is_counted || !on_begun || first == f.attempts.end()) {
    return;
  }
  f.is_counted = true;
  on_begun(f.ask.workspace, first->at_ms);
}

// The backend server, if it still lives.
backends::backend*
forwarder::end_attempt(const flight& f, attempt& a)
{
  a.ended = true;
  const auto running = running_.find(f.work);
  if (running != running_.end() && --running->second == 0) {
    running_.erase(running);
  }
  auto* b = backends::find(registry_, a.backend);
  if (b != nullptr) {
    --b->in_flight;
  }
  return b;
}

void
forwarder::try_again(const std::shared_ptr<flight>& f)
{
  guard_->claim_trial(f->work, [this, f](bool mine) {
    if (f->finished) {
      return;
    }
    f->is_trial = mine;
    if (mine) {
      step(f);
    } else {
      keep_out(f, judge(*f));
    }
  });
}

void
forwarder::step(const std::shared_ptr<flight>& f)
{
  if (!may_send(f)) {
    return;
  }
  const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
  const backends::call_needs needs{ f->service,
                                    data_centre_,
                                    f->tried,
                                    [this](const std::string& address) {
                                      return http_.has_idle(address);
                                    } };
  auto* b = backends::choose_for_call(registry_, needs, http::now_ms(), random);
  if (b != nullptr) {
    send(f, *b);
  } else if (!f->has_open_attempt()) {
    finish(f, f->runs == 0 ? forward_end::not_run : forward_end::unknown, {});
  }
}

http::request
forwarder::prepare(const flight& f, const backends::backend& b) const
{
  const auto& names = dialect_.headers;
  http::request r;
  r.method = f.ask.request.method;
  r.target = f.ask.request.target;
  r.body = f.ask.request.body;
  for (const auto& h : f.ask.request.fields) {
    if (!http::is_hop_by_hop(h.name)) {
      r.fields.push_back(h);
    }
  }
  const auto now = http::now_ms();
  const auto left = f.ask.give_up_ms > now ? f.ask.give_up_ms - now : 1;
  http::set(r.fields, names.deadline_ms, std::to_string(left));
  http::set(r.fields, names.expected_backend, b.info.id);
  return r;
}

void
forwarder::send(const std::shared_ptr<flight>& f, backends::backend& b)
{
  const auto index = f->attempts.size();
  const auto now = http::now_ms();
  f->tried.push_back(b.info.id);
  f->attempts.push_back(
    { {}, backends::incarnation_of(b), b.info.address, now, false });
  process::log_line(
    timeline::event{ "call_sent" }
      .with("request", f->ask.id)
      .with("work", f->work)
      .with("route", f->ask.route.name)
      .with("backend", b.info.id)
      .with("address", b.info.address)
      .with("attempt", f->attempts.size())
      .with("in_flight", b.in_flight)
      .with("others", b.other_load)
      .with("left_ms", f->ask.give_up_ms > now ? f->ask.give_up_ms - now : 0));
  ++b.in_flight;
  ++running_[f->work];
  ++f->runs;
  http::exchange_options o;
  // The flight's own timer ends it first.
  constexpr std::uint64_t margin_ms = 500;
  o.timeout_ms =
    (f->ask.give_up_ms > now ? f->ask.give_up_ms - now : 0) + margin_ms;
  o.connect_timeout_ms = std::min<std::uint64_t>(o.connect_timeout_ms, 250);
  o.echo = { dialect_.headers.request_id, f->ask.id };
  o.reset_when_given_up = true;
  f->attempts[index].sent = http_.fetch(
    b.info.address,
    prepare(*f, b),
    o,
    [this, f, index](http::end_state end, http::response&& r) {
      on_attempt(f, index, end, std::move(r));
    },
    max_answer_bytes);
  if (f->is_repeatable()) {
    hedge_later(f);
  }
}

void
forwarder::hedge_later(const std::shared_ptr<flight>& f)
{
  const auto wait = second_attempt_after_ms(second_[f->ask.route.path_prefix]);
  f->hedge = std::make_unique<asio::steady_timer>(
    io_, std::chrono::milliseconds{ wait });
  f->hedge->async_wait([this, f](asio::error_code ec) {
    // Two attempts of a suspect would end two backend servers at a time.
    if (!ec && !f->finished && f->runs < f->ask.route.max_attempts &&
        f->tried.size() < max_tries && !quarantine::has_crashes(judge(*f)) &&
        take_second_attempt(second_[f->ask.route.path_prefix])) {
      step(f);
    }
  });
}

void
forwarder::on_attempt(const std::shared_ptr<flight>& f,
                      std::size_t index,
                      http::end_state end,
                      http::response&& r)
{
  auto& a = f->attempts[index];
  if (a.ended) {
    return;
  }
  auto* b = end_attempt(*f, a);
  const auto now = http::now_ms();
  const auto& names = dialect_.headers;
  const bool complete = end == http::end_state::complete;
  constexpr int misdirected = 421;
  const bool not_run = complete && (http::find(r.fields, names.not_run) ||
                                    r.status == misdirected);
  if (complete && r.status == misdirected && on_misdirected) {
    on_misdirected();
  }
  if (b != nullptr) {
    if (const auto text = http::find(r.fields, names.load)) {
      if (const auto load = dialect_.load_from(*text)) {
        backends::note_load(*b, *load, now);
      }
    }
    if (complete && !not_run) {
      note_answer(second_[f->ask.route.path_prefix], now - a.at_ms);
      backends::note_success(*b, now - a.at_ms);
    } else {
      backends::note_failure(*b, now);
    }
  }
  attempt_end ended;
  ended.state = end;
  ended.status = r.status;
  ended.not_run = not_run;
  ended.is_signed = http::find(r.fields, names.signature).has_value();
  if (end == http::end_state::cut) {
    log_cut(*f, a, now);
  }
  tell_guard(*f, a, ended);
  const bool was_run = !not_run && end != http::end_state::not_sent;
  a.not_run = !was_run;
  if (was_run) {
    note_begun(*f);
  }
  if (f->finished) {
    return;
  }
  f->runs -= was_run ? 0 : 1;
  f->refusals += not_run ? 1 : 0;
  f->failed_runs += is_failed_run(ended) ? 1 : 0;
  call_progress progress;
  progress.repeatable = f->is_repeatable();
  progress.repeatable_after_cut =
    !f->is_suspect && !f->ask.no_retry_after_disconnect;
  progress.runs = f->runs;
  progress.max_runs = std::max<std::uint32_t>(f->ask.route.max_attempts, 1);
  progress.tries = static_cast<std::uint32_t>(f->tried.size());
  switch (after_attempt(ended, progress)) {
    case next_step::deliver:
      finish(f, forward_end::answered, std::move(r));
      return;
    case next_step::try_another:
      process::log_line(timeline::event{ "call_retried" }
                          .with("request", f->ask.id)
                          .with("backend", a.backend.id)
                          .with("end", http::name_of(end))
                          .with("status", static_cast<std::uint64_t>(r.status))
                          .with("not_run", not_run ? 1U : 0U));
      step(f);
      return;
    case next_step::give_up_not_run:
      if (!f->has_open_attempt()) {
        finish(f, forward_end::not_run, {});
      }
      return;
    case next_step::give_up_unknown:
      if (!f->has_open_attempt()) {
        finish(f, forward_end::unknown, {});
      }
      return;
  }
}

// Ends what is still open; its backend servers have failed the call.
void
forwarder::give_up_attempts(const std::shared_ptr<flight>& f)
{
  for (auto& a : f->attempts) {
    if (a.ended) {
      continue;
    }
    auto* b = end_attempt(*f, a);
    a.sent.cancel();
    note_begun(*f);
    if (b != nullptr) {
      backends::note_failure(*b, http::now_ms());
    }
  }
}

// An attempt that lost to a later one may run to its end for a while: breaking
// it off would waste the work of its backend server. One that takes longer is
// held up by a partition: it would be delivered when that heals, to a backend
// server that runs a scorer's call seconds after its batch has ended.
void
forwarder::give_up_later(const std::shared_ptr<flight>& f)
{
  f->deadline->expires_after(std::chrono::milliseconds{ lost_attempt_ms });
  f->deadline->async_wait([this, f](asio::error_code ec) {
    if (!ec) {
      give_up_attempts(f);
    }
  });
}

void
forwarder::finish(const std::shared_ptr<flight>& f,
                  forward_end what,
                  http::response&& r)
{
  f->finished = true;
  f->deadline->cancel();
  if (f->hedge) {
    f->hedge->cancel();
  }
  if (f->pause) {
    f->pause->cancel();
  }
  if (what == forward_end::timed_out) {
    give_up_attempts(f);
  } else if (f->has_open_attempt()) {
    give_up_later(f);
  }
  forward_outcome o;
  o.what = what;
  if (what == forward_end::quarantined) {
    const auto wall = timeline::wall_ms();
    const auto until = f->kept_out.until_ms;
    o.retry_after_ms = until > wall ? until - wall : trial_look_ms;
    o.crashes = f->kept_out.crashes;
  }
  o.answer = std::move(r);
  o.failed_runs = f->failed_runs;
  o.refusals = f->refusals;
  o.attempts = static_cast<std::uint32_t>(f->attempts.size());
  if (!f->tried.empty()) {
    o.backend = f->tried.back();
  }
  const auto done = std::move(f->done);
  f->done = nullptr;
  done(std::move(o));
}

} // namespace cactusford::edge
