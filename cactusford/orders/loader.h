// Makes the engine beside a sidecar load the weight versions that trainers
// publish. No other process sends orders to this engine.
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
  // Address of the engine.
  std::string engine;
};

class loader
{
public:
  loader(asio::io_context& io,
         http::client& http,
         const edge::dialect& d,
         loader_settings s);

  // Called when a trainer has published a version; `revision` is the store
  // revision of the object that announces it.
  void on_published(const edge::published_version& v, std::uint64_t revision);

  // Sets the position among all engines, as assigned by a relay.
  void set_position(const engine_position& p);

  // Sets the ages of the oldest runs that need the engine's weights, by model,
  // as stated by a relay.
  void set_pinned(const std::map<std::string, std::uint64_t>& ages_ms);

  // Starts polling the engine.
  void start();

  // Start of the engine's current incarnation, by the engine's clock; 0 if not
  // known.
  std::uint64_t engine_started_ms() const { return started_ms_; }

private:
  void poll_engine();
  void log_reachability(bool is_reachable,
                        http::exchange_outcome end,
                        const store::decode_error& error);
  bool accept_incarnation(const edge::engine_report& r);
  void on_report(const edge::engine_report& r);
  void update_loaded_versions(const edge::engine_report& r);
  std::uint64_t send_due_order(const edge::engine_report& r);
  bool is_load_held(const std::string& model,
                    const publication& last,
                    std::uint64_t now);
  void send_order(const edge::engine_report& r,
                  const std::string& model,
                  std::uint64_t version);
  void schedule_poll(std::uint64_t ms);

  http::client& http_;
  const edge::dialect& dialect_;
  loader_settings settings_;
  asio::steady_timer timer_;
  engine_position position_;
  load_pacing pacing_;
  std::map<std::string, publication> published_;
  // Fencing token of orders: the highest revision seen. It grows with every
  // published version and survives restarts, as it is read from the store
  // again.
  std::uint64_t fence_ = 0;
  std::uint64_t started_ms_ = 0;
  // Loads that are due, by model.
  std::map<std::string, due_load> due_loads_;
  // Start times of the oldest runs that need the engine's weights, by model,
  // and when a relay stated them.
  std::map<std::string, std::uint64_t> pinned_since_ms_;
  std::uint64_t pinned_at_ms_ = 0;
  // Versions in the last report of this incarnation, and when the last order
  // was sent.
  std::map<std::string, std::uint64_t> loaded_versions_;
  std::uint64_t order_sent_ms_ = 0;
  std::string ordered_model_;
  bool is_request_open_ = false;
  bool was_reachable_ = true;
};

} // namespace cactusford::orders
