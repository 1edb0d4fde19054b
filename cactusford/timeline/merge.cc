#include "cactusford/timeline/merge.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>

namespace cactusford::timeline {

namespace {

using nlohmann::json;

// Events that begin and end a span, matched by process and id.
const std::map<std::string, std::string>&
span_ends()
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

// Spans and, for what neither begins nor ends one, single events.
std::pair<std::vector<span>, std::vector<const record*>>
pair_up(const std::vector<record>& records)
{
  std::map<std::string, std::string> begin_of;
  for (const auto& [begin, end] : span_ends()) {
    begin_of[end] = begin;
  }
  std::map<std::string, std::size_t> open;
  std::vector<span> spans;
  std::vector<const record*> single;
  for (const auto& r : records) {
    if (span_ends().contains(r.name)) {
      open[r.process + "/" + r.name + "/" + id_of(r)] = spans.size();
      spans.push_back({ &r, nullptr });
      continue;
    }
    const auto begin = begin_of.find(r.name);
    const auto found =
      begin == begin_of.end()
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
micros(const record& r)
{
  return r.at.ms * 1000 + std::min<std::uint32_t>(r.at.counter, 999);
}

std::map<std::string, int>
process_numbers(const std::vector<record>& records)
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
  std::vector<record> chosen;
  const auto names = [](const std::string& value, const std::string& wanted) {
    return !wanted.empty() && value == wanted;
  };
  for (const auto& r : records) {
    const auto& id = r.value("request");
    if (names(id, request) || names(r.value("id"), request) ||
        names(r.value("key"), request) || names(r.value("sample"), sample) ||
        (!sample.empty() && id.starts_with(sample))) {
      chosen.push_back(r);
    }
  }
  return chosen;
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
  const auto numbers = process_numbers(records);
  auto events = json::array();
  for (const auto& [name, number] : numbers) {
    events.push_back({ { "ph", "M" },
                       { "name", "process_name" },
                       { "pid", number },
                       { "args", { { "name", name } } } });
  }
  const auto [spans, single] = pair_up(records);
  std::uint64_t id = 0;
  for (const auto& s : spans) {
    const auto& end = s.end == nullptr ? *s.begin : *s.end;
    json event{ { "name", s.begin->name },
                { "cat", s.begin->name },
                { "ph", "b" },
                { "id", ++id },
                { "pid", numbers.at(s.begin->process) },
                { "tid", 1 },
                { "ts", micros(*s.begin) },
                { "args", values_of(*s.begin) } };
    events.push_back(event);
    event["ph"] = "e";
    event["ts"] = micros(end);
    event["args"] = values_of(end);
    events.push_back(event);
  }
  for (const auto* r : single) {
    events.push_back({ { "name", r->name },
                       { "ph", "i" },
                       { "s", "p" },
                       { "pid", numbers.at(r->process) },
                       { "tid", 1 },
                       { "ts", micros(*r) },
                       { "args", values_of(*r) } });
  }
  return json{ { "traceEvents", events } }.dump();
}

} // namespace cactusford::timeline
