// Checks the guarantees of the service from what callers and backend servers
// observe. Does no I/O.
#pragma once

#include <cstdint>
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

  friend bool operator==(const observed_result&,
                         const observed_result&) = default;
};

class invariant_checker
{
public:
  // Records that a batch with these items is sent, and that an entry accepted
  // it with 202.
  void on_sent(const std::string& batch, const std::set<std::string>& items);
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

  // Records that an engine started a run of an item.
  void on_run(const std::string& item, std::uint64_t now_ms);

  // Records the response to a non-idempotent call, which must run at most once.
  // An empty body stands for no response.
  void on_call_answer(const std::string& id,
                      int status,
                      const std::string& body,
                      const std::string& signature);
  void on_call_run(const std::string& id);

  // Returns how many results of a batch readers have received.
  std::size_t results_seen(const std::string& batch) const;

  // Checks at the end that every batch that was accepted and not deleted has
  // all its results.
  void finish();

  const std::vector<std::string>& violations() const { return violations_; }

  std::size_t results() const { return results_; }
  std::size_t calls_answered() const { return calls_answered_; }

private:
  struct position
  {
    observed_result result;
    std::uint64_t first_seen_ms = 0;
  };
  struct batch
  {
    std::set<std::string> items;
    bool accepted = false;
    bool refused = false;
    std::uint64_t accepted_ms = 0;
    std::uint64_t ended_ms = 0;
    std::vector<position> positions;
  };

  void add_violation(const std::string& rule, const std::string& what);
  void check_result(const std::string& id, const observed_result& r);

  std::map<std::string, batch> batches_;
  std::map<std::string, std::string> batch_by_item_;
  std::map<std::string, int> call_runs_;
  std::set<std::string> calls_refused_;
  std::vector<std::string> violations_;
  std::size_t results_ = 0;
  std::size_t calls_answered_ = 0;
};

// Events that an engine streams for each item.
constexpr std::uint64_t events_per_item = 30;

} // namespace cactusford::soak
