// Acquires and renews the leases of the trainers that this entry may own.
#pragma once

#include "cactusford/ownership/lease.h"
#include "cactusford/process/daemon.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cactusford::entry {

class lease_manager
{
public:
  // `on_change` is called with the trainer and its fencing token, or 0 when the
  // lease is lost.
  using change_handler = std::function<void(const std::string&, std::uint64_t)>;

  lease_manager(process::daemon& d, change_handler on_change);

  void on_configuration(const configuration::snapshot_ptr& view);
  void tick();

  // Releases all leases, so that another entry can take over at once.
  void release_all();
  bool holds_any() const;

  // Returns the fencing token of the lease, or 0 when this entry is not the
  // owner.
  std::uint64_t fence_of(const std::string& trainer) const;

  // Marks the lease as lost, after another process reported a newer fencing
  // token.
  void mark_lost(const std::string& trainer);

private:
  void advance(const std::string& trainer, ownership::lease_client& lease);
  void read(const std::string& trainer);
  void write(const std::string& trainer, ownership::action a);

  process::daemon& daemon_;
  change_handler on_change_;
  std::map<std::string, ownership::lease_client> leases_;
};

// Live entries that may own the trainer, in order of preference.
std::vector<std::string>
owner_candidates(const configuration::snapshot& view,
                 const std::string& trainer);

} // namespace cactusford::entry
