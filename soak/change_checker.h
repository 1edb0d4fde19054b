// Checks that each configuration change takes effect in time and that no entry
// reverts to an older version, judged by the responses of single entries. Does
// no I/O.
//
// Each version has a route that no other version has: an entry that serves it
// has that version in force, and one that answers 404 has another version.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cactusford::soak {

struct change_limits
{
  // Longest time from the confirmation of a change until every undisturbed
  // entry has it in force. 0 disables the check.
  std::uint64_t in_force_ms = 0;
  // Requests sent less than this long after a response may still see an older
  // version than that response did.
  std::uint64_t regression_slack_ms = 250;
};

// The response of one entry to a request for the route of one version.
struct probe
{
  std::string entry;
  // Counts the processes that the entry has had.
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  std::uint64_t sent_ms = 0;
  std::uint64_t answered_ms = 0;
  bool is_served = false;
  // No fault affected the entry from well before the request was sent until it
  // was answered.
  bool was_undisturbed = false;
};

class change_checker
{
public:
  explicit change_checker(change_limits limits = {})
    : limits_{ limits }
  {
  }

  // Records that the store has confirmed the write of a version.
  void on_confirmed(std::uint64_t version, std::uint64_t now_ms);

  void on_answer(const probe& p);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t probes() const { return probes_; }
  std::size_t undisturbed_probes() const { return undisturbed_probes_; }

private:
  // The newest version that a process has served, and the time of the response.
  struct seen_version
  {
    std::uint64_t version = 0;
    std::uint64_t at_ms = 0;
  };

  bool is_due(std::uint64_t version, std::uint64_t sent_ms) const;
  bool was_newest(const probe& p) const;
  void add_violation(const std::string& rule, const probe& p);

  change_limits limits_;
  std::map<std::uint64_t, std::uint64_t> confirmed_ms_;
  std::map<std::pair<std::string, std::uint64_t>, seen_version> newest_seen_;
  std::vector<std::string> violations_;
  std::size_t probes_ = 0;
  std::size_t undisturbed_probes_ = 0;
};

} // namespace cactusford::soak
