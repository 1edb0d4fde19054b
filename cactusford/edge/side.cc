#include "cactusford/edge/hosted.h"
#include "cactusford/edge/piggyback.h"
#include "cactusford/orders/loader.h"
#include "cactusford/process/line_log.h"
#include "cactusford/store/watcher.h"

namespace cactusford::edge {

namespace {

// How long the store may hold the watch of the weight versions. If its relay
// becomes silent, a sidecar learns of a new version this much later.
constexpr std::uint64_t versions_wait_ms = 1000;

// Starts the watch. Logs when the store becomes unavailable and available
// again, and refreshes the watch at once in the latter case.
void
start_watching(store::client& store, store::watcher& watch)
{
  store.on_lost = [](std::string_view why) {
    process::log_line(timeline::event{ "store_lost" }.with("why", why));
  };
  store.on_regained = [&watch](std::uint64_t silent_ms) {
    process::log_line(
      timeline::event{ "store_regained" }.with("silent_ms", silent_ms));
    watch.refresh();
  };
  watch.start();
}

} // namespace

int
run_sidecar(const std::string& path, const hosted_settings& s, const dialect& d)
{
  process_runtime runtime{ path, s };
  http::client http{ runtime.io };
  // Each engine has a sidecar, and all sidecars watch the same versions, so
  // they share watches through the relays.
  store::client store{ runtime.io, http, d.store, { s.store, s.peers, true } };
  orders::loader loader{ runtime.io, http, d, { s.instance, s.engine } };
  store.piggyback.outgoing = [&s] {
    return encode(sidecar_message{ s.instance, s.engine });
  };
  store.piggyback.incoming = [&loader](const nlohmann::json& reply) {
    if (const auto r = sidecar_reply_from(reply)) {
      loader.set_position({ r->rank });
      loader.set_pinned(r->pinned);
    }
  };
  const auto on_version_object = [&](const store::object& o) {
    const auto v = d.version_from(o);
    if (v) {
      loader.on_published(*v, o.revision);
    } else {
      store::log_unreadable(d.kinds.versions, { o.name, v.fault });
    }
  };
  store::watcher versions{ runtime.io,
                           store,
                           { d.kinds.versions, versions_wait_ms, 0, true },
                           { [&](std::vector<store::object>&& all) {
                              for (const auto& o : all) {
                                on_version_object(o);
                              }
                            },
                             [&](store::change&& c) {
                               if (!c.deleted) {
                                 on_version_object(c.value);
                               }
                             },
                             {} } };
  start_watching(store, versions);
  loader.start();
  runtime.run([&] { runtime.stop(); });
  return 0;
}

int
run_depot(const std::string& path, const hosted_settings& s, const dialect& d)
{
  process_runtime runtime{ path, s };
  http::client http{ runtime.io };
  store::client store{ runtime.io, http, d.store, { s.store, s.peers } };
  const auto on_removal_object = [&](const store::object& o) {
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
  // Removals are not urgent, so this is the longest wait that the store allows.
  constexpr std::uint64_t wait_ms = 30000;
  store::watcher removals{ runtime.io,
                           store,
                           { d.kinds.removals, wait_ms },
                           { [&](std::vector<store::object>&& all) {
                              for (const auto& o : all) {
                                on_removal_object(o);
                              }
                            },
                             [&](store::change&& c) {
                               if (!c.deleted) {
                                 on_removal_object(c.value);
                               }
                             },
                             {} } };
  start_watching(store, removals);
  runtime.run([&] { runtime.stop(); });
  return 0;
}

} // namespace cactusford::edge
