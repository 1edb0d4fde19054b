// Workers are cut off from the store for a moment while requests still reach
// them, so that their entries lapse and come back.
#include "review/standin/world.h"

#include "cactusford/http/clock.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace review {

namespace {

namespace http = cactusford::http;
using nlohmann::json;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

constexpr std::uint64_t events = 25;
constexpr std::uint64_t gap_ms = 100;
constexpr std::size_t groups = 12;
constexpr std::size_t group_size = 8;
// The trainer's time budget for a step.
constexpr std::uint64_t step_budget_ms = 12000;
// An entry is removed after three intervals of silence, of 1.2 s each. The
// plain worker's last report was 250 ms before the cut.
constexpr std::uint64_t lapse_ms = 3600;
constexpr std::uint64_t first_lapse_ms = 3350;
// The length of a cut, and the pause before the next one.
constexpr std::uint64_t cut_ms = 3900;
constexpr std::uint64_t between_cuts_ms = 1200;
// Steady state begins `ContactMs` after a disturbance.
constexpr std::uint64_t contact_ms = 3000;
// An item may be at no worker for this long.
constexpr std::uint64_t may_lie_ms = 5000;

// A trainer that submits one step after the other.
struct trainer
{
  world& w;
  // When each item last reached a worker.
  std::map<std::string, std::uint64_t>& reached_ms;
  std::size_t steps = 0;
  std::string id = {};
  std::size_t listed = 0;
  std::uint64_t began_ms = 0;
  std::vector<std::string> items = {};
  // The most runs at all workers during the step.
  std::size_t most_runs = 0;
  // Steady state began then; 0 before the last disturbance has ended.
  std::uint64_t steady_since_ms = 0;
  std::size_t broken_steps = 0;

  bool submit()
  {
    auto list = json::array();
    items.clear();
    for (std::size_t i = 0; i < groups * group_size; ++i) {
      items.push_back("a1b2c3" + std::to_string(10000 + steps) +
                      std::to_string(10000 + i));
      const auto group = i / group_size;
      list.push_back(
        item(items.back(),
             "g" + std::to_string(steps) + "-" + std::to_string(group)));
    }
    id = "b0000000000" + std::to_string(10000 + steps);
    listed = 0;
    most_runs = 0;
    began_ms = http::now_ms();
    return w.submit(id, batch(steps++, 1, groups - 1, list));
  }

  // Counts the step if it has run out of time as the rule says: others of its
  // items had begun, the workers were under half full, and an item was at no
  // worker for 5 s of steady state.
  void judge()
  {
    const auto now = http::now_ms();
    const auto lies_since =
      std::max({ began_ms, steady_since_ms, now - may_lie_ms });
    std::size_t begun = 0;
    std::size_t lying = 0;
    for (const auto& i : items) {
      const auto found = reached_ms.find(i);
      begun += found != reached_ms.end() ? 1 : 0;
      lying += found == reached_ms.end() ? 1 : 0;
    }
    const bool is_calm = steady_since_ms != 0 && began_ms >= steady_since_ms &&
                         now - lies_since >= may_lie_ms;
    const auto places = w.workers().size() * model_worker::slots;
    const bool is_broken =
      is_calm && begun > 0 && lying > 0 && 2 * most_runs < places;
    broken_steps += is_broken ? 1 : 0;
    w.record().line(
      "step " + id + " runs out of time: " + std::to_string(listed) + " of " +
      std::to_string(items.size()) + " items listed, " + std::to_string(lying) +
      " were at no worker, " + std::to_string(most_runs) + " of " +
      std::to_string(places) + " places taken at most" +
      (is_broken ? ", in steady state: LOST" : ""));
  }

  // Reads once; ends the step and submits the next one when it is complete or
  // its time is up.
  bool go_on()
  {
    if (const auto page = w.read(0, id, listed)) {
      listed = (*page)["Next"].get<std::size_t>();
    }
    std::size_t runs = 0;
    for (const auto& worker : w.workers()) {
      runs += worker->running();
    }
    most_runs = std::max(most_runs, runs);
    const bool is_complete = listed == items.size();
    const bool is_late = http::now_ms() - began_ms >= step_budget_ms;
    if (!is_complete && !is_late) {
      return true;
    }
    if (!is_complete) {
      judge();
    }
    return w.end(0, id) && submit();
  }
};

// Cuts a plain worker and a model worker off from the store.
bool
cut(world& w, trainer& t, std::size_t worker, bool trouble)
{
  const auto began = http::now_ms();
  auto& plain = *w.services()[worker % w.services().size()];
  auto& model = *w.workers()[worker];
  const auto until = [&](std::uint64_t ms) {
    while (http::now_ms() < began + ms) {
      if (ms > 1000 && http::now_ms() + 1100 < began + ms && !t.go_on()) {
        return false;
      }
      w.run_for(20);
    }
    return true;
  };
  if (!until(first_lapse_ms)) {
    return false;
  }
  if (trouble) {
    w.record().line("the entry of " + plain.id() + " lapses");
    w.store().erase("servers", plain.id());
  }
  until(lapse_ms);
  if (trouble) {
    w.record().line("the entry of " + model.id() + " lapses, " +
                    std::to_string(model.running()) + " runs there");
    w.store().erase("servers", model.id());
  }
  until(cut_ms);
  if (trouble) {
    w.record().line("both reach the store again");
    plain.announce();
    model.announce();
  }
  return true;
}

} // namespace

int
run_lapsed_entries(world& w, bool trouble)
{
  constexpr std::size_t model_workers = 8;
  constexpr std::size_t services = 4;
  constexpr std::size_t entries = 4;
  w.store().put("config", "main", manifest(false));
  std::map<std::string, std::uint64_t> reached_ms;
  const auto plan = [&](const std::string& item, int, std::uint64_t) {
    reached_ms[item] = http::now_ms();
    run_plan p;
    p.events = events;
    p.gap_ms = gap_ms;
    return p;
  };
  w.add_model_workers(model_workers, plan);
  w.add_services(services);
  if (!w.start_entries(entries)) {
    return could_not_run;
  }
  w.start_sidecars();
  trainer t{ w, reached_ms };
  if (!t.submit()) {
    return could_not_run;
  }
  for (std::size_t i = 0; i < model_workers; ++i) {
    if (!cut(w, t, i, trouble)) {
      return could_not_run;
    }
    const auto next = http::now_ms() + between_cuts_ms;
    while (http::now_ms() < next) {
      w.run_for(20);
    }
  }
  t.steady_since_ms = http::now_ms() - between_cuts_ms + contact_ms;

  // Two whole steps, at least, in steady state.
  const auto limit = http::now_ms() + 3 * step_budget_ms;
  while (http::now_ms() < limit) {
    if (!t.go_on()) {
      return could_not_run;
    }
    w.run_for(100);
  }
  w.record().line(std::to_string(t.steps) + " steps submitted, " +
                  std::to_string(t.broken_steps) +
                  " ran out of time in steady state with items at no worker");
  return t.broken_steps > 0 ? rule_broken : rule_held;
}

} // namespace review
