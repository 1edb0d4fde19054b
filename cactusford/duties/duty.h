// A duty of the whole deployment, held by one instance at a time: a lease
// object in the platform's store. Whoever holds it acts with the lease's
// fencing number, and stops before the lease can be another's.
#pragma once

#include "cactusford/ownership/lease.h"
#include "cactusford/store/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusford::duties {

// The kind of lease objects in the store; each duty has one of its name.
constexpr std::string_view duty_kind = "duties";

struct duty_settings
{
  std::string name;
  std::string instance;
  // Where other instances reach this one.
  std::string address;
  // Its share of a core: smaller instances leave the duty to larger ones.
  double capacity = 1;
  // A holder that is gone is replaced after this.
  std::uint32_t duration_ms = 4000;
};

struct holder
{
  std::string instance;
  std::string address;
  // How far the duty is done, as the holder counts.
  std::uint64_t progress = 0;

  friend bool operator==(const holder&, const holder&) = default;
};

class duty
{
public:
  duty(store::client& store, duty_settings s);

  // From the watch of the kind: the lease as it stands, null if there is none,
  // and that the store has confirmed it.
  void on_lease(const store::object* o);
  void on_confirmed();

  // Takes the next step, if one is due.
  void tick();

  bool may_act() const;
  bool is_held() const { return keeper_.held; }
  std::uint64_t fence() const { return keeper_.seen.fence; }

  // Who holds it, as last read; no instance if nobody does.
  const holder& held_by() const { return holder_; }

  // Written with the next renewal; `recorded` is what a renewal has written.
  void note_progress(std::uint64_t progress) { progress_ = progress; }
  std::uint64_t recorded() const { return recorded_; }

  // Somebody acted with a higher fencing number.
  void step_down(std::string_view why);

  // Hands it over: another instance need not wait for the lease to run out.
  void leave();
  bool has_left() const;

private:
  void read();
  void write(ownership::action a);
  void on_written(ownership::action a, store::reply&& r);
  void take(const store::object& o);
  void note_held(bool before, std::string_view why);

  store::client& store_;
  duty_settings settings_;
  ownership::keeper keeper_;
  holder holder_;
  std::uint64_t progress_ = 0;
  std::uint64_t recorded_ = 0;
  std::uint64_t renewals_ = 0;
  // When the store last confirmed the view of the lease.
  std::uint64_t confirmed_ms_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusford::duties
