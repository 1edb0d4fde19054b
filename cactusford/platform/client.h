// Client of the platform's object API. Calls block: run them on a worker
// thread. Protocol: docs/PLATFORM.md.
#pragma once

#include "cactusford/error.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cactusford::platform {

// One object at one version. Versions grow over the whole store, so two
// versions of any two objects can be compared.
struct object
{
  std::string kind;
  std::string name;
  std::uint64_t version = 0;
  bool deleted = false;
  // JSON text.
  std::string spec;
  // Id of the request that wrote this version.
  std::string request_id;

  friend bool operator==(const object&, const object&) = default;
};

struct change_list
{
  // Every object with a version up to this one is known.
  std::uint64_t revision = 0;
  std::vector<object> objects;
};

struct write
{
  std::string kind;
  std::string name;
  // 0 creates.
  std::uint64_t expected_version = 0;
  std::string spec;
  std::string request_id;
  bool remove = false;
};

class client
{
public:
  // `address` is "ip:port".
  explicit client(std::string address, std::uint32_t timeout_ms = 1000);
  ~client();

  result<object> get(const std::string& kind, const std::string& name);

  // All objects, tombstones included, newer than `since`, without leases and
  // ledgers, which only their owners read. With `wait_ms` the call waits for a
  // change (a watch).
  result<change_list> changes(std::uint64_t since, std::uint32_t wait_ms);

  // Conditional write. A lost answer is resolved by reading back: the object
  // names the request that wrote it. Errors: conflict (with the newer
  // version), platform_unavailable (it may still take effect).
  result<std::uint64_t> put(const write& w);

  // Calls made so far.
  std::uint64_t calls() const;

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace cactusford::platform
