// cactusford-soak: runs entries as real processes under random faults and
// checks the guarantees of the service meanwhile.
#include "soak/cluster.h"

#include <popt.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>

namespace {

struct command_line
{
  int seed = 1;
  int seeds = 1;
  int seconds = 20;
  int entries = 4;
  int engines = 3;
  int in_force_ms = 0;
  int only_store_paths = 0;
  int only_data_centres = 0;
  int only_engines = 0;
  std::string folder = "soak-logs";
  std::string error;
};

command_line
parse(int argc, char** argv)
{
  command_line c;
  char* folder = nullptr;
  const poptOption options[] = {
    { "seed", 0, POPT_ARG_INT, &c.seed, 0, "seed of the first run", "N" },
    { "seeds",
      0,
      POPT_ARG_INT,
      &c.seeds,
      0,
      "number of runs, with consecutive seeds",
      "N" },
    { "seconds",
      0,
      POPT_ARG_INT,
      &c.seconds,
      0,
      "duration of the fault phase of each run",
      "S" },
    { "entries",
      0,
      POPT_ARG_INT,
      &c.entries,
      0,
      "number of entry processes",
      "N" },
    { "engines",
      0,
      POPT_ARG_INT,
      &c.engines,
      0,
      "number of stand-in engines",
      "N" },
    { "in-force-ms",
      0,
      POPT_ARG_INT,
      &c.in_force_ms,
      0,
      "limit until a change is in force; 0: not checked",
      "MS" },
    { "only-store-paths",
      0,
      POPT_ARG_NONE,
      &c.only_store_paths,
      0,
      "only pause entries and disturb their connections to the store",
      nullptr },
    { "only-data-centres",
      0,
      POPT_ARG_NONE,
      &c.only_data_centres,
      0,
      "only drain and cut off data centres, and restart engines cold",
      nullptr },
    { "only-engines",
      0,
      POPT_ARG_NONE,
      &c.only_engines,
      0,
      "only let engines fail items midway, load weights and be listed anew",
      nullptr },
    { "folder", 0, POPT_ARG_STRING, &folder, 0, "folder for the logs", "PATH" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const poptContext context =
    poptGetContext("cactusford-soak",
                   argc,
                   const_cast<const char**>(argv),
                   static_cast<const poptOption*>(options),
                   0);
  const int rc = poptGetNextOpt(context);
  if (rc < -1) {
    c.error =
      std::string{ poptBadOption(context, 0) } + ": " + poptStrerror(rc);
  }
  poptFreeContext(context);
  if (folder != nullptr) {
    c.folder = folder;
    std::free(folder);
  }
  if (c.seeds < 1 || c.seconds < 1 || c.entries < 2 || c.engines < 1 ||
      c.in_force_ms < 0) {
    c.error = "--seeds, --seconds and --engines must be at least 1, --entries "
              "at least 2, --in-force-ms at least 0";
  }
  return c;
}

// Returns true if no guarantee was violated.
bool
run_seed(const command_line& c, int seed, const std::string& program)
{
  using namespace cactusford::soak;
  constexpr std::uint64_t ms_per_second = 1000;
  soak_options o;
  o.plan.seed = static_cast<std::uint64_t>(seed);
  o.plan.length_ms = static_cast<std::uint64_t>(c.seconds) * ms_per_second;
  o.plan.entries = static_cast<std::size_t>(c.entries);
  o.plan.engines = static_cast<std::size_t>(c.engines);
  o.in_force_ms = static_cast<std::uint64_t>(c.in_force_ms);
  o.plan.only_store_paths = c.only_store_paths != 0;
  o.plan.only_data_centres = c.only_data_centres != 0;
  o.plan.only_engines = c.only_engines != 0;
  o.program = program;
  o.folder = c.folder + "/seed-" + std::to_string(seed);
  cluster test_cluster{ o };
  test_cluster.run();
  auto violations = test_cluster.invariants().violations();
  const auto& change_violations = test_cluster.changes().violations();
  violations.insert(
    violations.end(), change_violations.begin(), change_violations.end());
  for (const auto& v : violations) {
    std::printf("soak: seed=%d broken=\"%s\"\n", seed, v.c_str());
  }
  const bool passed = violations.empty();
  std::printf("soak: seed=%d verdict=%s faults=%zu results=%zu calls=%zu "
              "probes=%zu undisturbed=%zu cold_busiest=%zu given_up=%zu "
              "reused=%zu\n",
              seed,
              passed ? "kept" : "broken",
              test_cluster.applied_faults(),
              test_cluster.invariants().results(),
              test_cluster.invariants().calls_answered(),
              test_cluster.changes().probes(),
              test_cluster.changes().undisturbed_probes(),
              test_cluster.invariants().busiest_cold_second(),
              test_cluster.invariants().given_up(),
              test_cluster.reused_items());
  std::fflush(stdout);
  return passed;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto c = parse(argc, argv);
  if (!c.error.empty()) {
    std::fprintf(stderr, "%s\n", c.error.c_str());
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const auto self = std::filesystem::canonical("/proc/self/exe");
  const auto program = (self.parent_path() / "cactusford-soak-edge").string();
  int failed_seeds = 0;
  for (int seed = c.seed; seed < c.seed + c.seeds; ++seed) {
    failed_seeds += run_seed(c, seed, program) ? 0 : 1;
  }
  std::printf("soak: seeds=%d broken=%d\n", c.seeds, failed_seeds);
  return failed_seeds == 0 ? 0 : 1;
}
