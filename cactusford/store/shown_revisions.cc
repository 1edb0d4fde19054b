#include "cactusford/store/shown_revisions.h"

#include <algorithm>

namespace cactusford::store {

namespace {

// Anyone may write to the store, so the number of removed names is bounded. An
// answer is late by seconds, in which far fewer objects are removed.
constexpr std::size_t max_removed = 1024;

void
forget_oldest_removal(shown_revisions& s)
{
  auto oldest = s.objects.end();
  for (auto it = s.objects.begin(); it != s.objects.end(); ++it) {
    const bool is_older = oldest == s.objects.end() ||
                          it->second.revision < oldest->second.revision;
    if (it->second.is_removed && is_older) {
      oldest = it;
    }
  }
  if (oldest != s.objects.end()) {
    s.objects.erase(oldest);
    --s.removed_count;
  }
}

} // namespace

std::uint64_t
shown_revision(const shown_revisions& s, std::string_view name)
{
  const auto known = s.objects.find(name);
  return known == s.objects.end() ? s.listed_as_of : known->second.revision;
}

bool
is_outdated(const shown_revisions& s,
            std::string_view name,
            std::uint64_t revision,
            bool is_removed)
{
  if (revision == 0) {
    return false;
  }
  const auto known = s.objects.find(name);
  if (known == s.objects.end() || known->second.is_removed) {
    return revision <= shown_revision(s, name) && !is_removed;
  }
  return revision < known->second.revision;
}

void
record_change(shown_revisions& s,
              const std::string& name,
              std::uint64_t revision,
              bool is_removed)
{
  auto& o = s.objects[name];
  const bool was_removed = o.is_removed;
  o.revision = std::max(o.revision, revision);
  o.is_removed = is_removed;
  s.newest = std::max(s.newest, revision);
  if (is_removed && !was_removed) {
    ++s.removed_count;
  } else if (!is_removed && was_removed) {
    --s.removed_count;
  }
  if (s.removed_count > max_removed) {
    forget_oldest_removal(s);
  }
}

void
start_list(shown_revisions& s, std::uint64_t as_of)
{
  s.objects.clear();
  s.removed_count = 0;
  s.listed_as_of = as_of;
}

} // namespace cactusford::store
