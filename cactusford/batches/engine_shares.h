// Divides the slots of an engine service between the owners of open batches,
// and decides whether an owner may start a run on an engine. Does no I/O.
//
// Owners of several trainers start their steps at the same moment. From reports
// that are up to 250 ms old, they chose the same free slots: an engine with six
// slots got seven or eight runs while others were idle. Each owner therefore
// computes the same division from the demands that all of them report, and
// starts runs on its own share.
//
// The division follows the largest demands of the last two steps rather than
// the present ones, so that it hardly changes and connections stay in use.
// Slots that their owner does not need at the moment are used by the others.
#pragma once

#include "cactusford/backends/registry.h"
#include "cactusford/batches/engine_use.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::batches {

struct engine_slots
{
  std::string id;
  std::uint32_t slots = 0;

  friend bool operator==(const engine_slots&, const engine_slots&) = default;
};

struct owner_demand
{
  std::string owner;
  std::uint32_t items = 0;
  std::uint32_t weight = 1;

  friend bool operator==(const owner_demand&, const owner_demand&) = default;
};

// Number of slots by engine id.
using slot_shares = std::map<std::string, std::uint32_t>;

// Divides `slots` by weighted max-min fairness: no owner gets more than its
// demand, and what one does not need goes to the others by weight. Returns the
// numbers in the order of the owners.
std::vector<std::uint32_t>
divide_fairly(std::uint32_t slots, const std::vector<owner_demand>& owners);

// The slots of one engine.
struct divided_engine
{
  engine_slots of;
  // In the order of the owners. The sum is less than the engine's slots if the
  // owners need fewer.
  std::vector<std::uint32_t> shares;
  // The owner with the highest value comes first for the slots that no owner
  // needs or owns.
  std::vector<std::uint64_t> ranks;

  friend bool operator==(const divided_engine&,
                         const divided_engine&) = default;
};

// Returns the engines in the given order. The owners have to be sorted by name.
// Each share differs by less than one slot from the same proportion of every
// engine.
std::vector<divided_engine>
divide_engines(const std::vector<engine_slots>& engines,
               const std::vector<owner_demand>& owners);

// Returns the share of `self`.
slot_shares
shares_of(std::string_view self,
          const std::vector<engine_slots>& engines,
          const std::vector<owner_demand>& owners);

// Returns the weight of an owner whose open steps take this long in all, run
// one item after the other. `priority` is that of the most urgent one.
std::uint32_t
weight_of_steps(std::uint32_t priority, std::uint64_t work_ms);

// An owner of open batches on the service, as the store lists them.
struct listed_owner
{
  std::string instance;
  std::uint32_t weight = 1;
  // Items of these batches; 0 if unknown.
  std::uint32_t items = 0;

  friend bool operator==(const listed_owner&, const listed_owner&) = default;
};

// What the deciding owner has on the service.
struct own_use
{
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t weight = 1;

  friend bool operator==(const own_use&, const own_use&) = default;
};

// What the deciding owner knows of another owner.
struct other_owner
{
  std::size_t index = 0;
  // When its latest report arrived, and its runs on the service then; 0 if
  // there is none.
  std::uint64_t reported_ms = 0;
  std::uint32_t runs = 0;
  // Its items may need its slots.
  bool needs_slots = true;

  friend bool operator==(const other_owner&, const other_owner&) = default;
};

// Whether the deciding owner may start runs on an engine.
struct engine_permit
{
  std::string engine;
  std::uint32_t own_share = 0;
  // Slots that other owners may need and do not use yet.
  std::uint32_t reserved = 0;
  // Of the owners that need slots, this one has the highest rank.
  bool is_first = false;

  friend bool operator==(const engine_permit&, const engine_permit&) = default;
};

// The state of an owner for one engine service.
struct service_sharing
{
  // More than one owner has open batches on the service.
  bool is_shared = false;
  own_use own;
  demand_history own_demand;
  // When a new batch last raised the own demand.
  std::uint64_t new_batch_ms = 0;
  bool is_new_batch_period = false;
  // Inputs and result of the last division.
  std::vector<engine_slots> engines;
  std::vector<owner_demand> owners;
  std::vector<divided_engine> division;
  std::vector<other_owner> others;
  // Sorted by engine.
  std::vector<engine_permit> permits;
  // Since when an engine has had a free slot on which this owner may not start
  // a run.
  std::map<std::string, std::uint64_t> withheld_since_ms;

  friend bool operator==(const service_sharing&,
                         const service_sharing&) = default;
};

// The inputs of an update. The owners may include `self`.
struct sharing_view
{
  const std::string& self;
  const std::string& service;
  own_use own;
  const std::vector<listed_owner>& owners;
  const peer_engine_usage& reports;
  const backends::registry& engines;
  // False: the division is not in force.
  bool is_needed = true;
};

// For this long after its own demand has risen because of a new batch, an owner
// starts runs only on its own share: other steps that started at the same
// moment are not known yet.
constexpr std::uint64_t new_batch_period_ms = 150;

void
note_new_batch(service_sharing& s, std::uint64_t now_ms);

// Computes the division and the permits anew if their inputs have changed.
// Returns true if the division has changed.
bool
update_shares(service_sharing& s, const sharing_view& v, std::uint64_t now_ms);

// Returns true if this owner may start another run on the engine. Whether the
// engine has a free slot is checked by `choose_for_item`.
bool
may_start_run(service_sharing& s,
              const backends::backend& engine,
              std::uint64_t now_ms);

// Returns true if most of this owner's share is on engines that can run the
// item now. Otherwise the division does not fit: after an outage, or while
// engines load weights, only some have a version that the item accepts, and the
// other owners may need other engines.
bool
is_share_usable(const service_sharing& s,
                const backends::registry& engines,
                const backends::item_needs& needs,
                std::uint64_t now_ms);

// Called when this owner starts a run on the engine, before it is counted as
// in flight.
void
note_run_started(service_sharing& s, const backends::backend& engine);

// Forgets since when slots were withheld on engines that have none free.
// Called periodically.
void
forget_used_slots(service_sharing& s,
                  const backends::registry& engines,
                  std::uint64_t now_ms);

// Returns the number of runs on an engine as far as they are known: own ones,
// reported ones, and the rest of the load in the engine's last answer.
std::uint32_t
known_runs(const backends::backend& engine, std::uint64_t now_ms);

// Records the reported runs as `backends::set_peer_runs` does, and no longer
// counts them as part of the other load in an engine's last answer, which
// included them when it arrived before the report.
void
set_reported_runs(backends::registry& engines,
                  const engine_runs& runs,
                  std::uint64_t now_ms);

// Returns the slots that this owner owns, and the number of its runs beyond its
// share of their engine.
struct slots_in_use
{
  std::uint32_t owned = 0;
  std::uint32_t borrowed = 0;

  friend bool operator==(const slots_in_use&, const slots_in_use&) = default;
};

slots_in_use
slots_in_use_of(const service_sharing& s, const backends::registry& engines);

// Returns the demand of an owner whose reports do not state it.
demand_by_service
demand_of_runs(const backends::registry& engines, const engine_runs& runs);

} // namespace cactusford::batches
