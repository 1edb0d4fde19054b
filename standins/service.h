// Stand-in for a plain service. Each request takes `work_ms` and is logged, so
// that tests can count its runs. The path "/score" returns a score for a
// sample; any other path simulates a booking and echoes the request.
#pragma once

#include "standins/server.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace cactusford::standins {

struct service_settings
{
  std::string name;
  std::string address = "127.0.0.1:0";
  std::size_t threads = 64;
  // Processing time of a request.
  std::uint32_t work_ms = 5;
};

class service
{
public:
  explicit service(service_settings s);
  ~service();
  // Returns the port, or 0 if the address cannot be bound.
  int start();
  const std::string& name() const { return settings_.name; }

private:
  service_settings settings_;
  server server_;
  std::atomic<std::uint64_t> runs_{ 0 };
  std::atomic<std::uint32_t> work_ms_;
};

} // namespace cactusford::standins
