#include "cactusford/edge/drain_watch.h"

#include "cactusford/backends/warm_up_events.h"
#include "cactusford/http/clock.h"
#include "cactusford/process/line_log.h"

#include <utility>

namespace cactusford::edge {

drain_watch::drain_watch(asio::io_context& io,
                         store::client& store,
                         backends::registry& registry,
                         std::string kind,
                         std::uint64_t wait_ms,
                         std::function<void()> on_update)
  : registry_{ registry }
  , kind_{ std::move(kind) }
  , on_update_{ std::move(on_update) }
  , watcher_{ io,
              store,
              { kind_, wait_ms, 0, true, true },
              { [this](std::vector<store::object>&& all) { on_list(all); },
                [this](store::change&& c) { on_change(c); },
                [this] { on_current(); },
                [this](const store::unreadable_object& u) {
                  on_unreadable(u);
                } } }
{
}

void
drain_watch::start()
{
  is_started_ = true;
  registry_.topology.drains.is_known = false;
  watcher_.start();
}

void
drain_watch::on_list(const std::vector<store::object>& all)
{
  is_listing_ = true;
  is_list_complete_ = true;
  listed_.clear();
  for (const auto& o : all) {
    listed_.push_back({ o.name, o.revision, false });
  }
}

void
drain_watch::on_change(const store::change& c)
{
  take({ c.value.name, c.value.revision, c.deleted });
}

// Only the name of an order matters, so an object with an unreadable spec is
// one too.
void
drain_watch::on_unreadable(const store::unreadable_object& u)
{
  store::log_unreadable(kind_, u);
  if (u.name.empty()) {
    is_list_complete_ = false;
    return;
  }
  take({ u.name, u.revision, u.deleted });
}

void
drain_watch::take(const data_centres::order_object& o)
{
  if (is_listing_) {
    listed_.push_back(o);
    return;
  }
  if (const auto change =
        data_centres::apply_change(registry_.topology.drains, o)) {
    record(*change);
  }
}

void
drain_watch::apply_pending_list()
{
  if (!std::exchange(is_listing_, false)) {
    return;
  }
  has_news_ = has_news_ || !is_current();
  for (const auto& c : data_centres::apply_list(
         registry_.topology.drains, listed_, is_list_complete_)) {
    record(c);
  }
}

void
drain_watch::on_current()
{
  apply_pending_list();
  if (std::exchange(has_news_, false)) {
    on_update_();
  }
}

// A deployment may declare no data centres; then no name is unknown.
bool
drain_watch::is_in_deployment(std::string_view data_centre) const
{
  const auto& regions = registry_.topology.regions;
  return regions.empty() || regions.contains(data_centre);
}

void
drain_watch::record(const data_centres::order_change& c)
{
  const bool is_drained = c.what == data_centres::order_event::drained;
  process::log_line(
    timeline::event{ is_drained ? "data_centre_drained"
                                : "data_centre_undrained" }
      .with("name", c.data_centre)
      .with("revision", c.revision)
      .with("known", is_in_deployment(c.data_centre) ? 1U : 0U));
  if (!is_drained) {
    backends::note_undrained(registry_, c.data_centre, http::now_ms());
  }
  has_news_ = true;
}

} // namespace cactusford::edge
