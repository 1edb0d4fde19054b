#include "cactusford/batches/placement.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::batches;

namespace {

constexpr std::uint64_t now = 10000;

runner
runner_of(const std::string& name, double capacity, std::uint64_t accepted)
{
  return { name, name + ":1", capacity, accepted, now - 100 };
}

} // namespace

// Each step of a trainer reaches another entry. Run where it arrives, it opens
// a hundred connections; run where the last one runs, it finds them open.
Test(placement, keeps_the_steps_of_a_trainer_together)
{
  const std::vector<runner> steps{ runner_of("a", 0.2, 4000),
                                   runner_of("b", 0.2, 8000) };
  cr_assert(choose_runner(steps, 0.2, now)->instance == "b");
  SECTION("a first step stays where it arrives")
  {
    cr_assert_not(choose_runner({}, 0.2, now));
  }
}

// Entries have from 0.09 to 0.5 of a core. Work settles on large ones.
Test(placement, moves_to_larger_entries)
{
  const std::vector<runner> small{ runner_of("small", 0.09, 4000) };
  const std::vector<runner> large{ runner_of("large", 0.5, 4000) };
  cr_assert_not(choose_runner(small, 0.5, now), "the larger one keeps it");
  cr_assert(choose_runner(large, 0.09, now)->instance == "large");
}

// The entry that runs the trainer's steps is killed. Given the next one too, it
// would let that step wait for the takeover as well.
Test(placement, does_not_give_work_to_a_silent_entry)
{
  auto gone = runner_of("gone", 0.5, 4000);
  gone.seen_ms = now - 1000;
  cr_assert_not(choose_runner({ gone }, 0.1, now));
}
