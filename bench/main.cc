// cactusford-bench: runs the demo, the fault injection, the comparison of
// policies and the capacity measurement.

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
  "  demo      run a deployment and check its event logs\n"
  "  faults    inject random faults into real processes\n"
  "  rollout   measure idle time and staleness under each policy\n"
  "  capacity  measure the control cost of a process, by fleet size";

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
take_string(char* text)
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
    std::string policy;
    while (std::getline(in, policy, ',')) {
      o.policies.push_back(policy);
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

// Returns an error message, or an empty string.
std::string
parse_arguments(int argc, char** argv, arguments& a)
{
  char* json = nullptr;
  char* deployment = nullptr;
  char* policies = nullptr;
  char* scenario = nullptr;
  const std::array<poptOption, 8> options{
    poptOption{
      "seed", 0, POPT_ARG_LONG, &a.seed, 0, "Seed of the first run", "N" },
    poptOption{ "runs", 0, POPT_ARG_LONG, &a.runs, 0, "Number of runs", "N" },
    poptOption{ "json",
                0,
                POPT_ARG_STRING,
                &json,
                0,
                "Write results to this file",
                "FILE" },
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
  auto* context = poptGetContext("cactusford-bench",
                                 argc,
                                 const_cast<const char**>(argv),
                                 options.data(),
                                 0);
  poptSetOtherOptionHelp(context, usage);
  const int rc = poptGetNextOpt(context);
  std::string error;
  if (rc < -1) {
    error = std::string{ poptBadOption(context, 0) } + ": " + poptStrerror(rc);
  }
  if (const char* argument = poptGetArg(context)) {
    a.command = argument;
  }
  poptFreeContext(context);
  a.json = take_string(json);
  a.deployment = take_string(deployment);
  a.policies = take_string(policies);
  a.scenario = take_string(scenario);
  return error;
}

} // namespace

int
main(int argc, char** argv)
{
  arguments a;
  const auto error = parse_arguments(argc, argv, a);
  if (error.empty() && a.command == "demo") {
    return demo(a);
  }
  if (error.empty() && a.command == "faults") {
    return faults(a);
  }
  if (error.empty() && a.command == "rollout") {
    return rollout(a);
  }
  if (error.empty() && a.command == "capacity") {
    return cactusford::bench::run_capacity({ .json = a.json });
  }
  std::cerr << (error.empty() ? "'" + a.command + "' is not a command" : error)
            << "; see cactusford-bench --help\n";
  return exit_usage;
}
