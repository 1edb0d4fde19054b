#include "cactusford/entry/entry.h"

#include "cactusford/entry/home_keeper.h"
#include "cactusford/entry/http.h"
#include "cactusford/entry/owner.h"
#include "cactusford/entry/rpc.h"
#include "cactusford/link/ask.h"
#include "cactusford/timeline/event.h"

#include <iostream>

namespace cactusford::entry {

namespace {

constexpr std::size_t worker_count = 8;
constexpr std::uint64_t tick_ms = 50;
// The platform's balancer goes on sending for a while; until it has looked at
// /readyz again, callers get "leaving", which is not run.
constexpr std::uint64_t refuse_ms = 1500;

class process_entry
{
public:
  explicit process_entry(const settings::entry_settings& s)
    : daemon_{ s.process, worker_count }
    , calls_{ daemon_, s }
    , owner_{ daemon_, s, calls_ }
    , homes_{ daemon_ }
    , http_{ daemon_, s, calls_ }
    , rpc_{ daemon_, s, owner_ }
  {
  }

  failure start()
  {
    daemon_.is_serving = [this] { return leaving_since_ == 0; };
    auto wrong =
      daemon_.start([this](const link::stream_ptr& s) { accept(s); });
    if (!wrong) {
      wrong = http_.start();
    }
    if (!wrong) {
      wrong = rpc_.start();
    }
    return wrong;
  }

  void run()
  {
    daemon_.configuration.start(
      [this](const configuration::snapshot_ptr& view, const auto&) {
        calls_.on_configuration(view);
        owner_.on_configuration(view);
      });
    tick();
    daemon_.run([this] { leave(); });
  }

private:
  void accept(const link::stream_ptr& s)
  {
    if (s->path().starts_with("/rollout/")) {
      rpc_.serve(s);
    } else if (s->path().starts_with("/membership/")) {
      s->on_message = [this, s](std::string_view m) {
        s->on_message = nullptr;
        homes_.on_word(s->path(), std::string{ m });
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
      homes_.tick();
    }
    const auto now = process::steady_ms();
    const auto left = leaving_since_ == 0 ? 0 : now - leaving_since_;
    const bool idle =
      left >= refuse_ms && http_.open_requests() == 0 && owner_.is_idle();
    if (idle || left > daemon_.settings.drain_limit_ms + refuse_ms) {
      stop();
      return;
    }
    daemon_.after(tick_ms, [this] { tick(); });
  }

  // Waiting fetches need this thread to end, so it goes on turning meanwhile.
  void stop()
  {
    daemon_.links.stop_listening();
    daemon_.work(
      [this] {
        rpc_.stop();
        return true;
      },
      [this](bool) { daemon_.stop(); });
  }

  process::daemon daemon_;
  caller calls_;
  owner owner_;
  home_keeper homes_;
  http_server http_;
  rpc_server rpc_;
  std::uint64_t leaving_since_ = 0;
};

} // namespace

int
run(const settings::entry_settings& s)
{
  timeline::open_log(s.process.log, s.process.instance);
  process_entry e{ s };
  if (const auto wrong = e.start()) {
    std::cerr << message_of(wrong) << "\n";
    return process::exit_settings;
  }
  e.run();
  return process::exit_ok;
}

} // namespace cactusford::entry
