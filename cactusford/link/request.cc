#include "cactusford/link/request.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace cactusford::link {

namespace {

struct pending
{
  explicit pending(asio::io_context& io)
    : timer{ io }
  {
  }

  void end(result<std::string> r)
  {
    if (!done) {
      return;
    }
    const auto handler = std::exchange(done, nullptr);
    timer.cancel();
    if (s) {
      s->cancel();
      s = nullptr;
    }
    handler(std::move(r));
  }

  asio::steady_timer timer;
  stream_ptr s;
  std::function<void(result<std::string>)> done;
};

} // namespace

void
ask(asio::io_context& io,
    endpoint& links,
    const address& peer,
    const std::string& path,
    const std::string& request,
    std::uint32_t timeout_ms,
    std::function<void(result<std::string>)> done)
{
  const auto p = std::make_shared<pending>(io);
  p->done = std::move(done);
  p->s = links.open(peer, path);
  p->s->on_message = [p](std::string_view m) {
    p->end({ std::string{ m }, {} });
  };
  p->s->on_close = [p](std::error_code ec) {
    const bool never_left = ec == link_error::not_connected;
    p->end(
      { {},
        { never_left ? error_kind::no_backend : error_kind::outcome_unknown,
          ec.message() } });
  };
  p->s->send(request);
  p->s->finish();
  p->timer.expires_after(std::chrono::milliseconds{ timeout_ms });
  p->timer.async_wait([p](asio::error_code ec) {
    if (!ec) {
      p->end({ {}, { error_kind::outcome_unknown, "no reply in time" } });
    }
  });
}

void
reply(stream& s, std::string_view message)
{
  s.send(message);
  s.finish();
}

} // namespace cactusford::link
