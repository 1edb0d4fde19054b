// Workspaces and the API keys that authenticate their callers. Pure.
//
// The directory is part of the routing table, so that a route and the keys that
// may use it take effect together. It stores digests instead of keys, so that a
// memory or debug dump of it reveals no key.
#pragma once

#include "cactusford/data_centres/homes.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cactusford::workspaces {

constexpr std::string_view authorization_header = "Authorization";

// Seeded per process: digests of different processes cannot be compared.
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
  // Overrides the priority of the called route.
  std::optional<std::uint32_t> priority;
  // Share of a service's capacity in relation to other workspaces.
  std::uint32_t weight = 1;
  // Calls to a service that may run at once at each entry; 0: unlimited.
  std::uint32_t max_running = 0;
  // Regions in which its requests may be served.
  data_centres::home_regions homes;

  friend bool operator==(const workspace&, const workspace&) = default;
};

struct directory
{
  class builder;

  std::vector<workspace> all;
  // Index into `all`.
  std::unordered_map<key_digest, std::size_t, key_digest_hash> by_key;
  std::map<std::string, std::size_t, std::less<>> by_name;

  friend bool operator==(const directory&, const directory&) = default;
};

class directory::builder
{
public:
  // Starts a workspace; the following calls of the other functions
  // describe it.
  builder& workspace(std::string name, std::optional<std::uint32_t> priority);
  builder& weight(std::uint32_t weight);
  builder& max_running(std::uint32_t calls);
  builder& homes(data_centres::home_regions homes);
  builder& key(std::string_view key);
  directory build();

private:
  directory result_;
};

// The workspace that the key belongs to; null if the key is unknown.
const workspace*
find_workspace(const directory& d, std::string_view key);

// The workspace of this name; null if none is declared.
const workspace*
find_by_name(const directory& d, std::string_view name);

// Extracts the key from the value of an Authorization header; nothing unless
// its scheme is "Bearer".
std::optional<std::string_view>
bearer_key(std::string_view authorization) noexcept;

// Identifies a key in log lines without revealing it: eight hexadecimal digits,
// equal on all instances.
std::string
short_digest(std::string_view key);

} // namespace cactusford::workspaces
