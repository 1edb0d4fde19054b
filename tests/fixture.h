// Helpers shared by the tests that run real processes.
#pragma once

#include "bench/load.h"
#include "cactusford/configuration/declaration.h"
#include "cactusford/link/link.h"
#include "cactusford/process/daemon.h"
#include "cactusford/timeline/history.h"
#include "standins/fleet.h"

#include <criterion/criterion.h>
#include <httplib.h>

#include <chrono>
#include <string>
#include <thread>

namespace cactusford::testing {

// Deployment "tregaron" with fewer instances, a short lease and no clock skew.
inline standins::fleet_options
small_fleet(const std::string& name)
{
  using nlohmann::json;
  standins::fleet_options options;
  options.deployment =
    std::string{ CACTUSFORD_SOURCE } + "/deployments/tregaron";
  options.folder = std::string{ CACTUSFORD_BINARY } + "/tests/" + name;
  options.programs = std::string{ CACTUSFORD_BINARY } + "/bin";
  const json fast_settings{ { "max_clock_skew_ms", 0 }, { "lease_ms", 2000 } };
  options.entry_settings = fast_settings;
  options.sidecar_settings = fast_settings;
  options.deployment_settings = {
    { "engines",
      json::array({ { { "pool", "planner-lm" }, { "count", 2 } } }) },
    { "services",
      json::array({ { { "service", "orders-app" }, { "count", 3 } },
                    { { "service", "scorer" }, { "count", 1 } } }) },
  };
  return options;
}

inline httplib::Client
client_for(const standins::fleet& fleet, const std::string& entry)
{
  const auto address = link::address_from(fleet.address(entry, "http"));
  httplib::Client c{ address.ip, address.port };
  c.set_read_timeout(std::chrono::seconds{ 20 });
  return c;
}

// Waits until the weights have been read and the home map has reached the
// sidecars.
inline void
wait_until_served(standins::fleet& fleet)
{
  auto c = client_for(fleet, "entry-0");
  for (int i = 0; i < 400; ++i) {
    const auto r = c.Post("/service/orders-app/warm",
                          { { "Idempotency-Key", process::generate_id() } },
                          "x",
                          "text/plain");
    if (r && r->status == 200) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  }
  cr_assert_fail("the service did not answer a booking in time");
}

// Waits until each backend server of the service is a home. They join as they
// announce themselves; a map with a single member cannot outlive a platform
// outage.
inline void
wait_for_homes(standins::fleet& fleet, const std::string& service)
{
  const auto address =
    link::address_from(fleet.address("platform", "platform"));
  const auto expected = fleet.sidecars(service).size();
  for (int i = 0; i < 400; ++i) {
    httplib::Client c{ address.ip, address.port };
    const auto r = c.Get("/v1/objects/home_map/" + service);
    if (r && r->status == 200) {
      const auto spec =
        nlohmann::json::parse(r->body).at("spec").get<std::string>();
      if (configuration::home_map_from(spec)->members.size() == expected) {
        return;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  }
  cr_assert_fail(
    "not every backend server of the service became a home in time");
}

inline void
start_and_wait_until_served(standins::fleet& fleet)
{
  timeline::open_log(fleet.folder() + "/load.log", "load");
  auto error = fleet.start();
  cr_assert(error.empty(), "%s", error.c_str());
  error = fleet.apply_declarations();
  cr_assert(error.empty(), "%s", error.c_str());
  wait_for_homes(fleet, "orders-app");
  wait_until_served(fleet);
}

// Expects that the event logs in the folder violate no promise.
inline void
expect_promises_kept(const std::string& folder)
{
  for (const auto& r :
       timeline::check_history(timeline::read_logs(folder), {})) {
    cr_expect(r.violations.empty(),
              "%s: %s",
              r.promise.c_str(),
              r.violations.empty() ? "" : r.violations.front().c_str());
  }
}

} // namespace cactusford::testing
