// A trainer names versions while the items of a route with `SingleVersion` run.
#include "review/standin/world.h"

#include "cactusford/http/clock.h"

#include <string>

namespace review {

namespace {

using nlohmann::json;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

// An output of the longer kind, as the sheet has them.
constexpr std::uint64_t events = 120;
constexpr std::uint64_t gap_ms = 80;
// A trainer names a version with each step, and a step comes each 4 s.
constexpr std::uint64_t step_ms = 4000;
constexpr std::uint64_t first_name_ms = 1500;
constexpr std::uint64_t newest_version = 3;
constexpr std::size_t items = 16;
constexpr std::uint64_t give_up_ms = 40000;
constexpr const char* batch_id = "b000000000000001";

void
name_version(world& w, std::uint64_t version)
{
  w.store().put("versions",
                "drafter-model",
                { { "Model", "drafter-model" }, { "Version", version } });
  w.record().line("the trainer names version " + std::to_string(version));
}

// Names the next version when it is due.
void
name_due_version(world& w,
                 std::uint64_t elapsed_ms,
                 std::uint64_t& newest,
                 bool trouble)
{
  const auto due_ms = first_name_ms + (newest - 1) * step_ms;
  if (trouble && newest < newest_version && elapsed_ms >= due_ms) {
    name_version(w, ++newest);
  }
}

} // namespace

int
run_single_version(world& w, bool trouble)
{
  constexpr std::size_t model_workers = 9;
  constexpr std::size_t services = 4;
  constexpr std::size_t entries = 4;
  w.store().put("config", "main", manifest(true));
  w.add_model_workers(model_workers,
                      [](const std::string&, int, std::uint64_t) {
                        run_plan p;
                        p.events = events;
                        p.gap_ms = gap_ms;
                        return p;
                      });
  w.add_services(services);
  if (!w.start_entries(entries)) {
    return could_not_run;
  }
  w.start_sidecars();

  auto list = json::array();
  for (std::size_t i = 0; i < items; ++i) {
    list.push_back(item("a1b2c3d4e5f600" + std::to_string(10 + i),
                        "g" + std::to_string(i / 8)));
  }
  if (!w.submit(batch_id, batch(0, 1, 2, list))) {
    return could_not_run;
  }
  const auto started = cactusford::http::now_ms();
  std::uint64_t newest = 1;
  std::size_t next = 0;
  std::size_t mixed = 0;
  for (std::size_t reads = 0; next < items; ++reads) {
    const auto elapsed = cactusford::http::now_ms() - started;
    if (elapsed > give_up_ms) {
      return could_not_run;
    }
    name_due_version(w, elapsed, newest, trouble);
    if (const auto page = w.read(reads % entries, batch_id, next)) {
      for (const auto& r : (*page)["Results"]) {
        mixed += r["State"] == "done" && r["Versions"].size() != 1 ? 1 : 0;
      }
      next = (*page)["Next"].get<std::size_t>();
    }
    w.run_for(300);
  }
  w.end(0, batch_id);
  w.record().line(std::to_string(mixed) + " of " + std::to_string(items) +
                  " results have text of several versions");
  return mixed > 0 ? rule_broken : rule_held;
}

} // namespace review
