#include "cactusford/duties/duty.h"

#include "cactusford/http/clock.h"
#include "cactusford/process/line_log.h"
#include "cactusford/store/fields.h"

#include <algorithm>

namespace cactusford::duties {

namespace {

// Of the view of the lease. The store answers a watch that waits after two
// seconds at most.
constexpr std::uint64_t view_age_limit_ms = 3000;

// Half a second each in the order of takeovers: the largest instances first,
// and equal ones apart by their names.
std::uint32_t
rank_of(const duty_settings& s)
{
  constexpr double share_of_largest = 0.25;
  constexpr double most = 4;
  constexpr std::uint32_t apart = 3;
  const auto small = std::min(share_of_largest / s.capacity, most);
  const auto spread =
    static_cast<std::uint32_t>(std::hash<std::string>{}(s.instance) % apart);
  return static_cast<std::uint32_t>(small) + spread;
}

store::decoded<holder>
holder_from(const nlohmann::json& spec)
{
  return store::try_decode([&] {
    return holder{ store::string_field(spec, "holder"),
                   store::string_field(spec, "address"),
                   store::uint_field(spec, "progress") };
  });
}

std::string_view
name_of(ownership::action a)
{
  switch (a) {
    case ownership::action::none:
      return "none";
    case ownership::action::read:
      return "read";
    case ownership::action::acquire:
      return "acquire";
    case ownership::action::renew:
      return "renew";
    case ownership::action::release:
      return "release";
  }
  return "unknown";
}

} // namespace

duty::duty(store::client& store, duty_settings s)
  : store_{ store }
  , settings_{ std::move(s) }
{
  keeper_.self = settings_.instance;
  keeper_.duration_ms = settings_.duration_ms;
  keeper_.rank = rank_of(settings_);
}

void
duty::on_lease(const store::object* o)
{
  if (o != nullptr) {
    take(*o);
    return;
  }
  holder_ = {};
  if (!keeper_.busy) {
    ownership::on_read(keeper_, {}, http::boot_ms());
  }
}

// What the watch shows may be older than what this instance has written.
void
duty::take(const store::object& o)
{
  const auto read = holder_from(o.spec);
  if (!read) {
    store::log_unreadable(duty_kind, { o.name, read.fault });
    return;
  }
  if (o.revision < keeper_.seen.version) {
    return;
  }
  if (holder_.instance != read->instance) {
    process::log_line(timeline::event{ "duty_holder" }
                        .with("duty", settings_.name)
                        .with("holder", read->instance)
                        .with("before", holder_.instance)
                        .with("revision", o.revision));
  }
  holder_ = *read;
  recorded_ = std::max(recorded_, read->progress);
  progress_ = std::max(progress_, read->progress);
  const bool is_newer = o.revision > keeper_.seen.version;
  if (keeper_.busy || (keeper_.held && !is_newer)) {
    return;
  }
  const bool was_held = keeper_.held;
  if (was_held && read->instance != settings_.instance) {
    ownership::on_conflict(keeper_);
  }
  ownership::on_read(
    keeper_, ownership::lease_from(o.revision, o.spec.dump()), http::boot_ms());
  note_held(was_held, "taken");
}

void
duty::on_confirmed()
{
  confirmed_ms_ = http::boot_ms();
  if (!keeper_.busy && keeper_.has_seen) {
    ownership::on_read(keeper_, keeper_.seen, http::boot_ms());
  }
}

bool
duty::may_act() const
{
  return ownership::may_act(keeper_, http::boot_ms());
}

// While the store is away no renewal is seen, and nobody can take over: all
// candidates would try at once, again and again.
void
duty::tick()
{
  const bool view_is_fresh =
    http::boot_ms() - confirmed_ms_ <= view_age_limit_ms;
  if (!keeper_.held && keeper_.has_seen && !view_is_fresh) {
    return;
  }
  const auto a = ownership::begin(keeper_, true, http::boot_ms());
  switch (a) {
    case ownership::action::none:
      return;
    case ownership::action::read:
      read();
      return;
    case ownership::action::acquire:
    case ownership::action::renew:
    case ownership::action::release:
      write(a);
      return;
  }
}

// Only what the watch does not show is read by a call of its own.
void
duty::read()
{
  if (keeper_.has_seen) {
    keeper_.busy = false;
    keeper_.polled_ms = http::boot_ms();
    return;
  }
  store::call c;
  c.op = store::operation::get;
  c.kind = duty_kind;
  c.name = settings_.name;
  store_.perform(c, [this, alive = alive_](store::reply&& r) {
    const auto now = http::boot_ms();
    if (r.result == store::call_result::done && !r.items.empty()) {
      keeper_.busy = false;
      take(r.items.front());
    } else if (r.result == store::call_result::missing) {
      ownership::on_read(keeper_, {}, now);
    } else {
      ownership::on_unavailable(keeper_, now);
    }
  });
}

void
duty::write(ownership::action a)
{
  const bool is_release = a == ownership::action::release;
  const bool is_renewal = a == ownership::action::renew;
  store::call c;
  c.op = keeper_.seen.version == 0 ? store::operation::create
                                   : store::operation::replace;
  c.kind = duty_kind;
  c.name = settings_.name;
  c.revision = keeper_.seen.version;
  c.body = { { "holder", is_release ? "" : settings_.instance },
             { "address", is_release ? "" : settings_.address },
             // That of the acquiring write is its revision.
             { "fence", is_renewal ? keeper_.seen.fence : 0 },
             { "progress", progress_ },
             // A write that changes nothing is no renewal to the store.
             { "renewal", ++renewals_ } };
  store_.perform(c, [this, alive = alive_, a](store::reply&& r) {
    on_written(a, std::move(r));
  });
}

void
duty::on_written(ownership::action a, store::reply&& r)
{
  const bool was_held = keeper_.held;
  const auto now = http::boot_ms();
  switch (r.result) {
    case store::call_result::done: {
      const auto revision =
        r.items.empty() ? std::uint64_t{ 0 } : r.items.front().revision;
      if (revision == 0) {
        ownership::on_conflict(keeper_);
        break;
      }
      ownership::on_written(keeper_, a, revision, now);
      take(r.items.front());
      break;
    }
    case store::call_result::conflict:
    case store::call_result::missing:
    case store::call_result::history_gone:
      ownership::on_conflict(keeper_);
      break;
    case store::call_result::refused:
    case store::call_result::unknown:
      ownership::on_unavailable(keeper_, now);
      break;
  }
  if (a != ownership::action::renew || r.result != store::call_result::done) {
    process::log_line(timeline::event{ "duty_written" }
                        .with("duty", settings_.name)
                        .with("action", name_of(a))
                        .with("verdict", store::name_of(r.result))
                        .with("fence", keeper_.seen.fence)
                        .with("revision", keeper_.seen.version));
  }
  note_held(was_held, store::name_of(r.result));
}

void
duty::note_held(bool before, std::string_view why)
{
  if (before == keeper_.held) {
    return;
  }
  process::log_line(
    timeline::event{ keeper_.held ? "duty_acquired" : "duty_lost" }
      .with("duty", settings_.name)
      .with("fence", keeper_.seen.fence)
      .with("progress", progress_)
      .with("why", why));
}

void
duty::step_down(std::string_view why)
{
  const bool was_held = keeper_.held;
  ownership::on_conflict(keeper_);
  note_held(was_held, why);
}

void
duty::leave()
{
  keeper_.releasing = true;
}

bool
duty::has_left() const
{
  return !keeper_.held && !keeper_.busy;
}

} // namespace cactusford::duties
