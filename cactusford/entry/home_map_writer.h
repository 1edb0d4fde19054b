// Updates the home map of each service when its backend servers change.
#pragma once

#include "cactusford/process/daemon.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace cactusford::entry {

class home_map_writer
{
public:
  explicit home_map_writer(process::daemon& d);

  void tick();

  // Handles what a sidecar announces about itself, earlier than the platform's
  // list shows it: the path and the message of a "/membership/..." stream.
  void on_announcement(const std::string& path, const std::string& message);

private:
  struct write_state
  {
    bool busy = false;
    std::uint64_t not_before_ms = 0;
  };

  void forget_unlisted(const configuration::snapshot& view);
  void update_map(const configuration::snapshot& view,
                  const std::string& service);
  void write(const std::string& service,
             std::uint64_t version,
             const configuration::home_map& next);

  process::daemon& daemon_;
  std::map<std::string, write_state> services_;
  // The newest incarnation that each instance has announced as live or as
  // leaving.
  std::map<std::string, std::uint64_t> live_;
  std::map<std::string, std::uint64_t> leaving_;
  std::set<std::pair<std::string, std::uint64_t>> handed_over_;
  configuration::snapshot_ptr checked_view_;
  bool has_new_announcement_ = false;
  std::uint64_t next_check_ms_ = 0;
};

} // namespace cactusford::entry
