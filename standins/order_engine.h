// A stand-in engine that reports what it holds and takes weight orders. It may
// start again under its id, and answer with late word of the life before.
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

  // Fills in how reports and orders look.
  static void add_order_codecs(edge::dialect& d);

  // Starts again: orders are counted from zero, weights stay.
  void restart();

  std::string model = "m";
  std::uint64_t version = 1;
  std::uint64_t orders = 0;
  std::uint64_t started_ms = 1000;
  // The next report is this one, as if it had been made earlier.
  std::optional<edge::engine_report> late_report;
  // The next order gets no answer and is not carried out.
  bool lose_order = false;

  struct received
  {
    std::uint64_t version = 0;
    std::uint64_t expected_orders = 0;
    bool accepted = false;
  };
  std::vector<received> received_orders;

private:
  void serve(const http::call& c);
  void take_order(const http::call& c);
  edge::engine_report report() const;

  http::server server_;
  std::vector<http::call> unanswered_;
};

} // namespace cactusford::standins
