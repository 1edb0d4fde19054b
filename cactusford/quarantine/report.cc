#include "cactusford/quarantine/report.h"

namespace cactusford::quarantine {

namespace {

using nlohmann::json;

// Longer than any id of a backend server. Longer texts come from other writers
// and are rejected.
constexpr std::size_t max_id_size = 256;

void
check_fingerprint(const fingerprint& f)
{
  if (f.size() != fingerprint_digits) {
    throw store::field_error{ { "work", "not a fingerprint" } };
  }
}

std::vector<fingerprint>
fingerprints_from(const json& list)
{
  if (list.size() > max_fingerprints) {
    throw store::field_error{ { "ran", "too many entries" } };
  }
  auto fingerprints = list.get<std::vector<fingerprint>>();
  for (const auto& f : fingerprints) {
    check_fingerprint(f);
  }
  return fingerprints;
}

crash
crash_from(const json& j)
{
  const auto& backend = store::string_field(j, "backend");
  if (backend.size() > max_id_size) {
    throw store::field_error{ { "backend", "too long" } };
  }
  return { backend,
           store::uint_field(j, "started_ms"),
           fingerprints_from(store::array_field(j, "ran")),
           store::uint_field_or(j, "at_ms", 0) };
}

} // namespace

json
encode(const report& r)
{
  json crashes = json::array();
  for (const auto& c : r.crashes) {
    crashes.push_back({ { "backend", c.backend },
                        { "started_ms", c.started_ms },
                        { "ran", c.running },
                        { "at_ms", c.at_ms } });
  }
  return { { "by", r.reporter },
           { "at_ms", r.at_ms },
           { "ended", crashes },
           { "answered", r.answered },
           { "trial", r.trial } };
}

store::decoded<report>
report_from(const json& spec)
{
  return store::try_decode([&] {
    report r;
    r.reporter = store::string_field(spec, "by");
    r.at_ms = store::uint_field(spec, "at_ms");
    r.answered = fingerprints_from(store::array_field(spec, "answered"));
    r.trial = store::string_field(spec, "trial");
    if (!r.trial.empty()) {
      check_fingerprint(r.trial);
    }
    const auto& crashes = store::array_field(spec, "ended");
    if (crashes.size() > max_crashes) {
      throw store::field_error{ { "ended", "too many entries" } };
    }
    for (const auto& c : crashes) {
      r.crashes.push_back(crash_from(c));
    }
    return r;
  });
}

std::string
trial_name(const fingerprint& f, const decision& d)
{
  return "trial." + f + "." + std::to_string(d.last_crash_ms) + "." +
         std::to_string(d.trials);
}

std::string
report_name(const std::string& instance, std::uint64_t at_ms)
{
  return instance + "." + std::to_string(at_ms);
}

bool
is_reported_by(const std::string& name, const std::string& instance)
{
  return name.starts_with(instance + ".");
}

} // namespace cactusford::quarantine
