#include "cactusford/calls/assembly.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::calls;

namespace {

assembly
fresh()
{
  assembly a;
  a.request_id = "r1";
  a.attempt = 2;
  return a;
}

} // namespace

// The caller of r1 must get r1's whole answer. Frames of a cut attempt, of
// another request, or out of order arrive among the good ones; taking one of
// them, or stopping early, would pass a wrong or short answer off as whole.
Test(assembly, takes_only_a_whole_answer)
{
  SECTION("frames in order and a true end mark")
  {
    auto a = fresh();
    cr_assert(accept(a, { "r1", 2, 0 }) == verdict::take);
    a.sum.add("hello");
    cr_assert(accept(a, { "r1", 2, 1 }) == verdict::take);
    checksum real;
    real.add("hello");
    cr_assert(accept_end(a, 1, real.value()) == verdict::take);
    SECTION("nothing is taken after the end")
    {
      cr_assert(accept(a, { "r1", 2, 2 }) == verdict::drop);
    }
  }
  SECTION("foreign and repeated frames are dropped without harm")
  {
    auto a = fresh();
    cr_assert(accept(a, { "r2", 2, 0 }) == verdict::drop);
    cr_assert(accept(a, { "r1", 1, 0 }) == verdict::drop);
    cr_assert(accept(a, { "r1", 2, 0 }) == verdict::take);
    cr_assert(accept(a, { "r1", 2, 0 }) == verdict::drop);
    cr_assert_eq(a.next_sequence, 1);
  }
  SECTION("a gap breaks the answer")
  {
    auto a = fresh();
    cr_assert(accept(a, { "r1", 2, 1 }) == verdict::broken);
  }
  SECTION("a wrong count or checksum breaks it")
  {
    auto a = fresh();
    accept(a, { "r1", 2, 0 });
    a.sum.add("hello");
    accept(a, { "r1", 2, 1 });
    checksum other;
    other.add("hellO");
    cr_assert(accept_end(a, 1, other.value()) == verdict::broken);
    auto b = fresh();
    accept(b, { "r1", 2, 0 });
    cr_assert(accept_end(b, 7, b.sum.value()) == verdict::broken);
  }
}
