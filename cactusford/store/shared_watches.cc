#include "cactusford/store/shared_watches.h"

namespace cactusford::store {

void
shared_watches::join(const std::string& target,
                     std::uint64_t now_ms,
                     origin from,
                     const call_starter& start_call,
                     handler done)
{
  const auto recent = recent_.find(target);
  if (recent != recent_.end() && now_ms - recent->second.at_ms < reuse_ms) {
    const auto& a = recent->second;
    done(http::exchange_outcome::complete, a.value, a.confirmed_ms);
    return;
  }
  const auto [waiting, is_first] = waiting_.try_emplace(target);
  waiting->second.push_back({ from, std::move(done) });
  if (is_first) {
    start_call();
  }
}

void
shared_watches::complete(const std::string& target,
                         std::uint64_t now_ms,
                         http::exchange_outcome end,
                         const http::response& r,
                         std::uint64_t confirmed_ms,
                         bool has_changes)
{
  std::erase_if(recent_, [&](const auto& e) {
    return now_ms - e.second.at_ms >= reuse_ms;
  });
  if (end == http::exchange_outcome::complete && has_changes) {
    recent_[target] = { now_ms, confirmed_ms, r };
  }
  const auto found = waiting_.find(target);
  if (found == waiting_.end()) {
    return;
  }
  const auto all = std::move(found->second);
  waiting_.erase(found);
  for (const auto& w : all) {
    w.done(end, r, confirmed_ms);
  }
}

std::vector<shared_watches::handler>
shared_watches::take_relayed_handlers()
{
  std::vector<handler> taken;
  for (auto& entry : waiting_) {
    for (auto& w : entry.second) {
      if (w.from == origin::relayed) {
        taken.push_back(std::move(w.done));
      }
    }
    std::erase_if(entry.second,
                  [](const waiter& w) { return w.from == origin::relayed; });
  }
  return taken;
}

} // namespace cactusford::store
