// Checks that changes of the configuration come into force in time and never go
// back, from what callers of single entries see. Pure.
//
// Version v alone has a route of its own: an entry that serves it has v in
// force, one that answers 404 has another version.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cactusford::soak {

struct change_bounds
{
  // A change is in force everywhere this long after its confirmation, at
  // entries without disturbance; 0: not checked.
  std::uint64_t in_force_ms = 0;
  // A request this much later than one that saw a version sees no older one.
  std::uint64_t back_slack_ms = 250;
};

// What a caller got from one entry for the route of one version.
struct probe
{
  std::string entry;
  // Which process of that entry.
  std::uint64_t life = 0;
  std::uint64_t version = 0;
  std::uint64_t sent_ms = 0;
  std::uint64_t answered_ms = 0;
  bool is_served = false;
  // From long before it was sent until its answer.
  bool was_undisturbed = false;
};

class change_judge
{
public:
  explicit change_judge(change_bounds b = {})
    : bounds_{ b }
  {
  }

  // The store has confirmed the next version.
  void on_confirmed(std::uint64_t version, std::uint64_t now_ms);

  void on_answer(const probe& p);

  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t probes() const { return probes_; }
  std::size_t undisturbed() const { return undisturbed_; }

private:
  // The newest version that a process has shown, and when.
  struct shown
  {
    std::uint64_t version = 0;
    std::uint64_t at_ms = 0;
  };

  bool is_due(std::uint64_t version, std::uint64_t sent_ms) const;
  bool was_newest(const probe& p) const;
  void broken(const std::string& rule, const probe& p);

  change_bounds bounds_;
  std::map<std::uint64_t, std::uint64_t> confirmed_ms_;
  std::map<std::pair<std::string, std::uint64_t>, shown> shown_;
  std::vector<std::string> violations_;
  std::size_t probes_ = 0;
  std::size_t undisturbed_ = 0;
};

} // namespace cactusford::soak
