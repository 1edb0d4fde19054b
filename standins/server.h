// HTTP server that runs on its own thread and handles the requests of a
// stand-in on a thread pool.
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

  // Binds the address and starts to serve. Returns the port, or 0 if the
  // address cannot be bound. All routes must be added before.
  int start(const std::string& address);
  void stop();

  httplib::Server http;

private:
  std::thread thread_;
};

} // namespace cactusford::standins
