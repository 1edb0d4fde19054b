// Makes what can be read of a message readable when a parser refuses the whole.
// Pure.
//
// Failure: one entry of a list holds the number 1e400, half of a surrogate pair
// or a stray comma, and the parser refuses the list with all its other entries.
// An instance then knows no backend server and refuses every call. Each fault
// is replaced by the mark where it stands, so the other entries hold and the
// faulty one shows its name where it has one.
#pragma once

#include <string>
#include <string_view>

namespace cactusford::store {

// Replaces bytes that are no UTF-8, control characters and broken escapes
// inside texts, and numbers and words that JSON does not know, by the mark.
std::string
mark_unreadable(std::string_view text);

// Replaces each element of the lists directly inside the outermost object that
// is no JSON by itself, or is nested too deeply, by a text that is the mark.
// An element whose brackets do not match takes those behind it with it.
std::string
cut_unreadable_elements(std::string_view text);

} // namespace cactusford::store
