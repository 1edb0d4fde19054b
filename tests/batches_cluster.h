// Test cluster: several entries in one process that share batches through a
// store. Each entry has its own event loop, so that it can be paused and
// resumed.
#pragma once

#include "cactusford/batches/manager.h"
#include "cactusford/http/socket.h"
#include "cactusford/store/watcher.h"
#include "standins/object_store.h"
#include "standins/stream_engine.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <set>

namespace cactusford::testing {

using nlohmann::json;
using standins::object_store;
using standins::stream_engine;

constexpr std::string_view batch_id = "batch-1";

// Longer than any step of these tests takes; exceeded only if something hangs.
constexpr std::uint64_t hang_timeout_ms = 30000;

inline routes::table_ptr
test_route_table()
{
  auto t = std::make_shared<routes::table>();
  routes::route batch;
  batch.host = "h";
  batch.path_prefix = "/b/";
  batch.kind = routes::call_kind::rollout;
  batch.services = { { "engines", 1 } };
  batch.max_attempts = 3;
  batch.due_ms = 7500;
  batch.give_up_ms = 40000;
  routes::route score;
  score.host = "h";
  score.path_prefix = "/score/";
  score.kind = routes::call_kind::idempotent;
  score.services = { { "scorers", 1 } };
  score.max_attempts = 4;
  score.timeout_ms = 1500;
  t->routes = { batch, score };
  return t;
}

// Long enough for every test that reads results, short enough to wait for the
// removal.
constexpr std::uint64_t retention_ms = 2000;

using membership::member;

struct entry
{
  asio::io_context io;
  http::client http{ io };
  edge::dialect dialect = standins::json_dialect();
  backends::registry registry;
  routes::table_ptr table = test_route_table();
  http::server peer;
  http::server front;
  store::client store;
  // Started only by the tests that need it.
  quarantine::manager quarantine_manager;
  edge::forwarder forwarder;
  std::unique_ptr<batches::manager> batch_manager;
  std::unique_ptr<store::watcher> watcher;
  bool running = true;
  // The largest entries known to this one.
  std::vector<membership::member> largest_entries;
  // Leaves liveness probes unanswered.
  bool ignores_probes = false;
  // Refuses forwarded submissions; or leaves them unanswered.
  bool refuses_submissions = false;
  bool ignores_submissions = false;
  int answered_probes = 0;
  std::vector<http::call> unanswered;
  // Leaves the message of a leaving owner unanswered, without reading it.
  bool ignores_handovers = false;

  entry(const std::string& name,
        const std::string& store_address,
        bool engine_shares = true,
        const std::string& data_centre = "a",
        bool placement_by_data_centre = false,
        std::uint64_t grace_ms = 0)
    : peer{ io, {}, [this](const http::call& c) { on_peer(c); } }
    , front{ io, {}, [this](const http::call& c) { on_caller(c); } }
    , store{ io, http, dialect.store, { store_address, {} } }
    , quarantine_manager{ io, store, registry, { name } }
    , forwarder{ io, http, registry, dialect, data_centre, &quarantine_manager }
  {
    cr_assert_not(peer.listen("127.0.0.1:0"));
    cr_assert_not(front.listen("127.0.0.1:0"));
    batch_manager = std::make_unique<batches::manager>(
      batches::manager_dependencies{ io,
                                     http,
                                     store,
                                     registry,
                                     dialect,
                                     forwarder,
                                     [this] { return table; },
                                     name,
                                     "127.0.0.1:" + std::to_string(peer.port()),
                                     data_centre,
                                     retention_ms,
                                     1,
                                     [this] { return largest_entries; },
                                     &quarantine_manager,
                                     [] { return membership::standby_state{}; },
                                     true, // score_calls_yield
                                     engine_shares,
                                     true, // run_health
                                     placement_by_data_centre,
                                     "north",
                                     1,
                                     [] { return std::vector<member>{}; },
                                     grace_ms });
    watcher = std::make_unique<store::watcher>(
      io,
      store,
      store::watch_settings{ std::string{ batches::batch_kind }, 1000 },
      store::watch_events{
        [this](std::vector<store::object>&& all) {
          batch_manager->on_list(std::move(all));
        },
        [this](store::change&& c) { batch_manager->on_change(std::move(c)); },
        {} });
    store.on_regained = [this](std::uint64_t) { watcher->refresh(); };
    batch_manager->start();
    watcher->start();
  }

  std::string front_address() const
  {
    return "127.0.0.1:" + std::to_string(front.port());
  }

