// An item that failed after a part of its output comes again in a later batch,
// and the store's answer to the acceptance of that batch is lost.
#include "review/standin/world.h"

#include "cactusford/http/clock.h"

#include <map>
#include <string>

namespace review {

namespace {

using nlohmann::json;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

constexpr std::uint64_t short_events = 8;
constexpr std::uint64_t long_events = 190;
constexpr std::uint64_t short_gap_ms = 20;
constexpr std::uint64_t long_gap_ms = 80;
// How much of its output the failing item has sent when its stream breaks off.
constexpr std::uint64_t partial_events = 3;
// `Attempts` of the route.
constexpr int attempts = 3;
// The trainer's time budget for a step.
constexpr std::uint64_t step_budget_ms = 12000;

constexpr const char* failing = "a1b2c3d4e5f60001";
constexpr const char* long_item = "a1b2c3d4e5f60002";

run_plan
plan_for(const std::string& item, int runs_before)
{
  run_plan p;
  p.events = item == long_item ? long_events : short_events;
  p.gap_ms = item == long_item ? long_gap_ms : short_gap_ms;
  if (item == failing && runs_before == 0) {
    p.reset_after = partial_events;
  } else if (item == failing && runs_before <= attempts) {
    constexpr int server_error = 500;
    p.status = server_error;
  }
  return p;
}

// Reads all results until the batch has none left or the time is up.
std::map<std::string, json>
read_results(
  world& w,
  const std::string& id,
  std::uint64_t limit_ms,
  const std::function<bool(const std::map<std::string, json>&)>& done)
{
  std::map<std::string, json> results;
  std::size_t next = 0;
  const auto until = cactusford::http::now_ms() + limit_ms;
  for (std::size_t i = 0; cactusford::http::now_ms() < until; ++i) {
    if (const auto page = w.read(i % 2, id, next)) {
      for (const auto& r : (*page)["Results"]) {
        results[r["Id"].get<std::string>()] = r;
      }
      next = (*page)["Next"].get<std::size_t>();
    }
    if (done(results)) {
      break;
    }
    w.run_for(300);
  }
  return results;
}

} // namespace

int
run_reused_text(world& w, bool trouble)
{
  constexpr std::size_t model_workers = 9;
  constexpr std::size_t services = 4;
  constexpr std::size_t entries = 4;
  w.store().put("config", "main", manifest(false));
  w.add_model_workers(
    model_workers, [](const std::string& item, int runs_before, std::uint64_t) {
      return plan_for(item, runs_before);
    });
  w.add_services(services);
  if (!w.start_entries(entries)) {
    return could_not_run;
  }
  w.start_sidecars();

  // Group g1 does not become complete within the step's time: its second item
  // has a long output.
  const auto first = batch(0,
                           1,
                           2,
                           { item(failing, "g1"),
                             item(long_item, "g1"),
                             item("a1b2c3d4e5f60003", "g2"),
                             item("a1b2c3d4e5f60004", "g2") });
  if (!w.submit("b000000000000001", first)) {
    return could_not_run;
  }
  read_results(
    w, "b000000000000001", step_budget_ms, [](const auto&) { return false; });
  if (!w.end(0, "b000000000000001")) {
    return could_not_run;
  }

  // The group that was not complete comes again, under the same ids.
  const auto second = batch(1,
                            1,
                            2,
                            { item(failing, "g1"),
                              item(long_item, "g1"),
                              item("a1b2c3d4e5f60005", "g3"),
                              item("a1b2c3d4e5f60006", "g3") });
  if (trouble) {
    w.store().lose_answer_to_create("batches", "b000000000000002");
  }
  if (!w.submit("b000000000000002", second) ||
      w.store().has_lost_answer() != trouble) {
    return could_not_run;
  }
  const auto results =
    read_results(w, "b000000000000002", 2 * step_budget_ms, [](const auto& r) {
      return r.contains(failing);
    });
  w.end(0, "b000000000000002");
  const auto found = results.find(failing);
  if (found == results.end()) {
    return could_not_run;
  }
  const auto& r = found->second;
  const bool is_wrong =
    r["State"] == "done" && r["Output"] != whole_output(failing, short_events);
  w.record().line(std::string{ "item " } + failing + " is listed as " +
                  r["State"].get<std::string>() +
                  (is_wrong ? ", and its text is not its whole output" : ""));
  return is_wrong ? rule_broken : rule_held;
}

} // namespace review
