#include "cactusford/batches/submission_check.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace cactusford;
using namespace cactusford::batches;

namespace {

submission
valid_submission()
{
  submission s;
  s.items.push_back({ "i0", "/run/", {}, "a", "g0", 0, std::nullopt });
  s.items.push_back({ "i1",
                      "/run/",
                      { { "A", "b" } },
                      "a",
                      "g0",
                      0,
                      scorer_call{ "s1", "h", "/score/", "c" } });
  return s;
}

// The parts of an item from which heads are made, by what the error calls them.
std::map<std::string, std::string*>
parts_of(item& i)
{
  return { { "id", &i.id },
           { "path", &i.path },
           { "header A", &i.fields[0].value },
           { "scorer's id", &i.scorer->id },
           { "scorer's host", &i.scorer->host },
           { "scorer's path", &i.scorer->path } };
}

} // namespace

Test(submission_check, accepts_what_trainers_send)
{
  cr_assert_not(invalid_part(valid_submission()));
}

// Guards against a part of an item that is not checked.
Test(submission_check, names_the_item_and_the_part)
{
  for (const char separator : { '\r', '\n', '\0' }) {
    auto s = valid_submission();
    for (const auto& [what, part] : parts_of(s.items[1])) {
      SECTION(what.c_str())
      {
        const auto before = *part;
        *part += separator;
        *part += "B: c";
        cr_assert(invalid_part(s) == "item " + s.items[1].id + ": " + what);
        *part = before;
      }
    }
    s.items[1].fields[0].name += separator;
    cr_assert(invalid_part(s).has_value());
  }
}

// Guards against a batch that is stored as part of another object.
Test(submission_check, batch_ids_are_one_segment)
{
  for (const auto* id : { "b000000000000001", "a-b_c.d~e", "a:b@c", "a%2fb" }) {
    cr_assert(is_batch_id(id), "%s", id);
  }
  for (const auto* id :
       { "", ".", "..", "a/status", "../b", "a?b", "a#b", "a b", "a\r\nb" }) {
    cr_assert_not(is_batch_id(id), "%s", id);
  }
}

// Guards against a submission whose items cannot be written as one request
// each.
Test(submission_check, accepted_items_can_be_written)
{
  const bool ok = rc::check([] {
    auto s = valid_submission();
    const auto parts = parts_of(s.items[1]);
    const auto& part =
      *rc::gen::elementOf(std::vector(parts.begin(), parts.end()));
    *part.second = *rc::gen::container<std::string>(
      rc::gen::oneOf(rc::gen::elementOf(std::string{ "\r\n :/a" }),
                     rc::gen::arbitrary<char>()));
    if (invalid_part(s)) {
      return;
    }
    const auto& i = s.items[1];
    http::request run{ "POST", i.path, i.fields, i.body };
    run.fields.push_back({ "Id", i.id });
    RC_ASSERT_FALSE(http::unwritable_part(run).has_value());
    const http::request score{ "POST",
                               i.scorer->path,
                               { { "Host", i.scorer->host },
                                 { "Id", i.scorer->id } },
                               i.scorer->body };
    RC_ASSERT_FALSE(http::unwritable_part(score).has_value());
  });
  cr_assert(ok);
}
