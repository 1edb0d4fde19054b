#include "cactusford/store/store.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace cactusford::store {

namespace {

// Maximum number of known relays, including those of the settings. A partition
// that cuts off this many cuts off most instances.
constexpr std::size_t max_relays = 8;

// Slightly longer than it takes to detect a shared watch that is silent.
constexpr std::uint64_t unreachable_after_ms = 2500;

response_kind
response_kind_of(operation op)
{
  switch (op) {
    case operation::watch:
      return response_kind::watch;
    case operation::list:
      return response_kind::list;
    default:
      return response_kind::one_object;
  }
}

// Returns true for a read that is not held, so that a missing answer soon shows
// that the path fails.
bool
is_answered_at_once(const call& c)
{
  return c.op == operation::list ||
         (c.op == operation::watch && c.wait_ms <= min_hold_ms);
}

} // namespace

void
log_unreadable(std::string_view kind, const unreadable_object& u)
{
  process::log_line(timeline::event{ "object_unreadable" }
                      .with("kind", kind)
                      .with("name", u.name)
                      .with("field", u.fault.field)
                      .with("why", u.fault.what));
}

std::string_view
name_of(call_result v) noexcept
{
  switch (v) {
    case call_result::done:
      return "done";
    case call_result::conflict:
      return "conflict";
    case call_result::missing:
      return "missing";
    case call_result::history_gone:
      return "history_gone";
    case call_result::refused:
      return "refused";
    case call_result::unknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view
name_of(operation op) noexcept
{
  switch (op) {
    case operation::list:
      return "list";
    case operation::watch:
      return "watch";
    case operation::get:
      return "get";
    case operation::create:
      return "create";
    case operation::replace:
      return "replace";
    case operation::replace_status:
      return "replace_status";
    case operation::remove:
      return "remove";
  }
  return "unknown";
}

namespace {

// Chosen at random, to spread the load: all instances see the same list.
std::size_t
first_path(const client_settings& s)
{
  if (!s.prefer_relays || s.relays.empty()) {
    return direct_path;
  }
  return 1 + std::random_device{}() % s.relays.size();
}

// The path on which watches start.
std::size_t
first_watch_path(const client_settings& s)
{
  if (!s.share_watches || s.relays.empty()) {
    return first_path(s);
  }
  if (s.rank) {
    return *s.rank == 0 ? direct_path : 1;
  }
  return 1 + std::random_device{}() % s.relays.size();
}

} // namespace

struct client::attempt
{
  store::call call;
  http::request request;
  handler done;
  std::vector<std::size_t> tried;
  // Some try got no answer: it may have been executed, or may be executed
  // later.
  bool unknown = false;
  // Tries that have not ended.
  std::size_t tries_in_flight = 0;
  bool is_finished = false;
  std::shared_ptr<http::timer> second_path_timer;
};

client::client(asio::io_context& io,
               http::client& http,
               const dialect& d,
               client_settings s)
  : io_{ io }
  , http_{ http }
  , dialect_{ d }
  , settings_{ std::move(s) }
  , paths_{ make_paths(settings_.relays.size(),
                       first_path(settings_),
                       settings_.rank.has_value()) }
  , first_watch_path_{ first_watch_path(settings_) }
{
}

void
client::use_relays(std::vector<std::string> relays,
                   std::optional<std::size_t> rank)
{
  settings_.relays = std::move(relays);
  settings_.rank = rank;
  paths_ = make_paths(
    settings_.relays.size(), first_path(settings_), settings_.rank.has_value());
  first_watch_path_ = first_watch_path(settings_);
}

void
client::learn_relay(const std::string& address)
{
  auto& all = settings_.relays;
  const bool known = std::find(all.begin(), all.end(), address) != all.end();
  if (!known && all.size() < max_relays) {
    all.push_back(address);
    add_path(paths_);
  }
}

bool
client::is_disconnected(std::uint64_t now_ms) const
{
  return is_lost_ && now_ms - last_answer_ms_ >= unreachable_after_ms;
}

void
client::perform(const call& c, handler done)
{
  auto a = std::make_shared<attempt>();
  a->call = c;
  a->request = dialect_.encode(c);
  a->done = std::move(done);
  try_next(a);
}

// The path on which a call starts if no path has failed.
std::size_t
client::first_path_of(const store::call& c) const
{
  return c.shared ? first_watch_path_ : paths_.first;
}

std::optional<std::size_t>
client::next_path(const attempt& a)
{
  const auto now = http::now_ms();
  if (!a.call.is_direct) {
    return select_path(paths_, a.tried, now, first_path_of(a.call));
  }
  const bool may_try =
    a.tried.empty() && claim_if_open(paths_, direct_path, now);
  return may_try ? std::optional{ direct_path } : std::nullopt;
}

void
client::try_next(const std::shared_ptr<attempt>& a)
{
  const auto path = next_path(*a);
  if (path) {
    try_path(a, *path);
  } else if (a->tries_in_flight == 0) {
    fail(a);
  }
}

// A list, or a watch that is not held, may be sent twice: both answers are
// valid, and the first one is used.
void
client::try_second_path_later(const std::shared_ptr<attempt>& a)
{
  a->second_path_timer = std::make_shared<http::timer>(
    io_, std::chrono::milliseconds{ second_path_after_ms });
  a->second_path_timer->async_wait([this, a](asio::error_code ec) {
    if (ec || a->is_finished) {
      return;
    }
    if (const auto path =
          select_second_path(paths_, a->tried, http::now_ms())) {
      try_path(a, *path);
    }
  });
}

joinable_call
client::joinable(const attempt& a, std::uint64_t timeout_ms)
{
  return { a.request, timeout_ms, a.call.wait_ms, a.call.kind, a.call.since };
}

// On any path but the usual one, the relay is asked to make the call itself:
// the relay through which all watches usually go may be the one that fails.
std::uint64_t
client::hops_to(const store::call& c, std::size_t path) const
{
  return path == first_path_of(c) ? 1 : max_hops;
}

void
client::finish(const std::shared_ptr<attempt>& a, reply&& r)
{
  a->is_finished = true;
  if (a->second_path_timer) {
    a->second_path_timer->cancel();
  }
  r.after_unknown = a->unknown;
  a->done(std::move(r));
}

void
client::try_path(const std::shared_ptr<attempt>& a, std::size_t path)
{
  a->tried.push_back(path);
  ++a->tries_in_flight;
  if (is_answered_at_once(a->call)) {
    try_second_path_later(a);
  }
  const path_try sent{ path, http::boot_ms() };
  const bool is_watch = a->call.op == operation::watch;
  // Identical lists of many instances arrive together after a start and when
  // the store is back.
  const bool is_joined = is_watch || a->call.shared;
  const auto timeout_ms = response_timeout_ms(settings_.limits,
                                              paths_,
                                              path,
                                              response_kind_of(a->call.op),
                                              a->call.wait_ms);
  if (path == direct_path && is_joined) {
    join_watch(joinable(*a, timeout_ms),
               shared_watches::origin::own,
               [this, a, sent](http::exchange_outcome end,
                               const http::response& r,
                               std::uint64_t confirmed_ms) {
                 handle_response(
                   a, sent, end, http::response{ r }, confirmed_ms);
               });
    return;
  }
  const auto ended = [this, a, sent](http::exchange_outcome end,
                                     http::response&& r) {
    const auto confirmed_ms =
      sent.path == direct_path
        ? sent.at_ms
        : relay_confirmed_ms(r, sent.at_ms, http::boot_ms());
    handle_response(a, sent, end, std::move(r), confirmed_ms);
  };
  http::exchange_options o;
  o.connect_timeout_ms = connect_ms;
  if (path == direct_path) {
    ++calls_;
    o.timeout_ms = timeout_ms;
    http_.fetch(settings_.address, a->request, o, ended);
    return;
  }
  ++relayed_;
  o.timeout_ms = timeout_ms + relay_extra_ms;
  relayed_call relayed;
  relayed.inner = joinable(*a, timeout_ms);
  relayed.shared = is_joined;
  relayed.accepts_packed = true;
  relayed.hops = hops_to(a->call, path);
  relayed.message = is_joined ? next_piggyback() : nlohmann::json{};
  http_.fetch(settings_.relays[path - 1], encode(relayed), o, ended);
}

void
client::handle_response(const std::shared_ptr<attempt>& a,
                        path_try sent,
                        http::exchange_outcome end,
                        http::response&& r,
                        std::uint64_t confirmed_ms)
{
  const auto now = http::now_ms();
  // The list of relays may have been replaced since the call was sent.
  const auto path = sent.path < paths_.paths.size() ? sent.path : direct_path;
  const bool complete = end == http::exchange_outcome::complete && unpack(r);
  --a->tries_in_flight;
  handle_piggyback(r);
  reply answer;
  answer.result = end == http::exchange_outcome::not_sent
                    ? call_result::refused
                    : call_result::unknown;
  if (complete) {
    answer = dialect_.decode(a->call, r);
  }
  const bool is_definite = answer.result != call_result::refused &&
                           answer.result != call_result::unknown;
  if (is_definite) {
    record_outcome(paths_, path, path_outcome::answered, now);
    record_answer();
    answer.confirmed_ms = confirmed_ms;
    if (!a->is_finished) {
      finish(a, std::move(answer));
    }
    return;
  }
  log_failure(*a, sent, end, answer.result);
  const bool is_store_unreachable =
    path != direct_path && complete && reports_store_unreachable(r);
  // The store ends waiting watches now and then; the next call shows whether it
  // is reachable. A relay that stopped answering is marked as failed.
  if (a->call.op == operation::watch && answer.result == call_result::unknown) {
    if (path != direct_path && !is_store_unreachable) {
      record_outcome(paths_, path, path_outcome::failed, now);
    }
    finish(a, std::move(answer));
    return;
  }
  record_outcome(paths_,
                 path,
                 is_store_unreachable ? path_outcome::store_unreachable
                                      : path_outcome::failed,
                 now);
  if (a->is_finished) {
    return;
  }
  // A relay that shuts down refuses all calls; that says nothing about the
  // store.
  if (path == direct_path) {
    record_failure(http::name_of(end));
  }
  a->unknown = a->unknown || answer.result == call_result::unknown;
  try_next(a);
}

std::string
client::name_of_path(std::size_t path) const
{
  if (path == direct_path || path > settings_.relays.size()) {
    return "direct";
  }
  return settings_.relays[path - 1];
}

void
client::log_failure(const attempt& a,
                    path_try sent,
                    http::exchange_outcome end,
                    call_result v)
{
  ++failed_tries_;
  process::log_line(timeline::event{ "store_try_failed" }
                      .with("op", name_of(a.call.op))
                      .with("kind", a.call.kind)
                      .with("path", name_of_path(sent.path))
                      .with("end", http::name_of(end))
                      .with("verdict", name_of(v))
                      .with("waited_ms", http::boot_ms() - sent.at_ms)
                      .with("tries", a.tried.size()));
}

// Handles the message that a relay piggybacked on the store's answer.
void
client::handle_piggyback(const http::response& r) const
{
  const auto message = piggybacked_message(r);
  if (!message.is_null() && piggyback.incoming) {
    piggyback.incoming(message);
  }
}

// Returns the message to piggyback on a watch; null for none.
nlohmann::json
client::next_piggyback() const
{
  return piggyback.outgoing ? piggyback.outgoing() : nlohmann::json{};
}

void
client::fail(const std::shared_ptr<attempt>& a)
{
  reply answer;
  answer.result = a->unknown ? call_result::unknown : call_result::refused;
  record_failure("no_path");
  finish(a, std::move(answer));
}

void
client::record_answer()
{
  const auto now = http::now_ms();
  const auto before = std::exchange(last_answer_ms_, now);
  if (is_lost_) {
    is_lost_ = false;
    if (on_regained) {
      on_regained(now - before);
    }
  }
}

void
client::record_failure(std::string_view why)
{
  if (!is_lost_) {
    is_lost_ = true;
    if (on_lost) {
      on_lost(why);
    }
  }
}

} // namespace cactusford::store
