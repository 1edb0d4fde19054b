#include "standins/crashing_service.h"

#include <asio/steady_timer.hpp>

#include <algorithm>

namespace cactusford::standins {

struct crashing_service::server
{
  std::size_t index = 0;
  // Which life it is in; its id is made from both.
  std::uint64_t life = 0;
  std::uint16_t port = 0;
  std::unique_ptr<http::server> front;

  std::string id() const
  {
    return "server-" + std::to_string(index) + "-" + std::to_string(life);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
};

crashing_service::crashing_service(asio::io_context& io,
                                   object_store& store,
                                   crashing_service_options o)
  : io_{ io }
  , store_{ store }
  , options_{ std::move(o) }
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
  ++s.life;
  s.front = std::make_unique<http::server>(
    io_, http::server_limits{}, [this, &s](const http::call& c) {
      serve(s, c);
    });
  s.front->listen(s.address());
  s.port = s.front->port();
  constexpr int slots = 8;
  store_.put("backends",
             s.id(),
             { { "started_ms", s.life },
               { "service", options_.service },
               { "address", s.address() },
               { "slots", slots } });
}

// Its entry lapses when the next life announces itself.
void
crashing_service::end(server& s)
{
  s.front->close();
  after(options_.down_ms, [this, &s, id = s.id()] {
    store::call gone;
    gone.op = store::operation::remove;
    gone.kind = "backends";
    gone.name = id;
    store_.write(gone);
    start(s);
  });
}

void
crashing_service::crash_server(std::size_t index)
{
  end(*servers_.at(index));
}

void
crashing_service::reset_connections(std::size_t index)
{
  auto& s = *servers_.at(index);
  s.front->close();
  s.front = std::make_unique<http::server>(
    io_, http::server_limits{}, [this, &s](const http::call& c) {
      serve(s, c);
    });
  s.front->listen(s.address());
}

bool
crashing_service::all_running() const
{
  return std::all_of(servers_.begin(), servers_.end(), [](const auto& s) {
    return s->front->port() != 0;
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
  after(options_.work_ms, [this, &s, c, life = s.life] {
    // It ended meanwhile under another request.
    if (s.life != life || s.front->port() == 0 || !c.is_open()) {
      return;
    }
    if (options_.is_poison(c.request())) {
      ++ends_;
      end(s);
      return;
    }
    const auto id = http::find(c.request().fields, "Id").value_or("");
    c.respond({ 200,
                { { "Id", std::string{ id } },
                  { "Signature", "sig-" + std::string{ id } } },
                "" });
  });
}

void
crashing_service::after(std::uint64_t ms, std::function<void()> run)
{
  auto t =
    std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds{ ms });
  t->async_wait([t, run = std::move(run)](asio::error_code ec) {
    if (!ec) {
      run();
    }
  });
}

} // namespace cactusford::standins
