// cactusford-soak: entries as real processes under random faults, with the
// promises checked while it runs.
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
  std::string folder = "soak-logs";
  std::string wrong;
};

command_line
parse(int argc, char** argv)
{
  command_line c;
  char* folder = nullptr;
  const poptOption options[] = {
    { "seed", 0, POPT_ARG_INT, &c.seed, 0, "the first seed", "N" },
    { "seeds",
      0,
      POPT_ARG_INT,
      &c.seeds,
      0,
      "how many, one after the other",
      "N" },
    { "seconds",
      0,
      POPT_ARG_INT,
      &c.seconds,
      0,
      "of faults, for each seed",
      "S" },
    { "entries", 0, POPT_ARG_INT, &c.entries, 0, "entry processes", "N" },
    { "engines", 0, POPT_ARG_INT, &c.engines, 0, "stand-ins of engines", "N" },
    { "in-force-ms",
      0,
      POPT_ARG_INT,
      &c.in_force_ms,
      0,
      "how late a change may be in force; 0: not checked",
      "MS" },
    { "only-store-paths",
      0,
      POPT_ARG_NONE,
      &c.only_store_paths,
      0,
      "only pauses of entries and harm on their paths to the store",
      nullptr },
    { "folder", 0, POPT_ARG_STRING, &folder, 0, "where the logs go", "PATH" },
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
    c.wrong =
      std::string{ poptBadOption(context, 0) } + ": " + poptStrerror(rc);
  }
  poptFreeContext(context);
  if (folder != nullptr) {
    c.folder = folder;
    std::free(folder);
  }
  if (c.seeds < 1 || c.seconds < 1 || c.entries < 2 || c.engines < 1 ||
      c.in_force_ms < 0) {
    c.wrong = "--seeds, --seconds and --engines take 1 or more, --entries 2, "
              "--in-force-ms 0";
  }
  return c;
}

// True when every promise was kept.
bool
play(const command_line& c, int seed, const std::string& program)
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
  o.program = program;
  o.folder = c.folder + "/seed-" + std::to_string(seed);
  world w{ o };
  w.play();
  auto broken = w.seen().violations();
  const auto& late = w.changes().violations();
  broken.insert(broken.end(), late.begin(), late.end());
  for (const auto& v : broken) {
    std::printf("soak: seed=%d broken=\"%s\"\n", seed, v.c_str());
  }
  const bool kept = broken.empty();
  std::printf("soak: seed=%d verdict=%s faults=%zu results=%zu calls=%zu "
              "probes=%zu undisturbed=%zu\n",
              seed,
              kept ? "kept" : "broken",
              w.faults(),
              w.seen().results(),
              w.seen().calls_answered(),
              w.changes().probes(),
              w.changes().undisturbed());
  std::fflush(stdout);
  return kept;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto c = parse(argc, argv);
  if (!c.wrong.empty()) {
    std::fprintf(stderr, "%s\n", c.wrong.c_str());
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const auto self = std::filesystem::canonical("/proc/self/exe");
  const auto program = (self.parent_path() / "cactusford-soak-edge").string();
  int broken = 0;
  for (int seed = c.seed; seed < c.seed + c.seeds; ++seed) {
    broken += play(c, seed, program) ? 0 : 1;
  }
  std::printf("soak: seeds=%d broken=%d\n", c.seeds, broken);
  return broken == 0 ? 0 : 1;
}
