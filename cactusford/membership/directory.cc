#include "cactusford/membership/directory.h"

#include "cactusford/store/fields.h"

#include <algorithm>
#include <tuple>

namespace cactusford::membership {

namespace {

// An entry that has at least this share of the largest one's capacity is worth
// reporting because it was started recently.
constexpr double large_share = 0.5;

// Relays report departures to each other. The age travels with the report, so
// that a report doesn't live on by being passed back and forth.
void
record_departure(directory& d, const member& m, std::uint64_t now_ms)
{
  const auto known = d.all.find(m.instance);
  if (known != d.all.end() && known->second.value.started_ms <= m.started_ms) {
    d.all.erase(known);
  }
  if (m.left_ms_ago > departure_memory_ms) {
    return;
  }
  const directory::entry reported{ m,
                                   now_ms - std::min(now_ms, m.left_ms_ago) };
  auto& kept = d.departed.try_emplace(m.instance, reported).first->second;
  if (m.started_ms > kept.value.started_ms) {
    kept = reported;
  }
}

// Returns true if the report is older than what is known of the instance: a
// relay that was paused may name a member that has left or restarted since.
bool
is_outdated(const directory& d, const member& m)
{
  const auto known = d.all.find(m.instance);
  if (known != d.all.end() && known->second.value.started_ms > m.started_ms) {
    return true;
  }
  const auto left = d.departed.find(m.instance);
  return left != d.departed.end() &&
         left->second.value.started_ms >= m.started_ms;
}

// Returns the members in the order of `largest`, but those of different regions
// in turn.
std::vector<member>
take_turns(const std::vector<member>& sorted)
{
  std::map<std::string, std::size_t> seen;
  std::vector<std::pair<std::size_t, member>> ranked;
  for (const auto& m : sorted) {
    ranked.emplace_back(seen[m.region]++, m);
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](auto& a, auto& b) {
    return a.first < b.first;
  });
  std::vector<member> members;
  for (auto& r : ranked) {
    members.push_back(std::move(r.second));
  }
  return members;
}

bool
contains(const std::vector<member>& members, const member& m)
{
  return std::find(members.begin(), members.end(), m) != members.end();
}

} // namespace

void
record(directory& d, const member& m, std::uint64_t now_ms)
{
  std::erase_if(d.all, [now_ms](const auto& e) {
    return now_ms - e.second.heard_at_ms > member_timeout_ms;
  });
  std::erase_if(d.departed, [now_ms](const auto& e) {
    return now_ms - e.second.heard_at_ms > departure_memory_ms;
  });
  if (m.capacity <= 0) {
    record_departure(d, m, now_ms);
  } else if (!is_outdated(d, m)) {
    d.all[m.instance] = { m, now_ms };
  }
}

std::vector<member>
largest(const directory& d, std::size_t most, std::uint64_t now_ms)
{
  std::vector<member> members;
  for (const auto& [instance, h] : d.all) {
    if (now_ms - h.heard_at_ms <= member_timeout_ms) {
      members.push_back(h.value);
    }
  }
  std::stable_sort(members.begin(), members.end(), [](auto& a, auto& b) {
    return std::tuple{ b.capacity, b.started_ms } <
           std::tuple{ a.capacity, a.started_ms };
  });
  members.resize(std::min(most, members.size()));
  return members;
}

std::vector<member>
departures(const directory& d, std::uint64_t now_ms)
{
  std::vector<member> left;
  for (const auto& [instance, e] : d.departed) {
    const auto age = now_ms - std::min(now_ms, e.heard_at_ms);
    if (age <= departure_memory_ms) {
      left.push_back(e.value);
      left.back().left_ms_ago = age;
    }
  }
  std::stable_sort(left.begin(), left.end(), [](auto& a, auto& b) {
    return a.left_ms_ago < b.left_ms_ago;
  });
  return left;
}

std::vector<member>
members_for_reply(const directory& d,
                  const reply_limits& limits,
                  std::uint64_t now_ms)
{
  auto reply = departures(d, now_ms);
  reply.resize(std::min(limits.departed, reply.size()));
  auto live = take_turns(largest(d, d.all.size(), now_ms));
  const auto named = std::min(limits.largest, live.size());
  reply.insert(reply.end(),
               live.begin(),
               live.begin() + static_cast<std::ptrdiff_t>(named));
  double most = 0;
  for (const auto& m : live) {
    most = std::max(most, m.capacity);
  }
  std::erase_if(live, [&](const auto& m) {
    return m.capacity < large_share * most || contains(reply, m);
  });
  std::stable_sort(live.begin(), live.end(), [](auto& a, auto& b) {
    return a.started_ms > b.started_ms;
  });
  const auto recent = take_turns(live);
  reply.insert(reply.end(),
               recent.begin(),
               recent.begin() + static_cast<std::ptrdiff_t>(std::min(
                                  limits.recently_started, recent.size())));
  return reply;
}

std::uint32_t
rank_of(const directory& d, const std::string& instance)
{
  return static_cast<std::uint32_t>(
    std::distance(d.all.begin(), d.all.lower_bound(instance)));
}

nlohmann::json
encode(const std::vector<member>& members)
{
  auto list = nlohmann::json::array();
  for (const auto& m : members) {
    nlohmann::json e{ { "instance", m.instance },
                      { "address", m.address },
                      { "capacity", m.capacity },
                      { "started_ms", m.started_ms } };
    if (!m.data_centre.empty()) {
      e["data_centre"] = m.data_centre;
      e["region"] = m.region;
    }
    if (m.left_ms_ago > 0) {
      e["left_ms_ago"] = m.left_ms_ago;
    }
    list.push_back(std::move(e));
  }
  return list;
}

std::size_t
count_alive(const directory& d, std::uint64_t now_ms)
{
  return static_cast<std::size_t>(
    std::count_if(d.all.begin(), d.all.end(), [now_ms](const auto& e) {
      return now_ms - e.second.heard_at_ms <= member_timeout_ms;
    }));
}

void
add_entry_count(nlohmann::json& members, std::size_t entries)
{
  members.push_back({ { "entries", entries } });
}

std::optional<std::size_t>
entry_count_from(const nlohmann::json& members)
{
  if (!members.is_array()) {
    return std::nullopt;
  }
  for (const auto& e : members) {
    const auto count =
      store::try_decode([&] { return store::uint_field(e, "entries"); });
    if (count) {
      return *count;
    }
  }
  return std::nullopt;
}

std::vector<member>
members_from(const nlohmann::json& j)
{
  std::vector<member> members;
  if (!j.is_array()) {
    return members;
  }
  for (const auto& e : j) {
    auto m = store::try_decode([&] {
      return member{ store::string_field(e, "instance"),
                     store::string_field(e, "address"),
                     store::number_field(e, "capacity"),
                     store::uint_field(e, "started_ms"),
                     store::string_field_or(e, "data_centre", ""),
                     store::string_field_or(e, "region", ""),
                     store::uint_field_or(e, "left_ms_ago", 0) };
    });
    if (m) {
      members.push_back(std::move(*m));
    }
  }
  return members;
}

} // namespace cactusford::membership
