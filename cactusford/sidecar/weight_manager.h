// Runs the weight state machines of one engine, one for each model that it
// serves.
#pragma once

#include "cactusford/process/daemon.h"
#include "cactusford/weights/machine.h"

#include <map>
#include <string>

namespace cactusford::sidecar {

class weight_manager
{
public:
  weight_manager(process::daemon& d, const settings::sidecar_settings& s);

  void on_configuration(const configuration::snapshot_ptr& view);
  void tick();

  // Weight version for new work on the model; 0 when none is known.
  std::uint64_t serving(const std::string& model) const;

  // See machine::swap_epoch.
  std::uint64_t swap_epoch(const std::string& model) const;

private:
  void advance(weights::weight_state& m);
  void read_back(const std::string& model);
  void send_order(const std::string& model, engine::order_kind kind);
  std::uint64_t swap_delay(const configuration::snapshot& view) const;

  process::daemon& daemon_;
  settings::sidecar_settings settings_;
  engine::client engine_;
  std::map<std::string, weights::weight_state> machines_;
};

} // namespace cactusford::sidecar
