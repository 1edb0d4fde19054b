#include "cactusford/sidecar/home_membership.h"

#include "cactusford/link/request.h"
#include "cactusford/membership/rendezvous.h"
#include "cactusford/timeline/event.h"

#include <algorithm>

namespace cactusford::sidecar {

namespace {

constexpr std::uint64_t handover_interval_ms = 100;
constexpr std::uint64_t announce_interval_ms = 300;
// A spare backend server has nothing to announce until a home leaves.
constexpr std::uint64_t spare_interval_ms = 30000;
constexpr std::uint32_t request_timeout_ms = 1000;
constexpr std::size_t announce_entry_count = 3;
constexpr std::uint32_t retry_ms = 100;

} // namespace

home_membership::home_membership(
  process::daemon& d,
  const settings::sidecar_settings& s,
  calls::idempotency_record& r,
  std::function<bool(const std::string&)> is_running)
  : daemon_{ d }
  , settings_{ s }
  , record_{ r }
  , is_running_{ std::move(is_running) }
{
  ownership_.self = s.process.instance;
  ownership_.lease_ms = s.process.lease_ms;
  ownership_.incarnation_ms = d.incarnation;
}

void
home_membership::on_configuration(const configuration::snapshot_ptr& view)
{
  const auto map = view->home_maps->find(settings_.serves);
  if (map == view->home_maps->end() ||
      map->second.version <= ownership_.map_version) {
    return;
  }
  calls::adopt(ownership_,
               map->second.value,
               map->second.version,
               timeline::wall_ms(),
               process::steady_ms());
  open_requests_.clear();
  handed_over_to_.clear();
  next_handover_ms_ = 0;
  timeline::log(timeline::event{ "home_map_adopted" }
                  .with("service", settings_.serves)
                  .with("version", ownership_.map_version)
                  .with("member", is_member() ? 1U : 0U));
}

bool
home_membership::is_member() const
{
  return std::any_of(
    ownership_.map.members.begin(),
    ownership_.map.members.end(),
    [&](const auto& m) { return m.instance == ownership_.self; });
}

std::string
home_membership::link_address_of(const std::string& instance) const
{
  const auto view = daemon_.configuration.current();
  const auto found = view->instances->find(instance);
  return found == view->instances->end() ? std::string{}
                                         : found->second.value.link;
}

void
home_membership::tick()
{
  const auto now = process::steady_ms();
  if (is_member() && now >= next_handover_ms_) {
    next_handover_ms_ = now + handover_interval_ms;
    for (const auto& id : std::set{ ownership_.pending_handovers }) {
      const auto from = id.substr(0, id.find('#'));
      if (from != ownership_.self) {
        request_handover(from);
      }
    }
  }
  // While the platform confirms the map, the other homes need not be asked.
  // They are asked only if calls with keys have arrived recently, as every home
  // asks all others.
  const auto lease = settings_.process.lease_ms;
  const bool has_recent_keyed_calls =
    last_keyed_call_ms_ != 0 && now - last_keyed_call_ms_ < lease;
  if (is_member() && has_recent_keyed_calls && now >= next_confirm_ms_ &&
      daemon_.configuration.confirmed_age_ms() > lease * 2 / 3) {
    next_confirm_ms_ = now + lease / 3;
    request_confirmations();
  }
  if (settings_.kind == settings::backend_kind::service &&
      daemon_.configuration.is_ready() && now >= next_announce_ms_) {
    const bool has_all_members =
      ownership_.map.members.size() >= configuration::max_home_members;
    next_announce_ms_ =
      now +
      (has_all_members && !leaving_ ? spare_interval_ms : announce_interval_ms);
    announce_state();
  }
}

// The platform's list is delayed and does not distinguish two incarnations of
// an instance, so each sidecar announces its own state.
void
home_membership::announce_state()
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
  for (const auto& f : ownership_.map.former) {
    if (f.instance == ownership_.self && f.incarnation == daemon_.incarnation) {
      announce("/membership/handed_over", std::to_string(f.until_ms));
    }
  }
}

void
home_membership::request_handover(const std::string& from)
{
  const auto link = link_address_of(from);
  if (link.empty() || !open_requests_.insert(from).second) {
    return;
  }
  calls::handover_request r;
  r.set_requester(ownership_.self);
  r.set_map_version(ownership_.map_version);
  link::send_request(daemon_.io,
                     daemon_.links,
                     link::address_from(link),
                     "/calls/handover",
                     r.SerializeAsString(),
                     request_timeout_ms,
                     [this, from](const result<std::string>& answer) {
                       open_requests_.erase(from);
                       calls::handover_reply reply;
                       if (answer && reply.ParseFromString(answer.value)) {
                         on_handover_reply(from, reply);
                       }
                     });
}

