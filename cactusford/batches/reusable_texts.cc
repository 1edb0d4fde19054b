#include "cactusford/batches/reusable_texts.h"

#include <xxhash.h>

#include <string_view>

namespace cactusford::batches {

namespace {

// Approximate memory of an entry beside its texts: nodes of two maps, and the
// key in both of them.
constexpr std::size_t entry_overhead = 500;

std::size_t
size_of(const text_key& key, const item_text& t)
{
  return entry_overhead + t.text.size() + 2 * key.item.size();
}

void
drop(reusable_texts& r, const text_key& key)
{
  const auto found = r.all.find(key);
  if (found != r.all.end()) {
    r.bytes -= size_of(key, found->second.text);
    r.order.erase(found->second.kept_as);
    r.all.erase(found);
  }
}

} // namespace

// Each part is hashed with the hash of the preceding parts as seed, so that
// "a" + "bc" differs from "ab" + "c".
text_key
key_of(const stored_batch& batch, const std::string& model, const item& i)
{
  XXH64_hash_t hash = 0;
  const auto add = [&hash](std::string_view part) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  };
  add(model);
  add(i.path);
  add(i.body);
  for (const auto& f : i.fields) {
    add(f.name);
    add(f.value);
  }
  return { batch.workspace, batch.host, i.id, hash };
}

void
keep(reusable_texts& r,
     const text_key& key,
     const item_text& text,
     std::size_t max_bytes)
{
  drop(r, key);
  const auto kept_as = r.next++;
  r.bytes += size_of(key, text);
  r.order[kept_as] = key;
  r.all[key] = { text, kept_as };
  while (r.bytes > max_bytes) {
    const auto oldest = r.order.begin()->second;
    drop(r, oldest);
  }
}

const item_text*
find(const reusable_texts& r, const text_key& key)
{
  const auto found = r.all.find(key);
  return found == r.all.end() ? nullptr : &found->second.text;
}

} // namespace cactusford::batches
