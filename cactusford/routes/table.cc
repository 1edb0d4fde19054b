#include "cactusford/routes/table.h"

#include <algorithm>

namespace cactusford::routes {

const route*
match(const table& t, std::string_view host, std::string_view path)
{
  const route* best = nullptr;
  for (const auto& r : t.routes) {
    if (r.host != host || !path.starts_with(r.path_prefix)) {
      continue;
    }
    if (best == nullptr || r.path_prefix.size() > best->path_prefix.size()) {
      best = &r;
    }
  }
  return best;
}

std::string
pick_service(const route& r, double random)
{
  double total_weight = 0;
  for (const auto& s : r.services) {
    total_weight += s.weight;
  }
  double remaining = random * total_weight;
  for (const auto& s : r.services) {
    remaining -= s.weight;
    if (remaining < 0) {
      return s.service;
    }
  }
  return r.services.empty() ? std::string{} : r.services.back().service;
}

bool
yields_to_callers(const table& t, const route& r)
{
  const auto shares_service = [&](const route& other) {
    return std::any_of(
      other.services.begin(), other.services.end(), [&](const auto& s) {
        return std::any_of(
          r.services.begin(), r.services.end(), [&](const auto& own) {
            return own.service == s.service;
          });
      });
  };
  return std::any_of(t.routes.begin(), t.routes.end(), [&](const route& other) {
    return other.kind != call_kind::rollout && other.objective_ms > 0 &&
           other.objective_ms < r.objective_ms && shares_service(other);
  });
}

} // namespace cactusford::routes
