#include "cactusford/timeline/render.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace cactusford::timeline {

namespace {

using nlohmann::json;

// Maps each event that begins a span to the event that ends it. Both have the
// same process and id.
const std::map<std::string, std::string>&
end_events()
{
  static const std::map<std::string, std::string> ends{
    { "call_started", "call_ended" },
    { "request_accepted", "request_ended" },
    { "sample_started", "sample_ready" },
    { "weights_order", "weights_order_ended" },
    { "process_paused", "process_resumed" },
  };
  return ends;
}

std::string
id_of(const record& r)
{
  for (const auto* key : { "request", "sample", "model", "target" }) {
    if (!r.value(key).empty()) {
      return std::string{ r.value(key) } + "#" + r.value("attempt") +
             r.value("kind");
    }
  }
  return {};
}

struct span
{
  const record* begin = nullptr;
  const record* end = nullptr;
};

// Returns the spans, and the events that do not belong to one.
std::pair<std::vector<span>, std::vector<const record*>>
group_into_spans(const std::vector<record>& records)
{
  std::map<std::string, std::string> begin_events;
  for (const auto& [begin, end] : end_events()) {
    begin_events[end] = begin;
  }
  std::map<std::string, std::size_t> open;
  std::vector<span> spans;
  std::vector<const record*> single;
  for (const auto& r : records) {
    if (end_events().contains(r.name)) {
      open[r.process + "/" + r.name + "/" + id_of(r)] = spans.size();
      spans.push_back({ &r, nullptr });
      continue;
    }
    const auto begin = begin_events.find(r.name);
    const auto found =
      begin == begin_events.end()
        ? open.end()
        : open.find(r.process + "/" + begin->second + "/" + id_of(r));
    if (found == open.end()) {
      single.push_back(&r);
    } else {
      spans[found->second].end = &r;
      open.erase(found);
    }
  }
  return { std::move(spans), std::move(single) };
}

std::uint64_t
to_microseconds(const record& r)
{
  return r.at.ms * 1000 + std::min<std::uint32_t>(r.at.counter, 999);
}

std::map<std::string, int>
number_processes(const std::vector<record>& records)
{
  std::map<std::string, int> numbers;
  for (const auto& r : records) {
    numbers.emplace(r.process, 0);
  }
  int next = 1;
  for (auto& [name, number] : numbers) {
    number = next++;
  }
  return numbers;
}

json
values_of(const record& r)
{
  json values(r.values);
  values.erase("process");
  values.erase("event");
  return values;
}

} // namespace

std::vector<record>
select(const std::vector<record>& records,
       const std::string& request,
       const std::string& sample)
{
  if (request.empty() && sample.empty()) {
    return records;
  }
  std::vector<record> selected;
  const auto matches = [](const std::string& value, const std::string& wanted) {
    return !wanted.empty() && value == wanted;
  };
  for (const auto& r : records) {
    const auto& id = r.value("request");
    if (matches(id, request) || matches(r.value("id"), request) ||
        matches(r.value("key"), request) ||
        matches(r.value("sample"), sample) ||
        (!sample.empty() && id.starts_with(sample))) {
      selected.push_back(r);
    }
  }
  return selected;
}

std::string
to_text(const std::vector<record>& records)
{
  std::ostringstream out;
  for (const auto& r : records) {
    out << to_string(r.at) << " " << r.process << " " << r.name;
    for (const auto& [key, value] : r.values) {
      if (key != "hlc" && key != "process" && key != "event") {
        out << " " << key << "=" << value;
      }
    }
    out << "\n";
  }
  return out.str();
}

std::string
to_trace(const std::vector<record>& records)
{
  const auto numbers = number_processes(records);
  auto events = json::array();
  for (const auto& [name, number] : numbers) {
    events.push_back({ { "ph", "M" },
                       { "name", "process_name" },
                       { "pid", number },
                       { "args", { { "name", name } } } });
  }
  const auto [spans, single] = group_into_spans(records);
  std::uint64_t id = 0;
  for (const auto& s : spans) {
    const auto& end = s.end == nullptr ? *s.begin : *s.end;
    json event{ { "name", s.begin->name },
                { "cat", s.begin->name },
                { "ph", "b" },
                { "id", ++id },
                { "pid", numbers.at(s.begin->process) },
                { "tid", 1 },
                { "ts", to_microseconds(*s.begin) },
                { "args", values_of(*s.begin) } };
    events.push_back(event);
    event["ph"] = "e";
    event["ts"] = to_microseconds(end);
    event["args"] = values_of(end);
    events.push_back(event);
  }
  for (const auto* r : single) {
    events.push_back({ { "name", r->name },
                       { "ph", "i" },
                       { "s", "p" },
                       { "pid", numbers.at(r->process) },
                       { "tid", 1 },
                       { "ts", to_microseconds(*r) },
                       { "args", values_of(*r) } });
  }
  return json{ { "traceEvents", events } }.dump();
}

} // namespace cactusford::timeline
