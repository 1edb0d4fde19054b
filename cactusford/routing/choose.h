// Chooses the backend server for a call: prefix affinity up to a load bound,
// else the least expected wait. Pure; times are steady milliseconds.
#pragma once

#include "cactusford/routing/ring.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusford::routing {

// What an entry knows of one backend server.
struct target
{
  std::string instance;
  std::string link;
  std::uint32_t slots = 16;
  // Calls of this entry that are under way.
  std::uint32_t own = 0;
  // Calls of all others at the last report, which ages.
  double others = 0;
  std::uint64_t reported_ms = 0;
  std::uint64_t incarnation = 0;
  // Refuses or does not answer until this time.
  std::uint64_t avoid_until_ms = 0;
  std::uint32_t failures = 0;

  friend bool operator==(const target&, const target&) = default;
};

struct options
{
  // Off: every call goes round robin (the baseline).
  bool by_load = true;
  // Off: the key of the call is ignored.
  bool by_prefix = true;
  // A candidate takes calls up to this factor of the mean load.
  double bound = 1.25;

  friend bool operator==(const options&, const options&) = default;
};

struct pool_state
{
  std::vector<target> targets;
  ring by_hash;
  std::unordered_map<std::string, std::uint32_t> by_name;
  // Sum of `own`, kept with it.
  std::uint64_t own_total = 0;
  std::uint64_t turn = 0;
};

constexpr std::size_t candidate_count = 4;

pool_state
make_pool(std::vector<target> targets);

std::optional<std::uint32_t>
find(const pool_state& p, const std::string& instance);

// Running and queued calls for each slot, as expected now.
double
expected_load(const target& t, std::uint64_t now_ms);

// Index of the target. `excluded` are targets that refused this call before;
// they are taken only when no other is left.
std::optional<std::uint32_t>
choose(pool_state& p,
       std::uint64_t key,
       std::span<const std::uint32_t> excluded,
       const options& o,
       std::uint64_t now_ms);

void
sent(pool_state& p, std::uint32_t index);

void
returned(pool_state& p, std::uint32_t index);

// A load report on a frame: `busy` is running and queued.
void
reported(target& t,
         std::uint32_t busy,
         std::uint32_t slots,
         std::uint64_t now_ms);

// It did not answer: avoided for a time that doubles up to a limit.
void
failed(target& t, std::uint64_t now_ms);

} // namespace cactusford::routing
