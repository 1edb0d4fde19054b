#include "cactusford/edge/reachability_probes.h"

#include "cactusford/backends/reach_evidence.h"
#include "cactusford/http/probe.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/event.h"

#include <asio/post.hpp>

#include <chrono>

namespace cactusford::edge {

namespace {

// As for the connections of calls.
constexpr std::uint64_t probe_timeout_ms = 250;

void
log_change(const data_centres::reachability_change& c)
{
  process::log_line(timeline::event{
    c.is_reachable ? "data_centre_reachable" : "data_centre_unreachable" }
                      .with("name", c.data_centre)
                      .with("failed", c.failed)
                      .with("for_ms", c.for_ms));
}

} // namespace

reachability_probes::reachability_probes(asio::io_context& io,
                                         backends::registry& registry)
  : io_{ io }
  , registry_{ registry }
  , timer_{ io }
{
}

// Posted because the evidence comes from loops over calls and runs, which the
// handlers of a change would modify.
void
reachability_probes::check()
{
  if (!is_check_posted_) {
    is_check_posted_ = true;
    asio::post(io_, [this] { handle_changes(); });
  }
}

std::size_t
reachability_probes::unreachable() const
{
  return data_centres::count_unreachable(registry_.topology.reach);
}

void
reachability_probes::handle_changes()
{
  is_check_posted_ = false;
  auto& reach = registry_.topology.reach;
  for (const auto& c : data_centres::take_changes(reach)) {
    log_change(c);
    if (c.is_reachable) {
      on_reachable();
    } else {
      on_unreachable(c.data_centre);
    }
  }
  check_doubtful();
  send_due_probes();
}

// After one silent server, the connection of another one decides at once. An
// entry with few calls would not notice otherwise: a server that has failed is
// avoided, so that two of them seldom fail within 400 ms.
void
reachability_probes::check_doubtful()
{
  const auto now = http::now_ms();
  for (const auto& name : backends::doubtful_data_centres(registry_, now)) {
    auto& checked = checked_ms_[name];
    if (now < checked + data_centres::probe_interval_ms) {
      continue;
    }
    checked = now;
    const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
    if (const auto* b = backends::choose_for_check(registry_, name, random)) {
      check_server(*b);
    }
  }
}

void
reachability_probes::check_server(const backends::backend& b)
{
  const auto on_end = [this, id = b.info.id, started_ms = http::now_ms()](
                        http::probe_result result) {
    const auto* server = backends::find(registry_, id);
    if (server == nullptr) {
      return;
    }
    const auto now = http::now_ms();
    const bool has_changed =
      result == http::probe_result::accepted
        ? backends::note_reached(registry_, *server, now)
        : backends::note_not_connected(
            registry_, *server, { started_ms, probe_timeout_ms }, now);
    if (has_changed) {
      check();
    }
  };
  http::probe(io_, b.info.address, probe_timeout_ms, on_end);
}

void
reachability_probes::send_due_probes()
{
  auto& reach = registry_.topology.reach;
  for (const auto& name :
       data_centres::take_due_probes(reach, http::now_ms())) {
    probe(name);
  }
  schedule();
}

void
reachability_probes::probe(const std::string& data_centre)
{
  const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
  const auto* b = backends::choose_for_probe(registry_, data_centre, random);
  if (b == nullptr) {
    return;
  }
  http::probe(io_,
              b->info.address,
              probe_timeout_ms,
              [this, data_centre](http::probe_result result) {
                if (result == http::probe_result::accepted) {
                  data_centres::note_answer(
                    registry_.topology.reach, data_centre, http::now_ms());
                  check();
                }
              });
}

void
reachability_probes::schedule()
{
  const auto next = data_centres::next_probe_ms(registry_.topology.reach);
  if (!next) {
    timer_.cancel();
    return;
  }
  const auto now = http::now_ms();
  timer_.expires_after(
    std::chrono::milliseconds{ *next > now ? *next - now : 0 });
  timer_.async_wait([this](asio::error_code ec) {
    if (!ec) {
      send_due_probes();
    }
  });
}

} // namespace cactusford::edge
