// The configuration that a process holds: merged by the highest version of
// each object, so loss, repeats and reordering of messages cannot revert it.
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

// An immutable view. A request is decided on one snapshot from start to end.
// Tables are shared between snapshots that do not differ in them.
struct snapshot
{
  std::uint64_t version = 0;
  std::shared_ptr<const table<pool>> pools;
  std::shared_ptr<const table<service>> services;
  std::shared_ptr<const table<trainer>> trainers;
  std::shared_ptr<const table<rollout_job>> jobs;
  // By model.
  std::shared_ptr<const table<model_weights>> weights;
  std::shared_ptr<const table<instance>> instances;
  std::shared_ptr<const table<home_map>> home_maps;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

snapshot_ptr
empty_snapshot();

struct state
{
  // Key "kind/name"; tombstones stay, or an old message could bring a deleted
  // object back.
  std::map<std::string, platform::object> objects;
  std::uint64_t max_version = 0;
  // Exclusive or of a hash of each key and version: equal digests mean equal
  // states, whatever the order in which they were built.
  std::uint64_t digest = 0;
  snapshot_ptr view = empty_snapshot();
};

// Takes the objects that are newer than what is held and returns those.
std::vector<platform::object>
merge(state& s, std::span<const platform::object> incoming);

// Objects newer than `version`, in version order.
std::vector<platform::object>
newer_than(const state& s, std::uint64_t version);

} // namespace cactusford::configuration
