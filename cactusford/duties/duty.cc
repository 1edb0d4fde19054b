#include "cactusford/duties/duty.h"

#include "cactusford/http/clock.h"
#include "cactusford/process/line_log.h"
#include "cactusford/store/fields.h"

#include <algorithm>

namespace cactusford::duties {

namespace {

// Maximum age of the view of the lease. The store answers a waiting watch after
// two seconds at most.
constexpr std::uint64_t max_view_age_ms = 3000;

// Order of candidates in a takeover, half a second apart per rank: the largest
// instances come first, and instances of equal size are spread by name.
std::uint32_t
rank_of(const duty_settings& s)
{
  constexpr double largest_capacity = 0.25;
  constexpr double max_size_rank = 4;
  constexpr std::uint32_t spread_ranks = 3;
  const auto size_rank = std::min(largest_capacity / s.capacity, max_size_rank);
  const auto name_rank = static_cast<std::uint32_t>(
    std::hash<std::string>{}(s.instance) % spread_ranks);
  return static_cast<std::uint32_t>(size_rank) + name_rank;
}

store::decoded<holder>
holder_from(const nlohmann::json& spec)
{
  return store::try_decode([&] {
    store::uint_field_or(spec, "fence", 0);
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
  lease_.self = settings_.instance;
  lease_.duration_ms = settings_.duration_ms;
  lease_.rank = rank_of(settings_);
}

void
duty::on_lease(const store::object* o)
{
  if (o != nullptr) {
    apply(*o);
    return;
  }
  // A list may be older than this instance's write. If the lease was removed
  // after it, the next renewal fails.
  if (lease_.held) {
    process::log_line(timeline::event{ "duty_lease_not_listed" }
                        .with("duty", settings_.name)
                        .with("revision", lease_.seen.version));
    return;
  }
  holder_ = {};
  if (!lease_.busy) {
    ownership::on_read(lease_, {}, http::boot_ms());
  }
}

// The watch may return an older state than this instance has written.
void
duty::apply(const store::object& o)
{
  const auto read = holder_from(o.spec);
  if (!read) {
    store::log_unreadable(duty_kind, { o.name, read.fault });
    on_unreadable_lease(o.revision);
    return;
  }
  if (o.revision < lease_.seen.version) {
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
  const bool is_newer = o.revision > lease_.seen.version;
  if (lease_.busy || (lease_.held && !is_newer)) {
    return;
  }
  const bool was_held = lease_.held;
  if (was_held && read->instance != settings_.instance) {
    ownership::on_conflict(lease_);
  }
  ownership::on_read(
    lease_, ownership::lease_from(o.revision, o.spec), http::boot_ms());
  log_transition(was_held, "taken");
}

// Another writer has overwritten the lease. It is taken over like that of a
// holder which has crashed; otherwise nobody would perform the duty again.
void
duty::on_unreadable_lease(std::uint64_t revision)
{
  if (revision <= lease_.seen.version || lease_.busy || lease_.held) {
    return;
  }
  holder_ = {};
  const std::string unknown{ ownership::unreadable_holder };
  ownership::on_read(lease_, { revision, unknown, revision }, http::boot_ms());
}

void
duty::on_confirmed()
{
  confirmed_ms_ = http::boot_ms();
  if (!lease_.busy && lease_.has_seen) {
    ownership::on_read(lease_, lease_.seen, http::boot_ms());
  }
}

bool
duty::may_act() const
{
  return ownership::may_act(lease_, http::boot_ms());
}

// While the store is unreachable no renewal is visible, and nobody can take
// over: all candidates would try at once, again and again.
void
duty::tick()
{
  const bool view_is_fresh = http::boot_ms() - confirmed_ms_ <= max_view_age_ms;
  if (!lease_.held && lease_.has_seen && !view_is_fresh) {
    return;
  }
  const auto a = ownership::next_action(lease_, true, http::boot_ms());
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

// The watch provides the lease; a separate call is made only while its state is
// unknown.
void
duty::read()
{
  if (lease_.has_seen) {
    lease_.busy = false;
    lease_.polled_ms = http::boot_ms();
    return;
  }
  store::call c;
  c.op = store::operation::get;
  c.kind = duty_kind;
  c.name = settings_.name;
  store_.perform(c, [this, alive = alive_](store::reply&& r) {
    const auto now = http::boot_ms();
    if (r.result == store::call_result::done && !r.items.empty()) {
      lease_.busy = false;
      apply(r.items.front());
    } else if (!r.unreadable_objects.empty()) {
      lease_.busy = false;
      on_unreadable_lease(r.unreadable_objects.front().revision);
    } else if (r.result == store::call_result::missing) {
      ownership::on_read(lease_, {}, now);
    } else {
      ownership::on_unavailable(lease_, now);
    }
  });
}

void
duty::write(ownership::action a)
{
  const bool is_release = a == ownership::action::release;
  const bool is_renewal = a == ownership::action::renew;
  store::call c;
  c.op = lease_.seen.version == 0 ? store::operation::create
                                  : store::operation::replace;
  c.kind = duty_kind;
  c.name = settings_.name;
  c.revision = lease_.seen.version;
  c.body = { { "holder", is_release ? "" : settings_.instance },
             { "address", is_release ? "" : settings_.address },
             // 0 in the acquiring write, whose fencing token is its revision.
             { "fence", is_renewal ? lease_.seen.fence : 0 },
             { "progress", progress_ },
             // Changes with each write: the store does not count a write
             // without changes as a renewal.
             { "renewal", ++renewals_ } };
  store_.perform(c, [this, alive = alive_, a](store::reply&& r) {
    on_written(a, std::move(r));
  });
}

void
duty::on_written(ownership::action a, store::reply&& r)
{
  const bool was_held = lease_.held;
  const auto now = http::boot_ms();
  switch (r.result) {
    case store::call_result::done: {
      const auto revision =
        r.items.empty() ? std::uint64_t{ 0 } : r.items.front().revision;
      if (revision == 0) {
        ownership::on_conflict(lease_);
        break;
      }
      ownership::on_written(lease_, a, revision, now);
      apply(r.items.front());
      break;
    }
    case store::call_result::conflict:
    case store::call_result::missing:
    case store::call_result::history_gone:
      ownership::on_conflict(lease_);
      break;
    case store::call_result::refused:
    case store::call_result::unknown:
      ownership::on_unavailable(lease_, now);
      break;
  }
  if (a != ownership::action::renew || r.result != store::call_result::done) {
    process::log_line(timeline::event{ "duty_written" }
                        .with("duty", settings_.name)
                        .with("action", name_of(a))
                        .with("verdict", store::name_of(r.result))
                        .with("fence", lease_.seen.fence)
                        .with("revision", lease_.seen.version));
  }
  log_transition(was_held, store::name_of(r.result));
}

void
duty::log_transition(bool before, std::string_view why)
{
  if (before == lease_.held) {
    return;
  }
  process::log_line(
    timeline::event{ lease_.held ? "duty_acquired" : "duty_lost" }
      .with("duty", settings_.name)
      .with("fence", lease_.seen.fence)
      .with("progress", progress_)
      .with("why", why));
}

void
duty::step_down(std::string_view why)
{
  const bool was_held = lease_.held;
  ownership::on_conflict(lease_);
  log_transition(was_held, why);
}

void
duty::release()
{
  lease_.releasing = true;
}

bool
duty::is_released() const
{
  return !lease_.held && !lease_.busy;
}

} // namespace cactusford::duties
