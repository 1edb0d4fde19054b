#include "cactusford/store/store.h"

#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

namespace cactusford::store {

namespace {

// Instances and the store are near; a connection that takes longer is not to
// be had.
constexpr std::uint64_t connect_ms = 250;

// A relay that lives and doesn't reach the store says so.
constexpr std::string_view away_header = "Store-Away";

// What a relay answers to a message that came with a watch.
constexpr std::string_view piggyback_header = "Piggyback";

// When the store stood as a relay's answer says, in milliseconds after the
// relay was asked; negative for one that was there before.
constexpr std::string_view confirmed_header = "Confirmed-After-Ms";

// Relays that are kept in mind, those of the settings included. A partition
// that cuts off all of them cuts off most instances.
constexpr std::size_t most_relays = 8;

// A little more than a shared watch takes to be found silent.
constexpr std::uint64_t cut_off_ms = 2500;

// Relays between an instance and the store, for a watch. Lists of relays may
// differ, and two that each take the other for the first would go on for ever.
constexpr std::uint64_t most_hops = 2;

// What a relay adds to the store's answer.
struct relay_notes
{
  // When it was asked, and when the store stood as the answer says.
  std::uint64_t asked_ms = 0;
  std::uint64_t confirmed_ms = 0;
  // Its message; null: none.
  nlohmann::json told;
};

void
respond_relayed(const http::call& caller,
                http::end_state end,
                const http::response& r,
                const relay_notes& notes)
{
  if (end == http::end_state::complete) {
    const auto after = static_cast<std::int64_t>(notes.confirmed_ms) -
                       static_cast<std::int64_t>(notes.asked_ms);
    http::headers fields{ { std::string{ confirmed_header },
                            std::to_string(after) } };
    if (!notes.told.is_null()) {
      fields.push_back({ std::string{ piggyback_header }, notes.told.dump() });
    }
    if (const auto away = http::find(r.fields, away_header)) {
      fields.push_back({ std::string{ away_header }, std::string{ *away } });
    }
    caller.respond({ r.status, std::move(fields), r.body });
    return;
  }
  // 503 says that nothing was done; 504 leaves it open.
  const bool nothing = end == http::end_state::not_sent;
  caller.respond(
    { nothing ? 503 : 504, { { std::string{ away_header }, "1" } }, "" });
}

// When the store stood as a relay's answer says, by our own clock. It was made
// after the relay was asked, so a slow way makes it look older, never newer.
std::uint64_t
confirmed_by_relay(const http::response& r, std::uint64_t asked_ms)
{
  const auto text = http::find(r.fields, confirmed_header).value_or("0");
  std::int64_t after = 0;
  std::from_chars(text.data(), text.data() + text.size(), after);
  const auto at = static_cast<std::int64_t>(asked_ms) + after;
  const auto now = static_cast<std::int64_t>(http::boot_ms());
  return static_cast<std::uint64_t>(std::clamp<std::int64_t>(at, 0, now));
}

// The same for an answer of the store itself. A watch that ends without changes
// was held to its end.
std::uint64_t
confirmed_by_store(std::uint64_t asked_ms, std::uint64_t held_ms, bool has_news)
{
  return has_news ? asked_ms : std::min(asked_ms + held_ms, http::boot_ms());
}

asked
asked_by(operation op)
{
  switch (op) {
    case operation::watch:
      return asked::watch;
    case operation::list:
      return asked::list;
    default:
      return asked::one_object;
  }
}

http::request
wrap(const http::request& inner,
     std::uint64_t timeout_ms,
     std::uint64_t held_ms,
     bool shared,
     const nlohmann::json& sent_along,
     std::uint64_t hops)
{
  const nlohmann::json body{
    { "method", inner.method }, { "target", inner.target },
    { "body", inner.body },     { "timeout_ms", timeout_ms },
    { "held_ms", held_ms },     { "shared", shared },
    { "hops", hops },           { "sent_along", sent_along }
  };
  http::request r;
  r.method = "POST";
  r.target = std::string{ relay_path };
  r.body = body.dump();
  return r;
}

} // namespace

void
log_unreadable(std::string_view kind, const unreadable& u)
{
  process::log_line(timeline::event{ "object_unreadable" }
                      .with("kind", kind)
                      .with("name", u.name)
                      .with("field", u.fault.field)
                      .with("why", u.fault.what));
}

std::string_view
name_of(verdict v) noexcept
{
  switch (v) {
    case verdict::done:
      return "done";
    case verdict::conflict:
      return "conflict";
    case verdict::missing:
      return "missing";
    case verdict::history_gone:
      return "history_gone";
    case verdict::refused:
      return "refused";
    case verdict::unknown:
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

// Spread over the relays by chance; all instances see the same list.
std::size_t
first_path(const client_settings& s)
{
  if (!s.prefer_relays || s.relays.empty()) {
    return direct_path;
  }
  return 1 + std::random_device{}() % s.relays.size();
}

// Where watches begin.
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

// A call that another instance asks this one to make.
struct client::relayed_call
{
  held_call inner;
  bool shared = false;
  std::uint64_t hops = 0;
  // The message that came along; null: none.
  nlohmann::json sent_along;
  // When it came, on `boot_ms`.
  std::uint64_t asked_ms = 0;
};

struct client::attempt
{
  store::call call;
  http::request request;
  handler done;
  std::vector<std::size_t> tried;
  // Some try had no answer: it may have been done, or may be done later.
  bool unknown = false;
  // Tries that have not ended.
  std::size_t under_way = 0;
  bool is_settled = false;
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
  if (!known && all.size() < most_relays) {
    all.push_back(address);
    add_path(paths_);
  }
}

bool
client::is_cut_off(std::uint64_t now_ms) const
{
  return lost_ && now_ms - last_answer_ms_ >= cut_off_ms;
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

// Where a call begins when all paths are well.
std::size_t
client::first_path_of(const store::call& c) const
{
  return c.shared ? first_watch_path_ : paths_.first;
}

void
client::try_next(const std::shared_ptr<attempt>& a)
{
  const auto path =
    take_path(paths_, a->tried, http::now_ms(), first_path_of(a->call));
  if (path) {
    try_path(a, *path);
  } else if (a->under_way == 0) {
    give_up(a);
  }
}

// A list may be asked for twice: both answers are true, and the first counts.
void
client::try_second_path_later(const std::shared_ptr<attempt>& a)
{
  a->second_path_timer = std::make_shared<http::timer>(
    io_, std::chrono::milliseconds{ second_path_after_ms });
  a->second_path_timer->async_wait([this, a](asio::error_code ec) {
    if (ec || a->is_settled) {
      return;
    }
    if (const auto path = take_second_path(paths_, a->tried, http::now_ms())) {
      try_path(a, *path);
    }
  });
}

// A call that goes another way than usual asks the relay for its own path: the
// one that all usually go through may be what fails.
std::uint64_t
client::hops_to(const store::call& c, std::size_t path) const
{
  return path == first_path_of(c) ? 1 : most_hops;
}

void
client::settle(const std::shared_ptr<attempt>& a, reply&& r)
{
  a->is_settled = true;
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
  ++a->under_way;
  if (a->call.op == operation::list) {
    try_second_path_later(a);
  }
  const sent_way way{ path, http::boot_ms() };
  const bool is_watch = a->call.op == operation::watch;
  // Equal lists of many instances come together after a start and when the
  // store is back.
  const bool is_joined = is_watch || a->call.shared;
  const auto timeout_ms = limit_ms(
    settings_.limits, paths_, path, asked_by(a->call.op), a->call.wait_ms);
  if (path == direct_path && is_joined) {
    join_watch({ a->request, timeout_ms, a->call.wait_ms },
               shared_watches::origin::own,
               [this, a, way](http::end_state end,
                              const http::response& r,
                              std::uint64_t confirmed_ms) {
                 take(a, way, end, http::response{ r }, confirmed_ms);
               });
    return;
  }
  const auto ended = [this, a, way](http::end_state end, http::response&& r) {
    const auto confirmed_ms =
      way.path == direct_path ? way.at_ms : confirmed_by_relay(r, way.at_ms);
    take(a, way, end, std::move(r), confirmed_ms);
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
  http_.fetch(settings_.relays[path - 1],
              wrap(a->request,
                   timeout_ms,
                   a->call.wait_ms,
                   is_joined,
                   is_joined && piggyback.outgoing ? piggyback.outgoing()
                                                   : nlohmann::json{},
                   hops_to(a->call, path)),
              o,
              ended);
}

void
client::take(const std::shared_ptr<attempt>& a,
             sent_way way,
             http::end_state end,
             http::response&& r,
             std::uint64_t confirmed_ms)
{
  const auto now = http::now_ms();
  // The relays may have been exchanged since the call was sent.
  const auto path = way.path < paths_.paths.size() ? way.path : direct_path;
  const bool complete = end == http::end_state::complete;
  --a->under_way;
  hear(r);
  reply answer;
  answer.what =
    end == http::end_state::not_sent ? verdict::refused : verdict::unknown;
  if (complete) {
    answer = dialect_.decode(a->call, r);
  }
  const bool is_answer =
    answer.what != verdict::refused && answer.what != verdict::unknown;
  if (is_answer) {
    note_path(paths_, path, path_end::answered, now);
    note_answer();
    answer.confirmed_ms = confirmed_ms;
    if (!a->is_settled) {
      settle(a, std::move(answer));
    }
    return;
  }
  log_failure(*a, way, end, answer.what);
  const bool away =
    path != direct_path && complete && http::find(r.fields, away_header);
  // The store ends waiting watches now and then; the next call tells whether
  // it is reached. A relay that has gone silent is left.
  if (a->call.op == operation::watch && answer.what == verdict::unknown) {
    if (path != direct_path && !away) {
      note_path(paths_, path, path_end::failed, now);
    }
    settle(a, std::move(answer));
    return;
  }
  note_path(paths_, path, away ? path_end::store_away : path_end::failed, now);
  if (a->is_settled) {
    return;
  }
  // A relay that leaves refuses all calls; the store is as well as before.
  if (path == direct_path) {
    note_failure(http::name_of(end));
  }
  a->unknown = a->unknown || answer.what == verdict::unknown;
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
                    sent_way way,
                    http::end_state end,
                    verdict v)
{
  ++failed_tries_;
  process::log_line(timeline::event{ "store_try_failed" }
                      .with("op", name_of(a.call.op))
                      .with("kind", a.call.kind)
                      .with("path", name_of_path(way.path))
                      .with("end", http::name_of(end))
                      .with("verdict", name_of(v))
                      .with("waited_ms", http::boot_ms() - way.at_ms)
                      .with("tries", a.tried.size()));
}

// Takes in what a relay has sent along with the store's answer.
void
client::hear(const http::response& r) const
{
  const auto told = http::find(r.fields, piggyback_header);
  if (told && piggyback.incoming) {
    piggyback.incoming(parse_message(*told));
  }
}

void
client::give_up(const std::shared_ptr<attempt>& a)
{
  reply answer;
  answer.what = a->unknown ? verdict::unknown : verdict::refused;
  note_failure("no_path");
  settle(a, std::move(answer));
}

void
client::note_answer()
{
  const auto now = http::now_ms();
  const auto before = std::exchange(last_answer_ms_, now);
  if (lost_) {
    lost_ = false;
    if (on_regained) {
      on_regained(now - before);
    }
  }
}

void
client::note_failure(std::string_view why)
{
  if (!lost_) {
    lost_ = true;
    if (on_lost) {
      on_lost(why);
    }
  }
}

// A relayed watch may be held for seconds, and the next one follows at once: an
// instance that leaves would never be idle.
void
client::stop_relaying()
{
  relaying_ = false;
  for (auto* shared : { &direct_, &upstream_ }) {
    for (const auto& done : shared->take_relayed()) {
      // Nothing was done, and the store is as well as before.
      done(http::end_state::complete, { 503, {}, "" }, 0);
    }
  }
}

void
client::relay(const http::call& caller)
{
  if (!relaying_) {
    caller.respond({ 503, {}, "" });
    return;
  }
  // This instance asks the store itself when that is due: the calls of all
  // others would find the same.
  if (is_direct_closed(paths_, http::now_ms())) {
    caller.respond({ 503, { { std::string{ away_header }, "1" } }, "" });
    return;
  }
  const auto body = parse_message(caller.request().body);
  const auto asked = read_shape([&] {
    relayed_call r;
    auto& request = r.inner.request;
    request.method = text_field(body, "method");
    request.target = text_field(body, "target");
    request.body = text_field(body, "body");
    r.inner.timeout_ms = whole_field(body, "timeout_ms");
    r.inner.held_ms = whole_field_or(body, "held_ms", 0);
    r.shared = flag_field(body, "shared");
    r.hops = whole_field(body, "hops");
    r.sent_along = body.value("sent_along", nlohmann::json{});
    r.asked_ms = http::boot_ms();
    return r;
  });
  if (!asked) {
    process::log_line(timeline::event{ "relayed_call_unreadable" }
                        .with("field", asked.fault.field)
                        .with("why", asked.fault.what));
    caller.respond({ 400, {}, "" });
    return;
  }
  auto call = *asked;
  auto& request = call.inner.request;
  if (!request.body.empty()) {
    request.fields.push_back({ "Content-Type", "application/json" });
  }
  request.fields.push_back({ "Host", settings_.address });
  if (call.shared) {
    relay_watch(caller, call);
    return;
  }
  http::exchange_options o;
  o.timeout_ms = call.inner.timeout_ms;
  ++calls_;
  const relay_notes notes{ call.asked_ms, call.asked_ms, {} };
  auto sent = std::make_shared<http::pending>();
  *sent = http_.fetch(settings_.address,
                      request,
                      o,
                      [caller, notes](http::end_state end, http::response&& r) {
                        respond_relayed(caller, end, r, notes);
                      });
  caller.on_gone([sent] { sent->cancel(); });
}

// Instances that follow the same kind from the same revision share one call,
// and relays share theirs through the first of them.
void
client::relay_watch(const http::call& caller, const relayed_call& asked)
{
  const bool answers = !asked.sent_along.is_null() && piggyback.answer;
  relay_notes notes;
  notes.asked_ms = asked.asked_ms;
  notes.told = answers ? piggyback.answer(asked.sent_along) : nlohmann::json{};
  const auto done = [caller, notes](http::end_state end,
                                    const http::response& r,
                                    std::uint64_t confirmed_ms) {
    auto n = notes;
    n.confirmed_ms = confirmed_ms;
    respond_relayed(caller, end, r, n);
  };
  if (asks_upstream(asked.hops)) {
    join_upstream(asked.inner, asked.hops, done);
  } else {
    join_watch(asked.inner, shared_watches::origin::relayed, done);
  }
}

// A relay behind the first one joins its watches there, as long as that
// answers.
bool
client::asks_upstream(std::uint64_t hops)
{
  const bool is_later = settings_.rank && *settings_.rank > 0;
  return is_later && hops < most_hops && first_watch_path_ != direct_path &&
         take_if_open(paths_, first_watch_path_, http::now_ms());
}

bool
client::has_changes(const http::response& r) const
{
  store::call watch;
  watch.op = operation::watch;
  const auto answer = dialect_.decode(watch, r);
  return !answer.changes.empty() || !answer.broken.empty() ||
         !answer.items.empty();
}

void
client::join_watch(const held_call& inner,
                   shared_watches::origin from,
                   shared_watches::handler done)
{
  const auto make = [this, inner] {
    http::exchange_options o;
    o.timeout_ms = inner.timeout_ms;
    o.connect_timeout_ms = connect_ms;
    ++calls_;
    const auto ended = [this,
                        target = inner.request.target,
                        held_ms = inner.held_ms,
                        asked_ms = http::boot_ms()](http::end_state end,
                                                    http::response&& r) {
      const bool news = end == http::end_state::complete && has_changes(r);
      const auto confirmed_ms = confirmed_by_store(asked_ms, held_ms, news);
      direct_.settle(target, http::now_ms(), end, r, confirmed_ms, news);
    };
    http_.fetch(settings_.address, inner.request, o, ended);
  };
  // An answer that is there already must not come before the call returns.
  asio::post(io_, [this, target = inner.request.target, from, make, done] {
    direct_.ask(target, http::now_ms(), from, make, done);
  });
}

void
client::join_upstream(const held_call& inner,
                      std::uint64_t hops,
                      shared_watches::handler done)
{
  const auto make = [this, inner, hops] {
    http::exchange_options o;
    o.timeout_ms = inner.timeout_ms + relay_extra_ms;
    o.connect_timeout_ms = connect_ms;
    ++relayed_;
    const auto sent_along =
      piggyback.outgoing ? piggyback.outgoing() : nlohmann::json{};
    http_.fetch(settings_.relays.front(),
                wrap(inner.request,
                     inner.timeout_ms,
                     inner.held_ms,
                     true,
                     sent_along,
                     hops + 1),
                o,
                [this, inner, asked_ms = http::boot_ms()](http::end_state end,
                                                          http::response&& r) {
                  take_upstream(inner, asked_ms, end, r);
                });
  };
  asio::post(io_, [this, target = inner.request.target, make, done] {
    upstream_.ask(
      target, http::now_ms(), shared_watches::origin::relayed, make, done);
  });
}

void
client::take_upstream(const held_call& inner,
                      std::uint64_t asked_ms,
                      http::end_state end,
                      const http::response& r)
{
  hear(r);
  constexpr int unavailable = 503;
  const auto target = inner.request.target;
  const bool complete = end == http::end_state::complete;
  const bool refused =
    end == http::end_state::not_sent || (complete && r.status == unavailable);
  if (refused || !complete) {
    note_path(paths_,
              first_watch_path_,
              refused ? path_end::store_away : path_end::failed,
              http::now_ms());
    process::log_line(timeline::event{ "upstream_failed" }
                        .with("target", target)
                        .with("path", settings_.relays.front())
                        .with("end", http::name_of(end))
                        .with("waited_ms", http::boot_ms() - asked_ms));
  }
  if (refused) {
    join_watch(inner,
               shared_watches::origin::relayed,
               [this, target](http::end_state e,
                              const http::response& a,
                              std::uint64_t confirmed_ms) {
                 upstream_.settle(
                   target, http::now_ms(), e, a, confirmed_ms, false);
               });
    return;
  }
  const bool news = complete && has_changes(r);
  const auto confirmed_ms = confirmed_by_relay(r, asked_ms);
  upstream_.settle(target, http::now_ms(), end, r, confirmed_ms, news);
}

} // namespace cactusford::store
