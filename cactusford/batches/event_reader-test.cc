#include "cactusford/batches/event_reader.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::batches;

Test(event_reader, takes_events_that_end_anywhere)
{
  const std::string text = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    event_reader r{ "weights" };
    auto events = r.feed(text.substr(0, cut));
    for (auto& e : r.feed(text.substr(cut))) {
      events.push_back(std::move(e));
    }
    cr_assert_eq(events.size(), 2);
    cr_assert(events[1].data == "two");
    cr_assert_not(r.has_partial());
  }
}

// An engine stops in the middle of an event. The incomplete event must not
// become part of the text, because the run that continues on another engine
// sends it again.
Test(event_reader, leaves_out_an_event_that_was_cut)
{
  event_reader r{ "weights" };
  cr_assert_eq(r.feed("id: 1\ndata: one\n\nid: 2\nda").size(), 1);
  cr_assert(r.has_partial());
}

Test(event_reader, notes_the_version_of_each_event)
{
  event_reader r{ "weights" };
  item_text t;
  t.version = 4;
  for (const auto& e : r.feed("id: 1\ndata: a\n\nweights: 5\nid: 2\ndata: b\n\n"
                              "id: 3\ndata: c\n\n")) {
    cr_assert(append(t, e));
  }
  cr_assert(t.versions == std::vector<std::uint64_t>({ 4, 5 }));
  cr_assert(t.text == "a\nb\nc");
  SECTION("a version that produced no event is not listed")
  {
    event_reader other{ "weights" };
    item_text only;
    only.version = 4;
    for (const auto& e : other.feed("weights: 5\nid: 1\ndata: a\n\n")) {
      append(only, e);
    }
    cr_assert(only.versions == std::vector<std::uint64_t>{ 5 });
  }
}

Test(event_reader, refuses_gaps_and_repeats)
{
  item_text t;
  cr_assert(append(t, { 1, "a", {} }));
  cr_assert_not(append(t, { 3, "c", {} }));
  cr_assert_not(append(t, { 1, "a", {} }));
  cr_assert(append(t, { 2, "b", {} }));
  cr_assert(t.text == "a\nb");
}

Test(event_reader, marks_events_without_an_id)
{
  event_reader r{ "weights" };
  r.feed("data: a\n\n");
  cr_assert(r.is_malformed());
}

Test(event_reader, a_rule_allows_versions)
{
  const version_rule any{ 4, false };
  const version_rule single{ 4, true };
  item_text t;
  cr_assert(is_admissible(t, single));
  cr_assert(may_continue(t, 4, single));
  cr_assert_not(may_continue(t, 3, any));
  t.versions = { 4 };
  cr_assert(may_continue(t, 4, single));
  cr_assert_not(may_continue(t, 5, single));
  cr_assert(may_continue(t, 5, any));
  t.versions = { 4, 5 };
  cr_assert(is_admissible(t, any));
  cr_assert_not(is_admissible(t, single));
  cr_assert_not(is_admissible(t, { 5, false }));
}
