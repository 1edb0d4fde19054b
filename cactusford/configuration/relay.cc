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
set_fields(object& out, const platform::object& o)
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
elapsed_ms(steady::time_point t)
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
    auto self = shared_from_this();
    s->on_message = [self, raw = s.get()](std::string_view m) {
      self->on_child_message(raw, m);
    };
    s->on_close = [self, raw = s.get()](std::error_code) {
      self->children_.erase(raw);
    };
  }

  bool is_ready() const { return ready_; }
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
    return confirmed_at_ ? elapsed_ms(*confirmed_at_) : UINT64_MAX;
  }

  void apply_objects(const std::vector<platform::object>& objects)
  {
    const auto merged = merge(state_, objects);
    if (merged.empty()) {
      return;
    }
    for (const auto& o : merged) {
      timeline::log(timeline::event{ "configuration_in_force" }
                      .with("kind", o.kind)
                      .with("name", o.name)
                      .with("version", o.version)
                      .with("deleted", o.deleted ? 1U : 0U));
    }
    send_to_children(merged);
    send_report_to_parent();
    if (on_change_) {
      on_change_(state_.view, merged);
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
      child.stream->finish();
    }
  }

private:
  struct child_state
  {
    link::stream_ptr stream;
    std::uint64_t min_version = 0;
    std::uint32_t processes = 0;
  };

  // Loads the configuration for the first time. The process is not ready
  // before, because it could otherwise use an older configuration after a
  // restart than the one that it had accepted earlier.
  void load()
  {
    read_changes(0, [self = shared_from_this()](bool ok) {
      if (ok) {
        self->become_ready("platform");
      } else if (!self->settings_.peers.empty()) {
        self->query_peers();
      }
      if (!ok) {
        self->run_after(retry_interval, [self] {
          if (!self->ready_) {
            self->load();
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
      update_position();
    }
  }

  void query_peers()
  {
    for (const auto& peer : settings_.peers) {
      auto s = links_.open(link::address_from(peer), "/configuration");
      s->on_message = [self = shared_from_this(), s](std::string_view m) {
        relay_message message;
        if (message.ParseFromArray(m.data(), static_cast<int>(m.size())) &&
            message.has_update()) {
          self->apply_update(message.update());
          self->run_after(milliseconds{ peer_answer_ms / 3 },
                          [self] { self->become_ready("peers"); });
          s->cancel();
        }
      };
      send_report(s);
      run_after(milliseconds{ peer_answer_ms }, [s] { s->cancel(); });
    }
  }

  // Reads the changes on a worker thread, because the call blocks.
  void read_changes(std::uint32_t wait_ms, std::function<void(bool)> done)
  {
    const auto since = state_.max_version > 0 && wait_ms > 0 ? revision_ : 0;
    asio::post(workers_, [self = shared_from_this(), since, wait_ms, done] {
      const auto sent = steady::now();
      auto list = self->platform_.changes(since, wait_ms);
      asio::post(self->io_, [self, list = std::move(list), sent, done] {
        if (self->stopped_) {
          return;
        }
        if (list) {
          self->revision_ = std::max(self->revision_, list.value.revision);
          self->confirmed_at_ = sent;
          self->apply_objects(list.value.objects);
        }
        done(static_cast<bool>(list));
      });
    });
  }

  void watch()
  {
    if (watching_ || stopped_ || !position_.is_watcher) {
      return;
    }
    watching_ = true;
    // A response confirms the state for the duration of a lease, so the next
    // one must arrive well before the lease expires, even without changes. When
    // the wait was as long as the lease, every home queried all others although
    // the platform was up.
    const auto wait = std::min(max_watch_wait_ms, settings_.lease_ms / 3);
    read_changes(wait, [self = shared_from_this()](bool ok) {
      self->watching_ = false;
      if (ok) {
        self->watch();
      } else {
        self->run_after(retry_interval, [self] { self->watch(); });
      }
    });
  }

  void update_position()
  {
    auto next = find_position(
      *state_.view->instances, settings_.instance, settings_.data_centre);
    if (next == position_ && (position_.is_watcher || parent_)) {
      return;
    }
    if (next.parents != position_.parents) {
      parent_failures_ = 0;
    }
    position_ = std::move(next);
    const auto& parents = position_.parents;
    if (parent_ && std::find(parents.begin(), parents.end(), parent_name_) ==
                     parents.end()) {
      parent_->cancel();
      parent_ = nullptr;
    }
    if (position_.is_watcher) {
      watch();
    }
    connect_parent();
  }

  void connect_parent()
  {
    if (parent_ || position_.parents.empty() || stopped_) {
      return;
    }
    const auto& name =
      position_.parents[parent_failures_ % position_.parents.size()];
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
    auto self = shared_from_this();
    parent_->on_message = [self](std::string_view m) {
      self->on_parent_message(m);
    };
    parent_->on_close = [self](std::error_code ec) {
      timeline::log(timeline::event{ "configuration_parent_lost" }
                      .with("instance", self->parent_name_)
                      .with("error", ec.message()));
      self->parent_ = nullptr;
      ++self->parent_failures_;
    };
    send_report_to_parent();
  }

  void on_parent_message(std::string_view m)
  {
    relay_message message;
    if (!message.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
      return;
    }
    if (message.has_update()) {
      apply_update(message.update());
    }
  }

  void apply_update(const update& u)
  {
    std::vector<platform::object> objects;
    objects.reserve(static_cast<std::size_t>(u.objects_size()));
    for (const auto& o : u.objects()) {
      objects.push_back(object_from(o));
    }
    if (u.age_ms() != UINT32_MAX) {
      const auto time = steady::now() - milliseconds{ u.age_ms() };
      if (u.max_version() >= state_.max_version &&
          (!confirmed_at_ || *confirmed_at_ < time)) {
        confirmed_at_ = time;
      }
    }
    apply_objects(objects);
    // The parent is behind, for example after a restart while the platform was
    // down.
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
      apply_update(message.update());
    }
    if (message.has_report()) {
      const auto& r = message.report();
      found->second.min_version = r.min_version();
      found->second.processes = r.processes();
      sync_child(found->second.stream, r);
    }
  }

  // Nothing is missing if the digests are equal. A child that is behind gets
  // the newer objects. Any other difference means that a message was lost, so
  // the child gets all objects.
  void sync_child(const link::stream_ptr& s, const report& r)
  {
    std::vector<platform::object> objects;
    if (r.digest() != state_.digest) {
      const bool is_behind = r.max_version() < state_.max_version;
      objects = newer_than(state_, is_behind ? r.max_version() : 0);
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
      set_fields(*u.add_objects(), o);
    }
    s->send(message.SerializeAsString());
  }

  void send_to_children(const std::vector<platform::object>& objects)
  {
    for (const auto& [raw, child] : children_) {
      send_update(child.stream, objects);
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

  void send_report_to_parent()
  {
    if (parent_ && !position_.is_watcher) {
      send_report(parent_);
    } else if (parent_) {
      send_state_to_watcher();
    }
  }

  // Watchers compare their states with each other. Without a process count in
  // the report, a watcher is not counted as a child of another one.
  void send_state_to_watcher()
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
    run_after(tick_interval, [self = shared_from_this()] {
      if (self->ready_) {
        self->update_position();
        self->send_report_to_parent();
      }
      self->tick();
    });
  }

  void run_after(milliseconds delay, std::function<void()> callback)
  {
    auto t = std::make_shared<asio::steady_timer>(io_, delay);
    t->async_wait([self = shared_from_this(), t, callback](asio::error_code) {
      if (!self->stopped_) {
        callback();
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
  tree_position position_;
  std::uint64_t revision_ = 0;
  std::optional<steady::time_point> confirmed_at_;
  link::stream_ptr parent_;
  std::string parent_name_;
  std::size_t parent_failures_ = 0;
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
  return impl_->is_ready();
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
  impl_->apply_objects(objects);
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
