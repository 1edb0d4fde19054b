#include "cactusford/store/store.h"

#include "cactusford/http/socket.h"

#include <asio/post.hpp>

#include <algorithm>

namespace cactusford::store {

namespace {

constexpr int max_relays = 2;

// A relay adds its own wait for the store.
constexpr std::uint64_t relay_extra_ms = 300;

http::request
wrap(const http::request& inner, std::uint64_t timeout_ms)
{
  const nlohmann::json body{ { "method", inner.method },
                             { "target", inner.target },
                             { "body", inner.body },
                             { "timeout_ms", timeout_ms } };
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

struct client::attempt
{
  store::call call;
  http::request request;
  handler done;
  std::uint64_t timeout_ms = 0;
  int relays_tried = 0;
  bool direct_tried = false;
  bool unknown_before = false;
};

client::client(asio::io_context& io,
               http::client& http,
               const dialect& d,
               client_settings s)
  : io_{ io }
  , http_{ http }
  , dialect_{ d }
  , settings_{ std::move(s) }
{
}

void
client::perform(const call& c, handler done)
{
  auto a = std::make_shared<attempt>();
  a->call = c;
  a->request = dialect_.encode(c);
  a->done = std::move(done);
  a->timeout_ms = c.wait_ms + settings_.answer_ms;
  if (http::now_ms() < path_.direct_bad_until && !settings_.relays.empty()) {
    try_relay(a);
  } else {
    try_direct(a);
  }
}

void
client::try_direct(const std::shared_ptr<attempt>& a)
{
  a->direct_tried = true;
  ++calls_;
  http::exchange_options o;
  o.timeout_ms = a->timeout_ms;
  http_.fetch(settings_.address,
              a->request,
              o,
              [this, a](http::end_state end, http::response&& r) {
                take(a, true, end, std::move(r));
              });
}

void
client::try_relay(const std::shared_ptr<attempt>& a)
{
  ++a->relays_tried;
  ++relayed_;
  const auto& relay = settings_.relays[path_.relay % settings_.relays.size()];
  http::exchange_options o;
  o.timeout_ms = a->timeout_ms + relay_extra_ms;
  http_.fetch(relay,
              wrap(a->request, a->timeout_ms),
              o,
              [this, a](http::end_state end, http::response&& r) {
                take(a, false, end, std::move(r));
              });
}

void
client::take(const std::shared_ptr<attempt>& a,
             bool direct,
             http::end_state end,
             http::response&& r)
{
  reply answer;
  answer.what =
    end == http::end_state::not_sent ? verdict::refused : verdict::unknown;
  if (end == http::end_state::complete) {
    answer = dialect_.decode(a->call, r);
  }
  const bool settled =
    answer.what != verdict::refused && answer.what != verdict::unknown;
  if (settled) {
    note_answer();
    answer.after_unknown = a->unknown_before;
    a->done(std::move(answer));
    return;
  }
  // The store ends waiting watches now and then; the next call tells whether
  // it is reached.
  const bool ended_watch =
    a->call.op == operation::watch && answer.what == verdict::unknown;
  if (ended_watch) {
    a->done(std::move(answer));
    return;
  }
  note_failure(direct, http::name_of(end));
  a->unknown_before = a->unknown_before || answer.what == verdict::unknown;
  const auto relays =
    std::min<std::size_t>(settings_.relays.size(), max_relays);
  if (a->relays_tried < static_cast<int>(relays)) {
    try_relay(a);
    return;
  }
  answer.what = a->unknown_before ? verdict::unknown : verdict::refused;
  answer.after_unknown = a->unknown_before;
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
client::note_failure(bool direct, std::string_view why)
{
  if (direct) {
    path_.direct_bad_until = http::now_ms() + settings_.avoid_direct_ms;
  } else {
    ++path_.relay;
  }
  if (!lost_) {
    lost_ = true;
    if (on_lost) {
      on_lost(why);
    }
  }
}

void
client::relay(const http::call& caller)
{
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
  http::exchange_options o;
  o.timeout_ms = body.value("timeout_ms", settings_.answer_ms);
  ++calls_;
  auto sent = std::make_shared<http::pending>();
  *sent = http_.fetch(settings_.address,
                      inner,
                      o,
                      [caller](http::end_state end, http::response&& r) {
                        if (end == http::end_state::complete) {
                          caller.respond({ r.status, {}, std::move(r.body) });
                          return;
                        }
                        // 503 says that nothing was done; 504 leaves it open.
                        const bool nothing = end == http::end_state::not_sent;
                        caller.respond({ nothing ? 503 : 504, {}, "" });
                      });
  caller.on_gone([sent] { sent->cancel(); });
}

} // namespace cactusford::store
