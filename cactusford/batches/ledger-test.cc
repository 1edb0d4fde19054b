#include "cactusford/batches/ledger.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace cactusford;
using namespace cactusford::batches;

namespace {

item_result
result_of(const std::string& id, const std::string& text = "t")
{
  return { id, true, text, { 3 }, "score" };
}

} // namespace

Test(ledger, shows_a_result_only_when_its_chunk_stands)
{
  ledger l;
  add_result(l, result_of("a"), 10);
  cr_assert_eq(page_of(l, 2, 0, 1000).results.size(), 0);
  const auto chunk = begin_chunk(l, 1000);
  add_result(l, result_of("b"), 20);
  cr_assert_eq(page_of(l, 2, 0, 1000).results.size(), 0, "not yet written");
  adopt_chunk(l, chunk);
  const auto page = page_of(l, 2, 0, 1000);
  cr_assert_eq(page.next, 1);
  cr_assert(page.results.front().id == "a");
  cr_assert_eq(l.pending.size(), 1, "the later result waits for its own chunk");
}

// A write gets no answer, and a read finds no chunk yet. The batch ends before
// the write is retried. The write is then applied seconds later, and other
// instances show its results. The last owner must not claim that it knows all
// results.
Test(ledger, is_not_settled_while_a_write_may_still_land)
{
  ledger l;
  cr_assert(is_settled(l));
  add_result(l, result_of("a"), 10);
  const auto chunk = begin_chunk(l, 1000);
  cr_assert_not(is_settled(l));
  mark_chunk_unknown(l);
  cr_assert_not(is_settled(l));
  SECTION("until a chunk with its number is known to be stored")
  {
    adopt_chunk(l, chunk);
    cr_assert(is_settled(l));
  }
  SECTION("a refused write was not applied")
  {
    ledger refused;
    add_result(refused, result_of("a"), 10);
    begin_chunk(refused, 1000);
    abandon_chunk(refused);
    cr_assert(is_settled(refused));
  }
}

// Two instances believe that they own a batch because one of them was paused.
// Both finish the same item and write the same chunk. One create succeeds, and
// the other instance reads that chunk back. No item may have two positions, and
// the content of a position must not change.
Test(ledger, gives_the_position_to_the_owner_that_wrote_first)
{
  ledger l;
  add_result(l, result_of("a", "ours"), 10);
  add_result(l, result_of("b", "ours"), 10);
  begin_chunk(l, 1000);
  adopt_chunk(l, { result_of("b", "theirs"), result_of("c", "theirs") });
  cr_assert_eq(l.listed.size(), 2);
  cr_assert(l.listed[0].text == "theirs");
  cr_assert_eq(l.pending.size(), 1);
  cr_assert(l.pending[0].id == "a");
  SECTION("an item that is already listed is skipped in a later chunk")
  {
    adopt_chunk(l, { result_of("c", "again"), result_of("a", "ours") });
    cr_assert_eq(l.listed.size(), 3);
    cr_assert(l.listed[2].id == "a");
    cr_assert_eq(l.chunks, 2);
  }
  SECTION("a listed item gets no second result")
  {
    cr_assert_not(add_result(l, result_of("c"), 30));
  }
}

Test(ledger, bounds_chunks_and_pages)
{
  ledger l;
  for (int i = 0; i < 10; ++i) {
    add_result(l, result_of(std::to_string(i), std::string(1000, 'x')), 0);
  }
  cr_assert_eq(begin_chunk(l, 4000).size(), 3);
  cr_assert_eq(begin_chunk(l, 1).size(), 1, "at least one result");
  adopt_chunk(l, l.pending);
  cr_assert_eq(page_of(l, 10, 0, 4000).results.size(), 3);
  cr_assert_eq(page_of(l, 10, 9, 1).results.size(), 1);
  cr_assert_eq(page_of(l, 10, 10, 4000).next, 10);
}

Test(ledger, reads_back_what_it_stores)
{
  const stored_chunk chunk{ 12,
                            { result_of("a"), { "b", false, "", {}, "" } } };
  cr_assert(decode_chunk(encode_chunk(chunk)) == chunk);
  cr_assert(decode_chunk({ { "other", 1 } }) == std::nullopt);
  stored_batch b;
  b.workspace = "w";
  b.id = "x";
  b.revision = 7;
  b.host = "h";
  b.target = "/p/";
  b.accepted_wall_ms = 12;
  b.items = 5;
  b.parts = 2;
  b.owner_capacity = 0.5;
  b.owner = "entry-1";
  b.owner_address = "10.0.0.1:1";
  b.accepted_in = "dc-1";
  cr_assert(decode_batch("x", 7, encode_spec(b), nullptr) == b);
  auto earlier = encode_spec(b);
  earlier.erase("accepted_in");
  cr_assert_eq(decode_batch("x", 7, earlier, nullptr)->accepted_in,
               "",
               "an object of an earlier version");
  auto moved = b;
  moved.owner = "entry-2";
  moved.ended = true;
  cr_assert(decode_batch("x", 7, encode_spec(b), encode_status(moved)) == moved,
            "the status holds the current owner");
  SECTION("objects of earlier versions don't name the owner's data centre")
  {
    b.owner_data_centre = "n1";
    cr_assert(decode_batch("x", 7, encode_spec(b), nullptr) == b);
    auto spec = encode_spec(b);
    auto status = encode_status(moved);
    status.erase("owner_data_centre");
    cr_assert(decode_batch("x", 7, spec, status) == moved,
              "the first owner's is not taken for it");
    spec.erase("first_data_centre");
    b.owner_data_centre = "";
    cr_assert(decode_batch("x", 7, spec, nullptr) == b);
  }
}
