// Checks the guarantees of the service from what callers and backend servers
// observe. Does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cactusford::soak {

// A result as a reader received it.
struct observed_result
{
  std::string item;
  bool done = false;
  std::string text;
  std::string score;
  // Weight versions that the result names.
  std::vector<std::uint64_t> versions;

  friend bool operator==(const observed_result&,
                         const observed_result&) = default;
};

// Limits on the requests that backend servers receive.
struct backend_limits
{
  // Nothing new reaches a drained data centre later than this after the store
  // accepted the order.
  std::uint64_t drain_within_ms = 5000;
  // A cold server receives at most `cold_per_second * cold_excess + cold_slack`
  // requests in any second. Entries without a warm-up send up to 20.
  double cold_per_second = 6;
  double cold_excess = 1.5;
  double cold_slack = 5;

  friend bool operator==(const backend_limits&,
                         const backend_limits&) = default;
};

class invariant_checker
{
public:
  explicit invariant_checker(backend_limits l = {})
    : limits_{ l }
  {
  }

  // Records that a batch with these items is sent, and that an entry accepted
  // it with 202. An item may have been in earlier batches.
  void on_sent(const std::string& batch,
               const std::set<std::string>& items,
               bool single_version = false);
  void on_accepted(const std::string& batch);

  // Records that the sender gave up and every response said that nothing runs.
  void on_refused(const std::string& batch);

  // Records the results that a reader received when it asked at `asked_ms` for
  // those from position `after` on.
  void on_page(const std::string& batch,
               std::uint64_t asked_ms,
               std::uint64_t now_ms,
               std::size_t after,
               const std::vector<observed_result>& page);

  // Records that a reader that asked at `asked_ms` got 404.
  void on_missing(const std::string& batch, std::uint64_t asked_ms);

  // Records that the deletion of the batch was acknowledged.
  void on_ended(const std::string& batch, std::uint64_t now_ms);

  // Records that an engine started a run of an item, that it sent an event, and
  // that it answered a run with an error.
  void on_run(const std::string& item, std::uint64_t now_ms);
  void on_event(const std::string& item,
                std::uint64_t event,
                std::uint64_t version);
  void on_failed_run(const std::string& item);

  // Records that an engine that could run items got none although more were
  // waiting than the others can run.
  void on_idle_engine(const std::string& engine);

  // Records the response to a non-idempotent call, which must run at most once.
  // An empty body stands for no response.
  void on_call_answer(const std::string& id,
                      int status,
                      const std::string& body,
                      const std::string& signature);
  void on_call_run(const std::string& id);

  // Records that the store accepted an order to drain a data centre, and its
  // removal.
  void on_drained(const std::string& data_centre, std::uint64_t now_ms);
  void on_undrained(const std::string& data_centre);

  // Returns true if an undisturbed entry must not send to the data centre.
  bool is_past_drain_limit(const std::string& data_centre,
                           std::uint64_t now_ms) const;

  // Records a request that reached a server past that limit, and whether the
  // entry that sent it was undisturbed.
  void on_late_request(const std::string& server,
                       const std::string& request,
                       const std::string& sender,
                       bool sender_was_undisturbed);

  // Records until when a server is cold, and a request that it received.
  void on_cold(const std::string& server, std::uint64_t until_ms);
  void on_request(const std::string& server, std::uint64_t now_ms);

  // Returns the most requests that a cold server received in a second.
  std::size_t busiest_cold_second() const { return busiest_cold_second_; }

  // Returns how many results of a batch readers have received.
  std::size_t results_seen(const std::string& batch) const;

  // Checks at the end that every batch that was accepted and not deleted has
  // all its results.
  void finish();

  const std::vector<std::string>& violations() const { return violations_; }

  std::size_t results() const { return results_; }
  std::size_t calls_answered() const { return calls_answered_; }
  std::size_t given_up() const { return given_up_; }

private:
  struct position
  {
    observed_result result;
    std::uint64_t first_seen_ms = 0;
  };
  struct batch
  {
    std::set<std::string> items;
    bool single_version = false;
    bool accepted = false;
    bool refused = false;
    std::uint64_t accepted_ms = 0;
    std::uint64_t ended_ms = 0;
    std::vector<position> positions;
  };

  struct cold_server
  {
    std::uint64_t until_ms = 0;
    // Requests of the last second.
    std::deque<std::uint64_t> received_ms;
  };

  void add_violation(const std::string& rule, const std::string& what);
  void check_result(const std::string& id, const observed_result& r);
  void check_versions(const batch& b, const observed_result& r);

  backend_limits limits_;
  std::map<std::string, std::uint64_t> drained_at_ms_;
  std::map<std::string, cold_server> cold_servers_;
  std::size_t busiest_cold_second_ = 0;
  std::map<std::string, batch> batches_;
  std::map<std::string, std::vector<std::string>> batches_by_item_;
  // The versions that generated each event of an item.
  std::map<std::string, std::map<std::uint64_t, std::set<std::uint64_t>>>
    event_versions_;
  std::map<std::string, std::uint32_t> failed_runs_;
  std::size_t given_up_ = 0;
  std::map<std::string, int> call_runs_;
  std::set<std::string> calls_refused_;
  std::vector<std::string> violations_;
  std::size_t results_ = 0;
  std::size_t calls_answered_ = 0;
};

// Errors of engines after which an item is given up.
constexpr std::uint32_t attempts_per_item = 3;

// Events that an engine streams for each item.
constexpr std::uint64_t events_per_item = 30;

} // namespace cactusford::soak
