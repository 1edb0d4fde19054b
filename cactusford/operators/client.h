// The operators' calls, over the first entry that answers.
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
  // `entries` are "ip:port" of RPC ports.
  explicit client(const std::vector<std::string>& entries);
  ~client();

  // A call whose answer is lost is repeated with the same request id, here or
  // at another entry, so that it takes effect once.
  result<apply_response> apply(const apply_request& r);
  result<apply_response> remove(const delete_request& r);
  result<get_response> get(const get_request& r);
  result<status_response> status();

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace cactusford::operators
