#include "cactusford/configuration/relay.h"

#include "cactusford/configuration/configuration.pb.h"
#include "cactusford/configuration/tree.h"
#include "cactusford/timeline/event.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <unordered_map>

namespace cactusford::configuration {

namespace {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds tick_interval{ 1000 };
constexpr milliseconds retry_interval{ 300 };
constexpr std::uint32_t max_watch_wait_ms = 10000;
constexpr std::uint32_t peer_answer_ms = 1500;
constexpr std::size_t max_children = 512;

void
fill(object& out, const platform::object& o)
{
  out.set_kind(o.kind);
  out.set_name(o.name);
  out.set_version(o.version);
  out.set_deleted(o.deleted);
  out.set_spec(o.spec);
  out.set_request_id(o.request_id);
}

platform::object
object_from(const object& in)
{
  return { in.kind(),    in.name(), in.version(),
           in.deleted(), in.spec(), in.request_id() };
}

std::uint64_t
ms_since(steady::time_point t)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(steady::now() - t).count());
}

} // namespace

class relay::impl : public std::enable_shared_from_this<impl>
{
public:
  impl(asio::io_context& io,
       asio::thread_pool& workers,
       link::endpoint& links,
       platform::client& platform,
       const settings::process_settings& s)
    : io_{ io }
    , workers_{ workers }
    , links_{ links }
    , platform_{ platform }
    , settings_{ s }
    , timer_{ io }
  {
  }

  void start(change_handler on_change)
  {
    on_change_ = std::move(on_change);
    load();
    tick();
  }

  void serve(const link::stream_ptr& s)
  {
    if (children_.size() >= max_children) {
      s->finish();
      return;
    }
    children_[s.get()] = { s, {} };
    auto me = shared_from_this();
    s->on_message = [me, raw = s.get()](std::string_view m) {
      me->on_child_message(raw, m);
    };
    s->on_close = [me, raw = s.get()](std::error_code) {
      me->children_.erase(raw);
    };
  }

  bool ready() const { return ready_; }
  snapshot_ptr current() const { return state_.view; }

  coverage subtree_coverage() const
  {
    coverage c{ state_.max_version, 1 };
    for (const auto& [raw, child] : children_) {
      if (child.processes > 0) {
        c.version = std::min(c.version, child.min_version);
        c.processes += child.processes;
      }
    }
    return c;
  }

  std::uint64_t confirmed_age_ms() const
  {
    return confirmed_ ? ms_since(*confirmed_) : UINT64_MAX;
  }

  void take(const std::vector<platform::object>& objects)
  {
    const auto taken = merge(state_, objects);
    if (taken.empty()) {
      return;
    }
    for (const auto& o : taken) {
      timeline::log(timeline::event{ "configuration_in_force" }
                      .with("kind", o.kind)
                      .with("name", o.name)
                      .with("version", o.version)
                      .with("deleted", o.deleted ? 1U : 0U));
    }
    send_to_children(taken);
    report_upwards();
    if (on_change_) {
      on_change_(state_.view, taken);
    }
  }

  void stop()
  {
    stopped_ = true;
    timer_.cancel();
    if (parent_) {
      parent_->cancel();
      parent_ = nullptr;
    }
    for (auto& [raw, child] : std::exchange(children_, {})) {
      child.s->finish();
    }
  }

private:
  struct child_state
  {
    link::stream_ptr s;
    std::uint64_t min_version = 0;
    std::uint32_t processes = 0;
  };

  // First load. Not ready before it, or a restarted process could decide on
  // an older configuration than the one it had accepted before.
  void load()
  {
    read_platform(0, [me = shared_from_this()](bool ok) {
      if (ok) {
        me->become_ready("platform");
      } else if (!me->settings_.peers.empty()) {
        me->ask_peers();
      }
      if (!ok) {
        me->after(retry_interval, [me] {
          if (!me->ready_) {
            me->load();
          }
        });
      }
    });
  }

  void become_ready(std::string_view source)
  {
    if (!ready_) {
      ready_ = true;
      timeline::log(timeline::event{ "configuration_ready" }
                      .with("source", source)
                      .with("version", state_.max_version));
      if (on_change_) {
        on_change_(state_.view, {});
      }
      place_self();
    }
  }

