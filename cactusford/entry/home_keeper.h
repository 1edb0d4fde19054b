// Keeps the home map of each service in step with its backend servers.
#pragma once

#include "cactusford/process/daemon.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace cactusford::entry {

class home_keeper
{
public:
  explicit home_keeper(process::daemon& d);

  void tick();

  // What a sidecar says of itself, before the platform's list does: the path
  // and the message of a "/membership/..." stream.
  void on_word(const std::string& path, const std::string& message);

private:
  struct progress
  {
    bool busy = false;
    std::uint64_t not_before_ms = 0;
  };

  void forget_unlisted(const configuration::snapshot& view);
  void keep(const configuration::snapshot& view, const std::string& service);
  void write(const std::string& service,
             std::uint64_t version,
             const configuration::home_map& next);

  process::daemon& daemon_;
  std::map<std::string, progress> services_;
  // The newest incarnation that each has announced as live, or as leaving.
  std::map<std::string, std::uint64_t> live_;
  std::map<std::string, std::uint64_t> leaving_;
  std::set<std::pair<std::string, std::uint64_t>> handed_over_;
  configuration::snapshot_ptr seen_;
  bool heard_ = false;
  std::uint64_t next_look_ms_ = 0;
};

} // namespace cactusford::entry
