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

namespace {

// What is declared about the routes of one service.
struct declared_demands
{
  std::set<std::uint64_t> objectives;
  std::set<std::uint32_t> priorities;
  bool takes_workspaces = false;
};

// Workspaces that declare no priority have that of the called route.
bool
differ_in_priority(const workspaces::directory& d,
                   const std::set<std::uint32_t>& of_routes)
{
  std::set<std::optional<std::uint32_t>> declared;
  for (const auto& w : d.all) {
    declared.insert(w.priority);
  }
  if (declared.size() < 2 || !declared.contains(std::nullopt)) {
    return declared.size() > 1;
  }
  declared.erase(std::nullopt);
  declared.insert(of_routes.begin(), of_routes.end());
  return declared.size() > 1;
}

bool
differ_in_share(const workspaces::directory& d)
{
  return std::any_of(d.all.begin(), d.all.end(), [&](const auto& w) {
    return w.weight != d.all.front().weight || w.max_running != 0;
  });
}

} // namespace

data_centres::home_regions
homes_of(const table& t, const route* r, std::string_view workspace)
{
  const auto is_restricted = [](const auto& e) {
    return e.homes.is_restricted;
  };
  const workspaces::workspace* of =
    t.workspaces && !workspace.empty()
      ? workspaces::find_by_name(*t.workspaces, workspace)
      : nullptr;
  const bool is_unknown = r == nullptr || (of == nullptr && !workspace.empty());
  if (is_unknown) {
    const bool has_restrictions =
      std::any_of(t.routes.begin(), t.routes.end(), is_restricted) ||
      (t.workspaces && std::any_of(t.workspaces->all.begin(),
                                   t.workspaces->all.end(),
                                   is_restricted));
    return { has_restrictions, {} };
  }
  return of == nullptr ? r->homes
                       : data_centres::intersect(r->homes, of->homes);
}

std::set<std::string>
contended_services(const table& t)
{
  std::map<std::string, declared_demands> demands;
  for (const auto& r : t.routes) {
    if (r.kind == call_kind::rollout) {
      continue;
    }
    for (const auto& s : r.services) {
      auto& d = demands[s.service];
      if (r.objective_ms > 0) {
        d.objectives.insert(r.objective_ms);
      }
      if (!r.is_public) {
        d.takes_workspaces = true;
        d.priorities.insert(r.priority);
      }
    }
  }
  const bool shares_differ = t.workspaces && differ_in_share(*t.workspaces);
  std::set<std::string> contended;
  for (const auto& [name, d] : demands) {
    const auto service = t.services.find(name);
    const bool is_engine =
      service != t.services.end() && service->second.engine_slots > 0;
    const bool workspaces_differ =
      t.workspaces && d.takes_workspaces &&
      (shares_differ || differ_in_priority(*t.workspaces, d.priorities));
    if (!is_engine && (d.objectives.size() > 1 || workspaces_differ)) {
      contended.insert(name);
    }
  }
  return contended;
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

bool
yields_to_callers(yielding_routes& cache, const table_ptr& t, const route& r)
{
  if (cache.of != t) {
    cache = { t, {} };
  }
  const auto [found, is_new] = cache.known.try_emplace(&r, false);
  if (is_new) {
    found->second = yields_to_callers(*t, r);
  }
  return found->second;
}

} // namespace cactusford::routes
