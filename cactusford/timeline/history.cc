#include "cactusford/timeline/history.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace cactusford::timeline {

namespace {

struct token_run
{
  std::uint64_t version = 0;
  std::uint64_t tokens = 0;

  friend bool operator==(const token_run&, const token_run&) = default;
};

using runs = std::vector<token_run>;

void
add(runs& r, std::uint64_t version, std::uint64_t tokens)
{
  if (tokens == 0) {
    return;
  }
  if (!r.empty() && r.back().version == version) {
    r.back().tokens += tokens;
  } else {
    r.push_back({ version, tokens });
  }
}

// Parses "version:tokens,version:tokens".
runs
runs_from(const std::string& text)
{
  runs r;
  std::istringstream in{ text };
  std::string part;
  while (std::getline(in, part, ',')) {
    const auto colon = part.find(':');
    if (colon != std::string::npos) {
      add(r, std::stoull(part), std::stoull(part.substr(colon + 1)));
    }
  }
  return r;
}

std::uint64_t
total_of(const runs& r)
{
  std::uint64_t total = 0;
  for (const auto& run : r) {
    total += run.tokens;
  }
  return total;
}

// The weight versions that produced the tokens of a request. The entry logs the
// first token of each attempt, and the engine of the attempt logs the version
// from each token on. An engine may continue an attempt after its connection
// was lost, so tokens from the first token of the next attempt on are ignored.
class token_history
{
public:
  void add_attempt_start(std::uint64_t attempt, std::uint64_t from)
  {
    first_tokens_[attempt] = from;
  }

  void add_run(std::uint64_t attempt, std::uint64_t from, std::uint64_t version)
  {
    versions_[attempt][from] = version;
  }

  // Returns the runs that produced the first `tokens` tokens.
  runs runs_up_to(std::uint64_t tokens) const
  {
    runs r;
    for (auto a = first_tokens_.begin(); a != first_tokens_.end(); ++a) {
      const auto next = std::next(a);
      const auto end = next == first_tokens_.end() ? tokens : next->second;
      add_attempt(r, a->first, std::min(end, tokens));
    }
    return r;
  }

private:
  void add_attempt(runs& r, std::uint64_t attempt, std::uint64_t end) const
  {
    const auto found = versions_.find(attempt);
    if (found == versions_.end()) {
      return;
    }
    const auto& from = found->second;
    for (auto i = from.begin(); i != from.end() && i->first < end; ++i) {
      const auto next = std::next(i);
      const auto stop = next == from.end() ? end : next->first;
      add(r, i->second, std::min(stop, end) - i->first);
    }
  }

