#include "cactusford/workspaces/directory.h"

#include "cactusford/http/message.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <random>
#include <utility>

namespace cactusford::workspaces {

namespace {

// Random per process. With a known seed a caller could compute keys whose
// digests collide in one bucket, or a key that matches a digest it has seen.
std::uint64_t
process_hash_seed()
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
    XXH3_128bits_withSeed(key.data(), key.size(), process_hash_seed());
  return { hash.high64, hash.low64 };
}

} // namespace

directory::builder&
directory::builder::workspace(std::string name,
                              std::optional<std::uint32_t> priority)
{
  result_.by_name[name] = result_.all.size();
  result_.all.push_back({ std::move(name), priority, 1, 0, {} });
  return *this;
}

directory::builder&
directory::builder::weight(std::uint32_t weight)
{
  result_.all.back().weight = weight;
  return *this;
}

directory::builder&
directory::builder::max_running(std::uint32_t calls)
{
  result_.all.back().max_running = calls;
  return *this;
}

directory::builder&
directory::builder::homes(data_centres::home_regions homes)
{
  result_.all.back().homes = std::move(homes);
  return *this;
}

directory::builder&
directory::builder::key(std::string_view key)
{
  result_.by_key[digest_of(key)] = result_.all.size() - 1;
  return *this;
}

directory
directory::builder::build()
{
  return std::move(result_);
}

const workspace*
find_workspace(const directory& d, std::string_view key)
{
  const auto found = d.by_key.find(digest_of(key));
  return found == d.by_key.end() ? nullptr : &d.all[found->second];
}

const workspace*
find_by_name(const directory& d, std::string_view name)
{
  const auto found = d.by_name.find(name);
  return found == d.by_name.end() ? nullptr : &d.all[found->second];
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
