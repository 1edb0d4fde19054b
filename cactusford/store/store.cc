#include "cactusford/store/store.h"

#include "cactusford/http/socket.h"

#include <asio/post.hpp>

#include <random>

namespace cactusford::store {

namespace {

// Instances and the store are near; a connection that takes longer is not to
// be had.
constexpr std::uint64_t connect_ms = 250;

// A relay that lives and doesn't reach the store says so.
constexpr std::string_view away_header = "Store-Away";

// A relay adds its own wait for the store.
constexpr std::uint64_t relay_extra_ms = 300;

void
respond_relayed(const http::call& caller,
                http::end_state end,
                const http::response& r)
{
  if (end == http::end_state::complete) {
    caller.respond({ r.status, {}, r.body });
    return;
  }
  // 503 says that nothing was done; 504 leaves it open.
  const bool nothing = end == http::end_state::not_sent;
  caller.respond(
    { nothing ? 503 : 504, { { std::string{ away_header }, "1" } }, "" });
}

http::request
wrap(const http::request& inner, std::uint64_t timeout_ms, bool shared)
{
  const nlohmann::json body{ { "method", inner.method },
                             { "target", inner.target },
                             { "body", inner.body },
                             { "timeout_ms", timeout_ms },
                             { "shared", shared } };
  http::request r;
  r.method = "POST";
  r.target = std::string{ relay_path };
  r.body = body.dump();
  return r;
}

} // namespace

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

} // namespace

struct client::attempt
{
  store::call call;
  http::request request;
  handler done;
  std::uint64_t timeout_ms = 0;
  std::vector<std::size_t> tried;
  // Some try had no answer: it may have been done, or may be done later.
  bool unknown = false;
};

client::client(asio::io_context& io,
               http::client& http,
               const dialect& d,
               client_settings s)
  : io_{ io }
  , http_{ http }
  , dialect_{ d }
  , settings_{ std::move(s) }
  , paths_{ make_paths(settings_.relays.size(), first_path(settings_)) }
{
}

void
client::use_relays(std::vector<std::string> relays)
{
  settings_.relays = std::move(relays);
  paths_ = make_paths(settings_.relays.size(), first_path(settings_));
}

void
client::perform(const call& c, handler done)
{
  auto a = std::make_shared<attempt>();
  a->call = c;
  a->request = dialect_.encode(c);
  a->done = std::move(done);
  a->timeout_ms = c.op == operation::list ? settings_.list_ms
                                          : c.wait_ms + settings_.answer_ms;
  try_next(a);
}

void
client::try_next(const std::shared_ptr<attempt>& a)
{
  const auto path = next_path(paths_, a->tried, http::now_ms());
  if (path) {
    try_path(a, *path);
  } else {
    give_up(a);
  }
}

void
client::try_path(const std::shared_ptr<attempt>& a, std::size_t path)
{
  a->tried.push_back(path);
  const bool direct = path == direct_path;
  ++(direct ? calls_ : relayed_);
  http::exchange_options o;
  o.timeout_ms = a->timeout_ms + (direct ? 0 : relay_extra_ms);
  o.connect_timeout_ms = connect_ms;
  http_.fetch(
    direct ? settings_.address : settings_.relays[path - 1],
    direct ? a->request
           : wrap(a->request, a->timeout_ms, a->call.op == operation::watch),
    o,
    [this, a, path](http::end_state end, http::response&& r) {
      take(a, path, end, std::move(r));
    });
}

void
client::take(const std::shared_ptr<attempt>& a,
             std::size_t path,
             http::end_state end,
             http::response&& r)
{
  const auto now = http::now_ms();
  // The relays may have been exchanged since the call was sent.
  path = path < paths_.bad_until_ms.size() ? path : direct_path;
  const bool complete = end == http::end_state::complete;
  reply answer;
  answer.what =
    end == http::end_state::not_sent ? verdict::refused : verdict::unknown;
  if (complete) {
    answer = dialect_.decode(a->call, r);
  }
  const bool settled =
    answer.what != verdict::refused && answer.what != verdict::unknown;
  if (settled) {
    note_path(paths_, path, path_end::answered, now);
    note_answer();
    answer.after_unknown = a->unknown;
    a->done(std::move(answer));
    return;
  }
  // The store ends waiting watches now and then; the next call tells whether
  // it is reached.
  if (a->call.op == operation::watch && answer.what == verdict::unknown) {
    a->done(std::move(answer));
    return;
  }
  const bool away =
    path != direct_path && complete && http::find(r.fields, away_header);
  note_path(paths_, path, away ? path_end::store_away : path_end::failed, now);
  note_failure(http::name_of(end));
  a->unknown = a->unknown || answer.what == verdict::unknown;
  try_next(a);
}

void
client::give_up(const std::shared_ptr<attempt>& a)
{
  reply answer;
  answer.what = a->unknown ? verdict::unknown : verdict::refused;
  answer.after_unknown = a->unknown;
  a->done(std::move(answer));
}

void
client::note_answer()
{
  last_answer_ms_ = http::now_ms();
  if (lost_) {
    lost_ = false;
    if (on_regained) {
      on_regained();
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
  const auto all = std::move(joined_);
  joined_.clear();
  for (const auto& [target, callers] : all) {
    for (const auto& c : callers) {
      c.respond({ 503, {}, "" });
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
  const auto body =
    nlohmann::json::parse(caller.request().body, nullptr, false);
  const auto text = [&](const char* key) {
    return body.is_object() ? body.value(key, std::string{}) : std::string{};
  };
  http::request inner;
  inner.method = text("method");
  inner.target = text("target");
  inner.body = text("body");
  if (inner.method.empty() || inner.target.empty()) {
    caller.respond({ 400, {}, "" });
    return;
  }
  if (!inner.body.empty()) {
    inner.fields.push_back({ "Content-Type", "application/json" });
  }
  inner.fields.push_back({ "Host", settings_.address });
  const auto timeout_ms = body.value("timeout_ms", settings_.answer_ms);
  if (body.value("shared", false)) {
    relay_watch(caller, inner, timeout_ms);
    return;
  }
  http::exchange_options o;
  o.timeout_ms = timeout_ms;
  ++calls_;
  auto sent = std::make_shared<http::pending>();
  *sent = http_.fetch(settings_.address,
                      inner,
                      o,
                      [caller](http::end_state end, http::response&& r) {
                        respond_relayed(caller, end, r);
                      });
  caller.on_gone([sent] { sent->cancel(); });
}

// Instances that follow the same kind from the same revision share one call.
void
client::relay_watch(const http::call& caller,
                    const http::request& inner,
                    std::uint64_t timeout_ms)
{
  auto& waiting = joined_[inner.target];
  waiting.push_back(caller);
  if (waiting.size() > 1) {
    return;
  }
  http::exchange_options o;
  o.timeout_ms = timeout_ms;
  ++calls_;
  http_.fetch(
    settings_.address,
    inner,
    o,
    [this, target = inner.target](http::end_state end, http::response&& r) {
      const auto callers = std::move(joined_[target]);
      joined_.erase(target);
      for (const auto& c : callers) {
        respond_relayed(c, end, r);
      }
    });
}

} // namespace cactusford::store
