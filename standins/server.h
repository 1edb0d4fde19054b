// An HTTP server on a thread of its own, for the stand-ins.
#pragma once

#include <httplib.h>

#include <cstddef>
#include <string>
#include <thread>

namespace cactusford::standins {

class server
{
public:
  explicit server(std::size_t threads);
  ~server();

  // Returns the bound port, 0 when it cannot be bound. Routes come first.
  int start(const std::string& address);
  void stop();

  httplib::Server http;

private:
  std::thread thread_;
};

} // namespace cactusford::standins
