// The relay side of the client: calls made to the store for other instances.
#include "cactusford/http/clock.h"
#include "cactusford/process/line_log.h"
#include "cactusford/store/store.h"

#include <asio/post.hpp>

#include <algorithm>

namespace cactusford::store {

// A relayed watch may be held for seconds, and the next one follows at once:
// without this, an instance that shuts down would never become idle.
void
client::stop_relaying()
{
  relaying_ = false;
  for (auto* shared : { &direct_watches_, &upstream_watches_ }) {
    for (const auto& done : shared->take_relayed_handlers()) {
      // The call was not executed, and the store is not affected.
      done(http::exchange_outcome::complete, { 503, {}, "" }, 0);
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
  // The direct path has failed, and this instance probes it when that is due.
  // Calls of other instances would only fail in the same way.
  if (is_direct_closed(paths_, http::now_ms())) {
    caller.respond(store_unreachable_response());
    return;
  }
  const auto relayed = relayed_call_from(caller.request().body);
  if (!relayed) {
    process::log_line(timeline::event{ "relayed_call_unreadable" }
                        .with("field", relayed.fault.field)
                        .with("why", relayed.fault.what));
    caller.respond({ 400, {}, "" });
    return;
  }
  auto call = *relayed;
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
  const auto asked_ms = http::boot_ms();
  const relay_metadata metadata{ asked_ms, asked_ms, {} };
  auto sent = std::make_shared<http::pending_request>();
  *sent = http_.fetch(
    settings_.address,
    request,
    o,
    [caller, metadata](http::exchange_outcome end, http::response&& r) {
      caller.respond(relayed_response(end, r, metadata));
    });
  caller.on_disconnect([sent] { sent->cancel(); });
}

// Instances that watch the same kind from the same revision share one call, and
// relays share theirs through the first relay.
void
client::relay_watch(const http::call& caller, const relayed_call& relayed)
{
  const bool answers = !relayed.message.is_null() && piggyback.answer;
  relay_metadata metadata;
  metadata.asked_ms = http::boot_ms();
  metadata.message =
    answers ? piggyback.answer(relayed.message) : nlohmann::json{};
  const auto done = [this, caller, metadata, packs = relayed.accepts_packed](
                      http::exchange_outcome end,
                      const http::response& r,
                      std::uint64_t confirmed) {
    auto n = metadata;
    n.confirmed_ms = confirmed;
    auto answer = relayed_response(end, r, n);
    if (packs) {
      packer_.pack(answer);
    }
    caller.respond(std::move(answer));
  };
  if (should_join_upstream(relayed.hops)) {
    join_upstream(relayed.inner, relayed.hops, done);
  } else {
    join_watch(relayed.inner, shared_watches::origin::relayed, done);
  }
}

// A relay other than the first one joins its watches there, as long as the
// first one answers.
bool
client::should_join_upstream(std::uint64_t hops)
{
  const bool is_later = settings_.rank && *settings_.rank > 0;
  return is_later && hops < max_hops && first_watch_path_ != direct_path &&
         claim_if_open(paths_, first_watch_path_, http::now_ms());
}

answer_contents
client::contents_of(const http::response& r) const
{
  store::call watch;
  watch.op = operation::watch;
  const auto answer = dialect_.decode(watch, r);
  answer_contents contents;
  contents.is_history_gone = answer.result == call_result::history_gone;
  contents.has_objects = !answer.changes.empty() ||
                         !answer.unreadable_objects.empty() ||
                         !answer.items.empty();
  const auto oldest =
    std::min_element(answer.changes.begin(),
                     answer.changes.end(),
                     [](const auto& a, const auto& b) {
                       return a.value.revision < b.value.revision;
                     });
  const bool are_all_known =
    oldest != answer.changes.end() && answer.unreadable_objects.empty();
  contents.oldest_change = are_all_known ? oldest->value.revision : 0;
  return contents;
}

void
client::join_watch(const joinable_call& inner,
                   shared_watches::origin from,
                   shared_watches::handler done)
{
  const auto start_call = [this, inner] {
    http::exchange_options o;
    o.timeout_ms = inner.timeout_ms;
    o.connect_timeout_ms = connect_ms;
    ++calls_;
    const auto ended = [this,
                        target = inner.request.target,
                        held_ms = inner.held_ms,
                        asked_ms = http::boot_ms()](http::exchange_outcome end,
                                                    http::response&& r) {
      const bool is_complete = end == http::exchange_outcome::complete;
      const auto contents = is_complete ? contents_of(r) : answer_contents{};
      const auto confirmed_ms = store_confirmed_ms(
        asked_ms, held_ms, contents.has_objects, http::boot_ms());
      direct_watches_.complete(
        target, http::now_ms(), end, r, confirmed_ms, contents);
    };
    http_.fetch(settings_.address, inner.request, o, ended);
  };
  // Posted, so that a reused answer does not arrive before this function
  // returns.
  asio::post(io_, [this, inner, from, start_call, done] {
    direct_watches_.join(inner, http::now_ms(), from, start_call, done);
  });
}

void
client::join_upstream(const joinable_call& inner,
                      std::uint64_t hops,
                      shared_watches::handler done)
{
  const auto start_call = [this, inner, hops] {
    http::exchange_options o;
    // The instance that watches through this one waits `relay_extra_ms` longer
    // than the store may take. If this relay waited as long, that instance
    // would mark both relays as failed and have no path for four seconds.
    o.timeout_ms =
      inner.timeout_ms +
      (settings_.reports_silent_relay ? relay_extra_ms / 2 : relay_extra_ms);
    o.connect_timeout_ms = connect_ms;
    ++relayed_;
    const relayed_call relayed{ inner, true, true, hops + 1, next_piggyback() };
    http_.fetch(settings_.relays.front(),
                encode(relayed),
                o,
                [this, inner, asked_ms = http::boot_ms()](
                  http::exchange_outcome end, http::response&& r) {
                  handle_upstream_response(inner, asked_ms, end, std::move(r));
                });
  };
  asio::post(io_, [this, inner, start_call, done] {
    upstream_watches_.join(
      inner, http::now_ms(), shared_watches::origin::relayed, start_call, done);
  });
}

void
client::handle_upstream_response(const joinable_call& inner,
                                 std::uint64_t asked_ms,
                                 http::exchange_outcome end,
                                 http::response&& r)
{
  handle_piggyback(r);
  constexpr int unavailable = 503;
  const auto target = inner.request.target;
  const bool complete = end == http::exchange_outcome::complete && unpack(r);
  const bool refused = end == http::exchange_outcome::not_sent ||
                       (complete && r.status == unavailable);
  if (refused || !complete) {
    record_outcome(paths_,
                   first_watch_path_,
                   refused ? path_outcome::store_unreachable
                           : path_outcome::failed,
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
               [this, target](http::exchange_outcome e,
                              const http::response& a,
                              std::uint64_t confirmed_ms) {
                 upstream_watches_.complete(
                   target, http::now_ms(), e, a, confirmed_ms, {});
               });
    return;
  }
  const auto contents = complete ? contents_of(r) : answer_contents{};
  const auto confirmed_ms = relay_confirmed_ms(r, asked_ms, http::boot_ms());
  upstream_watches_.complete(
    target, http::now_ms(), end, r, confirmed_ms, contents);
}

} // namespace cactusford::store
