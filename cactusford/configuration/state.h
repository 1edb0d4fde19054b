// The configuration of a process. Objects are merged by highest version, so
// lost, repeated and reordered messages cannot revert it.
#pragma once

#include "cactusford/configuration/declaration.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cactusford::configuration {

template<typename T>
struct versioned
{
  T value;
  std::uint64_t version = 0;

  friend bool operator==(const versioned&, const versioned&) = default;
};

template<typename T>
using table = std::map<std::string, versioned<T>>;

// An immutable view of the configuration. A request uses the same snapshot from
// start to end. Snapshots share the tables in which they do not differ.
struct snapshot
{
  std::uint64_t version = 0;
  std::shared_ptr<const table<pool>> pools;
  std::shared_ptr<const table<service>> services;
  std::shared_ptr<const table<trainer>> trainers;
  std::shared_ptr<const table<rollout_job>> jobs;
  // Keyed by model.
  std::shared_ptr<const table<model_weights>> weights;
  std::shared_ptr<const table<instance>> instances;
  std::shared_ptr<const table<home_map>> home_maps;
  // Keyed by data centre.
  std::shared_ptr<const table<drain>> drains;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

snapshot_ptr
empty_snapshot();

struct state
{
  // Keyed by "kind/name". Deleted objects stay as tombstones, because an old
  // message could otherwise restore them.
  std::map<std::string, platform::object> objects;
  std::uint64_t max_version = 0;
  // Exclusive or of the hashes of all keys and versions. Equal digests mean
  // equal states, regardless of the order of the merges.
  std::uint64_t digest = 0;
  snapshot_ptr view = empty_snapshot();
};

// Merges the objects that are newer than those in the state and returns them.
std::vector<platform::object>
merge(state& s, std::span<const platform::object> incoming);

// Returns the objects newer than `version`, in version order.
std::vector<platform::object>
newer_than(const state& s, std::uint64_t version);

} // namespace cactusford::configuration
