#include "cactusford/sidecar/sidecar.h"

#include "cactusford/sidecar/call_handler.h"
#include "cactusford/sidecar/weight_manager.h"

#include "cactusford/process/daemon.h"
#include "cactusford/timeline/event.h"

#include <iostream>

namespace cactusford::sidecar {

namespace {

constexpr std::size_t spare_workers = 4;
constexpr std::uint64_t tick_ms = 20;
// A leaving sidecar keeps refusing calls for this long, so that entries that do
// not know yet get "not run" rather than a closed port.
constexpr std::uint64_t refuse_period_ms = 1000;
// How long a leaving sidecar waits for the new homes to take over its keys.
// There are no new homes while the platform is down; the keys then have an
// unknown outcome and are never run twice.
constexpr std::uint64_t handover_wait_ms = 5000;

// Ticks the call handler and the weight manager, and stops the process once the
// last call has ended.
class runner
{
public:
  runner(process::daemon& d, call_handler& handler, weight_manager& weights)
    : daemon_{ d }
    , handler_{ handler }
    , weights_{ weights }
  {
  }

  void tick()
  {
    handler_.tick();
    weights_.tick();
    const auto now = process::steady_ms();
    const auto leaving_for_ms = leaving_since_ != 0 ? now - leaving_since_ : 0;
    const bool handover_timed_out =
      leaving_for_ms >= refuse_period_ms + handover_wait_ms;
    const bool idle =
      handler_.is_idle() || (!handler_.has_calls() && handover_timed_out);
    if ((idle && leaving_for_ms >= refuse_period_ms) ||
        leaving_for_ms > daemon_.settings.drain_limit_ms + refuse_period_ms) {
      daemon_.links.stop_listening();
      daemon_.run_after(tick_ms * 5, [this] { daemon_.stop(); });
      return;
    }
    daemon_.run_after(tick_ms, [this] { tick(); });
  }

  void leave()
  {
    leaving_since_ = process::steady_ms();
    handler_.leave();
  }

private:
  process::daemon& daemon_;
  call_handler& handler_;
  weight_manager& weights_;
  std::uint64_t leaving_since_ = 0;
};

} // namespace

int
run(const settings::sidecar_settings& s)
{
  timeline::open_log(s.process.log, s.process.instance);
  // Orders and version reads of the engine have their own workers, so that
  // calls occupying all others cannot delay a swap.
  process::daemon daemon{ s.process, 2UL * s.max_running + spare_workers };
  weight_manager weights{ daemon, s };
  call_handler handler{ daemon, s, weights };
  const auto error = daemon.start([&](const link::stream_ptr& stream) {
    if (stream->path() == "/calls") {
      handler.accept(stream);
    } else if (stream->path().starts_with("/calls/")) {
      handler.home().serve(stream);
    } else {
      stream->cancel();
    }
  });
  if (error) {
    std::cerr << message_of(error) << "\n";
    return process::exit_settings;
  }
  daemon.is_serving = [&] { return !handler.is_leaving(); };
  daemon.configuration.start(
    [&](const configuration::snapshot_ptr& view, const auto&) {
      weights.on_configuration(view);
      handler.home().on_configuration(view);
    });
  runner r{ daemon, handler, weights };
  r.tick();
  return daemon.run([&] { r.leave(); });
}

} // namespace cactusford::sidecar
