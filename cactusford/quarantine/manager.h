// Detects poison requests, which crash the backend servers that run them, and
// decides whether a request may be sent. All instances share the evidence
// through the store, so that it reaches each of them and survives restarts.
#pragma once

#include "cactusford/backends/registry.h"
#include "cactusford/quarantine/evidence.h"
#include "cactusford/quarantine/report.h"
#include "cactusford/store/watcher.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace cactusford::quarantine {

struct manager_settings
{
  std::string instance;
  // Also removes expired reports of instances that no longer exist.
  bool removes_for_others = false;
  evidence_limits limits = {};
};

struct manager_counts
{
  // Connections lost while a request ran.
  std::uint64_t connections_lost = 0;
  // Servers found crashed after a lost connection.
  std::uint64_t crashes = 0;
  std::uint64_t reports_written = 0;
  // Reports dropped because too many were waiting for the store.
  std::uint64_t reports_dropped = 0;
  // Requests that were not sent.
  std::uint64_t refusals = 0;

  friend bool operator==(const manager_counts&,
                         const manager_counts&) = default;
};

class manager
{
public:
  manager(asio::io_context& io,
          store::client& store,
          const backends::registry& registry,
          manager_settings s);

  void start();

  // Returns true if the reports of other instances are up to date.
  bool is_current() const { return watcher_.is_current(); }

  // Rereads the reports, for when the store may have changed unnoticed.
  void refresh() { watcher_.refresh(); }

  // Decides whether the request may be sent. Called before each attempt.
  decision evaluate(const fingerprint& f, run_kind kind);

  // For a request on trial: calls `done` with true if this instance may run the
  // trial. The call is always asynchronous. If another instance runs it, the
  // request is `awaiting_trial` from then on.
  void claim_trial(const fingerprint& f, std::function<void(bool)> done);

  // Records that a request was not sent.
  void note_refused() { ++counts_.refusals; }

  // Handles a connection that ended without a complete response. Probes the
  // backend server, because a crash of its process counts against the request
  // and a connection reset or lost response does not.
  void on_connection_lost(const backends::incarnation& of,
                          const std::string& address,
                          const fingerprint& f);

  // Returns true if a connection that ran the request was lost and it is not
  // yet known whether the server has crashed.
  bool is_probing(const fingerprint& f) const;

  // Records that a backend server ran the request and answered.
  void on_answered(const fingerprint& f);

  const manager_counts& counts() const { return counts_; }
  std::size_t reports() const { return evidence_.reports.size(); }

private:
  // A suspected crash that is being probed, and the requests that ran there.
  struct unconfirmed_crash
  {
    backends::incarnation of;
    std::vector<fingerprint> running;
  };

  struct pending_report
  {
    std::string name;
    report value;
    // A write attempt had no response, so the object may already exist.
    bool may_exist = false;
  };

  void on_probed(const std::string& key, bool has_crashed);
  void probe_peers(const backends::incarnation& crashed);
  void probe_peer(const backends::incarnation& of, const std::string& address);
  void record_crash(const backends::incarnation& of,
                    const std::vector<fingerprint>& running);
  bool is_known_crash(const backends::incarnation& of) const;
  report& touch_open_report();
  void update_open_report();
  void flush();
  void write(const std::shared_ptr<pending_report>& pending);
  void rename(pending_report& pending);
  void on_list(std::vector<store::object>&& all);
  void take_object(const store::object& o);
  void tick();
  void remove(const std::string& name);
  void log_status_changes();

  asio::io_context& io_;
  store::client& store_;
  const backends::registry& registry_;
  manager_settings settings_;
  store::watcher watcher_;
  asio::steady_timer ticker_;
  asio::steady_timer flusher_;
  evidence evidence_;
  std::map<std::string, unconfirmed_crash> unconfirmed_;
  // The report that collects current observations; the name is empty if none is
  // open.
  pending_report open_report_;
  // Reports whose write the store has not acknowledged.
  std::deque<std::shared_ptr<pending_report>> pending_;
  // Expired reports that still exist in the store.
  std::deque<std::string> to_remove_;
  std::uint64_t last_flush_ms_ = 0;
  bool is_flush_due_ = false;
  // Quarantined calls, as last logged.
  std::map<fingerprint, decision> logged_quarantined_;
  manager_counts counts_;
  std::mt19937_64 random_{ std::random_device{}() };
};

} // namespace cactusford::quarantine
