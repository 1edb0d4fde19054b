#include "cactusford/edge/piggyback.h"

#include <criterion/criterion.h>

#include <set>

using namespace cactusford::edge;
using nlohmann::json;

// Guards against duplicate ranks: eight sidecars use three relays, each of
// which ranks its own sidecars. Engines with equal ranks load at the same time
// and slow each other down, and items of the next step are refused meanwhile.
Test(piggyback, ranks_of_different_relays_are_distinct)
{
  std::set<std::uint32_t> ranks;
  for (std::size_t sidecar = 0; sidecar < 8; ++sidecar) {
    const auto local_rank = static_cast<std::uint32_t>(sidecar / 3);
    ranks.insert(rank_among_all(local_rank, sidecar % 3, 3));
  }
  cr_assert_eq(ranks.size(), 8);
  cr_assert_eq(*ranks.rbegin(), 7);
}

Test(piggyback, reads_back_what_it_encodes)
{
  const sidecar_message named{ "side-1", "10.0.0.1:80" };
  const sidecar_message earlier{ "side-1", "" };
  cr_assert(*sidecar_from(encode(named)) == named);
  cr_assert(*sidecar_from(encode(earlier)) == earlier);
  const sidecar_reply plain{ 7, {} };
  const sidecar_reply pinned{ 7, { { "m", 250 } } };
  cr_assert(*sidecar_reply_from(encode(plain)) == plain);
  cr_assert(*sidecar_reply_from(encode(pinned)) == pinned);
  cr_assert_not(sidecar_from(json::array()), "a message of an entry");
  cr_assert_not(sidecar_reply_from({ { "rank", -1 } }));
  cr_assert_not(sidecar_reply_from({ { "rank", 1 }, { "pinned", 3 } }));
  cr_assert_not(
    sidecar_reply_from({ { "rank", 1 }, { "pinned", { { "m", -1 } } } }));
  cr_assert_not(sidecar_reply_from("text"));
}
