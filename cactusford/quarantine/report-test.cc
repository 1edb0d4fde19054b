#include "cactusford/quarantine/report.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::quarantine;
using nlohmann::json;

namespace {

const fingerprint work = "00000000000000aa";

report
sample()
{
  return { "entry-0", 17, { { "server-1", 3, { work } } }, { work } };
}

} // namespace

Test(quarantine, a_report_round_trips)
{
  const auto r = report_from(encode(sample()));
  cr_assert(r.has_value());
  cr_assert(*r == sample());
}

// Any client may write to the store. Malformed reports are rejected, and so are
// huge ones, which would fill the memory of every entry.
Test(quarantine, malformed_reports_are_rejected)
{
  cr_assert_not(report_from(json::array()).has_value());
  cr_assert_not(report_from("text").has_value());
  for (const auto* key : { "by", "at_ms", "ended", "answered" }) {
    auto j = encode(sample());
    j.erase(key);
    cr_assert_not(report_from(j).has_value(), "without %s", key);
  }
  SECTION("a report with an invalid fingerprint is rejected")
  {
    auto j = encode(sample());
    j["answered"] = { std::string(100000, 'a') };
    cr_assert_not(report_from(j).has_value());
    j["answered"] = { 3 };
    cr_assert_not(report_from(j).has_value());
  }
  SECTION("a report with too many crashes is rejected")
  {
    auto j = encode(sample());
    j["ended"] = json::array();
    for (std::size_t i = 0; i <= max_crashes; ++i) {
      j["ended"].push_back(
        { { "backend", "b" }, { "started_ms", i }, { "ran", json::array() } });
    }
    cr_assert_not(report_from(j).has_value());
  }
}

Test(quarantine, report_names_identify_the_reporter)
{
  cr_assert(is_reported_by(report_name("entry-1", 5), "entry-1"));
  cr_assert_not(is_reported_by(report_name("entry-12", 5), "entry-1"));
}
