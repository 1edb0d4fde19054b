#include "cactusford/membership/directory.h"

#include "cactusford/store/fields.h"

#include <algorithm>
#include <tuple>

namespace cactusford::membership {

void
record(directory& d, const member& m, std::uint64_t now_ms)
{
  std::erase_if(d.all, [now_ms](const auto& e) {
    return now_ms - e.second.heard_at_ms > member_timeout_ms;
  });
  if (m.capacity > 0) {
    d.all[m.instance] = { m, now_ms };
  } else {
    d.all.erase(m.instance);
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
    list.push_back({ { "instance", m.instance },
                     { "address", m.address },
                     { "capacity", m.capacity },
                     { "started_ms", m.started_ms } });
  }
  return list;
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
                     store::uint_field(e, "started_ms") };
    });
    if (m) {
      members.push_back(std::move(*m));
    }
  }
  return members;
}

} // namespace cactusford::membership
