#include "cactusford/quarantine/fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstdio>

namespace cactusford::quarantine {

// Each part is hashed with the hash of the preceding parts as seed, so that
// "a" + "bc" differs from "ab" + "c".
fingerprint
fingerprint_of(const fingerprint_input& input)
{
  XXH64_hash_t hash = 0;
  for (const auto part :
       { input.host, input.method, input.target, input.caller, input.body }) {
    hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
  }
  std::array<char, fingerprint_digits + 1> text{};
  std::snprintf(
    text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash));
  return text.data();
}

fingerprint
fingerprint_of(const http::request& r)
{
  return fingerprint_of(r, http::find(r.fields, "Authorization").value_or(""));
}

fingerprint
fingerprint_of(const http::request& r, std::string_view workspace)
{
  const auto host = http::find(r.fields, "Host").value_or("");
  return fingerprint_of({ host, r.method, r.target, workspace, r.body });
}

} // namespace cactusford::quarantine
