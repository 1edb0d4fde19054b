// gRPC server for operators and trainers; the .proto files define its services.
#pragma once

#include "cactusford/entry/owner.h"
#include "cactusford/process/daemon.h"

#include <memory>

namespace cactusford::entry {

class rpc_server
{
public:
  rpc_server(process::daemon& d, const settings::entry_settings& s, owner& o);
  ~rpc_server();

  failure start();
  void stop();

  // Serves a "/rollout/fetch" or "/rollout/status" stream of another entry.
  void serve(const link::stream_ptr& s);

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace cactusford::entry
