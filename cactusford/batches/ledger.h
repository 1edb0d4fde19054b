// Positions of a batch's results. A result gets its position when the store
// has acknowledged its chunk: chunk k is created once and never replaced, by
// one who has read all chunks before it. Pure.
//
// An owner that was paused or cut off may still write after another has taken
// over. So a new owner begins with an empty chunk, and shows results only when
// that stands: a late write of the old owner meets it as a conflict, and its
// higher epoch tells the old owner to stop.
#pragma once

#include "cactusford/batches/batch.h"
#include "cactusford/store/fields.h"

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

namespace cactusford::batches {

struct stored_chunk
{
  // Revision of the batch at which its writer became the owner.
  std::uint64_t epoch = 0;
  std::vector<item_result> results;

  friend bool operator==(const stored_chunk&, const stored_chunk&) = default;
};

struct ledger
{
  // In the store, in the order of their positions.
  std::vector<item_result> listed;
  std::uint64_t chunks = 0;
  // Known here alone.
  std::vector<item_result> pending;
  std::uint64_t pending_since_ms = 0;
  // The oldest pending results that a write now carries; 0: no write.
  std::size_t writing = 0;
  // A write of the next chunk had no answer: it may stand, or land later.
  bool unsettled = false;
  std::unordered_set<std::string> ids;
};

// False when the item has a result already.
bool
add_result(ledger& l, item_result r, std::uint64_t now_ms);

bool
is_listed(const ledger& l, const std::string& item);

bool
has_result(const ledger& l, const std::string& item);

// The results of the next chunk, at most `max_bytes` of text and one result
// at least. Marks them as being written.
std::vector<item_result>
begin_chunk(ledger& l, std::size_t max_bytes);

// Chunk `chunks` holds these results: by our write, or by another owner's.
// Our pending results of the same items are dropped, as theirs have the
// position. An item listed before is left out.
void
adopt_chunk(ledger& l, std::vector<item_result> results);

// The write did not take place.
void
abandon_chunk(ledger& l);

// Nobody knows whether the write took place, or it still may.
void
doubt_chunk(ledger& l);

// No write of ours can stand that is not listed here.
bool
is_settled(const ledger& l);

// The results from a position onward, at most `max_bytes` and at least one.
result_page
page_of(const ledger& l,
        std::uint64_t total,
        std::uint64_t after,
        std::size_t max_bytes);

std::string
chunk_name(const std::string& batch, std::uint64_t chunk);

nlohmann::json
encode_chunk(const stored_chunk& c);

store::decoded<stored_chunk>
decode_chunk(const nlohmann::json& spec);

nlohmann::json
encode_spec(const stored_batch& b);

nlohmann::json
encode_status(const stored_batch& b);

store::decoded<stored_batch>
decode_batch(const std::string& name,
             std::uint64_t revision,
             const nlohmann::json& spec,
             const nlohmann::json& status);

} // namespace cactusford::batches
