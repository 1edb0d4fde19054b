// Poison items, which crash the engines that run them, and poison scorer calls,
// which crash the servers that score. Entries, store and engines run in one
// process.
#include "cactusford/testing/section.h"
#include "standins/crashing_service.h"
#include "tests/batches_cluster.h"

using namespace cactusford;
using namespace cactusford::testing;

namespace {

// The promise to the platform: at most three crashes, plus three more runs by
// instances that receive the reports late.
constexpr std::size_t max_crashes = 6;

// A pool in which crashed engines are replaced.
struct engine_pool
{
  batch_cluster& w;
  std::vector<std::unique_ptr<stream_engine>> all;
  std::string poison_body;

  engine_pool(batch_cluster& of, std::size_t engines, std::string poison)
    : w{ of }
    , poison_body{ std::move(poison) }
  {
    for (std::size_t i = 0; i < engines; ++i) {
      add();
    }
  }

  void add()
  {
    const auto id = "engine-" + std::to_string(all.size());
    all.push_back(std::make_unique<stream_engine>(w.io, id));
    all.back()->poison_body = poison_body;
    for (const auto& e : w.entries) {
      e->announce_backend(id, "engines", all.back()->address(), 1);
    }
  }

  std::size_t crashes() const
  {
    return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [](const auto& e) { return e->has_crashed; }));
  }

  // Adds a new engine for each one that has crashed.
  void replace(std::size_t& replaced)
  {
    for (; replaced < crashes(); ++replaced) {
      add();
    }
  }

  void run_for(std::uint64_t ms)
  {
    const auto until = http::now_ms() + ms;
    auto replaced = crashes();
    w.run_until([&] {
      replace(replaced);
      return http::now_ms() >= until;
    });
  }

  void run_until(const std::function<bool()>& done)
  {
    auto replaced = crashes();
    w.run_until([&] {
      replace(replaced);
      return done();
    });
  }
};

std::string
submission_with(const char* body)
{
  auto j = json::parse(submission(6));
  j["items"][0]["body"] = body;
  return j.dump();
}

// Removes the engine that all entries know from the start, so that only engines
// of the pool run items.
void
withdraw_first_engine(batch_cluster& w)
{
  for (const auto& e : w.entries) {
    backends::drop(e->registry, "e1");
  }
}

// Applies the servers in the store to the registry of the entry.
std::unique_ptr<store::watcher>
watch_backends(entry& e)
{
  return std::make_unique<store::watcher>(
    e.io,
    e.store,
    store::watch_settings{ "backends", 1000 },
    store::watch_events{
      [&e](std::vector<store::object>&& all) {
        for (const auto& each : all) {
          backends::announce(e.registry, *e.dialect.announcement_from(each));
        }
      },
      [&e](store::change&& c) {
        if (c.deleted) {
          backends::drop(e.registry, c.value.name);
        } else {
          backends::announce(e.registry, *e.dialect.announcement_from(c.value));
        }
      },
      {} });
}

} // namespace

// Guards against an item that is never run again because engines crashed under
// it, and against one that takes down engine after engine without a pause.
Test(quarantine, an_item_under_which_engines_crash_is_still_run, .timeout = 60)
{
  batch_cluster w{ 1 };
  withdraw_first_engine(w);
  auto& e = *w.entries[0];
  e.quarantine_manager.start();
  engine_pool engines{ w, 3, "unlucky" };
  cr_assert_eq(w.call(e, "POST", submission_with("unlucky")), 202);
  engines.run_until([&] { return engines.crashes() >= 5; });
  engines.run_for(2000);
  SECTION("the pauses grow from half a second")
  {
    cr_assert_leq(engines.crashes(), 5 + 2);
  }
  SECTION("the other items complete")
  {
    const auto page = w.read(e);
    cr_assert(page.has_value());
    cr_assert_eq(page->at("results").size(), 5);
    for (const auto& r : page->at("results")) {
      cr_assert_neq(r.at("id").get<std::string>(), "item0");
    }
  }
  SECTION("the item completes once engines no longer crash under it")
  {
    engines.poison_body.clear();
    for (const auto& engine : engines.all) {
      engine->poison_body.clear();
    }
    const auto calm_ms = http::now_ms();
    check_results(w.read_all(e, 6), *engines.all.back());
    cr_assert_lt(http::now_ms() - calm_ms, 5000);
  }
}

