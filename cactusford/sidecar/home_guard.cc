#include "cactusford/sidecar/home_guard.h"

#include "cactusford/link/ask.h"
#include "cactusford/membership/rendezvous.h"
#include "cactusford/timeline/event.h"

#include <algorithm>

namespace cactusford::sidecar {

namespace {

constexpr std::uint64_t ask_interval_ms = 100;
constexpr std::uint64_t announce_interval_ms = 300;
// A spare backend server only waits for a home to leave.
constexpr std::uint64_t spare_interval_ms = 30000;
constexpr std::uint32_t ask_timeout_ms = 1000;
constexpr std::size_t announce_to = 3;
constexpr std::uint32_t retry_ms = 100;

} // namespace

home_guard::home_guard(process::daemon& d,
                       const settings::sidecar_settings& s,
                       calls::record& r,
                       std::function<bool(const std::string&)> is_running)
  : daemon_{ d }
  , settings_{ s }
  , record_{ r }
  , is_running_{ std::move(is_running) }
{
  tenure_.self = s.process.instance;
  tenure_.lease_ms = s.process.lease_ms;
  tenure_.incarnation_ms = d.incarnation;
}

void
home_guard::on_configuration(const configuration::snapshot_ptr& view)
{
  const auto map = view->home_maps->find(settings_.serves);
  if (map == view->home_maps->end() ||
      map->second.version <= tenure_.map_version) {
    return;
  }
  calls::adopt(tenure_,
               map->second.value,
               map->second.version,
               timeline::wall_ms(),
               process::steady_ms());
  asked_.clear();
  served_.clear();
  next_ask_ms_ = 0;
  timeline::log(timeline::event{ "home_map_adopted" }
                  .with("service", settings_.serves)
                  .with("version", tenure_.map_version)
                  .with("member", is_member() ? 1U : 0U));
}

bool
home_guard::is_member() const
{
  return std::any_of(tenure_.map.members.begin(),
                     tenure_.map.members.end(),
                     [&](const auto& m) { return m.instance == tenure_.self; });
}

std::string
home_guard::link_of(const std::string& instance) const
{
  const auto view = daemon_.configuration.current();
  const auto found = view->instances->find(instance);
  return found == view->instances->end() ? std::string{}
                                         : found->second.value.link;
}

void
home_guard::tick()
{
  const auto now = process::steady_ms();
  if (is_member() && now >= next_ask_ms_) {
    next_ask_ms_ = now + ask_interval_ms;
    for (const auto& id : std::set{ tenure_.pending }) {
      const auto from = id.substr(0, id.find('#'));
      if (from != tenure_.self) {
        ask_handover(from);
      }
    }
  }
  // While the platform confirms the map nobody else need be asked.
  // It is asked only where keyed calls come: each home asks all others.
  const auto lease = settings_.process.lease_ms;
  const bool wanted = last_keyed_ms_ != 0 && now - last_keyed_ms_ < lease;
  if (is_member() && wanted && now >= next_confirm_ms_ &&
      daemon_.configuration.confirmed_age_ms() > lease * 2 / 3) {
    next_confirm_ms_ = now + lease / 3;
    confirm();
  }
  if (settings_.kind == settings::backend_kind::service &&
      daemon_.configuration.is_ready() && now >= next_announce_ms_) {
    const bool full =
      tenure_.map.members.size() >= configuration::max_home_members;
    next_announce_ms_ =
      now + (full && !leaving_ ? spare_interval_ms : announce_interval_ms);
    announce_state();
  }
}

// The platform's list is late, and does not tell two processes of one instance
// apart. Its own word does.
void
home_guard::announce_state()
{
  const auto incarnation = std::to_string(daemon_.incarnation);
  if (leaving_ && is_member()) {
    announce("/membership/leaving", incarnation);
  } else if (!leaving_ && !is_member()) {
    announce("/membership/live", incarnation);
  }
  if (!leaving_ || is_member() || !is_handed_over()) {
    return;
  }
  for (const auto& f : tenure_.map.former) {
    if (f.instance == tenure_.self && f.incarnation == daemon_.incarnation) {
      announce("/membership/handed_over", std::to_string(f.until_ms));
    }
  }
}

void
home_guard::ask_handover(const std::string& from)
{
  const auto link = link_of(from);
  if (link.empty() || !asked_.insert(from).second) {
    return;
  }
  calls::handover_request r;
  r.set_requester(tenure_.self);
  r.set_map_version(tenure_.map_version);
  link::ask(daemon_.io,
            daemon_.links,
            link::address_from(link),
            "/calls/handover",
            r.SerializeAsString(),
            ask_timeout_ms,
            [this, from](const result<std::string>& answer) {
              asked_.erase(from);
              calls::handover_reply reply;
              if (answer && reply.ParseFromString(answer.value)) {
                take_handover(from, reply);
              }
            });
}

void
home_guard::take_handover(const std::string& from,
                          const calls::handover_reply& reply)
{
  if (reply.map_version() != tenure_.map_version || !reply.complete()) {
    return;
  }
  for (const auto& k : reply.keys()) {
    calls::kept_answer_ptr answer;
    if (k.has_answer()) {
      answer = std::make_shared<const calls::kept_answer>(calls::kept_answer{
        k.answer().status(), k.answer().content_type(), k.answer().body() });
    }
    calls::import_key(
      record_, { k.key(), k.issued_ms(), k.fingerprint() }, answer);
  }
  timeline::log(timeline::event{ "keys_taken_over" }
                  .with("from", from)
                  .with("keys", static_cast<std::uint64_t>(reply.keys_size()))
                  .with("version", reply.map_version()));
  calls::on_handover(tenure_,
                     from,
                     reply.incarnation(),
                     reply.map_version(),
                     reply.complete(),
                     reply.floor_ms(),
                     timeline::wall_ms());
}

// From the moment of this reply on, keys are judged here by the newer map, so
// that none of those handed over can still begin here.
calls::handover_reply
home_guard::hand_over(const calls::handover_request& r)
{
  calls::handover_reply reply;
  reply.set_map_version(tenure_.map_version);
  reply.set_incarnation(daemon_.incarnation);
  if (tenure_.map_version != r.map_version()) {
    return reply;
  }
  reply.set_floor_ms(calls::own_floor(tenure_));
  reply.set_complete(true);
  for (const auto& [key, e] : record_.entries) {
    if (calls::home_of(tenure_.map, key).instance != r.requester()) {
      continue;
    }
    if (is_running_(key)) {
      reply.set_complete(false);
      reply.clear_keys();
      return reply;
    }
    auto& k = *reply.add_keys();
    k.set_key(key);
    k.set_issued_ms(e.issued_ms);
    k.set_fingerprint(e.fingerprint);
    if (e.answer) {
      k.mutable_answer()->set_status(e.answer->status);
      k.mutable_answer()->set_content_type(e.answer->content_type);
      k.mutable_answer()->set_body(e.answer->body);
    }
  }
  served_.insert(r.requester());
  return reply;
}

void
home_guard::serve(const link::stream_ptr& s)
{
  s->on_message = [this, s](std::string_view m) {
    s->on_message = nullptr;
    if (s->path() == "/calls/confirm") {
      calls::confirm_reply reply;
      reply.set_map_version(tenure_.map_version);
      link::reply(*s, reply.SerializeAsString());
      return;
    }
    calls::handover_request r;
    if (!r.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
      s->cancel();
      return;
    }
    link::reply(*s, hand_over(r).SerializeAsString());
  };
}

void
home_guard::confirm()
{
  const auto asked = process::steady_ms();
  const auto version = tenure_.map_version;
  const auto agreed = std::make_shared<std::size_t>(0);
  for (const auto& m : tenure_.map.members) {
    const auto link = link_of(m.instance);
    if (m.instance == tenure_.self || link.empty()) {
      continue;
    }
    link::ask(daemon_.io,
              daemon_.links,
              link::address_from(link),
              "/calls/confirm",
              calls::confirm_request{}.SerializeAsString() + "?",
              ask_timeout_ms,
              [this, asked, version, agreed](const result<std::string>& r) {
                calls::confirm_reply reply;
                if (r && reply.ParseFromString(r.value) &&
                    reply.map_version() <= version &&
                    tenure_.map_version == version) {
                  calls::on_confirmed(tenure_, ++*agreed, asked);
                }
              });
  }
  calls::on_confirmed(tenure_, 0, asked);
}

failure
home_guard::judge(const std::string& key)
{
  if (tenure_.map_version == 0) {
    return { error_kind::not_home, "there is no home map yet", retry_ms };
  }
  const auto home = calls::home_of(tenure_.map, key);
  if (home.instance != tenure_.self) {
    return { error_kind::not_home, "the home is " + home.instance, retry_ms };
  }
  const auto now = process::steady_ms();
  last_keyed_ms_ = now;
  if (!calls::is_current(
        tenure_, daemon_.configuration.confirmed_age_ms(), now)) {
    return { error_kind::not_home,
             "the lease of the home map has lapsed",
             retry_ms };
  }
  const auto judged = calls::judge_key(tenure_, key, now);
  record_.tenure_ms = judged.tenure_ms;
  return judged.why;
}

void
home_guard::leave()
{
  leaving_ = true;
}

bool
home_guard::is_handed_over() const
{
  if (settings_.kind != settings::backend_kind::service ||
      tenure_.map_version == 0) {
    return true;
  }
  if (is_member()) {
    return false;
  }
  // Taken off the list of former members: the keeper knows that all have it.
  const bool former = std::any_of(
    tenure_.map.former.begin(), tenure_.map.former.end(), [&](const auto& f) {
      return f.instance == tenure_.self && f.incarnation == daemon_.incarnation;
    });
  return !former || std::all_of(tenure_.map.members.begin(),
                                tenure_.map.members.end(),
                                [&](const auto& m) {
                                  return served_.contains(m.instance);
                                });
}

void
home_guard::announce(const std::string& path, const std::string& number)
{
  const auto view = daemon_.configuration.current();
  std::vector<std::string> entries;
  for (const auto& [name, i] : *view->instances) {
    if (i.value.role == "entry" &&
        i.value.state == configuration::instance_state::live) {
      entries.push_back(name);
    }
  }
  auto ranked = membership::rank(entries, "home_map/" + settings_.serves);
  ranked.resize(std::min(ranked.size(), announce_to));
  for (const auto& entry : ranked) {
    link::ask(daemon_.io,
              daemon_.links,
              link::address_from(link_of(entry)),
              path,
              tenure_.self + " " + number,
              ask_timeout_ms,
              [](const result<std::string>&) {});
  }
}

} // namespace cactusford::sidecar
