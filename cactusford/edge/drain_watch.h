// Follows the drain orders in the store and keeps those of the registry
// current.
#pragma once

#include "cactusford/backends/registry.h"
#include "cactusford/store/watcher.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cactusford::edge {

class drain_watch
{
public:
  // `on_update` is called when the orders have become known or have changed.
  // The registry must outlive the watch.
  drain_watch(asio::io_context& io,
              store::client& store,
              backends::registry& registry,
              std::string kind,
              std::uint64_t wait_ms,
              std::function<void()> on_update);

  // Until this is called, orders are neither read nor waited for.
  void start();

  // Asks the store again at once. No effect before `start`.
  void refresh() { watcher_.refresh(); }

  bool is_started() const { return is_started_; }

  // Returns true if the orders are known.
  bool is_current() const { return registry_.topology.drains.is_known; }

  std::uint64_t confirmed_ms() const { return watcher_.confirmed_ms(); }

  // Number of data centres that are drained.
  std::size_t count() const { return registry_.topology.drains.all.size(); }

private:
  void on_list(const std::vector<store::object>& all);
  void on_change(const store::change& c);
  void on_unreadable(const store::unreadable_object& u);
  void on_current();
  void take(const data_centres::order_object& o);
  void apply_pending_list();
  void record(const data_centres::order_change& c);
  bool is_in_deployment(std::string_view data_centre) const;

  backends::registry& registry_;
  std::string kind_;
  std::function<void()> on_update_;
  store::watcher watcher_;
  bool is_started_ = false;
  // A list is applied after its unreadable objects were reported, as they are
  // orders too.
  bool is_listing_ = false;
  bool is_list_complete_ = true;
  std::vector<data_centres::order_object> listed_;
  // Set if `on_update` has to be called after the current answer.
  bool has_news_ = false;
};

} // namespace cactusford::edge
