#include "cactusford/sidecar/sidecar.h"

#include "cactusford/sidecar/gate.h"
#include "cactusford/sidecar/weight_keeper.h"

#include "cactusford/process/daemon.h"
#include "cactusford/timeline/event.h"

#include <iostream>

namespace cactusford::sidecar {

namespace {

constexpr std::size_t spare_workers = 4;
constexpr std::uint64_t tick_ms = 20;
// A leaving sidecar goes on refusing for this long, so that entries which
// have not heard of it yet get "not run" and not a dead port.
constexpr std::uint64_t refuse_ms = 1000;
// How long it waits for the new homes of its keys. They cannot come while the
// platform is down; its keys are then of unknown outcome, never run twice.
constexpr std::uint64_t handover_ms = 5000;

// Ticks the gate and the weight keeper, and ends the process when the last
// call has.
class runner
{
public:
  runner(process::daemon& d, gate& g, weight_keeper& w)
    : daemon_{ d }
    , gate_{ g }
    , weights_{ w }
  {
  }

  void tick()
  {
    gate_.tick();
    weights_.tick();
    const auto now = process::steady_ms();
    const auto left = leaving_since_ != 0 ? now - leaving_since_ : 0;
    const bool waited = left >= refuse_ms + handover_ms;
    const bool idle = gate_.is_idle() || (!gate_.has_calls() && waited);
    if ((idle && left >= refuse_ms) ||
        left > daemon_.settings.drain_limit_ms + refuse_ms) {
      daemon_.links.stop_listening();
      daemon_.after(tick_ms * 5, [this] { daemon_.stop(); });
      return;
    }
    daemon_.after(tick_ms, [this] { tick(); });
  }

  void leave()
  {
    leaving_since_ = process::steady_ms();
    gate_.leave();
  }

private:
  process::daemon& daemon_;
  gate& gate_;
  weight_keeper& weights_;
  std::uint64_t leaving_since_ = 0;
};

} // namespace

int
run(const settings::sidecar_settings& s)
{
  timeline::open_log(s.process.log, s.process.instance);
  // Orders and reads of the engine have workers of their own: calls that fill
  // all others must not hold up a swap.
  process::daemon daemon{ s.process, 2UL * s.max_running + spare_workers };
  weight_keeper weights{ daemon, s };
  gate calls{ daemon, s, weights };
  const auto wrong = daemon.start([&](const link::stream_ptr& stream) {
    if (stream->path() == "/calls") {
      calls.accept(stream);
    } else if (stream->path().starts_with("/calls/")) {
      calls.homes().serve(stream);
    } else {
      stream->cancel();
    }
  });
  if (wrong) {
    std::cerr << message_of(wrong) << "\n";
    return process::exit_settings;
  }
  daemon.is_serving = [&] { return !calls.is_leaving(); };
  daemon.configuration.start(
    [&](const configuration::snapshot_ptr& view, const auto&) {
      weights.on_configuration(view);
      calls.homes().on_configuration(view);
    });
  runner r{ daemon, calls, weights };
  r.tick();
  daemon.run([&] { r.leave(); });
  return process::exit_ok;
}

} // namespace cactusford::sidecar
