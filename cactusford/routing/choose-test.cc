#include "cactusford/routing/choose.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::routing;

namespace {

target
make_target(const std::string& name, bool is_drained)
{
  target t;
  t.instance = name;
  t.is_drained = is_drained;
  return t;
}

pool_state
make_drained_pool(std::size_t drained, std::size_t in_service)
{
  std::vector<target> targets;
  for (std::size_t i = 0; i < drained + in_service; ++i) {
    targets.push_back(make_target("t" + std::to_string(i), i < drained));
  }
  return make_pool(targets);
}

// Returns how many of a number of calls with different keys got a drained
// target, and how many got none.
std::pair<int, int>
count_drained_and_refused(pool_state p, const options& o)
{
  int drained = 0;
  int refused = 0;
  for (std::uint64_t call = 0; call < 500; ++call) {
    const auto chosen = choose(p, hash_of(std::to_string(call)), {}, o, call);
    refused += chosen ? 0 : 1;
    if (chosen) {
      drained += p.targets[*chosen].is_drained ? 1 : 0;
      note_sent(p, *chosen);
    }
  }
  return { drained, refused };
}

} // namespace

// Guards against a call that reaches a drained data centre because it has no
// other candidate of its prefix, or because calls are distributed round robin.
Test(choose, sends_nothing_to_drained_targets)
{
  options by_load;
  options baseline;
  baseline.by_load = false;
  options without_prefix;
  without_prefix.by_prefix = false;
  for (const auto& o : { by_load, baseline, without_prefix }) {
    SECTION("one target in service gets all calls")
    {
      const auto counts = count_drained_and_refused(make_drained_pool(9, 1), o);
      cr_assert(counts == (std::pair{ 0, 0 }));
    }
    SECTION("no target is chosen if all are drained")
    {
      const auto pool = make_drained_pool(3, 0);
      cr_assert(is_drained(pool));
      cr_assert(count_drained_and_refused(pool, o) == (std::pair{ 0, 500 }));
    }
  }
  SECTION("a pool without targets is not drained")
  {
    cr_assert(!is_drained(make_drained_pool(0, 0)));
    cr_assert(!is_drained(make_drained_pool(0, 2)));
  }
}
