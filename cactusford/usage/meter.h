// Counts the requests of each workspace. One instance of the deployment reports
// them to the platform, window by window.
//
// Before a window is reported, its counts are fixed by an object in the store
// that is created only once. So whoever sends the report, again or after a
// takeover, sends the same counts.
#pragma once

#include "cactusford/duties/duty.h"
#include "cactusford/edge/dialect.h"
#include "cactusford/http/client.h"
#include "cactusford/http/server.h"
#include "cactusford/store/watcher.h"
#include "cactusford/usage/corrected_clock.h"
#include "cactusford/usage/counts.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace cactusford::usage {

// The kind of objects that hold fixed windows not yet reported, one object
// each.
constexpr std::string_view window_kind = "usage-windows";

// HTTP path at which the holder receives the counts of other instances.
constexpr std::string_view peer_counts_path = "/usage-counts";

struct meter_settings
{
  std::string instance;
  std::string address;
  double capacity = 1;
  std::uint64_t started_ms = 0;
  // Address of the platform's usage endpoint; empty if it wants no reports.
  std::string platform;
  std::uint64_t window_ms = 5000;
};

struct meter_counts
{
  // Requests counted by this instance.
  std::uint64_t requests = 0;
  // Windows that the platform has accepted from this instance, and windows that
  // were given up because they waited too long.
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

  // Returns false if the platform wants no reports; nothing is counted then.
  bool is_on() const { return !settings_.platform.empty(); }

  void start();
  void refresh();

  // A request started to run at this time on the steady clock.
  void note_run(const std::string& workspace, std::uint64_t at_ms);

  // Handles the counts that another instance sent.
  void on_peer(const http::call& c);

  // Sends the last counts and releases the duty.
  void leave();
  bool has_left() const;

  const meter_counts& totals() const { return totals_; }
  bool holds_duty() const { return duty_.is_held(); }
  std::uint64_t fence() const { return duty_.fence(); }

private:
  // A window whose counts are fixed in the store.
  struct fixed_window
  {
    std::uint64_t number = 0;
    counts value;
  };

  std::uint64_t now();
  std::uint64_t window_at(std::uint64_t corrected_ms) const;
  void tick();
  void send_counts();
  void drop_reported();
  void report_next();
  void load_fixed_windows();
  void fix_window(std::uint64_t number);
  void on_fixed(fixed_window&& w, store::reply&& r);
  void send_report(fixed_window w);
  void on_report_sent(const fixed_window& w,
                      http::exchange_outcome end,
                      const http::response& r);
  bool is_possible_window(std::uint64_t number);
  void give_up_windows(std::uint64_t first, std::uint64_t last);
  void finish_window(std::uint64_t number);
  void remove_recorded_windows();
  void retry_later();

  http::client& http_;
  store::client& store_;
  const edge::dialect& dialect_;
  meter_settings settings_;
  duties::duty duty_;
  store::watcher watcher_;
  asio::steady_timer ticker_;
  corrected_clock clock_;
  windows own_counts_;
  // Incremented with each change of `own_counts_`, and the version that the
  // holder has accepted.
  std::uint64_t version_ = 0;
  std::uint64_t sent_version_ = 0;
  std::string counts_sent_to_;
  std::uint64_t counts_sent_at_ms_ = 0;
  bool is_sending_counts_ = false;
  // State of the holder.
  received_counts received_counts_;
  std::uint64_t loaded_fence_ = 0;
  std::uint64_t loaded_at_ms_ = 0;
  // The window to report next; 0 if not known yet.
  std::uint64_t next_window_ = 0;
  // Windows fixed in the store and not yet reported.
  windows fixed_windows_;
  // Objects to remove once the lease has recorded that they are done.
  std::set<std::uint64_t> windows_to_remove_;
  std::uint64_t retry_at_ms_ = 0;
  bool is_busy_ = false;
  meter_counts totals_;
};

} // namespace cactusford::usage