  void ask_peers()
  {
    for (const auto& peer : settings_.peers) {
      auto s = links_.open(link::address_from(peer), "/configuration");
      s->on_message = [me = shared_from_this(), s](std::string_view m) {
        relay_message message;
        if (message.ParseFromArray(m.data(), static_cast<int>(m.size())) &&
            message.has_update()) {
          me->take_update(message.update());
          me->after(milliseconds{ peer_answer_ms / 3 },
                    [me] { me->become_ready("peers"); });
          s->cancel();
        }
      };
      send_report(s);
      after(milliseconds{ peer_answer_ms }, [s] { s->cancel(); });
    }
  }

  // Reads the changes on a worker thread, as the call blocks.
  void read_platform(std::uint32_t wait_ms, std::function<void(bool)> done)
  {
    const auto since = state_.max_version > 0 && wait_ms > 0 ? revision_ : 0;
    asio::post(workers_, [me = shared_from_this(), since, wait_ms, done] {
      const auto sent = steady::now();
      auto list = me->platform_.changes(since, wait_ms);
      asio::post(me->io_, [me, list = std::move(list), sent, done] {
        if (me->stopped_) {
          return;
        }
        if (list) {
          me->revision_ = std::max(me->revision_, list.value.revision);
          me->confirmed_ = sent;
          me->take(list.value.objects);
        }
        done(static_cast<bool>(list));
      });
    });
  }

  void watch()
  {
    if (watching_ || stopped_ || !place_.is_watcher) {
      return;
    }
    watching_ = true;
    // An answer confirms the state for a lease, so that one must come well
    // within it also when nothing changes. With a wait as long as the lease
    // every home asked every other one, although the platform was up.
    const auto wait = std::min(max_watch_wait_ms, settings_.lease_ms / 3);
    read_platform(wait, [me = shared_from_this()](bool ok) {
      me->watching_ = false;
      if (ok) {
        me->watch();
      } else {
        me->after(retry_interval, [me] { me->watch(); });
      }
    });
  }

  void place_self()
  {
    auto next = find_position(
      *state_.view->instances, settings_.instance, settings_.data_centre);
    if (next == place_ && (place_.is_watcher || parent_)) {
      return;
    }
    if (next.parents != place_.parents) {
      failures_ = 0;
    }
    place_ = std::move(next);
    const auto& parents = place_.parents;
    if (parent_ && std::find(parents.begin(), parents.end(), parent_name_) ==
                     parents.end()) {
      parent_->cancel();
      parent_ = nullptr;
    }
    if (place_.is_watcher) {
      watch();
    }
    connect_parent();
  }

  void connect_parent()
  {
    if (parent_ || place_.parents.empty() || stopped_) {
      return;
    }
    const auto& name = place_.parents[failures_ % place_.parents.size()];
    const auto& instances = *state_.view->instances;
    const auto found = instances.find(name);
    if (found == instances.end()) {
      return;
    }
    parent_ = links_.open(link::address_from(found->second.value.link),
                          "/configuration");
    parent_name_ = name;
    timeline::log(
      timeline::event{ "configuration_parent" }.with("instance", name));
    auto me = shared_from_this();
    parent_->on_message = [me](std::string_view m) {
      me->on_parent_message(m);
    };
    parent_->on_close = [me](std::error_code ec) {
      timeline::log(timeline::event{ "configuration_parent_lost" }
                      .with("instance", me->parent_name_)
                      .with("error", ec.message()));
      me->parent_ = nullptr;
      ++me->failures_;
    };
    report_upwards();
  }

  void on_parent_message(std::string_view m)
  {
    relay_message message;
    if (!message.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
      return;
    }
    if (message.has_update()) {
      take_update(message.update());
    }
  }

  void take_update(const update& u)
  {
    std::vector<platform::object> objects;
    objects.reserve(static_cast<std::size_t>(u.objects_size()));
    for (const auto& o : u.objects()) {
      objects.push_back(object_from(o));
    }
    if (u.age_ms() != UINT32_MAX) {
      const auto at = steady::now() - milliseconds{ u.age_ms() };
      if (u.max_version() >= state_.max_version &&
          (!confirmed_ || *confirmed_ < at)) {
        confirmed_ = at;
      }
    }
    take(objects);
    // The parent knows less, for example after its own restart in an outage.
    if (parent_ && u.max_version() < state_.max_version) {
      send_update(parent_, newer_than(state_, u.max_version()));
    }
  }

