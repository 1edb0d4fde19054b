#include "cactusford/entry/entry.h"

#include "cactusford/entry/home_map_writer.h"
#include "cactusford/entry/http.h"
#include "cactusford/entry/owner.h"
#include "cactusford/entry/rpc.h"
#include "cactusford/link/request.h"
#include "cactusford/timeline/event.h"

#include <iostream>

namespace cactusford::entry {

namespace {

constexpr std::size_t worker_count = 8;
constexpr std::uint64_t tick_ms = 50;
// The platform's load balancer keeps sending requests until it polls /readyz
// again; until then callers get "leaving", which counts as not run.
constexpr std::uint64_t refuse_period_ms = 1500;
// How long callers may take to read their last answers.
constexpr std::uint64_t last_answers_ms = 500;

class entry_process
{
public:
  explicit entry_process(const settings::entry_settings& s)
    : daemon_{ s.process, worker_count }
    , dispatcher_{ daemon_, s }
    , owner_{ daemon_, s, dispatcher_ }
    , home_map_{ daemon_ }
    , http_{ daemon_, s, dispatcher_ }
    , rpc_{ daemon_, s, owner_ }
  {
  }

  failure start()
  {
    daemon_.is_serving = [this] {
      return leaving_since_ == 0 && daemon_.is_listening("http");
    };
    auto error =
      daemon_.start([this](const link::stream_ptr& s) { accept(s); });
    if (!error) {
      error = http_.start();
    }
    if (!error) {
      error = rpc_.start();
    }
    return error;
  }

  int run()
  {
    daemon_.configuration.start(
      [this](const configuration::snapshot_ptr& view, const auto&) {
        dispatcher_.on_configuration(view);
        owner_.on_configuration(view);
      });
    tick();
    return daemon_.run([this] { leave(); });
  }

private:
  void accept(const link::stream_ptr& s)
  {
    if (s->path().starts_with("/rollout/")) {
      rpc_.serve(s);
    } else if (s->path().starts_with("/membership/")) {
      s->on_message = [this, s](std::string_view m) {
        s->on_message = nullptr;
        home_map_.on_announcement(s->path(), std::string{ m });
        link::reply(*s, "noted");
      };
    } else {
      s->cancel();
    }
  }

  void leave()
  {
    leaving_since_ = process::steady_ms();
    http_.leave();
    owner_.leave();
  }

  void tick()
  {
    if (daemon_.configuration.is_ready()) {
      owner_.tick();
      home_map_.tick();
    }
    const auto now = process::steady_ms();
    const auto leaving_for_ms = leaving_since_ == 0 ? 0 : now - leaving_since_;
    const bool idle = leaving_for_ms >= refuse_period_ms &&
                      http_.open_requests() == 0 && owner_.is_idle();
    const auto limit_ms = daemon_.settings.drain_limit_ms + refuse_period_ms;
    const bool is_over = leaving_for_ms > limit_ms;
    if (is_over && !has_ended_calls_) {
      has_ended_calls_ = true;
      timeline::log(timeline::event{ "calls_ended_at_limit" }.with(
        "open", http_.open_requests()));
      dispatcher_.end_all();
    }
    const bool has_answered =
      http_.open_requests() == 0 || leaving_for_ms > limit_ms + last_answers_ms;
    if (idle || (is_over && has_answered)) {
      stop();
      return;
    }
    daemon_.run_after(tick_ms, [this] { tick(); });
  }

  // Waiting fetches need this thread in order to end, so it keeps running while
  // the RPC server stops on a worker.
  void stop()
  {
    daemon_.links.stop_listening();
    daemon_.run_on_worker(
      [this] {
        rpc_.stop();
        return true;
      },
      [this](bool) { daemon_.stop(); });
  }

  process::daemon daemon_;
  call_dispatcher dispatcher_;
  owner owner_;
  home_map_writer home_map_;
  http_server http_;
  rpc_server rpc_;
  std::uint64_t leaving_since_ = 0;
  bool has_ended_calls_ = false;
};

} // namespace

int
run(const settings::entry_settings& s)
{
  timeline::open_log(s.process.log, s.process.instance);
  entry_process e{ s };
  if (const auto error = e.start()) {
    std::cerr << message_of(error) << "\n";
    return process::exit_settings;
  }
  return e.run();
}

} // namespace cactusford::entry
