// Keeps the home map of each service in step with its backend servers.
#pragma once

#include "cactusford/process/daemon.h"

#include <map>
#include <set>
#include <string>

namespace cactusford::entry {

class home_keeper
{
public:
  explicit home_keeper(process::daemon& d);

  void tick();

  // The sidecar itself says that it leaves, before the platform's list does.
  void on_leaving(const std::string& instance);

private:
  struct progress
  {
    bool busy = false;
    std::uint64_t not_before_ms = 0;
  };

  void keep(const configuration::snapshot& view, const std::string& service);
  void write(const std::string& service,
             std::uint64_t version,
             const configuration::home_map& next);

  process::daemon& daemon_;
  std::map<std::string, progress> services_;
  std::map<std::string, std::uint64_t> leaving_;
};

} // namespace cactusford::entry