  // Keyed by attempt.
  std::map<std::uint64_t, std::uint64_t> first_tokens_;
  // Keyed by attempt, then by the first token of the version.
  std::map<std::uint64_t, std::map<std::uint64_t, std::uint64_t>> versions_;
};

void
fail(promise_result& r, const record& at, const std::string& what)
{
  r.violations.push_back("hlc=" + to_string(at.at) + " process=" + at.process +
                         " " + what);
}

promise_result
check_attribution(const std::vector<record>& records)
{
  promise_result r{ "attribution", 0, {} };
  std::map<std::string, token_history> requests;
  for (const auto& e : records) {
    if (e.name == "engine_run") {
      requests[e.value("request")].add_run(
        e.number("attempt"), e.number("from"), e.number("weight_version"));
    } else if (e.name == "call_sent") {
      requests[e.value("request")].add_attempt_start(e.number("attempt"),
                                                     e.number("resume_from"));
    }
  }
  for (const auto& e : records) {
    if (e.name != "sample_received") {
      continue;
    }
    ++r.checked;
    const auto reported = runs_from(e.value("runs"));
    const auto actual =
      requests[e.value("sample")].runs_up_to(total_of(reported));
    if (reported.empty() || reported != actual) {
      fail(r,
           e,
           "sample " + e.value("sample") + " reports wrong runs " +
             e.value("runs"));
    }
  }
  return r;
}

promise_result
check_staleness(const std::vector<record>& records)
{
  promise_result r{ "staleness", 0, {} };
  for (const auto& e : records) {
    if (e.name != "sample_received") {
      continue;
    }
    ++r.checked;
    auto oldest = UINT64_MAX;
    for (const auto& run : runs_from(e.value("runs"))) {
      oldest = std::min(oldest, run.version);
    }
    if (oldest == UINT64_MAX ||
        oldest + e.number("bound") < e.number("version")) {
      fail(
        r, e, "sample " + e.value("sample") + " exceeds its staleness bound");
    }
  }
  return r;
}

promise_result
check_exactly_once(const std::vector<record>& records)
{
  promise_result r{ "exactly_once", 0, {} };
  std::map<std::string, std::set<std::uint64_t>> received_slots;
  for (const auto& e : records) {
    const auto step = e.value("trainer") + "/" + e.value("step");
    if (e.name == "sample_received") {
      ++r.checked;
      if (!received_slots[step].insert(e.number("slot")).second) {
        fail(r,
             e,
             "slot " + e.value("slot") + " of step " + step +
               " was delivered twice");
      }
    } else if (e.name == "step_completed" &&
               received_slots[step].size() != e.number("size")) {
      fail(r, e, step + " was completed without all samples");
    }
  }
  return r;
}

promise_result
check_complete_response(const std::vector<record>& records)
{
  promise_result r{ "whole_answer", 0, {} };
  for (const auto& e : records) {
    if (e.name != "answer_received") {
      continue;
    }
    ++r.checked;
    if (e.value("outcome") == "answered" && e.value("whole") != "1") {
      fail(r,
           e,
           "request " + e.value("request") +
             " got an incomplete or wrong response");
    }
  }
  return r;
}

// Returns the id that the service receives: the key of a non-idempotent call,
// otherwise the request id.
std::string
id_of(const record& e)
{
  const auto& key = e.value("key");
  return key.empty() ? e.value("request") : key;
}

promise_result
check_not_run(const std::vector<record>& records)
{
  promise_result r{ "not_run", 0, {} };
  std::map<std::string, const record*> executed;
  std::set<std::string> other_outcomes;
  for (const auto& e : records) {
    if (e.name == "service_executed" || e.name == "engine_run") {
      const auto& id =
        e.name == "engine_run" ? e.value("request") : e.value("id");
      executed.emplace(id, &e);
    } else if (e.name == "answer_received" && e.value("outcome") != "not_run") {
      other_outcomes.insert(id_of(e));
    }
  }
  for (const auto& e : records) {
    if (e.name != "answer_received" || e.value("outcome") != "not_run") {
      continue;
    }
    ++r.checked;
    const auto id = id_of(e);
    const auto ran = executed.find(id);
    if (ran != executed.end() && !other_outcomes.contains(id)) {
      fail(r, e, "request " + id + " was reported as not run but ran");
    }
  }
  return r;
}

promise_result
check_at_most_once(const std::vector<record>& records)
{
  promise_result r{ "at_most_once", 0, {} };
  std::set<std::string> keys;
  for (const auto& e : records) {
    if (e.name == "answer_received" && !e.value("key").empty()) {
      keys.insert(e.value("key"));
    }
    // A caller that crashed received no response, but its key was sent.
    if (e.name == "request_accepted" && !e.value("key").empty()) {
      keys.insert(e.value("key"));
    }
  }
  r.checked = keys.size();
  std::map<std::string, std::uint64_t> runs;
  for (const auto& e : records) {
    if (e.name == "service_executed" && keys.contains(e.value("id")) &&
        ++runs[e.value("id")] > 1) {
      fail(r, e, "key " + e.value("id") + " ran twice");
    }
  }
  return r;
}

promise_result
check_leaving(const std::vector<record>& records, const history_limits& l)
{
  promise_result r{ "leaving", 0, {} };
  std::map<std::string, std::uint64_t> since;
  for (const auto& e : records) {
    if (e.name == "process_started") {
      since.erase(e.process);
    } else if (e.name == "process_leaving") {
      since[e.process] = e.at.ms;
      ++r.checked;
    } else if (e.name == "call_started" && since.contains(e.process) &&
               e.at.ms > since[e.process] + l.leaving_ms) {
      fail(
        r, e, "request " + e.value("request") + " started on a leaving server");
    }
  }
  return r;
}

// A process must not stop before the requests and calls that it started have
// ended. They are matched by request and attempt.
promise_result
check_graceful(const std::vector<record>& records)
{
  promise_result r{ "graceful", 0, {} };
  std::map<std::string, std::map<std::string, const record*>> open;
  for (const auto& e : records) {
    auto& open_requests = open[e.process];
    const auto id = e.value("request") + "#" + e.value("attempt");
    if (e.name == "process_started") {
      open_requests.clear();
    } else if (e.name == "call_started" || e.name == "request_accepted") {
      open_requests[id] = &e;
    } else if (e.name == "call_ended" || e.name == "request_ended") {
      open_requests.erase(id);
    } else if (e.name == "process_stopped") {
      ++r.checked;
      for (const auto& [request, started] : open_requests) {
        fail(
          r, *started, "request " + request + " was open at a graceful stop");
      }
      open_requests.clear();
    }
  }
  return r;
}

bool
ends_uptime(const record& e)
{
  return e.name == "process_stopped" || e.name == "process_killed" ||
         e.name == "process_paused";
}

// A period in which a process was up: from ready or resumed until leaving,
// stopped, killed or paused.
struct uptime
{
  std::uint64_t from = 0;
  std::uint64_t to = UINT64_MAX;
};

std::map<std::string, std::vector<uptime>>
uptimes_of(const std::vector<record>& records)
{
  std::map<std::string, std::vector<uptime>> uptimes;
  for (const auto& e : records) {
    const auto& target = e.value("target");
    auto& process_uptimes = uptimes[target.empty() ? e.process : target];
    if (e.name == "configuration_ready" || e.name == "process_resumed") {
      process_uptimes.push_back({ e.at.ms, UINT64_MAX });
    } else if ((ends_uptime(e) || e.name == "process_leaving") &&
               !process_uptimes.empty()) {
      process_uptimes.back().to = std::min(process_uptimes.back().to, e.at.ms);
    }
  }
  return uptimes;
}

using in_force_times = std::map<std::pair<std::string, std::string>,
                                std::map<std::uint64_t, std::uint64_t>>;

std::string
object_of(const record& e)
{
  return e.value("kind") + "/" + e.value("name");
}

// Returns for each process and object when each version came into force.
in_force_times
in_force_times_of(const std::vector<record>& records)
{
  in_force_times all;
  for (const auto& e : records) {
    if (e.name == "configuration_in_force") {
      all[{ e.process, object_of(e) }].emplace(e.number("version"), e.at.ms);
    }
  }
  return all;
}

// Returns the milliseconds until the accepted version or a newer one was in
// force on the process, or UINT64_MAX if that never happened.
std::uint64_t
propagation_delay(const in_force_times& all,
                  const std::string& process,
                  const record& accepted)
{
  const auto times = all.find({ process, object_of(accepted) });
  if (times == all.end()) {
    return UINT64_MAX;
  }
  auto earliest = UINT64_MAX;
  for (auto v = times->second.lower_bound(accepted.number("version"));
       v != times->second.end();
       ++v) {
    earliest = std::min(earliest, v->second);
  }
  if (earliest == UINT64_MAX) {
    return earliest;
  }
  return earliest > accepted.at.ms ? earliest - accepted.at.ms : 0;
}

bool
was_up(const std::vector<uptime>& uptimes, std::uint64_t from, std::uint64_t to)
{
  return std::any_of(uptimes.begin(), uptimes.end(), [&](const auto& u) {
    return u.from <= from && u.to >= to;
  });
}

promise_result
check_configuration(const std::vector<record>& records, const history_limits& l)
{
  promise_result r{ "configuration", 0, {} };
  const auto all = in_force_times_of(records);
  const auto uptimes = uptimes_of(records);
  const auto last = records.empty() ? 0 : records.back().at.ms;
  std::map<std::pair<std::string, std::string>, std::uint64_t> in_force;
  std::map<std::string, std::uint64_t> newest;
  for (const auto& e : records) {
    if (e.name == "configuration_ready" &&
        e.number("version") < newest[e.process]) {
      fail(r, e, "process started with an older configuration than before");
    }
    if (e.name == "configuration_in_force") {
      auto& newest_version = newest[e.process];
      newest_version = std::max(newest_version, e.number("version"));
    }
    if (e.name == "process_started") {
      std::erase_if(in_force,
                    [&](const auto& h) { return h.first.first == e.process; });
    } else if (e.name == "configuration_in_force") {
      ++r.checked;
      auto& version = in_force[{ e.process, object_of(e) }];
      if (e.number("version") <= version) {
        fail(r,
             e,
             object_of(e) + " was reverted to version " + e.value("version"));
      }
      version = std::max(version, e.number("version"));
    } else if (e.name == "configuration_accepted") {
      for (const auto& [process, process_uptimes] : uptimes) {
        if (was_up(process_uptimes, e.at.ms, e.at.ms + l.max_propagation_ms) &&
            e.at.ms + l.max_propagation_ms <= last &&
            propagation_delay(all, process, e) > l.max_propagation_ms) {
          fail(r,
               e,
               object_of(e) + " version " + e.value("version") +
                 " is not in force on " + process);
        }
      }
    }
  }
  return r;
}

} // namespace

