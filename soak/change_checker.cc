#include "soak/change_checker.h"

namespace cactusford::soak {

void
change_judge::on_confirmed(std::uint64_t version, std::uint64_t now_ms)
{
  confirmed_ms_[version] = now_ms;
}

void
change_judge::broken(const std::string& rule, const probe& p)
{
  violations_.push_back(rule + ": " + p.entry + ", version " +
                        std::to_string(p.version) + ", sent at " +
                        std::to_string(p.sent_ms));
}

// The version had to be in force when the request was sent.
bool
change_judge::is_due(std::uint64_t version, std::uint64_t sent_ms) const
{
  const auto found = confirmed_ms_.find(version);
  return bounds_.in_force_ms > 0 && found != confirmed_ms_.end() &&
         found->second + bounds_.in_force_ms < sent_ms;
}

bool
change_judge::was_newest(const probe& p) const
{
  const auto next = confirmed_ms_.upper_bound(p.version);
  return next == confirmed_ms_.end() || next->second > p.answered_ms;
}

void
change_judge::on_answer(const probe& p)
{
  ++probes_;
  undisturbed_ += p.was_undisturbed ? 1 : 0;
  if (!p.is_served) {
    if (p.was_undisturbed && was_newest(p) && is_due(p.version, p.sent_ms)) {
      broken("a change is not in force", p);
    }
    return;
  }
  const auto next = confirmed_ms_.upper_bound(p.version);
  const bool replaced =
    next != confirmed_ms_.end() && is_due(next->first, p.sent_ms);
  if (p.was_undisturbed && replaced) {
    broken("a route that was taken away is served", p);
  }
  auto& s = shown_[{ p.entry, p.life }];
  if (p.version < s.version && s.at_ms + bounds_.back_slack_ms < p.sent_ms) {
    broken("an older version came back", p);
  }
  if (p.version > s.version) {
    s = { p.version, p.answered_ms };
  }
}

} // namespace cactusford::soak
