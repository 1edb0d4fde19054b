#include "cactusford/edge/forward.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::edge;
using http::end_state;

namespace {

attempt_end
answered(int status)
{
  return { end_state::complete, status, false, true };
}

attempt_end
refused()
{
  return { end_state::complete, 503, true, false };
}

attempt_end
ended(end_state e)
{
  return { e, 0, false, false };
}

call_progress
progress(bool repeatable, std::uint32_t runs, std::uint32_t max_runs)
{
  return { repeatable, runs, max_runs, runs };
}

} // namespace

Test(forward, delivers_the_backend_servers_own_answer)
{
  cr_assert(after_attempt(answered(200), progress(true, 1, 3)) ==
            next_step::deliver);
  cr_assert(after_attempt(answered(404), progress(true, 1, 3)) ==
            next_step::deliver);
  SECTION("its failure too, when it must not run again")
  {
    cr_assert(after_attempt(answered(500), progress(false, 1, 3)) ==
              next_step::deliver);
  }
  SECTION("but a success without its signature comes from nobody")
  {
    const attempt_end unsigned_ok{ end_state::complete, 200, false, false };
    cr_assert(after_attempt(unsigned_ok, progress(true, 1, 3)) ==
              next_step::try_another);
    cr_assert(after_attempt(unsigned_ok, progress(false, 1, 3)) ==
              next_step::give_up_unknown);
  }
}

// A seat hold is sent, and its connection ends without an answer. It may have
// run. Sent again, it could hold the seat twice; called "not run", the caller
// would send it again itself.
Test(forward, never_repeats_what_may_have_run_and_must_not_run_twice)
{
  for (const auto e :
       { end_state::cut, end_state::timed_out, end_state::malformed }) {
    cr_assert(after_attempt(ended(e), progress(false, 1, 3)) ==
              next_step::give_up_unknown);
    cr_assert(after_attempt(ended(e), progress(true, 1, 3)) ==
              next_step::try_another);
  }
  SECTION("what surely has not run goes elsewhere, whatever its kind")
  {
    cr_assert(after_attempt(refused(), progress(false, 0, 1)) ==
              next_step::try_another);
    cr_assert(after_attempt(ended(end_state::not_sent),
                            progress(false, 0, 1)) == next_step::try_another);
  }
}

Test(forward, says_not_run_only_when_nobody_has_run_it)
{
  call_progress none{ true, 0, 3, 6 };
  cr_assert(after_attempt(refused(), none) == next_step::give_up_not_run);
  call_progress one{ true, 1, 3, 6 };
  cr_assert(after_attempt(refused(), one) == next_step::give_up_unknown);
}

Test(forward, keeps_to_the_routes_number_of_runs)
{
  cr_assert(after_attempt(ended(end_state::cut), progress(true, 3, 3)) ==
            next_step::give_up_unknown);
}

// A scorer answers three times with 500, and the fourth one runs into the
// deadline and answers 504. Counted as four failures, the item would be given
// up as errored though its scorer may still accept it.
Test(forward, counts_only_what_says_that_the_call_failed)
{
  attempt_end end;
  end.state = cactusford::http::end_state::complete;
  end.is_signed = true;
  end.status = 500;
  cr_assert(is_failed_run(end));
  SECTION("not an answer at the deadline")
  {
    end.status = 504;
    cr_assert_not(is_failed_run(end));
  }
  SECTION("nor one that was not run, or was cut")
  {
    end.status = 500;
    end.not_run = true;
    cr_assert_not(is_failed_run(end));
    end.not_run = false;
    end.state = cactusford::http::end_state::cut;
    cr_assert_not(is_failed_run(end));
  }
}
