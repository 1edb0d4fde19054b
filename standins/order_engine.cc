#include "standins/order_engine.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cactusford::standins {

namespace {

using nlohmann::json;

constexpr std::string_view report_path = "/report";
constexpr std::string_view order_path = "/order";

json
to_json(const edge::engine_report& r)
{
  return { { "started_ms", r.started_ms },
           { "versions", r.versions },
           { "busy", r.busy },
           { "running", r.running },
           { "orders", r.orders } };
}

store::decoded<edge::engine_report>
report_from(const http::response& response)
{
  return store::try_decode([&] {
    const auto j = store::parse_message(response.body);
    edge::engine_report r;
    r.started_ms = store::uint_field(j, "started_ms");
    r.orders = store::uint_field(j, "orders");
    r.busy = store::bool_field(j, "busy");
    r.running = static_cast<std::uint32_t>(store::uint_field(j, "running"));
    for (const auto& [model, v] : store::field(j, "versions").items()) {
      r.versions[model] = v.get<std::uint64_t>();
    }
    return r;
  });
}

http::request
order_request(const edge::load_order& o)
{
  const json body{ { "version", o.version },
                   { "expected_orders", o.expected_orders } };
  return {
    "POST", std::string{ order_path }, { { "Host", "engine" } }, body.dump()
  };
}

} // namespace

order_engine::order_engine(asio::io_context& io)
  : server_{ io, {}, [this](const http::call& c) { serve(c); } }
{
  server_.listen("127.0.0.1:0");
}

std::string
order_engine::address() const
{
  return "127.0.0.1:" + std::to_string(server_.port());
}

void
order_engine::add_order_codecs(edge::dialect& d)
{
  d.report_request = [] {
    return http::request{
      "GET", std::string{ report_path }, { { "Host", "engine" } }, ""
    };
  };
  d.report_from = report_from;
  d.order_request = order_request;
  d.order_answer_from = [](const http::response& response) {
    return response.status == 202 ? edge::order_answer::accepted
                                  : edge::order_answer::conflict;
  };
}

void
order_engine::restart()
{
  constexpr std::uint64_t uptime_ms = 5000;
  started_ms += uptime_ms;
  orders = 0;
}

edge::engine_report
order_engine::report() const
{
  edge::engine_report r;
  r.started_ms = started_ms;
  r.versions[model] = version;
  r.running = running;
  r.orders = orders;
  return r;
}

void
order_engine::serve(const http::call& c)
{
  if (c.request().target == order_path) {
    handle_order(c);
    return;
  }
  const auto late = std::exchange(late_report, std::nullopt);
  c.respond({ 200, {}, to_json(late.value_or(report())).dump() });
}

void
order_engine::handle_order(const http::call& c)
{
  const auto j = json::parse(c.request().body);
  received_order r;
  r.version = j.at("version").get<std::uint64_t>();
  r.expected_orders = j.at("expected_orders").get<std::uint64_t>();
  if (std::exchange(lose_order, false)) {
    received_orders.push_back(r);
    unanswered_.push_back(c);
    return;
  }
  r.accepted = r.expected_orders == orders;
  received_orders.push_back(r);
  if (r.accepted) {
    ++orders;
    version = r.version;
  }
  c.respond({ r.accepted ? 202 : 409, {}, "" });
}

} // namespace cactusford::standins
