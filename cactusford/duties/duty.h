// A singleton task of the whole deployment, performed by one instance at a
// time, its holder. The holder is elected by a lease object in the platform's
// store. It acts with the lease's fencing token, and stops before another
// instance can acquire the lease.
#pragma once

#include "cactusford/ownership/lease.h"
#include "cactusford/store/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cactusford::duties {

// The kind of lease objects in the store. Each duty has one, under its name.
constexpr std::string_view duty_kind = "duties";

struct duty_settings
{
  std::string name;
  std::string instance;
  // Address at which other instances reach this one.
  std::string address;
  // Share of a core: smaller instances leave the duty to larger ones.
  double capacity = 1;
  // A holder that has crashed is replaced after this time.
  std::uint32_t duration_ms = 4000;
};

struct holder
{
  std::string instance;
  std::string address;
  // Progress of the duty, in units that the holder chooses.
  std::uint64_t progress = 0;

  friend bool operator==(const holder&, const holder&) = default;
};

class duty
{
public:
  duty(store::client& store, duty_settings s);

  // Called by the watch of the kind: with the lease object, or null if there is
  // none, and when the store has confirmed the view.
  void on_lease(const store::object* o);
  void on_confirmed();

  // Called by the watch with the revision of a lease object that cannot be
  // read.
  void on_unreadable_lease(std::uint64_t revision);

  // Performs the next action of the lease, if one is due.
  void tick();

  bool may_act() const;
  bool is_held() const { return lease_.held; }
  std::uint64_t fence() const { return lease_.seen.fence; }

  // The holder as last read; its `instance` is empty if there is none.
  const holder& current_holder() const { return holder_; }

  // Sets the progress that the next renewal writes; `recorded` returns the
  // progress that the store has recorded.
  void note_progress(std::uint64_t progress) { progress_ = progress; }
  std::uint64_t recorded() const { return recorded_; }

  // Gives up the duty, as another instance acted with a newer fencing token.
  void step_down(std::string_view why);

  // Releases the lease, so that another instance need not wait until it
  // expires.
  void release();
  bool is_released() const;

private:
  void read();
  void write(ownership::action a);
  void on_written(ownership::action a, store::reply&& r);
  void apply(const store::object& o);
  void log_transition(bool before, std::string_view why);

  store::client& store_;
  duty_settings settings_;
  ownership::lease_client lease_;
  holder holder_;
  std::uint64_t progress_ = 0;
  std::uint64_t recorded_ = 0;
  std::uint64_t renewals_ = 0;
  // When the store last confirmed the view of the lease.
  std::uint64_t confirmed_ms_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cactusford::duties