void
home_membership::on_handover_reply(const std::string& from,
                                   const calls::handover_reply& reply)
{
  if (reply.map_version() != ownership_.map_version || !reply.complete()) {
    return;
  }
  for (const auto& k : reply.keys()) {
    calls::stored_answer_ptr answer;
    if (k.has_answer()) {
      answer =
        std::make_shared<const calls::stored_answer>(calls::stored_answer{
          k.answer().status(), k.answer().content_type(), k.answer().body() });
    }
    calls::import_key(
      record_, { k.key(), k.issued_ms(), k.fingerprint() }, answer);
  }
  timeline::log(timeline::event{ "keys_taken_over" }
                  .with("from", from)
                  .with("keys", static_cast<std::uint64_t>(reply.keys_size()))
                  .with("version", reply.map_version()));
  calls::on_handover(ownership_,
                     from,
                     reply.incarnation(),
                     reply.map_version(),
                     reply.complete(),
                     reply.floor_ms(),
                     timeline::wall_ms());
}

// After this reply keys are checked here by the newer map, so none of the keys
// handed over can still start here.
calls::handover_reply
home_membership::make_handover_reply(const calls::handover_request& r)
{
  calls::handover_reply reply;
  reply.set_map_version(ownership_.map_version);
  reply.set_incarnation(daemon_.incarnation);
  if (ownership_.map_version != r.map_version()) {
    return reply;
  }
  reply.set_floor_ms(calls::own_floor(ownership_));
  reply.set_complete(true);
  for (const auto& [key, e] : record_.entries) {
    if (calls::home_of(ownership_.map, key).instance != r.requester()) {
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
  handed_over_to_.insert(r.requester());
  return reply;
}

void
home_membership::serve(const link::stream_ptr& s)
{
  s->on_message = [this, s](std::string_view m) {
    s->on_message = nullptr;
    if (s->path() == "/calls/confirm") {
      calls::confirm_reply reply;
      reply.set_map_version(ownership_.map_version);
      link::reply(*s, reply.SerializeAsString());
      return;
    }
    calls::handover_request r;
    if (!r.ParseFromArray(m.data(), static_cast<int>(m.size()))) {
      s->cancel();
      return;
    }
    link::reply(*s, make_handover_reply(r).SerializeAsString());
  };
}

void
home_membership::request_confirmations()
{
  const auto asked_ms = process::steady_ms();
  const auto version = ownership_.map_version;
  const auto confirmations = std::make_shared<std::size_t>(0);
  for (const auto& m : ownership_.map.members) {
    const auto link = link_address_of(m.instance);
    if (m.instance == ownership_.self || link.empty()) {
      continue;
    }
    link::send_request(
      daemon_.io,
      daemon_.links,
      link::address_from(link),
      "/calls/confirm",
      calls::confirm_request{}.SerializeAsString() + "?",
      request_timeout_ms,
      [this, asked_ms, version, confirmations](const result<std::string>& r) {
        calls::confirm_reply reply;
        if (r && reply.ParseFromString(r.value) &&
            reply.map_version() <= version &&
            ownership_.map_version == version) {
          calls::on_confirmed(ownership_, ++*confirmations, asked_ms);
        }
      });
  }
  calls::on_confirmed(ownership_, 0, asked_ms);
}

failure
home_membership::check_key(const std::string& key)
{
  if (ownership_.map_version == 0) {
    return { error_kind::not_home, "there is no home map yet", retry_ms };
  }
  const auto home = calls::home_of(ownership_.map, key);
  if (home.instance != ownership_.self) {
    return { error_kind::not_home, "the home is " + home.instance, retry_ms };
  }
  const auto now = process::steady_ms();
  last_keyed_call_ms_ = now;
  if (!calls::is_map_confirmed(
        ownership_, daemon_.configuration.confirmed_age_ms(), now)) {
    return { error_kind::not_home,
             "the lease of the home map has lapsed",
             retry_ms };
  }
  const auto check = calls::check_key(ownership_, key, now);
  record_.owned_since_ms = check.owned_since_ms;
  return check.error;
}

void
home_membership::leave()
{
  leaving_ = true;
}

bool
home_membership::is_handed_over() const
{
  if (settings_.kind != settings::backend_kind::service ||
      ownership_.map_version == 0) {
    return true;
  }
  if (is_member()) {
    return false;
  }
  // Once removed from the list of former members, the home map writer knows
  // that all members have its keys.
  const bool former = std::any_of(ownership_.map.former.begin(),
                                  ownership_.map.former.end(),
                                  [&](const auto& f) {
                                    return f.instance == ownership_.self &&
                                           f.incarnation == daemon_.incarnation;
                                  });
  return !former || std::all_of(ownership_.map.members.begin(),
                                ownership_.map.members.end(),
                                [&](const auto& m) {
                                  return handed_over_to_.contains(m.instance);
                                });
}

void
home_membership::announce(const std::string& path, const std::string& number)
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
  ranked.resize(std::min(ranked.size(), announce_entry_count));
  for (const auto& entry : ranked) {
    link::send_request(daemon_.io,
                       daemon_.links,
                       link::address_from(link_address_of(entry)),
                       path,
                       ownership_.self + " " + number,
                       request_timeout_ms,
                       [](const result<std::string>&) {});
  }
}

} // namespace cactusford::sidecar
