#include "standins/stream_engine.h"

#include "cactusford/http/clock.h"

#include <asio/steady_timer.hpp>

namespace cactusford::standins {

namespace {

std::string
event_data(const std::string& item, std::uint64_t event)
{
  return item + "-" + std::to_string(event);
}

} // namespace

stream_engine::stream_engine(asio::io_context& io, std::string id)
  : io_{ io }
  , id_{ std::move(id) }
  , server_{ io, {}, [this](const http::call& c) { serve(c); } }
  , refusing_port_{ io }
{
  server_.listen("127.0.0.1:0");
}

std::string
stream_engine::address() const
{
  return "127.0.0.1:" + std::to_string(server_.port());
}

std::string
stream_engine::text_of(const std::string& item, std::uint64_t events)
{
  std::string text;
  for (std::uint64_t event = 1; event <= events; ++event) {
    text += (event > 1 ? "\n" : "") + event_data(item, event);
  }
  return text;
}

void
stream_engine::serve(const http::call& c)
{
  const auto& r = c.request();
  const auto item = std::string{ http::find(r.fields, "Id").value_or("") };
  if (r.target == "/score/") {
    ++scores[item];
    if (holds_scores) {
      held_scores_.push_back(c);
      return;
    }
    arrivals.push_back({ item, http::now_ms(), true, r.fields });
    c.respond({ 200, { { "Id", item }, { "Signature", "sig-" + item } }, "" });
    return;
  }
  const auto only_version = http::find_number(r.fields, "Only-Version");
  if (http::find(r.fields, "Expect").value_or(id_) != id_ ||
      only_version.value_or(version) != version) {
    c.respond({ 421, {}, "" });
    return;
  }
  const auto now = http::now_ms();
  arrivals.push_back({ item, now, false, r.fields });
  if (loading) {
    c.respond({ 503, { { "Id", item }, { "Not-Run", "1" } }, "" });
    return;
  }
  const auto last_event = http::find_number(r.fields, "Last").value_or(0);
  runs.push_back({ item, last_event });
  if (const auto fixed = fixed_status.find(item); fixed != fixed_status.end()) {
    c.respond({ fixed->second, { { "Id", item } }, "" });
    return;
  }
  if (!poison_body.empty() && r.body == poison_body) {
    auto timer = std::make_shared<asio::steady_timer>(
      io_, std::chrono::milliseconds{ gap_ms });
    timer->async_wait([this, timer](asio::error_code ec) {
      if (!ec) {
        crash();
      }
    });
    return;
  }
  if (fails_resumed_runs && last_event > 0) {
    ++failed_runs[item];
    c.respond({ 500, { { "Id", item } }, "" });
    return;
  }
  ++streaming;
  c.on_disconnect([this] { --streaming; });
  http::headers fields{ { "Id", item },
                        { "Version", std::to_string(version) } };
  if (now < cold_until_ms) {
    fields.push_back({ "Cold-Ms", std::to_string(cold_until_ms - now) });
  }
  c.begin(200, fields);
  stream(c, item, last_event + 1, version);
}

void
stream_engine::crash()
{
  if (has_crashed) {
    return;
  }
  has_crashed = true;
  const auto port = server_.port();
  server_.close();
  using asio::ip::tcp;
  using reuse = asio::socket_base::reuse_address;
  const tcp::endpoint at{ asio::ip::address_v4::loopback(), port };
  refusing_port_.open(at.protocol());
  // Connections that are still closing do not prevent this bind, and it
  // prevents any other.
  refusing_port_.set_option(reuse{ true });
  asio::error_code ignored;
  refusing_port_.bind(at, ignored);
  refusing_port_.set_option(reuse{ false });
}

void
stream_engine::stream(const http::call& c,
                      const std::string& item,
                      std::uint64_t next_event,
                      std::uint64_t run_version)
{
  auto timer = std::make_shared<asio::steady_timer>(
    io_, std::chrono::milliseconds{ gap_ms });
  timer->async_wait(
    [this, timer, c, item, next_event, run_version](asio::error_code ec) {
      if (ec || !c.is_open()) {
        return;
      }
      if (next_event > events) {
        --streaming;
        c.finish();
        return;
      }
      const bool is_first_run = runs.back().resumed_at == 0;
      if (next_event == abort_inside_event && is_first_run) {
        c.write("id: " + std::to_string(next_event) + "\nda");
        --streaming;
        c.abort();
        return;
      }
      const auto change = run_version == version
                            ? std::string{}
                            : "version: " + std::to_string(version) + "\n";
      if (on_event) {
        on_event(item, next_event, version);
      }
      c.write(change + "id: " + std::to_string(next_event) +
              "\ndata: " + event_data(item, next_event) + "\n\n");
      stream(c, item, next_event + 1, version);
    });
}

} // namespace cactusford::standins