  void on_peer(const http::call& c)
  {
    const auto path = http::path_of(c.request().target);
    if (path == batches::peer_alive_path) {
      if (ignores_probes) {
        unanswered.push_back(c);
      } else {
        ++answered_probes;
        c.respond({ batch_manager->keeps_batches() ? 200 : 503, {}, "" });
      }
      return;
    }
    if (path == store::relay_path) {
      store.relay(c);
      return;
    }
    if (path == batches::peer_engine_usage_path) {
      batch_manager->on_engine_usage(c);
      return;
    }
    if (path.starts_with(batches::peer_forwarded_path)) {
      const auto id = path.substr(batches::peer_forwarded_path.size());
      if (refuses_submissions) {
        c.respond({ 421, {}, "" });
      } else if (ignores_submissions) {
        unanswered.push_back(c);
      } else {
        batch_manager->on_submission_forwarded(c, std::string{ id });
      }
      return;
    }
    if (path.starts_with(batches::peer_handed_over_path)) {
      if (ignores_handovers) {
        unanswered.push_back(c);
      } else {
        batch_manager->on_handed_over(c);
      }
      return;
    }
    if (path.starts_with(batches::peer_taken_path)) {
      batch_manager->on_takeover(
        std::string{ path.substr(batches::peer_taken_path.size()) });
      c.respond({ 200, {}, "" });
      return;
    }
    if (path.starts_with(batches::peer_ended_path)) {
      batch_manager->on_batch_ended(
        std::string{ path.substr(batches::peer_ended_path.size()) });
      c.respond({ 200, {}, "" });
      return;
    }
    edge::batch_request r;
    r.id = path.substr(batches::peer_results_path.size());
    r.after = http::parse_number(
                http::query_value(c.request().target, "after").value_or("0"))
                .value_or(0);
    batch_manager->read(c, r, true);
  }

  void on_caller(const http::call& c)
  {
    const auto& r = c.request();
    edge::batch_request b;
    b.id = std::string{ http::find(r.fields, "Id").value_or("") };
    b.workspace = std::string{ http::find(r.fields, "Workspace").value_or("") };
    if (r.method == "POST") {
      batch_manager->accept(c, b.id, b.workspace, http::now_ms() + 1500);
    } else if (r.method == "DELETE") {
      batch_manager->end(c, b);
    } else if (const auto item = http::find(r.fields, "Item")) {
      b.item = std::string{ *item };
      batch_manager->read_item(c, b);
    } else {
      b.after = http::find_number(r.fields, "After").value_or(0);
      batch_manager->read(c, b, false);
    }
  }

  void announce_backend(const std::string& id,
                        const std::string& service,
                        const std::string& address,
                        std::uint64_t version,
                        std::uint64_t started_ms = 1)
  {
    backends::announcement a;
    a.id = id;
    a.started_ms = started_ms;
    a.service = service;
    a.address = address;
    a.slots = 8;
    a.versions["m"] = version;
    backends::announce(registry, a);
    batch_manager->on_backends();
  }
};

struct batch_cluster
{
  asio::io_context io;
  object_store store{ io };
  stream_engine engine{ io, "e1" };
  stream_engine scorer{ io, "s1" };
  http::client caller{ io };
  std::vector<std::unique_ptr<entry>> entries;
  // The workspace of the caller.
  std::string workspace;

  bool engine_shares = true;
  bool placement_by_data_centre = false;
  std::uint64_t grace_ms = 0;

  explicit batch_cluster(int count,
                         bool with_engine_shares = true,
                         bool by_data_centre = false,
                         std::uint64_t entry_grace_ms = 0)
    : engine_shares{ with_engine_shares }
    , placement_by_data_centre{ by_data_centre }
    , grace_ms{ entry_grace_ms }
  {
    for (int i = 0; i < count; ++i) {
      add_entry("entry-" + std::to_string(i));
    }
    run_until([&] {
      return std::all_of(entries.begin(), entries.end(), [](const auto& e) {
        return e->watcher->is_current();
      });
    });
  }

  entry& add_entry(const std::string& name,
                   const std::string& data_centre = "a")
  {
    entries.push_back(std::make_unique<entry>(name,
                                              store.address(),
                                              engine_shares,
                                              data_centre,
                                              placement_by_data_centre,
                                              grace_ms));
    entries.back()->announce_backend(
      "e1", "engines", engine.address(), engine.version);
    entries.back()->announce_backend("s1", "scorers", scorer.address(), 0);
    return *entries.back();
  }

  void run_until(const std::function<bool()>& done)
  {
    const auto limit = http::now_ms() + hang_timeout_ms;
    while (!done()) {
      cr_assert_lt(http::now_ms(), limit, "the cluster hangs");
      std::size_t ran = io.poll();
      for (const auto& e : entries) {
        ran += e->running ? e->io.poll() : 0;
      }
      if (ran == 0) {
        io.run_one_for(std::chrono::milliseconds{ 1 });
      }
    }
  }