// Engines crash one after another for unrelated causes, and the items of a
// batch lose their runs again and again, long after they started. The items
// have produced text by then, so the crashes do not count against them, and all
// of them complete in the end.
Test(quarantine, items_on_crashing_engines_complete, .timeout = 60)
{
  batch_cluster w{ 1 };
  withdraw_first_engine(w);
  auto& e = *w.entries[0];
  e.quarantine_manager.start();
  engine_pool engines{ w, 3, "" };
  const auto slow_engines = [&] {
    for (const auto& engine : engines.all) {
      engine->events = 40;
      engine->gap_ms = 30;
    }
  };
  slow_engines();
  cr_assert_eq(w.call(e, "POST", submission(6)), 202);
  constexpr int crashes = 8;
  for (int i = 0; i < crashes; ++i) {
    engines.run_for(150);
    auto& victim = *engines.all[engines.all.size() - 1 - i % 3];
    victim.crash();
    engines.run_until([&] { return victim.has_crashed; });
    engines.add();
    slow_engines();
  }
  const auto all = w.read_all(e, 6);
  for (const auto& r : all) {
    cr_assert(r.at("done").get<bool>());
  }
  cr_assert_eq(e.quarantine_manager.counts().refusals, 0);
}

// A scorer call crashes each server that runs it. Without the quarantine it
// would be repeated until its item is abandoned, with a second attempt on
// another server each time. After three crashes it is no longer sent, while
// other texts are still scored.
Test(quarantine, a_poison_scorer_call_is_not_repeated, .timeout = 60)
{
  batch_cluster w{ 1 };
  auto& e = *w.entries[0];
  backends::drop(e.registry, "s1");
  e.quarantine_manager.start();
  standins::crashing_service_options o;
  o.service = "scorers";
  std::set<std::string> poison_bodies;
  o.is_poison = [&](const http::request& r) {
    const bool is_poison =
      http::find(r.fields, "Id").value_or("") == "score-item0";
    if (is_poison) {
      poison_bodies.insert(r.body);
    }
    return is_poison;
  };
  standins::crashing_service scorers{ w.io, w.store, o };
  auto backend_watcher = watch_backends(e);
  backend_watcher->start();
  auto j = json::parse(submission(6));
  j["items"][0]["scorer_body"] = "fatal";
  cr_assert_eq(w.call(e, "POST", j.dump()), 202);
  w.run_until([&] { return scorers.crashes() >= 3; });
  const auto until = http::now_ms() + 3000;
  w.run_until([&] { return http::now_ms() >= until; });
  cr_assert_leq(scorers.crashes(), max_crashes);
  cr_assert(poison_bodies == std::set<std::string>{ "fatal" },
            "each run must get the bytes that were submitted");
  const auto page = w.read(e);
  cr_assert(page.has_value());
  cr_assert_eq(page->at("results").size(), 5);
}

// Guards against an item that is never listed because servers crashed under its
// scorer's call.
Test(quarantine, a_scorer_call_is_made_again_after_crashes, .timeout = 60)
{
  batch_cluster w{ 1 };
  auto& e = *w.entries[0];
  backends::drop(e.registry, "s1");
  e.quarantine_manager.start();
  standins::crashing_service_options o;
  o.service = "scorers";
  int crashes_left = 3;
  o.is_poison = [&](const http::request& r) {
    return http::find(r.fields, "Id").value_or("") == "score-item0" &&
           crashes_left-- > 0;
  };
  standins::crashing_service scorers{ w.io, w.store, o };
  auto backend_watcher = watch_backends(e);
  backend_watcher->start();
  auto j = json::parse(submission(6));
  j["items"][0]["scorer_body"] = "unlucky";
  cr_assert_eq(w.call(e, "POST", j.dump()), 202);
  w.run_until([&] { return scorers.crashes() >= 3; });
  const auto calm_ms = http::now_ms();
  cr_assert_eq(w.read_all(e, 6).size(), 6);
  cr_assert_lt(http::now_ms() - calm_ms, 5000);
}
