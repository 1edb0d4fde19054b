#include "cactusford/workspaces/directory.h"

#include "cactusford/http/message.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>
#include <utility>

namespace cactusford::workspaces {

namespace {

// Drawn at the start: without it a caller could compute keys whose digests meet
// in one bucket, or that of a key it has seen the digest of.
std::uint64_t
secret_seed()
{
  static const auto seed = [] {
    std::random_device device;
    constexpr unsigned half = 32;
    return (std::uint64_t{ device() } << half) | device();
  }();
  return seed;
}

key_digest
digest_of(std::string_view key)
{
  const auto hash =
    XXH3_128bits_withSeed(key.data(), key.size(), secret_seed());
  return { hash.high64, hash.low64 };
}

} // namespace

directory::builder&
directory::builder::workspace(std::string name,
                              std::optional<std::uint32_t> priority)
{
  made_.all.push_back({ std::move(name), priority });
  return *this;
}

directory::builder&
directory::builder::key(std::string_view key)
{
  made_.by_key[digest_of(key)] = made_.all.size() - 1;
  return *this;
}

directory
directory::builder::build()
{
  return std::move(made_);
}

const workspace*
find_workspace(const directory& d, std::string_view key)
{
  const auto found = d.by_key.find(digest_of(key));
  return found == d.by_key.end() ? nullptr : &d.all[found->second];
}

std::optional<std::string_view>
bearer_key(std::string_view authorization) noexcept
{
  constexpr std::string_view scheme = "Bearer";
  const auto end = authorization.find(' ');
  if (end == std::string_view::npos ||
      !http::same_name(authorization.substr(0, end), scheme)) {
    return std::nullopt;
  }
  const auto from = authorization.find_first_not_of(' ', end);
  if (from == std::string_view::npos) {
    return std::nullopt;
  }
  const auto key = authorization.substr(from);
  return key.substr(0, key.find_last_not_of(' ') + 1);
}

std::string
short_digest(std::string_view key)
{
  constexpr std::size_t digits = 8;
  std::array<char, digits + 1> text{};
  std::snprintf(text.data(),
                text.size(),
                "%08x",
                static_cast<unsigned>(XXH3_64bits(key.data(), key.size())));
  return text.data();
}

} // namespace cactusford::workspaces