  int call(entry& e,
           const char* method,
           const std::string& body = {},
           std::string_view id = batch_id)
  {
    int status = 0;
    bool done = false;
    http::request r{ method,
                     "/b/",
                     { { "Host", "h" },
                       { "Id", std::string{ id } },
                       { "Workspace", workspace } },
                     body };
    http::exchange_options o;
    o.timeout_ms = hang_timeout_ms;
    caller.fetch(
      e.front_address(), r, o, [&](http::exchange_outcome, http::response&& a) {
        status = a.status;
        done = true;
      });
    run_until([&] { return done; });
    return status;
  }

  // Returns a page of results from a position onward, or nothing if refused.
  std::optional<json> read(entry& e,
                           std::size_t after = 0,
                           std::string_view id = batch_id)
  {
    std::optional<json> page;
    bool done = false;
    http::request r{ "GET",
                     "/b/",
                     { { "Host", "h" },
                       { "Id", std::string{ id } },
                       { "Workspace", workspace },
                       { "After", std::to_string(after) } },
                     "" };
    http::exchange_options o;
    o.timeout_ms = hang_timeout_ms;
    caller.fetch(
      e.front_address(), r, o, [&](http::exchange_outcome, http::response&& a) {
        if (a.status == 200) {
          page = json::parse(a.body);
        }
        done = true;
      });
    run_until([&] { return done; });
    return page;
  }

  // Reads until the results of all items are listed.
  json read_all(entry& e, std::size_t total, std::string_view id = batch_id)
  {
    json all = json::array();
    while (all.size() < total) {
      const auto page = read(e, all.size(), id);
      if (page) {
        for (const auto& r : page->at("results")) {
          all.push_back(r);
        }
      }
    }
    return all;
  }

  // Returns true if the store contains a chunk with results.
  bool has_results() const
  {
    const auto chunks = store.all("results");
    return std::any_of(chunks.begin(), chunks.end(), [](const auto& o) {
      const auto chunk = batches::decode_chunk(o.spec);
      return chunk && !chunk->results.empty();
    });
  }

  // Returns true if the entry answers with an empty page, which denies results
  // that have already been shown.
  bool denies_results(entry& e)
  {
    const auto page = read(e);
    return page && page->at("results").empty();
  }

  // Waits until the other entries have received an answer to a probe from this
  // one.
  void wait_until_seen(entry& e)
  {
    const auto asked = e.answered_probes;
    run_until([&] { return e.answered_probes >= asked + 2; });
  }

  // Forwards a submission as another entry would, and returns the status of the
  // response.
  int forward(entry& e, http::headers fields, const std::string& body)
  {
    int status = 0;
    http::request r{ "POST", "/passed/batch-x", std::move(fields), body };
    http::exchange_options o;
    o.timeout_ms = hang_timeout_ms;
    caller.fetch(
      "127.0.0.1:" + std::to_string(e.peer.port()),
      r,
      o,
      [&](http::exchange_outcome, http::response&& a) { status = a.status; });
    run_until([&] { return status != 0; });
    return status;
  }

  // Returns the owner of the batch according to the store.
  std::string owner() const
  {
    const auto* o =
      store.find(std::string{ batches::batch_kind }, std::string{ batch_id });
    const auto b =
      batches::decode_batch(o->name, o->revision, o->spec, o->status);
    return b->owner;
  }

  entry& by_name(const std::string& name)
  {
    return *entries.at(static_cast<std::size_t>(name.back() - '0'));
  }
};

inline std::string
submission(int items, std::uint64_t min_version = 1)
{
  json j{ { "model", "m" },
          { "min_version", min_version },
          { "items", json::array() } };
  for (int i = 0; i < items; ++i) {
    const auto id = "item" + std::to_string(i);
    j["items"].push_back({ { "id", id },
                           { "group", "g" + std::to_string(i / 2) },
                           { "scorer", "score-" + id } });
  }
  return j.dump();
}

// Checks that each item is listed once, with its complete text and with the
// score of its own scorer call.
inline void
check_results(const json& all, const stream_engine& engine)
{
  std::set<std::string> seen;
  for (const auto& r : all) {
    const auto id = r.at("id").get<std::string>();
    cr_assert(seen.insert(id).second, "%s stands twice", id.c_str());
    cr_assert(r.at("done").get<bool>());
    cr_assert(r.at("text") == stream_engine::text_of(id, engine.events));
    cr_assert(r.at("score") == "sig-score-" + id);
  }
}

} // namespace cactusford::testing
