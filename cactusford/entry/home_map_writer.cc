#include "cactusford/entry/home_map_writer.h"

#include "cactusford/calls/home_plan.h"
#include "cactusford/membership/rendezvous.h"
#include "cactusford/timeline/event.h"

#include <algorithm>
#include <charconv>

namespace cactusford::entry {

namespace {

constexpr std::uint64_t record_window_ms = 600000;
constexpr std::uint64_t retry_ms = 200;
constexpr std::uint64_t check_interval_ms = 500;

std::vector<std::string>
live_entries(const configuration::snapshot& view)
{
  std::vector<std::string> names;
  for (const auto& [name, i] : *view.instances) {
    if (i.value.role == "entry" &&
        i.value.state == configuration::instance_state::live) {
      names.push_back(name);
    }
  }
  return names;
}

bool
is_member(const configuration::home_map& map, const std::string& name)
{
  return std::any_of(map.members.begin(),
                     map.members.end(),
                     [&](const auto& m) { return m.instance == name; });
}

} // namespace

home_map_writer::home_map_writer(process::daemon& d)
  : daemon_{ d }
{
}

void
home_map_writer::on_announcement(const std::string& path,
                                 const std::string& message)
{
  const auto blank = message.find(' ');
  std::uint64_t number = 0;
  if (blank == std::string::npos ||
      std::from_chars(
        message.data() + blank + 1, message.data() + message.size(), number)
          .ec != std::errc{}) {
    return;
  }
  const auto instance = message.substr(0, blank);
  has_new_announcement_ = true;
  if (path == "/membership/live") {
    live_[instance] = std::max(live_[instance], number);
  } else if (path == "/membership/leaving") {
    leaving_[instance] = std::max(leaving_[instance], number);
  } else if (path == "/membership/handed_over") {
    handed_over_.emplace(instance, number);
  }
}

// The first live entry in rendezvous order writes the map. If two entries both
// consider themselves first, the conditional write lets only one of them
// succeed.
void
home_map_writer::tick()
{
  const auto view = daemon_.configuration.current();
  const auto now = process::steady_ms();
  // Each check scans the whole list, so it is skipped while nothing has
  // changed.
  if (view == checked_view_ && !has_new_announcement_ && now < next_check_ms_) {
    return;
  }
  checked_view_ = view;
  has_new_announcement_ = false;
  next_check_ms_ = now + check_interval_ms;
  const auto entries = live_entries(*view);
  forget_unlisted(*view);
  for (const auto& [service, declared] : *view->services) {
    const auto first_entry =
      membership::first_of(entries, "home_map/" + service);
    if (first_entry == daemon_.settings.instance) {
      update_map(*view, service);
    }
  }
}

// Drops the announcements of instances that are no longer listed, which would
// otherwise accumulate.
void
home_map_writer::forget_unlisted(const configuration::snapshot& view)
{
  const auto is_unlisted = [&](const auto& announcement) {
    return !view.instances->contains(announcement.first);
  };
  std::erase_if(live_, is_unlisted);
  std::erase_if(leaving_, is_unlisted);
  std::erase_if(handed_over_, [&](const auto& announcement) {
    return std::none_of(
      view.home_maps->begin(), view.home_maps->end(), [&](const auto& map) {
        const auto& former = map.second.value.former;
        return std::any_of(former.begin(), former.end(), [&](const auto& f) {
          return f.instance == announcement.first &&
                 f.until_ms == announcement.second;
        });
      });
  });
}

void
home_map_writer::update_map(const configuration::snapshot& view,
                            const std::string& service)
{
  auto& state = services_[service];
  if (state.busy || process::steady_ms() < state.not_before_ms) {
    return;
  }
  calls::plan_input in;
  std::uint64_t version = 0;
  const auto stored_map = view.home_maps->find(service);
  if (stored_map != view.home_maps->end()) {
    in.current = stored_map->second.value;
    version = stored_map->second.version;
  }
  for (const auto& [name, i] : *view.instances) {
    const bool serves = i.value.role == "sidecar" && i.value.serves == service;
    const bool is_live =
      serves && i.value.state == configuration::instance_state::live;
    const auto announced = live_.find(name);
    const auto leaving = leaving_.find(name);
    const auto incarnation = announced == live_.end() ? 0 : announced->second;
    const bool is_leaving =
      leaving != leaving_.end() && leaving->second >= incarnation;
    // While at least one server is in service, keys of a drained data centre
    // get homes elsewhere. The former home still answers the new one's
    // questions.
    const bool is_drained = view.drains->contains(i.value.data_centre);
    if (is_live && !is_leaving && !is_drained &&
        (incarnation > 0 || is_member(in.current, name))) {
      in.live[name] = incarnation;
    }
  }
  in.now_ms = timeline::wall_ms();
  in.lease_ms = daemon_.settings.lease_ms;
  in.key_window_ms = record_window_ms;
  in.handed_over = handed_over_;
  const auto next = calls::plan_homes(in);
  if (!in.live.empty() && next != in.current) {
    state.busy = true;
    write(service, version, next);
  }
}

void
home_map_writer::write(const std::string& service,
                       std::uint64_t version,
                       const configuration::home_map& next)
{
  const platform::write w{ "home_map",
                           service,
                           version,
                           configuration::to_spec(next),
                           process::generate_id(),
                           false };
  daemon_.run_on_worker(
    [this, w] { return daemon_.platform.put(w); },
    [this, service, w](const result<std::uint64_t>& r) {
      auto& state = services_[service];
      state.busy = false;
      state.not_before_ms = process::steady_ms() + retry_ms;
      if (r) {

        timeline::log(timeline::event{ "home_map_written" }
                        .with("service", service)
                        .with("version", r.value)
                        .with("spec", w.spec));
        daemon_.configuration.apply_objects(
          { { "home_map", service, r.value, false, w.spec, w.request_id } });
      }
    });
}

} // namespace cactusford::entry
