#include "cactusford/usage/counts.h"

#include <algorithm>

namespace cactusford::usage {

namespace {

using nlohmann::json;

// A larger message is the fault of whoever sent it.
constexpr std::size_t max_workspaces = 20000;

} // namespace

std::optional<std::uint64_t>
count_run(windows& w, std::uint64_t number, const std::string& workspace)
{
  ++w[number][workspace];
  if (w.size() <= max_windows) {
    return std::nullopt;
  }
  const auto oldest = w.begin()->first;
  w.erase(w.begin());
  return oldest;
}

void
drop_through(windows& w, std::uint64_t number)
{
  w.erase(w.begin(), w.upper_bound(number));
}

json
encode(const counts& c)
{
  auto j = json::object();
  for (const auto& [workspace, requests] : c) {
    j[workspace] = requests;
  }
  return j;
}

store::decoded<counts>
counts_from(const json& j)
{
  return store::try_decode([&] {
    if (!j.is_object() || j.size() > max_workspaces) {
      throw store::field_error{ { "counts",
                                  "not a map of counts by workspace" } };
    }
    counts c;
    for (const auto& [workspace, requests] : j.items()) {
      c[workspace] = store::uint_field(j, workspace.c_str());
    }
    return c;
  });
}

json
encode(const instance_counts& t)
{
  auto open = json::array();
  for (const auto& [number, c] : t.open) {
    open.push_back({ { "window", number }, { "counts", encode(c) } });
  }
  return { { "instance", t.instance },
           { "started_ms", t.started_ms },
           { "open", std::move(open) } };
}

store::decoded<instance_counts>
instance_counts_from(const json& j)
{
  return store::try_decode([&] {
    instance_counts t;
    t.instance = store::string_field(j, "instance");
    t.started_ms = store::uint_field(j, "started_ms");
    const auto& open = store::array_field(j, "open");
    if (open.size() > max_windows) {
      throw store::field_error{ { "open", "more windows than allowed" } };
    }
    for (const auto& w : open) {
      auto c = counts_from(store::field(w, "counts"));
      if (!c) {
        throw store::field_error{ c.fault };
      }
      t.open[store::uint_field(w, "window")] = std::move(*c);
    }
    return t;
  });
}

void
merge(received_counts& c, const instance_counts& t)
{
  auto& known = c.by_instance[t.instance][t.started_ms];
  for (const auto& [number, received] : t.open) {
    auto& window = known[number];
    for (const auto& [workspace, requests] : received) {
      auto& known_requests = window[workspace];
      known_requests = std::max(known_requests, requests);
    }
  }
}

counts
sum(const received_counts& c, std::uint64_t number)
{
  counts all;
  for (const auto& [instance, incarnations] : c.by_instance) {
    for (const auto& [started_ms, open] : incarnations) {
      const auto found = open.find(number);
      if (found == open.end()) {
        continue;
      }
      for (const auto& [workspace, requests] : found->second) {
        all[workspace] += requests;
      }
    }
  }
  return all;
}

void
drop_through(received_counts& c, std::uint64_t number)
{
  for (auto& [instance, incarnations] : c.by_instance) {
    for (auto& [started_ms, open] : incarnations) {
      drop_through(open, number);
    }
    std::erase_if(incarnations, [](const auto& l) { return l.second.empty(); });
  }
  std::erase_if(c.by_instance, [](const auto& i) { return i.second.empty(); });
}

} // namespace cactusford::usage
