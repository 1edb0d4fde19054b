// Client for operators. Sends each call to the entries in turn until one
// responds.
#pragma once

#include "cactusford/error.h"
#include "cactusford/operators/operators.pb.h"

#include <memory>
#include <string>
#include <vector>

namespace cactusford::operators {

class client
{
public:
  // `entries` are the "ip:port" addresses of the entries' RPC ports.
  explicit client(const std::vector<std::string>& entries);
  ~client();

  // A call whose response is lost is retried with the same request id, also at
  // other entries, so that it takes effect only once.
  result<apply_response> apply(const apply_request& r);
  result<apply_response> remove(const delete_request& r);
  result<get_response> get(const get_request& r);
  result<status_response> status();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace cactusford::operators
