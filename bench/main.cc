// cactusford-bench: the demo, load, experiments and measurements.

#include "bench/capacity.h"
#include "bench/demo.h"
#include "bench/faults.h"
#include "bench/rollout.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

namespace {

constexpr int exit_usage = 2;
constexpr const char* usage =
  "COMMAND [OPTIONS]\n\n"
  "  demo      a deployment, judged by its event logs\n"
  "  faults    random failures on real processes\n"
  "  rollout   idle time and staleness under each policy\n"
  "  capacity  what control costs a process, by the size of the fleet";

struct arguments
{
  long seed = 1;
  long runs = 1;
  std::string json;
  std::string deployment;
  std::string policies;
  std::string scenario;
  std::string command;
};

std::string
take(char* text)
{
  std::string s = text == nullptr ? "" : text;
  std::free(text);
  return s;
}

int
faults(const arguments& a)
{
  cactusford::bench::faults_options o;
  o.seed = static_cast<std::uint64_t>(a.seed);
  o.runs = static_cast<std::uint32_t>(a.runs);
  o.json = a.json;
  if (!a.deployment.empty()) {
    o.deployments = { "deployments/" + a.deployment };
  }
  return cactusford::bench::run_faults(o);
}

int
rollout(const arguments& a)
{
  cactusford::bench::rollout_options o;
  o.seed = static_cast<std::uint64_t>(a.seed);
  o.json = a.json;
  if (!a.deployment.empty()) {
    o.deployment = "deployments/" + a.deployment;
    o.folder += "-" + a.deployment;
  }
  if (!a.scenario.empty()) {
    o.scenario = a.scenario;
  }
  if (!a.policies.empty()) {
    o.policies.clear();
    std::istringstream in{ a.policies };
    std::string one;
    while (std::getline(in, one, ',')) {
      o.policies.push_back(one);
    }
  }
  return cactusford::bench::run_rollout(o);
}

int
demo(const arguments& a)
{
  cactusford::bench::demo_options o;
  if (!a.deployment.empty()) {
    o.deployment = "deployments/" + a.deployment;
  }
  return cactusford::bench::run_demo(o);
}

// Returns what is wrong, or nothing.
std::string
read_arguments(int argc, char** argv, arguments& a)
{
  char* json = nullptr;
  char* deployment = nullptr;
  char* policies = nullptr;
  char* scenario = nullptr;
  const std::array<poptOption, 8> table{
    poptOption{
      "seed", 0, POPT_ARG_LONG, &a.seed, 0, "Seed of the first run", "N" },
    poptOption{ "runs", 0, POPT_ARG_LONG, &a.runs, 0, "How many runs", "N" },
    poptOption{
      "json", 0, POPT_ARG_STRING, &json, 0, "Where results go", "FILE" },
    poptOption{ "deployment",
                0,
                POPT_ARG_STRING,
                &deployment,
                0,
                "kingston or tregaron",
                "NAME" },
    poptOption{ "policy",
                0,
                POPT_ARG_STRING,
                &policies,
                0,
                "cactusford, baseline, no-prefix, no-resume, no-run_ahead",
                "LIST" },
    poptOption{ "scenario",
                0,
                POPT_ARG_STRING,
                &scenario,
                0,
                "calm, burst or death",
                "NAME" },
    poptOption POPT_AUTOHELP poptOption POPT_TABLEEND
  };
  auto* context = poptGetContext(
    "cactusford-bench", argc, const_cast<const char**>(argv), table.data(), 0);
  poptSetOtherOptionHelp(context, usage);
  const int rc = poptGetNextOpt(context);
  std::string wrong;
  if (rc < -1) {
    wrong = std::string{ poptBadOption(context, 0) } + ": " + poptStrerror(rc);
  }
  if (const char* word = poptGetArg(context)) {
    a.command = word;
  }
  poptFreeContext(context);
  a.json = take(json);
  a.deployment = take(deployment);
  a.policies = take(policies);
  a.scenario = take(scenario);
  return wrong;
}

} // namespace

int
main(int argc, char** argv)
{
  arguments a;
  const auto wrong = read_arguments(argc, argv, a);
  if (wrong.empty() && a.command == "demo") {
    return demo(a);
  }
  if (wrong.empty() && a.command == "faults") {
    return faults(a);
  }
  if (wrong.empty() && a.command == "rollout") {
    return rollout(a);
  }
  if (wrong.empty() && a.command == "capacity") {
    return cactusford::bench::run_capacity({ .json = a.json });
  }
  std::cerr << (wrong.empty() ? "'" + a.command + "' is no command" : wrong)
            << "; see cactusford-bench --help\n";
  return exit_usage;
}
