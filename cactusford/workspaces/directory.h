// Workspaces, and the keys by which their callers are known. Pure.
//
// A directory is part of the table of routes: a route and the keys that may use
// it come into force together. It holds digests in place of keys, so that no
// dump of it shows one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusford::workspaces {

constexpr std::string_view authorization_header = "Authorization";

// Means the same key only within one process.
struct key_digest
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const key_digest&, const key_digest&) = default;
};

struct key_digest_hash
{
  std::size_t operator()(const key_digest& d) const noexcept { return d.low; }
};

struct workspace
{
  std::string name;
  // Goes before the priority of the route that is called.
  std::optional<std::uint32_t> priority;

  friend bool operator==(const workspace&, const workspace&) = default;
};

struct directory
{
  class builder;

  std::vector<workspace> all;
  // Position in `all`.
  std::unordered_map<key_digest, std::size_t, key_digest_hash> by_key;

  friend bool operator==(const directory&, const directory&) = default;
};

class directory::builder
{
public:
  // Keys that follow are those of this workspace.
  builder& workspace(std::string name, std::optional<std::uint32_t> priority);
  builder& key(std::string_view key);
  directory build();

private:
  directory made_;
};

// The workspace that holds the key; null if none does.
const workspace*
find_workspace(const directory& d, std::string_view key);

// The key of an Authorization header of the scheme "Bearer".
std::optional<std::string_view>
bearer_key(std::string_view authorization) noexcept;

// Names a key in a log line without telling it: eight hexadecimal digits, the
// same at all instances.
std::string
short_digest(std::string_view key);

} // namespace cactusford::workspaces
