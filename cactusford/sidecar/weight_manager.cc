#include "cactusford/sidecar/weight_manager.h"

#include "cactusford/timeline/event.h"

#include <algorithm>

namespace cactusford::sidecar {

namespace {

constexpr std::uint64_t expected_swap_ms = 500;

const char*
name_of(engine::order_kind kind)
{
  return kind == engine::order_kind::stage ? "stage" : "swap";
}

} // namespace

weight_manager::weight_manager(process::daemon& d,
                               const settings::sidecar_settings& s)
  : daemon_{ d }
  , settings_{ s }
  , engine_{ s.backend }
{
}

void
weight_manager::on_configuration(const configuration::snapshot_ptr& view)
{
  if (settings_.kind != settings::backend_kind::engine) {
    return;
  }
  const auto pool = view->pools->find(settings_.serves);
  if (pool == view->pools->end()) {
    return;
  }
  const auto& model = pool->second.value.model;
  const auto wanted = view->weights->find(model);
  if (wanted == view->weights->end()) {
    return;
  }
  auto& m = machines_[model];
  m.model = model;
  weights::set_target(m,
                      wanted->second.value.version,
                      wanted->second.version,
                      process::steady_ms() + swap_delay(*view));
  advance(m);
}

std::uint64_t
weight_manager::swap_delay(const configuration::snapshot& view) const
{
  const auto pool = view.pools->find(settings_.serves);
  std::size_t position = 0;
  std::size_t count = 0;
  for (const auto& [name, i] : *view.instances) {
    if (i.value.serves == settings_.serves) {
      position += name < settings_.process.instance ? 1 : 0;
      ++count;
    }
  }
  return weights::wave_delay_ms(position,
                                std::max<std::size_t>(count, 1),
                                pool->second.value.max_swapping_share,
                                expected_swap_ms);
}

void
weight_manager::tick()
{
  for (auto& [model, m] : machines_) {
    advance(m);
  }
}

void
weight_manager::advance(weights::weight_state& m)
{
  switch (weights::next_action(m, process::steady_ms())) {
    case weights::action::none:
      return;
    case weights::action::read_back:
      read_back(m.model);
      return;
    case weights::action::stage:
      send_order(m.model, engine::order_kind::stage);
      return;
    case weights::action::swap:
      send_order(m.model, engine::order_kind::swap);
      return;
  }
}

void
weight_manager::read_back(const std::string& model)
{
  daemon_.run_on_worker([this, model] { return engine_.read_versions(model); },
                        [this, model](const result<engine::versions>& r) {
                          auto& m = machines_[model];
                          weights::on_read(m, r, process::steady_ms());
                          if (r) {
                            timeline::log(timeline::event{ "weights_read" }
                                            .with("model", model)
                                            .with("active", r.value.active)
                                            .with("staged", r.value.staged));
                          }
                          advance(m);
                        });
}

void
weight_manager::send_order(const std::string& model, engine::order_kind kind)
{
  const auto& m = machines_[model];
  const engine::order o{ kind, model, m.target_version, m.fence };
  timeline::log(timeline::event{ "weights_order" }
                  .with("kind", name_of(kind))
                  .with("model", model)
                  .with("weight_version", o.version)
                  .with("fence", o.fence));
  daemon_.run_on_worker(
    [this, o] { return engine_.submit_order(o); },
    [this, o](const failure& f) {
      auto& updated = machines_[o.model];
      weights::on_order(updated, o.kind, o.version, f, process::steady_ms());
      timeline::log(timeline::event{ "weights_order_ended" }
                      .with("kind", name_of(o.kind))
                      .with("model", o.model)
                      .with("weight_version", o.version)
                      .with("error", cactusford::name_of(f.kind)));
      daemon_.metrics.add(
        "weight_orders_total",
        { { "kind", name_of(o.kind) },
          { "error", std::string{ cactusford::name_of(f.kind) } } });
      advance(updated);
    });
}

std::uint64_t
weight_manager::serving(const std::string& model) const
{
  const auto found = machines_.find(model);
  return found == machines_.end() ? 0 : weights::serving_version(found->second);
}

std::uint64_t
weight_manager::swap_epoch(const std::string& model) const
{
  const auto found = machines_.find(model);
  return found == machines_.end() ? 0 : found->second.swap_epoch;
}

} // namespace cactusford::sidecar
