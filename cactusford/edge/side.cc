#include "cactusford/edge/hosted.h"
#include "cactusford/edge/piggyback.h"
#include "cactusford/orders/loader.h"
#include "cactusford/process/line_log.h"
#include "cactusford/store/watcher.h"

namespace cactusford::edge {

namespace {

// How long the store may hold the watch of the versions. A sidecar whose relay
// has gone silent learns of a version this much later.
constexpr std::uint64_t versions_wait_ms = 1000;

// Logs when the store is lost and regained, and asks again at once then.
void
follow(store::client& store, store::watcher& w)
{
  store.on_lost = [](std::string_view why) {
    process::log_line(timeline::event{ "store_lost" }.with("why", why));
  };
  store.on_regained = [&w](std::uint64_t silent_ms) {
    process::log_line(
      timeline::event{ "store_regained" }.with("silent_ms", silent_ms));
    w.refresh();
  };
  w.start();
}

} // namespace

int
run_sidecar(const std::string& path, const hosted_settings& s, const dialect& d)
{
  host h{ path, s };
  http::client http{ h.io };
  // There is a sidecar for each engine, and all wait for the same versions.
  store::client store{ h.io, http, d.store, { s.store, s.peers, true } };
  orders::loader loader{ h.io, http, d, { s.instance, s.engine } };
  store.piggyback.outgoing = [&s] { return encode_sidecar(s.instance); };
  store.piggyback.incoming = [&loader](const nlohmann::json& answered) {
    if (const auto rank = rank_from(answered)) {
      loader.stand_at({ *rank });
    }
  };
  const auto take = [&](const store::object& o) {
    const auto v = d.version_from(o);
    if (v) {
      loader.on_named(*v, o.revision);
    } else {
      store::log_unreadable(d.kinds.versions, { o.name, v.fault });
    }
  };
  store::watcher versions{ h.io,
                           store,
                           { d.kinds.versions, versions_wait_ms, 0, true },
                           { [&](std::vector<store::object>&& all) {
                              for (const auto& o : all) {
                                take(o);
                              }
                            },
                             [&](store::change&& c) {
                               if (!c.deleted) {
                                 take(c.value);
                               }
                             },
                             {} } };
  follow(store, versions);
  loader.start();
  h.run([&] { h.stop(); });
  return 0;
}

int
run_depot(const std::string& path, const hosted_settings& s, const dialect& d)
{
  host h{ path, s };
  http::client http{ h.io };
  store::client store{ h.io, http, d.store, { s.store, s.peers } };
  const auto take = [&](const store::object& o) {
    const auto status = d.removal_status(true);
    if (o.name != s.instance || o.status == status) {
      return;
    }
    store::call c;
    c.op = store::operation::replace_status;
    c.kind = d.kinds.removals;
    c.name = o.name;
    c.body = status;
    store.perform(c, [name = o.name](store::reply&& r) {
      process::log_line(timeline::event{ "emptied" }
                          .with("instance", name)
                          .with("verdict", store::name_of(r.result)));
    });
  };
  // Nothing here is urgent: the longest wait that the store allows.
  constexpr std::uint64_t wait_ms = 30000;
  store::watcher removals{ h.io,
                           store,
                           { d.kinds.removals, wait_ms },
                           { [&](std::vector<store::object>&& all) {
                              for (const auto& o : all) {
                                take(o);
                              }
                            },
                             [&](store::change&& c) {
                               if (!c.deleted) {
                                 take(c.value);
                               }
                             },
                             {} } };
  follow(store, removals);
  h.run([&] { h.stop(); });
  return 0;
}

} // namespace cactusford::edge
