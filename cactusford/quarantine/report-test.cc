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

Test(quarantine, a_report_comes_back_as_it_was)
{
  const auto r = report_from(encode(sample()));
  cr_assert(r.has_value());
  cr_assert(*r == sample());
}

// Anybody may write to the store. A report that can't be read counts for
// nothing; a huge one must not fill the memory of every entry.
Test(quarantine, a_report_of_another_shape_counts_for_nothing)
{
  cr_assert_not(report_from(json::array()).has_value());
  cr_assert_not(report_from("text").has_value());
  for (const auto* key : { "by", "at_ms", "ended", "answered" }) {
    auto j = encode(sample());
    j.erase(key);
    cr_assert_not(report_from(j).has_value(), "without %s", key);
  }
  SECTION("nor one with a fingerprint that is none")
  {
    auto j = encode(sample());
    j["answered"] = { std::string(100000, 'a') };
    cr_assert_not(report_from(j).has_value());
    j["answered"] = { 3 };
    cr_assert_not(report_from(j).has_value());
  }
  SECTION("nor one with too much in it")
  {
    auto j = encode(sample());
    j["ended"] = json::array();
    for (std::size_t i = 0; i <= most_lives; ++i) {
      j["ended"].push_back(
        { { "backend", "b" }, { "started_ms", i }, { "ran", json::array() } });
    }
    cr_assert_not(report_from(j).has_value());
  }
}

Test(quarantine, names_tell_whose_report_it_is)
{
  cr_assert(is_reported_by(name_of_report("entry-1", 5), "entry-1"));
  cr_assert_not(is_reported_by(name_of_report("entry-12", 5), "entry-1"));
}
