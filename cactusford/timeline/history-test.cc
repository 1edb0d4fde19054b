#include "cactusford/timeline/history.h"

#include "cactusford/testing/section.h"
#include "cactusford/timeline/render.h"

#include <criterion/criterion.h>

using namespace cactusford::timeline;

namespace {

std::vector<record>
parse_lines(const std::vector<std::string>& lines)
{
  std::vector<record> records;
  std::uint64_t ms = 1000;
  for (const auto& line : lines) {
    // A line may set its own time, to be much later than the previous one.
    const auto at = line.starts_with("hlc=")
                      ? line
                      : "hlc=" + std::to_string(++ms) + ".0 " + line;
    auto r = parse(at);
    cr_assert(r.has_value(), "%s", line.c_str());
    records.push_back(std::move(*r));
  }
  sort_records(records);
  return records;
}

const std::vector<std::string> valid_lines{
  "process=e event=process_started",
  "process=e event=configuration_ready version=0",
  "process=s event=process_started",
  "process=e event=configuration_accepted kind=pool name=p version=1",
  "process=e event=configuration_in_force kind=pool name=p version=1",
  "process=s event=call_started request=s1 attempt=1",
  "process=e event=call_sent request=s1 attempt=1 resume_from=0",
  "process=b event=engine_run request=s1 attempt=1 from=0 weight_version=1",
  "process=b event=engine_run request=s1 attempt=1 from=10 weight_version=2",
  "process=s event=call_ended request=s1 attempt=1",
  "process=t event=sample_received trainer=t step=1 slot=0 sample=s1 "
  "runs=1:10,2:5 bound=1 version=2",
  "process=t event=step_completed trainer=t step=1 size=1",
  "process=b event=service_executed id=k1",
  "process=l event=answer_received request=q1 key=k1 outcome=answered "
  "whole=1",
  "process=l event=answer_received request=q2 outcome=not_run whole=0",
  "process=s event=process_leaving",
  "process=s event=process_stopped",
  "hlc=60000.0 process=l event=end",
};

// Returns the promises that are broken when the lines follow the valid ones.
std::string
promises_broken_by(const std::vector<std::string>& more)
{
  auto lines = valid_lines;
  lines.insert(lines.end() - 1, more.begin(), more.end());
  std::string names;
  for (const auto& r : check_history(parse_lines(lines), {})) {
    if (!r.violations.empty()) {
      names += (names.empty() ? "" : " ") + r.promise;
    }
  }
  return names;
}

} // namespace

