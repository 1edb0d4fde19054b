// Stand-in for an engine that reports its weight versions and accepts weight
// orders. It can restart under the same id and deliver a late report of its
// previous incarnation.
#pragma once

#include "cactusford/edge/dialect.h"
#include "cactusford/http/server.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactusford::standins {

class order_engine
{
public:
  explicit order_engine(asio::io_context& io);

  std::string address() const;

  // Adds the JSON encoding of reports and orders to a dialect.
  static void add_order_codecs(edge::dialect& d);

  // Simulates a restart: the order count returns to zero, the weight version
  // stays.
  void restart();

  std::string model = "m";
  std::uint64_t version = 1;
  // Number of orders accepted since the start.
  std::uint64_t orders = 0;
  std::uint64_t started_ms = 1000;
  // Number of runs in progress.
  std::uint32_t running = 0;
  // Sent once in place of the next report, as a report that was delayed.
  std::optional<edge::engine_report> late_report;
  // The next order is neither carried out nor answered.
  bool lose_order = false;

  struct received_order
  {
    std::uint64_t version = 0;
    std::uint64_t expected_orders = 0;
    bool accepted = false;
  };
  std::vector<received_order> received_orders;

private:
  void serve(const http::call& c);
  void handle_order(const http::call& c);
  edge::engine_report report() const;

  http::server server_;
  // Keeps the connections of lost orders open.
  std::vector<http::call> unanswered_;
};

} // namespace cactusford::standins
