#include "standins/server.h"

#include "cactusford/link/link.h"

namespace cactusford::standins {

server::server(std::size_t threads)
{
  http.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  http.set_tcp_nodelay(true);
  http.set_keep_alive_max_count(1000000);
}

server::~server()
{
  stop();
}

int
server::start(const std::string& address)
{
  const auto endpoint = link::address_from(address);
  const int port =
    endpoint.port == 0
      ? http.bind_to_any_port(endpoint.ip)
      : (http.bind_to_port(endpoint.ip, endpoint.port) ? endpoint.port : 0);
  if (port > 0) {
    thread_ = std::thread{ [this] { http.listen_after_bind(); } };
  }
  return port;
}

void
server::stop()
{
  http.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

} // namespace cactusford::standins
