// Remembers which revision of each object of a kind was shown last, so that an
// older answer of the store cannot bring back what a newer one has replaced.
// Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cactusford::store {

struct shown_object
{
  std::uint64_t revision = 0;
  bool is_removed = false;

  friend bool operator==(const shown_object&, const shown_object&) = default;
};

struct shown_revisions
{
  // By name. Removed objects are remembered too, but only the latest ones.
  std::map<std::string, shown_object, std::less<>> objects;
  std::size_t removed_count = 0;
  // Revision of the last list: an object that it does not contain did not exist
  // then.
  std::uint64_t listed_as_of = 0;
  // The highest revision shown.
  std::uint64_t newest = 0;

  friend bool operator==(const shown_revisions&,
                         const shown_revisions&) = default;
};

// Returns true if a change of the object is older than what was shown. A
// removal may carry its own revision or that of the removed object; 0 is
// unknown and never outdated.
bool
is_outdated(const shown_revisions& s,
            std::string_view name,
            std::uint64_t revision,
            bool is_removed);

// Returns the revision that makes a change of the object outdated.
std::uint64_t
shown_revision(const shown_revisions& s, std::string_view name);

// Records a change that is shown.
void
record_change(shown_revisions& s,
              const std::string& name,
              std::uint64_t revision,
              bool is_removed);

// Starts over with a list that is shown; its objects are recorded one by one.
void
start_list(shown_revisions& s, std::uint64_t as_of);

} // namespace cactusford::store
