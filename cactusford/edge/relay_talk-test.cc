#include "cactusford/edge/relay_talk.h"

#include <criterion/criterion.h>

using namespace cactusford::edge;
using nlohmann::json;

Test(relay_talk, says_what_it_hears)
{
  cr_assert_eq(*sidecar_from(say_sidecar("side-1")), "side-1");
  cr_assert_eq(*rank_from(say_rank(7)), 7);
  cr_assert_not(sidecar_from(json::array()), "an entry speaks");
  cr_assert_not(rank_from({ { "rank", -1 } }));
  cr_assert_not(rank_from("text"));
}
