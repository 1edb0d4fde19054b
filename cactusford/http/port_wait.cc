#include "cactusford/http/port_wait.h"

#include "cactusford/http/clock.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace cactusford::http {

namespace {

constexpr std::uint64_t retry_interval_ms = 200;

// Asio's category maps no value to a portable condition.
std::error_condition
condition_of(const std::error_code& ec)
{
  return ec.category() == asio::system_category()
           ? std::error_condition{ ec.value(), std::generic_category() }
           : ec.default_error_condition();
}

bool
may_pass(const std::error_code& ec)
{
  static constexpr std::array passing{
    std::errc::address_in_use,      std::errc::address_not_available,
    std::errc::too_many_files_open, std::errc::too_many_files_open_in_system,
    std::errc::no_buffer_space,     std::errc::not_enough_memory,
  };
  const auto condition = condition_of(ec);
  return std::any_of(passing.begin(), passing.end(), [&](std::errc e) {
    return condition == e;
  });
}

struct port_wait : std::enable_shared_from_this<port_wait>
{
  port_wait(asio::io_context& io, port_listener p)
    : listener{ std::move(p) }
    , retry{ io }
  {
  }

  void retry_later()
  {
    retry.expires_after(std::chrono::milliseconds{ retry_interval_ms });
    retry.async_wait([self = shared_from_this()](asio::error_code ec) {
      if (!ec && !self->listener.is_abandoned()) {
        self->try_again();
      }
    });
  }

  void try_again()
  {
    const auto ec = listener.listen();
    if (!ec) {
      listener.log(timeline::event{ "port_bound" }
                     .with("key", listener.key)
                     .with("address", listener.address)
                     .with("after_ms", now_ms() - started_ms));
    } else if (may_pass(ec)) {
      retry_later();
    } else {
      listener.on_failed(ec);
    }
  }

  port_listener listener;
  http::timer retry;
  std::uint64_t started_ms = now_ms();
};

} // namespace

std::error_code
listen_when_free(asio::io_context& io, port_listener p)
{
  const auto ec = p.listen();
  if (!ec || !may_pass(ec)) {
    return ec;
  }
  p.log(timeline::event{ "port_wait" }
          .with("key", p.key)
          .with("address", p.address)
          .with("why", ec.message())
          .with("retry_ms", retry_interval_ms));
  std::make_shared<port_wait>(io, std::move(p))->retry_later();
  return {};
}

} // namespace cactusford::http
