// What makes two requests the same work, whatever their ids.
#pragma once

#include "cactusford/http/message.h"

#include <string>
#include <string_view>

namespace cactusford::quarantine {

// Sixteen hexadecimal digits; empty: nothing to recognise it by.
using fingerprint = std::string;

constexpr std::size_t fingerprint_digits = 16;

// All that a backend server computes its answer from. What differs from one
// attempt to the next, such as ids and deadlines, is left out.
struct work
{
  std::string_view host;
  std::string_view method;
  std::string_view target;
  // On whose behalf, as the request itself states it.
  std::string_view caller;
  std::string_view body;
};

fingerprint
fingerprint_of(const work& w);

// The caller is who the request's credentials say: its address may change from
// one attempt to the next.
fingerprint
fingerprint_of(const http::request& r);

// The caller is this workspace, whichever of its keys was used: a changed key
// is no way round.
fingerprint
fingerprint_of(const http::request& r, std::string_view workspace);

} // namespace cactusford::quarantine
