// Counts the requests of each workspace, and has one instance of the deployment
// report them to the platform, window by window.
//
// What is reported of a window is fixed in the store, by an object that is
// created once, before it is sent: whoever sends it, again or after a takeover,
// sends the same.
#pragma once

#include "cactusford/duties/duty.h"
#include "cactusford/edge/dialect.h"
#include "cactusford/http/client.h"
#include "cactusford/http/server.h"
#include "cactusford/store/watcher.h"
#include "cactusford/usage/counts.h"
#include "cactusford/usage/true_time.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace cactusford::usage {

// Windows whose counts are fixed and not yet reported, one object each.
constexpr std::string_view window_kind = "usage-windows";

// Where the holder takes in what the others have counted.
constexpr std::string_view peer_counts_path = "/usage-counts";

struct meter_settings
{
  std::string instance;
  std::string address;
  double capacity = 1;
  std::uint64_t started_ms = 0;
  // Where the platform takes reports; empty: it wants none.
  std::string platform;
  std::uint64_t window_ms = 5000;
};

struct meter_counts
{
  // Requests counted here.
  std::uint64_t requests = 0;
  // Windows that the platform has taken from this instance, and those that were
  // given up because they waited too long.
  std::uint64_t reported = 0;
  std::uint64_t given_up = 0;

  friend bool operator==(const meter_counts&, const meter_counts&) = default;
};

class meter
{
public:
  meter(asio::io_context& io,
        http::client& http,
        store::client& store,
        const edge::dialect& d,
        meter_settings s);

  // Nothing is counted where the platform wants no reports.
  bool is_on() const { return !settings_.platform.empty(); }

  void start();
  void refresh();

  // A request began to run at this time of the steady clock.
  void note_run(const std::string& workspace, std::uint64_t at_ms);

  // Another instance tells its counts.
  void on_peer(const http::call& c);

  // Tells the last counts and hands the duty over.
  void leave();
  bool has_left() const;

  const meter_counts& totals() const { return totals_; }
  bool holds_duty() const { return duty_.is_held(); }
  std::uint64_t fence() const { return duty_.fence(); }

private:
  // A window whose counts are fixed.
  struct fixed_window
  {
    std::uint64_t number = 0;
    counts value;
  };

  std::uint64_t now();
  std::uint64_t window_at(std::uint64_t true_ms) const;
  void tick();
  void tell();
  void forget_reported();
  void advance();
  void learn_fixed();
  void fix(std::uint64_t number);
  void on_fixed(fixed_window&& w, store::reply&& r);
  void send(fixed_window w);
  void on_sent(const fixed_window& w,
               http::end_state end,
               const http::response& r);
  void give_up(std::uint64_t number);
  void done(std::uint64_t number);
  void remove_recorded();
  void retry_later();

  http::client& http_;
  store::client& store_;
  const edge::dialect& dialect_;
  meter_settings settings_;
  duties::duty duty_;
  store::watcher watcher_;
  asio::steady_timer ticker_;
  true_time clock_;
  windows own_;
  // Grows with each change of `own_`; what the holder has taken.
  std::uint64_t version_ = 0;
  std::uint64_t told_version_ = 0;
  std::string told_to_;
  std::uint64_t told_ms_ = 0;
  bool telling_ = false;
  // As the holder.
  collection collected_;
  std::uint64_t fence_known_ = 0;
  std::uint64_t held_since_ms_ = 0;
  // The window that is reported next; 0: not known yet.
  std::uint64_t next_ = 0;
  // Found fixed in the store when the duty was taken over.
  windows fixed_;
  // Objects to be removed once the lease tells that they are done.
  std::set<std::uint64_t> to_remove_;
  std::uint64_t again_at_ms_ = 0;
  bool busy_ = false;
  meter_counts totals_;
};

} // namespace cactusford::usage
