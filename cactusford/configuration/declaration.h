// Typed values of the objects that operators declare and the platform lists.
#pragma once

#include "cactusford/error.h"
#include "cactusford/platform/client.h"
#include "cactusford/store/fields.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::configuration {

// A group of backend servers that run one model engine each.
struct pool
{
  std::string model;
  // Share of the backend servers that may swap weights at the same time.
  double max_swapping_share = 0.5;

  friend bool operator==(const pool&, const pool&) = default;
};

// A plain service, which runs on a group of backend servers.
struct service
{
  // Time limit of a call, in milliseconds.
  std::uint32_t deadline_ms = 5000;

  friend bool operator==(const service&, const service&) = default;
};

struct trainer
{
  // Fraction of the rollout tokens, 0 to 1.
  double share = 1;
  std::string model;
  // Maximum number of versions that a sample may be behind when it is
  // delivered.
  std::uint32_t staleness_bound = 1;
  // Fraction of the next step that may start before its weights are published,
  // 0 to staleness_bound. A higher value reduces idle time, a lower value
  // reduces staleness. Below 1, the samples of the current step also wait for
  // the newest weights.
  double run_ahead = 0;

  friend bool operator==(const trainer&, const trainer&) = default;
};

struct rollout_job
{
  std::string trainer;
  std::string pool;
  std::string scorer;
  std::uint32_t steps = 1;
  std::uint32_t groups = 1;
  std::uint32_t group_size = 1;
  std::uint32_t max_tokens = 256;
  std::uint32_t prompt_tokens = 64;

  friend bool operator==(const rollout_job&, const rollout_job&) = default;
};

// The version of a model that every backend server with the model should load.
struct model_weights
{
  std::string model;
  std::uint64_t version = 1;

  friend bool operator==(const model_weights&, const model_weights&) = default;
};

// An order to send nothing new to the backend servers of a data centre, whose
// name is that of the declaration.
struct drain
{
  std::string reason;

  friend bool operator==(const drain&, const drain&) = default;
};

enum class instance_state
{
  live,
  leaving,
};

// An entry of the platform's list of instances. The list may be out of date.
struct instance
{
  std::string role;
  std::string region;
  std::string data_centre;
  std::string link;
  std::string serves;
  instance_state state = instance_state::live;

  friend bool operator==(const instance&, const instance&) = default;
};

// An instance that keeps the records of some non-idempotent keys; see
// docs/AT-MOST-ONCE.md.
struct home_member
{
  std::string instance;
  // Calls with keys issued before this time may have run at an earlier home.
  std::uint64_t since_ms = 0;
  // The process that joined. A later process of the instance has lost the
  // record.
  std::uint64_t incarnation = 0;

  friend bool operator==(const home_member&, const home_member&) = default;
};

// A member that left. It is kept as long as a key that it may have run can be
// sent again.
struct former_member
{
  std::string instance;
  // A later process of the same instance does not have this member's record.
  std::uint64_t incarnation = 0;
  // It may have run keys until this time, when its lease had expired.
  std::uint64_t until_ms = 0;
  // The other members at that time. Its keys may run elsewhere only after
  // enough of them know that it has left.
  std::vector<std::string> peers;

  friend bool operator==(const former_member&, const former_member&) = default;
};

// Each member queries all others when the map changes, so their number is
// limited. A larger service has more backend servers than homes.
constexpr std::size_t max_home_members = 32;

struct home_map
{
  std::vector<home_member> members;
  std::vector<former_member> former;

  friend bool operator==(const home_map&, const home_map&) = default;
};

// Kinds that operators may write, in the order in which they are applied.
const std::vector<std::string>&
declared_kinds();

// Returns true for kinds that are part of the configuration of a process.
bool
is_relayed_kind(std::string_view kind);

// Checks the name's syntax and the spec against the schema of the kind.
failure
check_declaration(const std::string& kind,
                  const std::string& name,
                  const std::string& spec);

// Decodes a stored spec. It is checked again, as other writers may have stored
// it unchecked. A missing field takes its default.
store::decoded<pool>
pool_from(const std::string& spec);
store::decoded<service>
service_from(const std::string& spec);
store::decoded<trainer>
trainer_from(const std::string& spec);
store::decoded<rollout_job>
rollout_job_from(const std::string& spec);
store::decoded<model_weights>
weights_from(const std::string& spec);
store::decoded<drain>
drain_from(const std::string& spec);
store::decoded<instance>
instance_from(const std::string& spec);
store::decoded<home_map>
home_map_from(const std::string& spec);

std::string
to_spec(const model_weights& w);
std::string
to_spec(const drain& d);
std::string
to_spec(const home_map& m);

} // namespace cactusford::configuration