// Guards against a checker that misses violations. Each section breaks one
// promise, and the checker must report this one and no other.
Test(history, reports_each_broken_promise)
{
  cr_assert_eq(promises_broken_by({}), "");
  SECTION("a sample reports a version that did not produce it")
  {
    cr_assert_eq(promises_broken_by(
                   { "process=e event=call_sent request=s2 attempt=1",
                     "process=b event=engine_run request=s2 attempt=1 from=0 "
                     "weight_version=1",
                     "process=t event=sample_received trainer=t step=2 slot=0 "
                     "sample=s2 runs=2:10 bound=1 version=2" }),
                 "attribution");
  }
  SECTION("tokens of an attempt after its connection was lost do not count")
  {
    cr_assert_eq(
      promises_broken_by(
        { "process=e event=call_sent request=s2 attempt=1",
          "process=b event=engine_run request=s2 attempt=1 from=0 "
          "weight_version=1",
          "process=e event=call_sent request=s2 attempt=2 resume_from=4",
          "process=c event=engine_run request=s2 attempt=2 from=4 "
          "weight_version=2",
          "process=b event=engine_run request=s2 attempt=1 from=7 "
          "weight_version=3",
          "process=t event=sample_received trainer=t step=2 slot=0 "
          "sample=s2 runs=1:4,2:6 bound=1 version=2" }),
      "");
  }
  SECTION("a sample is older than its bound")
  {
    cr_assert_eq(promises_broken_by(
                   { "process=e event=call_sent request=s2 attempt=1",
                     "process=b event=engine_run request=s2 attempt=1 from=0 "
                     "weight_version=1",
                     "process=t event=sample_received trainer=t step=2 slot=0 "
                     "sample=s2 runs=1:10 bound=1 version=3" }),
                 "staleness");
  }
  SECTION("a slot is delivered twice")
  {
    cr_assert_eq(promises_broken_by(
                   { "process=t event=sample_received trainer=t step=1 slot=0 "
                     "sample=s1 runs=1:10,2:5 bound=1 version=2" }),
                 "exactly_once");
  }
  SECTION("a step is completed without all samples")
  {
    cr_assert_eq(
      promises_broken_by(
        { "process=t event=step_completed trainer=t step=2 size=1" }),
      "exactly_once");
  }
  SECTION("an incomplete or wrong response is accepted")
  {
    cr_assert_eq(
      promises_broken_by({ "process=l event=answer_received request=q3 "
                           "outcome=answered whole=0" }),
      "whole_answer");
  }
  SECTION("a request reported as not run was executed")
  {
    cr_assert_eq(
      promises_broken_by({ "process=b event=service_executed id=q2" }),
      "not_run");
  }
  SECTION("a call with the same key runs twice")
  {
    cr_assert_eq(
      promises_broken_by({ "process=b event=service_executed id=k1" }),
      "at_most_once");
  }
  SECTION("a leaving backend server receives a call after the limit")
  {
    cr_assert_eq(
      promises_broken_by({ "process=d event=process_started",
                           "process=d event=process_leaving",
                           "hlc=9000.0 process=d event=call_started request=x",
                           "hlc=9001.0 process=d event=call_ended request=x" }),
      "leaving");
  }
  SECTION("a process stops gracefully with an open request")
  {
    cr_assert_eq(
      promises_broken_by({ "process=d event=process_started",
                           "process=d event=request_accepted request=x",
                           "process=d event=process_leaving",
                           "process=d event=process_stopped" }),
      "graceful");
  }
  SECTION("a configuration reverts to an older version")
  {
    cr_assert_eq(promises_broken_by(
                   { "process=e event=configuration_in_force kind=pool name=p "
                     "version=3",
                     "process=e event=configuration_in_force kind=pool name=p "
                     "version=2" }),
                 "configuration");
  }
  SECTION("an accepted configuration does not come into force")
  {
    cr_assert_eq(promises_broken_by(
                   { "process=x event=configuration_accepted kind=pool name=q "
                     "version=9" }),
                 "configuration");
  }
}

Test(timeline, parses_the_lines_that_it_writes)
{
  const auto e = event{ "x" }.with("text", "a \"b\" = c\\d").with("n", 7);
  const auto r = parse("hlc=5.2 process=p" + e.text());
  cr_assert(r.has_value());
  cr_assert_eq(r->value("text"), "a \"b\" = c\\d");
  cr_assert_eq(r->number("n"), 7);
  cr_assert(!parse("hlc=5.2 process=p event=x text=\"cut").has_value());
  cr_assert(!parse("half a li").has_value());
}

// A process whose clock is ahead sends a message. The events that it causes in
// the receiver must still come later in the merged order.
Test(timeline, orders_a_cause_before_its_effect)
{
  cactusford::timeline::clock behind{ [] { return std::uint64_t{ 1000 }; } };
  cactusford::timeline::clock ahead{ [] { return std::uint64_t{ 5000 }; } };
  const auto cause = ahead.now();
  behind.observe(cause);
  const auto effect = behind.now();
  cr_assert(cause < effect);
  cr_assert(unpack(pack(effect)) == effect);
  SECTION("a timestamp that is years ahead is ignored")
  {
    behind.observe({ 99'000'000'000'000ULL, 0 });
    cr_assert_lt(behind.now().ms, 99'000'000'000'000ULL);
  }
}

Test(timeline, shows_spans_and_events)
{
  const auto records = parse_lines(valid_lines);
  const auto selected = select(records, "", "s1");
  cr_assert_eq(selected.size(), 6);
  cr_assert(to_text(selected).find("engine_run") != std::string::npos);
  cr_assert(to_trace(records).find(R"("ph":"b")") != std::string::npos);
  auto hostile = parse_lines({ "process=p event=x text=\"</script>\"" });
  cr_assert(to_html(hostile).find("</script>\"") == std::string::npos);
}