  void on_child_message(link::stream* raw, std::string_view m)
  {
    relay_message message;
    const auto found = children_.find(raw);
    if (found == children_.end() ||
        !message.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
      raw->cancel();
      children_.erase(raw);
      return;
    }
    if (message.has_update()) {
      take_update(message.update());
    }
    if (message.has_report()) {
      const auto& r = message.report();
      found->second.min_version = r.min_version();
      found->second.processes = r.processes();
      repair(found->second.s, r);
    }
  }

  // Equal digests need nothing. A child that is merely behind gets the newer
  // objects; one that differs otherwise has lost a message and gets all.
  void repair(const link::stream_ptr& s, const report& r)
  {
    std::vector<platform::object> objects;
    if (r.digest() != state_.digest) {
      const bool behind = r.max_version() < state_.max_version;
      objects = newer_than(state_, behind ? r.max_version() : 0);
    }
    send_update(s, objects);
  }

  void send_update(const link::stream_ptr& s,
                   const std::vector<platform::object>& objects)
  {
    relay_message message;
    auto& u = *message.mutable_update();
    u.set_max_version(state_.max_version);
    u.set_digest(state_.digest);
    u.set_age_ms(static_cast<std::uint32_t>(
      std::min<std::uint64_t>(confirmed_age_ms(), UINT32_MAX)));
    const auto c = subtree_coverage();
    u.set_covered_version(c.version);
    u.set_covered_processes(c.processes);
    for (const auto& o : objects) {
      fill(*u.add_objects(), o);
    }
    s->send(message.SerializeAsString());
  }

  void send_to_children(const std::vector<platform::object>& objects)
  {
    for (const auto& [raw, child] : children_) {
      send_update(child.s, objects);
    }
  }

  void send_report(const link::stream_ptr& s)
  {
    const auto c = subtree_coverage();
    relay_message message;
    auto& r = *message.mutable_report();
    r.set_instance(settings_.instance);
    r.set_min_version(c.version);
    r.set_processes(c.processes);
    r.set_max_version(state_.max_version);
    r.set_digest(state_.digest);
    s->send(message.SerializeAsString());
  }

  void report_upwards()
  {
    if (parent_ && !place_.is_watcher) {
      send_report(parent_);
    } else if (parent_) {
      send_peer_report();
    }
  }

  // Watchers compare states with one another, but count themselves only once.
  void send_peer_report()
  {
    relay_message message;
    auto& r = *message.mutable_report();
    r.set_instance(settings_.instance);
    r.set_max_version(state_.max_version);
    r.set_digest(state_.digest);
    parent_->send(message.SerializeAsString());
  }

  void tick()
  {
    after(tick_interval, [me = shared_from_this()] {
      if (me->ready_) {
        me->place_self();
        me->report_upwards();
      }
      me->tick();
    });
  }

  void after(milliseconds delay, std::function<void()> run)
  {
    auto t = std::make_shared<asio::steady_timer>(io_, delay);
    t->async_wait([me = shared_from_this(), t, run](asio::error_code) {
      if (!me->stopped_) {
        run();
      }
    });
  }

  asio::io_context& io_;
  asio::thread_pool& workers_;
  link::endpoint& links_;
  platform::client& platform_;
  settings::process_settings settings_;
  asio::steady_timer timer_;
  change_handler on_change_;
  state state_;
  place place_;
  std::uint64_t revision_ = 0;
  std::optional<steady::time_point> confirmed_;
  link::stream_ptr parent_;
  std::string parent_name_;
  std::size_t failures_ = 0;
  std::unordered_map<link::stream*, child_state> children_;
  bool ready_ = false;
  bool watching_ = false;
  bool stopped_ = false;
};

relay::relay(asio::io_context& io,
             asio::thread_pool& workers,
             link::endpoint& links,
             platform::client& platform,
             const settings::process_settings& s)
  : impl_{ std::make_shared<impl>(io, workers, links, platform, s) }
{
}

relay::~relay() = default;

void
relay::start(change_handler on_change)
{
  impl_->start(std::move(on_change));
}

void
relay::serve(const link::stream_ptr& s)
{
  impl_->serve(s);
}

bool
relay::is_ready() const
{
  return impl_->ready();
}

snapshot_ptr
relay::current() const
{
  return impl_->current();
}

coverage
relay::subtree_coverage() const
{
  return impl_->subtree_coverage();
}

void
relay::apply_objects(const std::vector<platform::object>& objects)
{
  impl_->take(objects);
}

std::uint64_t
relay::confirmed_age_ms() const
{
  return impl_->confirmed_age_ms();
}

void
relay::stop()
{
  impl_->stop();
}

} // namespace cactusford::configuration
