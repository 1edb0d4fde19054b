#include "soak/change_checker.h"

namespace cactusford::soak {

void
change_checker::on_confirmed(std::uint64_t version, std::uint64_t now_ms)
{
  confirmed_ms_[version] = now_ms;
}

void
change_checker::add_violation(const std::string& rule, const probe& p)
{
  violations_.push_back(rule + ": " + p.entry + ", version " +
                        std::to_string(p.version) + ", sent at " +
                        std::to_string(p.sent_ms));
}

// Returns true if the version had to be in force when the request was sent.
bool
change_checker::is_due(std::uint64_t version, std::uint64_t sent_ms) const
{
  const auto found = confirmed_ms_.find(version);
  return limits_.in_force_ms > 0 && found != confirmed_ms_.end() &&
         found->second + limits_.in_force_ms < sent_ms;
}

bool
change_checker::was_newest(const probe& p) const
{
  const auto next = confirmed_ms_.upper_bound(p.version);
  return next == confirmed_ms_.end() || next->second > p.answered_ms;
}

void
change_checker::on_answer(const probe& p)
{
  ++probes_;
  undisturbed_probes_ += p.was_undisturbed ? 1 : 0;
  if (!p.is_served) {
    if (p.was_undisturbed && was_newest(p) && is_due(p.version, p.sent_ms)) {
      add_violation("a change is not in force in time", p);
    }
    return;
  }
  const auto next = confirmed_ms_.upper_bound(p.version);
  const bool is_replaced =
    next != confirmed_ms_.end() && is_due(next->first, p.sent_ms);
  if (p.was_undisturbed && is_replaced) {
    add_violation("a removed route is still served", p);
  }
  auto& newest = newest_seen_[{ p.entry, p.incarnation }];
  if (p.version < newest.version &&
      newest.at_ms + limits_.regression_slack_ms < p.sent_ms) {
    add_violation("an entry reverted to an older version", p);
  }
  if (p.version > newest.version) {
    newest = { p.version, p.answered_ms };
  }
}

} // namespace cactusford::soak
