#include "cactusford/link/request.h"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace cactusford::link {

namespace {

struct pending_call
{
  explicit pending_call(asio::io_context& io)
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
    if (request_stream) {
      request_stream->cancel();
      request_stream = nullptr;
    }
    handler(std::move(r));
  }

  asio::steady_timer timer;
  stream_ptr request_stream;
  std::function<void(result<std::string>)> done;
};

} // namespace

void
send_request(asio::io_context& io,
             endpoint& links,
             const address& peer,
             const std::string& path,
             const std::string& request,
             std::uint32_t timeout_ms,
             std::function<void(result<std::string>)> done)
{
  const auto call = std::make_shared<pending_call>(io);
  call->done = std::move(done);
  call->request_stream = links.open(peer, path);
  call->request_stream->on_message = [call](std::string_view m) {
    call->end({ std::string{ m }, {} });
  };
  call->request_stream->on_close = [call](std::error_code ec) {
    const bool is_not_sent = ec == link_error::not_connected;
    call->end(
      { {},
        { is_not_sent ? error_kind::no_backend : error_kind::outcome_unknown,
          ec.message() } });
  };
  call->request_stream->send(request);
  call->request_stream->finish();
  call->timer.expires_after(std::chrono::milliseconds{ timeout_ms });
  call->timer.async_wait([call](asio::error_code ec) {
    if (!ec) {
      call->end({ {}, { error_kind::outcome_unknown, "no reply in time" } });
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
