#include "cactusford/configuration/state.h"

#include "cactusford/timeline/event.h"

#include <xxhash.h>

#include <algorithm>

namespace cactusford::configuration {

namespace {

std::string
key_of(const platform::object& o)
{
  return o.kind + "/" + o.name;
}

std::uint64_t
hash_of(const std::string& key, std::uint64_t version)
{
  return XXH3_64bits_withSeed(key.data(), key.size(), version);
}

// Copies a shared table on its first change in a merge and not on later ones. A
// first load of thousands of objects would otherwise copy it for each object.
template<typename T>
table<T>&
make_writable(std::shared_ptr<const table<T>>& current)
{
  if (current.use_count() > 1) {
    current = std::make_shared<table<T>>(*current);
  }
  return const_cast<table<T>&>(*current);
}

template<typename T>
void
put(std::shared_ptr<const table<T>>& current,
    const std::string& name,
    const platform::object& o,
    store::decoded<T> (*parse)(const std::string&))
{
  if (o.deleted) {
    make_writable(current).erase(name);
    return;
  }
  auto value = parse(o.spec);
  if (!value) {
    // The last readable value stays in force.
    timeline::log(timeline::event{ "object_unreadable" }
                    .with("kind", o.kind)
                    .with("name", o.name)
                    .with("version", o.version)
                    .with("field", value.fault.field)
                    .with("why", value.fault.what));
    return;
  }
  make_writable(current)[name] = { std::move(*value), o.version };
}

// The table of weights is keyed by model.
std::string
model_of(const platform::object& o)
{
  const auto weights = weights_from(o.spec);
  return weights ? weights->model : std::string{};
}

void
apply(snapshot& view, const platform::object& o)
{
  if (o.kind == "pool") {
    put(view.pools, o.name, o, pool_from);
  } else if (o.kind == "service") {
    put(view.services, o.name, o, service_from);
  } else if (o.kind == "trainer") {
    put(view.trainers, o.name, o, trainer_from);
  } else if (o.kind == "rollout_job") {
    put(view.jobs, o.name, o, rollout_job_from);
  } else if (o.kind == "weights") {
    put(view.weights, model_of(o), o, weights_from);
  } else if (o.kind == "instance") {
    put(view.instances, o.name, o, instance_from);
  } else if (o.kind == "home_map") {
    put(view.home_maps, o.name, o, home_map_from);
  } else if (o.kind == "drain") {
    put(view.drains, o.name, o, drain_from);
  }
}

} // namespace

snapshot_ptr
empty_snapshot()
{
  auto s = std::make_shared<snapshot>();
  s->pools = std::make_shared<table<pool>>();
  s->services = std::make_shared<table<service>>();
  s->trainers = std::make_shared<table<trainer>>();
  s->jobs = std::make_shared<table<rollout_job>>();
  s->weights = std::make_shared<table<model_weights>>();
  s->instances = std::make_shared<table<instance>>();
  s->home_maps = std::make_shared<table<home_map>>();
  s->drains = std::make_shared<table<drain>>();
  return s;
}

std::vector<platform::object>
merge(state& s, std::span<const platform::object> incoming)
{
  std::vector<platform::object> merged;
  auto view = std::make_shared<snapshot>(*s.view);
  for (const auto& o : incoming) {
    if (!is_relayed_kind(o.kind)) {
      continue;
    }
    const auto key = key_of(o);
    auto& current = s.objects[key];
    if (o.version <= current.version) {
      continue;
    }
    if (current.version != 0) {
      s.digest ^= hash_of(key, current.version);
    }
    s.digest ^= hash_of(key, o.version);
    current = o;
    s.max_version = std::max(s.max_version, o.version);
    apply(*view, o);
    merged.push_back(o);
  }
  if (!merged.empty()) {
    view->version = s.max_version;
    s.view = std::move(view);
  }
  return merged;
}

std::vector<platform::object>
newer_than(const state& s, std::uint64_t version)
{
  std::vector<platform::object> newer;
  for (const auto& [key, o] : s.objects) {
    if (o.version > version) {
      newer.push_back(o);
    }
  }
  std::sort(newer.begin(), newer.end(), [](const auto& a, const auto& b) {
    return a.version < b.version;
  });
  return newer;
}

} // namespace cactusford::configuration
