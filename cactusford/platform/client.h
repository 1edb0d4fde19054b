// Blocking client of the platform's object API, to be used on a worker thread.
// docs/PLATFORM.md describes the protocol.
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

// An object at one version. Versions increase across the whole store, so
// versions of different objects can be compared.
struct object
{
  std::string kind;
  std::string name;
  std::uint64_t version = 0;
  bool deleted = false;
  // Specification as JSON text.
  std::string spec;
  // Id of the request that wrote this version.
  std::string request_id;

  friend bool operator==(const object&, const object&) = default;
};

struct change_list
{
  // All changes up to this version are included.
  std::uint64_t revision = 0;
  std::vector<object> objects;
};

struct write
{
  std::string kind;
  std::string name;
  // 0 creates the object.
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

  // Returns all objects newer than `since`, including tombstones but without
  // leases and ledgers, which only their owners read. If `wait_ms` is not 0,
  // waits up to that time for a change (a watch).
  result<change_list> changes(std::uint64_t since, std::uint32_t wait_ms);

  // Writes conditionally. If the response is lost, reads the object to find out
  // whether this request wrote it. Errors: conflict (with the newer version),
  // platform_unavailable (the write may still be applied).
  result<std::uint64_t> put(const write& w);

  // Number of requests made so far.
  std::uint64_t calls() const;

private:
  struct state;
  std::unique_ptr<state> state_;
};

} // namespace cactusford::platform
