// The message with which an owner that shuts down hands a batch to its
// successor. It contains all that the successor needs to go on without reading
// the store. Does no I/O.
#pragma once

#include "cactusford/batches/batch.h"
#include "cactusford/batches/progress.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cactusford::batches {

struct handover
{
  // The batch as the sender knows it; its owner is the sender.
  stored_batch stored;
  batches::submission submission;
  // Items whose results are listed.
  std::vector<std::string> listed;
  // What is known of the other items.
  batches::progress progress;

  friend bool operator==(const handover&, const handover&) = default;
};

nlohmann::json
encode_handover(const handover& h);

store::decoded<handover>
decode_handover(const nlohmann::json& j);

} // namespace cactusford::batches
