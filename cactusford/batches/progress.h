// What the owner of a batch knows of its items and has not listed. It is
// encoded for the store and for the message to a successor, so that neither a
// run of several seconds nor an answer that ends an item is lost with the
// owner. Does no I/O.
#pragma once

#include "cactusford/batches/batch.h"
#include "cactusford/batches/event_reader.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusford::batches {

// Number of 500 responses that count towards the limit of the item's route, and
// of its scorer's route.
struct failed_attempts
{
  std::uint32_t runs = 0;
  std::uint32_t scores = 0;

  friend bool operator==(const failed_attempts&,
                         const failed_attempts&) = default;
};

// By item.
using texts_by_item = std::map<std::string, item_text>;
using failures_by_item = std::map<std::string, failed_attempts>;

struct progress
{
  texts_by_item texts;
  failures_by_item failures;
  // Results that may not be listed yet.
  std::vector<item_result> finished;

  friend bool operator==(const progress&, const progress&) = default;
};

bool
is_empty(const progress& p);

nlohmann::json
encode_progress(const progress& p);

// Skips malformed entries; their items start from the beginning.
progress
decode_progress(const nlohmann::json& spec);

} // namespace cactusford::batches
