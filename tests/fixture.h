// What the tests on real processes share.
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

// Tregaron's deployment, made small.
inline standins::fleet_options
small_fleet(const std::string& name)
{
  using nlohmann::json;
  standins::fleet_options o;
  o.deployment = std::string{ CACTUSFORD_SOURCE } + "/deployments/tregaron";
  o.folder = std::string{ CACTUSFORD_BINARY } + "/tests/" + name;
  o.programs = std::string{ CACTUSFORD_BINARY } + "/bin";
  const json quick{ { "max_clock_skew_ms", 0 }, { "lease_ms", 2000 } };
  o.entry_settings = quick;
  o.sidecar_settings = quick;
  o.deployment_settings = {
    { "engines",
      json::array({ { { "pool", "planner-lm" }, { "count", 2 } } }) },
    { "services",
      json::array({ { { "service", "orders-app" }, { "count", 3 } },
                    { { "service", "scorer" }, { "count", 1 } } }) },
  };
  return o;
}

inline httplib::Client
client_of(const standins::fleet& fleet, const std::string& entry)
{
  const auto a = link::address_from(fleet.address(entry, "http"));
  httplib::Client c{ a.ip, a.port };
  c.set_read_timeout(std::chrono::seconds{ 20 });
  return c;
}

// Until the weights are read and the home map has come round.
inline void
wait_served(standins::fleet& fleet)
{
  auto c = client_of(fleet, "entry-0");
  for (int i = 0; i < 400; ++i) {
    const auto r = c.Post("/service/orders-app/warm",
                          { { "Idempotency-Key", process::new_id() } },
                          "x",
                          "text/plain");
    if (r && r->status == 200) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  }
  cr_assert_fail("the service is not served");
}

// Until each backend server of the service is a home. They join as they
// announce themselves; a map of one member cannot outlive an outage.
inline void
wait_homes(standins::fleet& fleet, const std::string& service)
{
  const auto a = link::address_from(fleet.address("platform", "platform"));
  const auto wanted = fleet.sidecars(service).size();
  for (int i = 0; i < 400; ++i) {
    httplib::Client c{ a.ip, a.port };
    const auto r = c.Get("/v1/objects/home_map/" + service);
    if (r && r->status == 200) {
      const auto spec =
        nlohmann::json::parse(r->body).at("spec").get<std::string>();
      if (configuration::home_map_from(spec).members.size() == wanted) {
        return;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
  }
  cr_assert_fail("the service lacks homes");
}

inline void
start_served(standins::fleet& fleet)
{
  timeline::open_log(fleet.folder() + "/load.log", "load");
  auto wrong = fleet.start();
  cr_assert(wrong.empty(), "%s", wrong.c_str());
  wrong = fleet.apply_declarations();
  cr_assert(wrong.empty(), "%s", wrong.c_str());
  wait_homes(fleet, "orders-app");
  wait_served(fleet);
}

// Every promise is kept in the event logs below the folder.
inline void
assert_history(const std::string& folder)
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
