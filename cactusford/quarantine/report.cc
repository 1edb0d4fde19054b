#include "cactusford/quarantine/report.h"

namespace cactusford::quarantine {

namespace {

using nlohmann::json;

// Longer than any id of a backend server: other writers' texts are not kept.
constexpr std::size_t longest_id = 256;

void
check_fingerprint(const fingerprint& f)
{
  if (f.size() != fingerprint_digits) {
    throw store::field_error{ { "work", "no fingerprint" } };
  }
}

std::vector<fingerprint>
works_from(const json& list)
{
  if (list.size() > most_works) {
    throw store::field_error{ { "ran", "too many" } };
  }
  auto works = list.get<std::vector<fingerprint>>();
  for (const auto& w : works) {
    check_fingerprint(w);
  }
  return works;
}

ended_life
life_from(const json& j)
{
  const auto& backend = store::string_field(j, "backend");
  if (backend.size() > longest_id) {
    throw store::field_error{ { "backend", "too long" } };
  }
  return { backend,
           store::uint_field(j, "started_ms"),
           works_from(store::array_field(j, "ran")),
           store::uint_field_or(j, "at_ms", 0) };
}

} // namespace

json
encode(const report& r)
{
  json ended = json::array();
  for (const auto& l : r.ended) {
    ended.push_back({ { "backend", l.backend },
                      { "started_ms", l.started_ms },
                      { "ran", l.ran },
                      { "at_ms", l.at_ms } });
  }
  return { { "by", r.reporter },
           { "at_ms", r.at_ms },
           { "ended", ended },
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
    r.answered = works_from(store::array_field(spec, "answered"));
    r.trial = store::string_field(spec, "trial");
    if (!r.trial.empty()) {
      check_fingerprint(r.trial);
    }
    const auto& ended = store::array_field(spec, "ended");
    if (ended.size() > most_lives) {
      throw store::field_error{ { "ended", "too many" } };
    }
    for (const auto& l : ended) {
      r.ended.push_back(life_from(l));
    }
    return r;
  });
}

std::string
name_of_trial(const fingerprint& f, std::uint64_t slot)
{
  return "trial." + f + "." + std::to_string(slot);
}

std::string
name_of_report(const std::string& instance, std::uint64_t at_ms)
{
  return instance + "." + std::to_string(at_ms);
}

bool
is_reported_by(const std::string& name, const std::string& instance)
{
  return name.starts_with(instance + ".");
}

} // namespace cactusford::quarantine
