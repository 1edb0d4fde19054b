// Texts of items whose batches have ended. The same item may be submitted again
// in a later batch, which goes on with its text. Does no I/O.
#pragma once

#include "cactusford/batches/batch.h"
#include "cactusford/batches/event_reader.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cactusford::batches {

// What determines an item's text. Trainers choose the ids of their items, so
// items of other workspaces, or with other contents, may have the same id.
struct text_key
{
  std::string workspace;
  std::string host;
  std::string item;
  // Digest of the model and of what an engine receives: path, fields and body.
  std::uint64_t contents = 0;

  friend auto operator<=>(const text_key&, const text_key&) = default;
};

text_key
key_of(const stored_batch& batch, const std::string& model, const item& i);

struct reusable_texts
{
  struct entry
  {
    item_text text;
    std::uint64_t kept_as = 0;
  };
  std::map<text_key, entry> all;
  // Keys in the order in which they were kept last.
  std::map<std::uint64_t, text_key> order;
  std::uint64_t next = 1;
  std::size_t bytes = 0;
};

// Keeps the text, in place of an earlier one of the same item. Drops the texts
// that were kept longest ago while there are more than `max_bytes`.
void
keep(reusable_texts& r,
     const text_key& key,
     const item_text& text,
     std::size_t max_bytes);

// Returns null if no text of the item is kept.
const item_text*
find(const reusable_texts& r, const text_key& key);

} // namespace cactusford::batches
