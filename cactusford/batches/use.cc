#include "cactusford/batches/keeper_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

namespace cactusford::batches {

namespace {

// Between two messages of one owner to another. A change that is told later has
// met runs of the other already; one that is told sooner costs a message of its
// own.
constexpr std::uint64_t tell_ms = 100;

// What has not changed is told again before it counts as old.
constexpr std::uint64_t tell_again_ms = 400;

constexpr std::uint64_t tell_timeout_ms = 300;

} // namespace

engine_runs
keeper::impl::own_runs() const
{
  engine_runs runs;
  for (const auto& [id, b] : batches) {
    if (!b->owned) {
      continue;
    }
    for (const auto& i : b->items) {
      if (i.stage == item_stage::running) {
        ++runs[i.backend.id];
      }
    }
  }
  return runs;
}

std::set<std::string>
keeper::impl::other_owners() const
{
  std::set<std::string> addresses;
  for (const auto& [id, b] : batches) {
    const auto& address = b->stored.owner_address;
    if (b->is_open() && !address.empty() && address != p.address) {
      addresses.insert(address);
    }
  }
  return addresses;
}

void
keeper::impl::tell_use(std::uint64_t now)
{
  if (now - told_ms < tell_ms) {
    return;
  }
  const auto to = other_owners();
  auto runs = own_runs();
  const bool is_same = runs == told_runs && now - told_ms < tell_again_ms;
  if (to.empty() || is_same) {
    return;
  }
  told_ms = now;
  told_runs = std::move(runs);
  http::request r;
  r.method = "POST";
  r.target = peer_use_path;
  r.fields = { { "Host", "owner" } };
  r.body = encode(told_use{ p.instance, told_runs }).dump();
  http::exchange_options o;
  o.timeout_ms = tell_timeout_ms;
  o.connect_timeout_ms = tell_timeout_ms / 2;
  for (const auto& address : to) {
    // What gets lost is told again.
    p.http.fetch(address, r, o, [](http::end_state, http::response&&) {});
  }
}

void
keeper::on_use(const http::call& peer)
{
  auto t = told_use_from(store::parse_message(peer.request().body));
  if (!t) {
    process::log_line(timeline::event{ "engine_use_unreadable" }
                        .with("field", t.fault.field)
                        .with("why", t.fault.what));
    peer.respond(answer(400));
    return;
  }
  const auto now = http::now_ms();
  note(impl_->others, std::move(*t), now);
  backends::set_peer_runs(impl_->p.registry, sum(impl_->others, now), now);
  peer.respond(answer(200));
}

} // namespace cactusford::batches
