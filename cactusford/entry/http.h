// The callers' port: completions in the OpenAI style, and plain services.
#pragma once

#include "cactusford/entry/caller.h"

#include <memory>

namespace cactusford::entry {

class http_server
{
public:
  http_server(process::daemon& d,
              const settings::entry_settings& s,
              caller& calls);
  ~http_server();

  failure start();

  // New requests are refused as "leaving".
  void leave();

  std::size_t open_requests() const;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace cactusford::entry
