#include "standins/crashing_service.h"

#include <asio/steady_timer.hpp>

#include <algorithm>

namespace cactusford::standins {

struct crashing_service::server
{
  std::size_t index = 0;
  // Number of the current incarnation. The id consists of the index and this
  // number.
  std::uint64_t incarnation = 0;
  std::uint16_t port = 0;
  std::unique_ptr<http::server> http_server;

  std::string id() const
  {
    return "server-" + std::to_string(index) + "-" +
           std::to_string(incarnation);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
};

crashing_service::crashing_service(asio::io_context& io,
                                   object_store& store,
                                   crashing_service_options options)
  : io_{ io }
  , store_{ store }
  , options_{ std::move(options) }
{
  for (std::size_t i = 0; i < options_.servers; ++i) {
    servers_.push_back(std::make_unique<server>());
    servers_.back()->index = i;
    start(*servers_.back());
  }
}

crashing_service::~crashing_service() = default;

void
crashing_service::start(server& s)
{
  ++s.incarnation;
  s.http_server = std::make_unique<http::server>(
    io_, http::server_limits{}, [this, &s](const http::call& c) {
      serve(s, c);
    });
  s.http_server->listen(s.address());
  s.port = s.http_server->port();
  constexpr int slots = 8;
  nlohmann::json spec{ { "started_ms", s.incarnation },
                       { "service", options_.service },
                       { "address", s.address() },
                       { "slots", slots } };
  const auto& places = options_.data_centres;
  if (!places.empty()) {
    spec["data_centre"] = places[s.index % places.size()];
  }
  store_.put("backends", s.id(), spec);
}

// The announcement of the crashed incarnation stays in the store until the next
// incarnation starts.
void
crashing_service::crash(server& s)
{
  s.http_server->close();
  run_after(options_.down_ms, [this, &s, id = s.id()] {
    store::call removal;
    removal.op = store::operation::remove;
    removal.kind = "backends";
    removal.name = id;
    store_.write(removal);
    start(s);
  });
}

void
crashing_service::crash_server(std::size_t index)
{
  crash(*servers_.at(index));
}

void
crashing_service::reset_connections(std::size_t index)
{
  auto& s = *servers_.at(index);
  s.http_server->close();
  s.http_server = std::make_unique<http::server>(
    io_, http::server_limits{}, [this, &s](const http::call& c) {
      serve(s, c);
    });
  s.http_server->listen(s.address());
}

bool
crashing_service::all_running() const
{
  return std::all_of(servers_.begin(), servers_.end(), [](const auto& s) {
    return s->http_server->port() != 0;
  });
}

void
crashing_service::serve(server& s, const http::call& c)
{
  const auto& r = c.request();
  if (http::find(r.fields, "Expect").value_or(s.id()) != s.id()) {
    c.respond({ 421, {}, "" });
    return;
  }
  runs_.push_back(r.body);
  run_servers_.push_back(s.index);
  run_after(options_.work_ms, [this, &s, c, incarnation = s.incarnation] {
    // Another request has crashed the server in the meantime, or the caller has
    // disconnected.
    if (s.incarnation != incarnation || s.http_server->port() == 0 ||
        !c.is_open()) {
      return;
    }
    if (options_.is_poison(c.request())) {
      ++crashes_;
      crash(s);
      return;
    }
    const auto id = http::find(c.request().fields, "Id").value_or("");
    c.respond({ 200,
                { { "Id", std::string{ id } },
                  { "Signature", "sig-" + std::string{ id } } },
                options_.answer_body(c.request()) });
  });
}

void
crashing_service::run_after(std::uint64_t ms, std::function<void()> action)
{
  auto timer =
    std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds{ ms });
  timer->async_wait([timer, action = std::move(action)](asio::error_code ec) {
    if (!ec) {
      action();
    }
  });
}

} // namespace cactusford::standins
