// The promises, checked from what callers and backend servers see. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cactusford::soak {

// A result as a reader got it.
struct seen_result
{
  std::string item;
  bool done = false;
  std::string text;
  std::string score;

  friend bool operator==(const seen_result&, const seen_result&) = default;
};

class judge
{
public:
  // A batch was sent with these items, and got 202 somewhere.
  void on_sent(const std::string& batch, const std::set<std::string>& items);
  void on_accepted(const std::string& batch);

  // Its sender gave up after nothing but refusals that say "not run".
  void on_refused(const std::string& batch);

  // A reader asked at `asked_ms` from position `after` and got these.
  void on_page(const std::string& batch,
               std::uint64_t asked_ms,
               std::uint64_t now_ms,
               std::size_t after,
               const std::vector<seen_result>& page);

  // A reader that asked at `asked_ms` was told that there is no such batch.
  void on_missing(const std::string& batch, std::uint64_t asked_ms);

  // Its end was acknowledged.
  void on_ended(const std::string& batch, std::uint64_t now_ms);

  // An engine began a run of an item.
  void on_run(const std::string& item, std::uint64_t now_ms);

  // A call that may run once at most got this answer; an empty body stands for
  // no answer.
  void on_call_answer(const std::string& id,
                      int status,
                      const std::string& body,
                      const std::string& signature);
  void on_call_run(const std::string& id);

  // Positions of a batch that were shown.
  std::size_t shown(const std::string& batch) const;

  // When all is over: what was accepted and not ended must be whole.
  void finish();

  const std::vector<std::string>& violations() const { return violations_; }

  std::size_t results() const { return results_; }
  std::size_t calls_answered() const { return calls_answered_; }

private:
  struct position
  {
    seen_result result;
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

  void broken(const std::string& rule, const std::string& what);
  void check_result(const std::string& id, const seen_result& r);

  std::map<std::string, batch> batches_;
  std::map<std::string, std::string> batch_of_;
  std::map<std::string, int> call_runs_;
  std::set<std::string> calls_refused_;
  std::vector<std::string> violations_;
  std::size_t results_ = 0;
  std::size_t calls_answered_ = 0;
};

// Events that every item of the soak has.
constexpr std::uint64_t item_events = 30;

} // namespace cactusford::soak
