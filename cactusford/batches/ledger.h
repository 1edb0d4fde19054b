// Assigns positions to the results of a batch. A result gets its position when
// the store acknowledges the chunk that contains it. Chunk k is created once
// and never replaced, by an owner that has read all earlier chunks. Does
// no I/O.
//
// An owner that was paused or partitioned may still write after another
// instance has taken over. A new owner therefore first creates an empty chunk
// as a fence and shows results only after that write is acknowledged. A late
// write of the old owner then conflicts with the fence, whose higher epoch
// tells the old owner to stop.
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
  // Revision of the batch object at which the writer of this chunk became the
  // owner.
  std::uint64_t epoch = 0;
  std::vector<item_result> results;

  friend bool operator==(const stored_chunk&, const stored_chunk&) = default;
};

struct ledger
{
  // Results that are in the store, in the order of their positions.
  std::vector<item_result> listed;
  std::uint64_t chunks = 0;
  // Results that only this instance has.
  std::vector<item_result> pending;
  std::uint64_t pending_since_ms = 0;
  // Number of the oldest pending results that the current write contains; 0 if
  // no write is in progress.
  std::size_t writing = 0;
  // A write of the next chunk got no answer: it may have been applied, or may
  // still be applied later.
  bool outcome_unknown = false;
  std::unordered_set<std::string> ids;
};

// Returns false if the item already has a result.
bool
add_result(ledger& l, item_result r, std::uint64_t now_ms);

bool
is_listed(const ledger& l, const std::string& item);

bool
has_result(const ledger& l, const std::string& item);

// Returns the results for the next chunk and marks them as being written. The
// total size is at most `max_bytes`, unless the first result alone is larger.
std::vector<item_result>
begin_chunk(ledger& l, std::size_t max_bytes);

// Records that chunk number `chunks` holds these results, written by this owner
// or by another one. Pending results of the same items are dropped, since the
// stored ones already have a position. Items that were listed before are
// skipped.
void
adopt_chunk(ledger& l, std::vector<item_result> results);

// Records that the write was not applied.
void
abandon_chunk(ledger& l);

// Records that the outcome of the write is unknown; it may still be applied
// later.
void
mark_chunk_unknown(ledger& l);

// Returns true if no write of this owner can be in the store without being
// listed here.
bool
is_settled(const ledger& l);

// Returns the results from a position onward. The total size is at most
// `max_bytes`, unless the first result alone is larger.
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
