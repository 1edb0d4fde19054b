// Repairs a message that the JSON parser rejects, so that its valid parts can
// be read. Pure functions.
//
// Failure that this avoids: one entry of a list contains the number 1e400, half
// of a surrogate pair or a stray comma, and the parser rejects the list with
// all its other entries. An instance then knows no backend server and refuses
// every call. Each invalid part is replaced by `unreadable_mark`, so the other
// entries stay valid, and the invalid entry still shows its name if that is
// readable.
#pragma once

#include <string>
#include <string_view>

namespace cactusford::store {

// Replaces by the mark: invalid UTF-8, control characters and invalid escapes
// inside strings, and numbers and words that are not valid JSON.
std::string
mark_unreadable(std::string_view text);

// Replaces by the mark each value that is nested more than `max_nesting_depth`
// deep.
std::string
replace_deep_values(std::string_view text);

// In the arrays directly inside the outermost object, replaces each element
// that is not valid JSON by itself, or is nested too deeply, by a string that
// is the mark. An element with unbalanced brackets also swallows the elements
// after it.
std::string
replace_unreadable_elements(std::string_view text);

} // namespace cactusford::store
