// Brings the engine beside a sidecar to the weight versions that trainers
// name. No other process gives this engine orders.
#pragma once

#include "cactusford/edge/dialect.h"
#include "cactusford/http/client.h"
#include "cactusford/orders/load_plan.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <string>

namespace cactusford::orders {

struct loader_settings
{
  std::string instance;
  // Where the engine listens.
  std::string engine;
};

class loader
{
public:
  loader(asio::io_context& io,
         http::client& http,
         const edge::dialect& d,
         loader_settings s);

  // A trainer has named a version; `revision` is that of the object that
  // names it.
  void on_named(const edge::published_version& v, std::uint64_t revision);

  // Where the engine stands among the others, as far as anybody has counted.
  void stand_at(const place& p);

  // Looks at the engine once in a while from now on.
  void start();

  // When the engine's present life started, by its own clock; 0: not known.
  std::uint64_t engine_started_ms() const { return started_ms_; }

private:
  void look();
  void note_up(bool is_up,
               http::end_state end,
               const store::decode_error& fault);
  bool take_life(const edge::engine_report& r);
  void on_report(const edge::engine_report& r);
  void note_versions(const edge::engine_report& r);
  std::uint64_t order_what_is_due(const edge::engine_report& r);
  void order(const edge::engine_report& r,
             const std::string& model,
             std::uint64_t version);
  void again_in(std::uint64_t ms);

  http::client& http_;
  const edge::dialect& dialect_;
  loader_settings settings_;
  asio::steady_timer timer_;
  place place_;
  load_pace pace_;
  std::map<std::string, naming> named_;
  // The highest revision acted on. It grows with each version that is named
  // and survives restarts, as it is read from the store again.
  std::uint64_t fence_ = 0;
  std::uint64_t started_ms_ = 0;
  // Versions seen at the last look in this life, and when each order was
  // accepted.
  std::map<std::string, std::uint64_t> loaded_;
  std::uint64_t ordered_ms_ = 0;
  std::string ordered_model_;
  bool asking_ = false;
  bool was_up_ = true;
};

} // namespace cactusford::orders