std::vector<record>
read_logs(const std::string& folder)
{
  std::vector<record> records;
  for (const auto& file :
       std::filesystem::recursive_directory_iterator{ folder }) {
    if (file.path().extension() != ".log") {
      continue;
    }
    std::ifstream in{ file.path() };
    std::string line;
    while (std::getline(in, line)) {
      if (auto r = parse(line)) {
        records.push_back(std::move(*r));
      }
    }
  }
  sort_records(records);
  return records;
}

void
sort_records(std::vector<record>& records)
{
  std::stable_sort(
    records.begin(), records.end(), [](const auto& a, const auto& b) {
      return std::tie(a.at, a.process) < std::tie(b.at, b.process);
    });
}

std::vector<promise_result>
check_history(const std::vector<record>& records, const history_limits& l)
{
  return { check_attribution(records),     check_staleness(records),
           check_exactly_once(records),    check_complete_response(records),
           check_not_run(records),         check_at_most_once(records),
           check_leaving(records, l),      check_graceful(records),
           check_configuration(records, l) };
}

std::string
to_string(const promise_result& r)
{
  return "promise=" + r.promise + " checked=" + std::to_string(r.checked) +
         " violations=" + std::to_string(r.violations.size());
}

std::uint64_t
longest_propagation_ms(const std::vector<record>& records)
{
  const auto all = in_force_times_of(records);
  const auto uptimes = uptimes_of(records);
  std::uint64_t longest = 0;
  for (const auto& e : records) {
    if (e.name != "configuration_accepted") {
      continue;
    }
    for (const auto& [process, process_uptimes] : uptimes) {
      const auto delay = propagation_delay(all, process, e);
      if (delay != UINT64_MAX &&
          was_up(process_uptimes, e.at.ms, e.at.ms + delay)) {
        longest = std::max(longest, delay);
      }
    }
  }
  return longest;
}

} // namespace cactusford::timeline
