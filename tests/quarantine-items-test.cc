// Items that end the engines that run them, and scorers' calls that end the
// servers that score: entries, store and engines in one process.
#include "cactusford/testing/section.h"
#include "standins/frail_service.h"
#include "tests/batches_cluster.h"

using namespace cactusford;
using namespace cactusford::testing;

namespace {

// The promise to the platform: three ends, and three runs more by those that
// hear of them late.
constexpr std::size_t most_ends = 6;

// Engines that are replaced as they end.
struct pool
{
  world& w;
  std::vector<std::unique_ptr<stream_engine>> all;
  std::string fatal_body;

  pool(world& of, std::size_t engines, std::string fatal)
    : w{ of }
    , fatal_body{ std::move(fatal) }
  {
    for (std::size_t i = 0; i < engines; ++i) {
      add();
    }
  }

  void add()
  {
    const auto id = "engine-" + std::to_string(all.size());
    all.push_back(std::make_unique<stream_engine>(w.io, id));
    all.back()->fatal_body = fatal_body;
    for (const auto& e : w.entries) {
      e->know(id, "engines", all.back()->address(), 1);
    }
  }

  std::size_t ends() const
  {
    return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [](const auto& e) { return e->has_ended; }));
  }

  // A new engine for each that has ended.
  void replace(std::size_t& replaced)
  {
    for (; replaced < ends(); ++replaced) {
      add();
    }
  }

  void run_for(std::uint64_t ms)
  {
    const auto until = http::now_ms() + ms;
    auto replaced = ends();
    w.run_until([&] {
      replace(replaced);
      return http::now_ms() >= until;
    });
  }

  void run_until(const std::function<bool()>& done)
  {
    auto replaced = ends();
    w.run_until([&] {
      replace(replaced);
      return done();
    });
  }
};

std::string
submission_with(const char* fatal_body)
{
  auto j = json::parse(submission(6));
  j["items"][0]["body"] = fatal_body;
  return j.dump();
}

// The engine and the entries that know it from the start do not take part.
void
withdraw_first_engine(world& w)
{
  for (const auto& e : w.entries) {
    backends::drop(e->registry, "e1");
  }
}

} // namespace

// A trainer's step holds an item that ends each engine as it begins. Its run is
// cut, and the item goes on to the next engine at once, for as long as there
// are engines; all other items lose their runs with each. The owner sees all of
// the ends itself: after five it sends the item nowhere, and the others are
// whole.
Test(quarantine, an_item_that_ends_engines_waits, .timeout = 60)
{
  world w{ 1 };
  withdraw_first_engine(w);
  auto& e = *w.entries[0];
  e.guard.start();
  pool engines{ w, 3, "fatal" };
  cr_assert_eq(w.call(e, "POST", submission_with("fatal")), 202);
  engines.run_until([&] { return engines.ends() >= 5; });
  engines.run_for(2000);
  cr_assert_leq(engines.ends(), most_ends);
  SECTION("the other items are whole")
  {
    const auto page = w.read(e);
    cr_assert(page.has_value());
    cr_assert_eq(page->at("results").size(), 5);
  }
  SECTION("and it isn't given up before its time")
  {
    const auto page = w.read(e);
    for (const auto& r : page->at("results")) {
      cr_assert_neq(r.at("id").get<std::string>(), "item0");
    }
  }
}

// Engines crash by turns, and the items of a step die with them again and
// again, long after they began. They have text by then: nothing is held against
// them, and the step is whole at last.
Test(quarantine, items_that_die_with_their_engines_go_on, .timeout = 60)
{
  world w{ 1 };
  withdraw_first_engine(w);
  auto& e = *w.entries[0];
  e.guard.start();
  pool engines{ w, 3, "" };
  const auto slow_down = [&] {
    for (const auto& engine : engines.all) {
      engine->events = 40;
      engine->gap_ms = 30;
    }
  };
  slow_down();
  cr_assert_eq(w.call(e, "POST", submission(6)), 202);
  constexpr int crashes = 8;
  for (int i = 0; i < crashes; ++i) {
    engines.run_for(150);
    auto& victim = *engines.all[engines.all.size() - 1 - i % 3];
    victim.end();
    engines.run_until([&] { return victim.has_ended; });
    engines.add();
    slow_down();
  }
  const auto all = w.read_whole(e, 6);
  for (const auto& r : all) {
    cr_assert(r.at("done").get<bool>());
  }
  cr_assert_eq(e.guard.counts().refusals, 0);
}

// A scorer's call ends each server that runs it. It is made again and again
// until its item is given up, with a second attempt elsewhere each time. After
// three ends nothing is sent for it; other texts are scored all along.
Test(quarantine,
     a_scorers_call_that_ends_servers_is_not_made_again,
     .timeout = 60)
{
  world w{ 1 };
  auto& e = *w.entries[0];
  backends::drop(e.registry, "s1");
  e.guard.start();
  standins::frail_options o;
  o.service = "scorers";
  std::set<std::string> fatal_bodies;
  o.is_fatal = [&](const http::request& r) {
    const bool is_fatal =
      http::find(r.fields, "Id").value_or("") == "score-item0";
    if (is_fatal) {
      fatal_bodies.insert(r.body);
    }
    return is_fatal;
  };
  standins::frail_service scorers{ w.io, w.store, o };
  store::watcher backend_list{
    e.io,
    e.store,
    { "backends", 1000 },
    { [&](std::vector<store::object>&& all) {
       for (const auto& each : all) {
         backends::announce(e.registry, *e.dialect.announcement_from(each));
       }
     },
      [&](store::change&& c) {
        if (c.deleted) {
          backends::drop(e.registry, c.value.name);
        } else {
          backends::announce(e.registry, *e.dialect.announcement_from(c.value));
        }
      },
      {} }
  };
  backend_list.start();
  auto j = json::parse(submission(6));
  j["items"][0]["scorer_body"] = "fatal";
  cr_assert_eq(w.call(e, "POST", j.dump()), 202);
  w.run_until([&] { return scorers.ends() >= 3; });
  const auto until = http::now_ms() + 3000;
  w.run_until([&] { return http::now_ms() >= until; });
  cr_assert_leq(scorers.ends(), most_ends);
  cr_assert(fatal_bodies == std::set<std::string>{ "fatal" },
            "each run has the bytes that were submitted");
  const auto page = w.read(e);
  cr_assert(page.has_value());
  cr_assert_eq(page->at("results").size(), 5);
}
