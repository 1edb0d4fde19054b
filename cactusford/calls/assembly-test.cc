#include "cactusford/calls/assembly.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::calls;

namespace {

assembly
make_assembly()
{
  assembly a;
  a.request_id = "r1";
  a.attempt = 2;
  return a;
}

} // namespace

// Frames of an interrupted attempt, of another request or out of order arrive
// among the valid ones. Accepting one of them, or stopping early, would deliver
// a wrong or truncated answer as complete.
Test(assembly, accepts_only_a_complete_answer)
{
  SECTION("frames in order and a correct end mark")
  {
    auto a = make_assembly();
    cr_assert(accept_frame(a, { "r1", 2, 0 }) == frame_result::accepted);
    a.sum.add("hello");
    cr_assert(accept_frame(a, { "r1", 2, 1 }) == frame_result::accepted);
    checksum expected;
    expected.add("hello");
    cr_assert(accept_end(a, 1, expected.value()) == frame_result::accepted);
    SECTION("frames after the end are ignored")
    {
      cr_assert(accept_frame(a, { "r1", 2, 2 }) == frame_result::ignored);
    }
  }
  SECTION("frames of other attempts and duplicates are ignored")
  {
    auto a = make_assembly();
    cr_assert(accept_frame(a, { "r2", 2, 0 }) == frame_result::ignored);
    cr_assert(accept_frame(a, { "r1", 1, 0 }) == frame_result::ignored);
    cr_assert(accept_frame(a, { "r1", 2, 0 }) == frame_result::accepted);
    cr_assert(accept_frame(a, { "r1", 2, 0 }) == frame_result::ignored);
    cr_assert_eq(a.next_sequence, 1);
  }
  SECTION("a missing frame makes the answer corrupt")
  {
    auto a = make_assembly();
    cr_assert(accept_frame(a, { "r1", 2, 1 }) == frame_result::corrupt);
  }
  SECTION("a wrong frame count or checksum makes the answer corrupt")
  {
    auto a = make_assembly();
    accept_frame(a, { "r1", 2, 0 });
    a.sum.add("hello");
    accept_frame(a, { "r1", 2, 1 });
    checksum other;
    other.add("hellO");
    cr_assert(accept_end(a, 1, other.value()) == frame_result::corrupt);
    auto b = make_assembly();
    accept_frame(b, { "r1", 2, 0 });
    cr_assert(accept_end(b, 7, b.sum.value()) == frame_result::corrupt);
  }
}
