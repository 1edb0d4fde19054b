// HTTP server for callers: completions in the OpenAI format, and calls to plain
// services.
#pragma once

#include "cactusford/entry/call_dispatcher.h"

#include <memory>

namespace cactusford::entry {

class http_server
{
public:
  http_server(process::daemon& d,
              const settings::entry_settings& s,
              call_dispatcher& dispatcher);
  ~http_server();

  failure start();

  // Refuses new requests as "leaving" from now on.
  void leave();

  std::size_t open_requests() const;

private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

} // namespace cactusford::entry
