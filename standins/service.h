// Stand-in of a plain service: it counts what it runs. "/score" scores a
// sample, any other path books.
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
  std::uint32_t work_ms = 5;
};

class service
{
public:
  explicit service(service_settings s);
  ~service();
  int start();
  const std::string& name() const { return settings_.name; }

private:
  service_settings settings_;
  server server_;
  std::atomic<std::uint64_t> runs_{ 0 };
  std::atomic<std::uint32_t> work_ms_;
};

} // namespace cactusford::standins
