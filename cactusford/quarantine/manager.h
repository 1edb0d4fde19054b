// Finds out which requests end backend servers, together with all other
// instances, and says which may be sent. Evidence stands in the store: it
// outlives the instances that found it, and reaches all of them.
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
  // Removes what reporters have left behind that are gone.
  bool removes_for_others = false;
  evidence_limits limits = {};
};

struct manager_counts
{
  // Connections that were cut while a request ran.
  std::uint64_t cuts = 0;
  // Lives found to have ended under a request.
  std::uint64_t ends = 0;
  std::uint64_t reports_written = 0;
  // Reports that were given up, as too many waited for the store.
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

  // What others have reported is known.
  bool is_current() const { return watcher_.is_current(); }

  // The store may have changed unseen.
  void refresh() { watcher_.refresh(); }

  // May it be sent? Asked before each attempt.
  verdict judge(const fingerprint& f, run_kind kind);

  // For a request on trial: whether this instance is the one that may try it.
  // Later in any case.
  void claim_trial(const fingerprint& f, std::function<void(bool)> done);

  // A request was not sent.
  void note_refused() { ++counts_.refusals; }

  // The connection of a run ended without a whole answer. The backend server
  // is looked at: an end of its process counts, a reset or a lost answer not.
  void on_cut(const backends::incarnation& of,
              const std::string& address,
              const fingerprint& f);

  // A run of it was cut, and it is not known yet whether its server has ended.
  bool is_probing(const fingerprint& f) const;

  // A backend server ran it and answered.
  void on_answered(const fingerprint& f);

  const manager_counts& counts() const { return counts_; }
  std::size_t reports() const { return evidence_.reports.size(); }

private:
  // A life that may have ended, and what ran there.
  struct unconfirmed_end
  {
    backends::incarnation of;
    std::vector<fingerprint> ran;
  };

  struct unsaved
  {
    std::string name;
    report value;
    // Some try had no answer: the object may be ours.
    bool may_stand = false;
  };

  void on_probed(const std::string& key, bool has_ended);
  void look_beside(const backends::incarnation& ended);
  void look_at(const backends::incarnation& of, const std::string& address);
  void note_end(const backends::incarnation& of,
                const std::vector<fingerprint>& ran);
  bool is_known_to_have_ended(const backends::incarnation& of) const;
  report& reopen_report();
  void keep_open_report();
  void flush();
  void write(const std::shared_ptr<unsaved>& u);
  void rename(unsaved& u);
  void on_list(std::vector<store::object>&& all);
  void take_object(const store::object& o);
  void tick();
  void remove(const std::string& name);
  void log_standings();

  asio::io_context& io_;
  store::client& store_;
  const backends::registry& registry_;
  manager_settings settings_;
  store::watcher watcher_;
  asio::steady_timer ticker_;
  asio::steady_timer flusher_;
  evidence evidence_;
  std::map<std::string, unconfirmed_end> unconfirmed_;
  // The report that gathers what is seen now; empty name: none.
  unsaved open_;
  // Written and not acknowledged.
  std::deque<std::shared_ptr<unsaved>> waiting_;
  // Reports that count no more and still stand in the store.
  std::deque<std::string> to_remove_;
  std::uint64_t last_flush_ms_ = 0;
  bool is_flush_due_ = false;
  // Calls that are kept out, as far as logged.
  std::map<fingerprint, verdict> kept_out_;
  manager_counts counts_;
  std::mt19937_64 random_{ std::random_device{}() };
};

} // namespace cactusford::quarantine
