// Fingerprints identify repeats of the same request regardless of request ids.
#pragma once

#include "cactusford/http/message.h"

#include <string>
#include <string_view>

namespace cactusford::quarantine {

// Sixteen hexadecimal digits, or empty if the request has no fingerprint.
using fingerprint = std::string;

constexpr std::size_t fingerprint_digits = 16;

// The parts of a request that determine the backend server's response. Parts
// that differ between attempts, such as ids and deadlines, are left out.
struct fingerprint_input
{
  std::string_view host;
  std::string_view method;
  std::string_view target;
  // The caller that the request itself names.
  std::string_view caller;
  std::string_view body;
};

fingerprint
fingerprint_of(const fingerprint_input& input);

// Identifies the caller by the request's credentials, because its address may
// change between attempts.
fingerprint
fingerprint_of(const http::request& r);

// Identifies the caller by its workspace, so that using another key of the same
// workspace does not evade the quarantine.
fingerprint
fingerprint_of(const http::request& r, std::string_view workspace);

} // namespace cactusford::quarantine
