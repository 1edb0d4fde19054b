// A watcher and a store that answers when the test says so. The clock is
// advanced by the test.
#include "cactusford/http/clock.h"
#include "cactusford/store/watcher.h"
#include "cactusford/testing/section.h"
#include "standins/object_store.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace cactusford;
using nlohmann::json;

namespace {

constexpr std::uint64_t wait_ms = 1000;
constexpr std::uint64_t step_ms = 10;

json
object(const std::string& name, std::uint64_t revision)
{
  return { { "name", name },
           { "revision", revision },
           { "spec", json::object() },
           { "status", json::object() } };
}

struct fixture
{
  http::manual_clock clock;
  asio::io_context io;
  // Calls without an answer, oldest first.
  std::vector<http::call> pending_calls;
  http::server server{ io, {}, [this](const http::call& c) {
                        pending_calls.push_back(c);
                      } };
  http::client http{ io };
  edge::dialect dialect = standins::json_dialect();
  std::unique_ptr<store::client> store;
  std::unique_ptr<store::watcher> watcher;
  std::set<std::string> shown;

  fixture()
  {
    cr_assert_not(server.listen("127.0.0.1:0"));
    store::client_settings s;
    s.address = "127.0.0.1:" + std::to_string(server.port());
    store = std::make_unique<store::client>(io, http, dialect.store, s);
    watcher = std::make_unique<store::watcher>(
      io,
      *store,
      store::watch_settings{ "things", wait_ms },
      store::watch_events{
        [this](std::vector<store::object>&& all) {
          shown.clear();
          for (const auto& o : all) {
            shown.insert(o.name);
          }
        },
        [this](store::change&& c) { shown.insert(c.value.name); },
        {} });
    watcher->start();
    run(step_ms);
  }

  void run(std::uint64_t ms)
  {
    constexpr int idle_polls = 3;
    constexpr std::chrono::microseconds poll_interval{ 250 };
    for (std::uint64_t t = 0; t < ms; t += step_ms) {
      for (int idle = 0; idle < idle_polls;) {
        idle = io.poll() == 0 ? idle + 1 : 0;
        std::this_thread::sleep_for(poll_interval);
      }
      clock.advance(std::chrono::milliseconds{ step_ms });
    }
  }

  void answer(std::size_t which,
              std::uint64_t as_of,
              const json& items,
              const json& changes)
  {
    cr_assert_lt(which, pending_calls.size());
    const auto call = pending_calls[which];
    pending_calls.erase(pending_calls.begin() +
                        static_cast<std::ptrdiff_t>(which));
    const json body{ { "what", static_cast<int>(store::call_result::done) },
                     { "more", false },
                     { "as_of", as_of },
                     { "items", items },
                     { "changes", changes } };
    call.respond({ 200, {}, body.dump() });
    run(step_ms);
  }

  void answer_list(std::uint64_t as_of, const json& items)
  {
    answer(0, as_of, items, json::array());
  }

  void refuse()
  {
    constexpr std::uint64_t longest_pause_ms = 800;
    pending_calls.front().respond({ 503, {}, "" });
    pending_calls.erase(pending_calls.begin());
    run(longest_pause_ms);
  }
};

} // namespace

// Guards against a backend server that is used again after it has left: a list
// made for another instance some time ago replaced the changes that had been
// received since.
Test(watcher, ignores_a_list_older_than_received_changes)
{
  fixture f;
  f.answer_list(10, json::array({ object("a", 5) }));
  const json change{ { "object", object("b", 12) }, { "deleted", false } };
  f.answer(0, 12, json::array(), json::array({ change }));
  f.refuse();
  const std::set<std::string> expected{ "a", "b" };
  cr_assert(f.shown == expected);
  SECTION("the older list is ignored")
  {
    f.answer_list(11, json::array({ object("a", 5) }));
    cr_assert(f.shown == expected);
  }
  SECTION("the list is requested again")
  {
    f.run(wait_ms);
    f.answer_list(13, json::array({ object("b", 12) }));
    cr_assert(f.shown == std::set<std::string>{ "b" });
  }
}

// Guards against backend servers that are never discovered: while the store is
// slow, each call that reaches another server requests the list again, and the
// answers to the earlier requests were discarded.
Test(watcher, accepts_the_answer_to_an_earlier_request)
{
  fixture f;
  for (int i = 0; i < 3; ++i) {
    f.watcher->refresh();
    f.run(step_ms);
  }
  cr_assert_not(f.watcher->is_current());
  f.answer_list(10, json::array({ object("a", 5) }));
  cr_assert(f.watcher->is_current());
  cr_assert(f.shown == std::set<std::string>{ "a" });
}
