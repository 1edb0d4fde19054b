#include "cactusford/batches/submission_memory.h"

#include "cactusford/store/fields.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford;
using namespace cactusford::batches;

namespace {

constexpr std::uint64_t mib = 1U << 20;

std::shared_ptr<http::request_memory>
memory_of(std::uint64_t memory_mb)
{
  auto m = std::make_shared<http::request_memory>();
  m->budget.limits = http::memory_limits_for(memory_mb, 0);
  return m;
}

std::string
array_of(std::size_t values)
{
  std::string text = "[1";
  for (std::size_t i = 1; i < values; ++i) {
    text += ",1";
  }
  return text + "]";
}

} // namespace

// Guards against a batch of legal size whose values take many times as much
// once they are parsed.
Test(submission_memory, short_values_count_as_what_they_take)
{
  const auto m = memory_of(160);
  cr_assert(room_to_parse(m.get(), array_of(1000)) == parsing_room::available);
  const auto many = array_of(1'000'000);
  cr_assert(room_to_parse(m.get(), many) == parsing_room::never);
  cr_assert(room_to_parse(nullptr, many) == parsing_room::available);
  SECTION("text does not")
  {
    const auto text = "[\"" + std::string(32 * mib, ',') + "\"]";
    cr_assert(room_to_parse(m.get(), text) == parsing_room::available);
  }
  SECTION("one that fits into an empty budget may come again")
  {
    http::add_bytes(m->budget.answers, 90 * mib);
    cr_assert(room_to_parse(m.get(), array_of(100'000)) == parsing_room::later);
  }
}

// Guards against batches that are each of legal size and fill the memory while
// they are kept.
Test(submission_memory, is_held_until_it_is_dropped)
{
  const auto m = memory_of(160);
  {
    auto first = submission_memory::take(m, 25 * mib);
    cr_assert(first.has_value());
    cr_assert_not(submission_memory::take(m, 25 * mib).has_value());
    submission_memory kept;
    kept = std::move(*first);
    first.reset();
    cr_assert_eq(m->budget.submission_bytes, 25 * mib);
    kept = {};
    cr_assert_eq(m->budget.submission_bytes, 0);
    cr_assert(submission_memory::take(m, 25 * mib).has_value());
  }
  cr_assert_eq(m->budget.submission_bytes, 0);
}

Test(submission_memory, a_message_is_measured_without_parsing_it)
{
  const auto shape = store::shape_of(R"({"a":[1,2,{"b":"x,y:[{\"z"}]})");
  cr_assert_eq(shape.depth, 3);
  cr_assert_geq(shape.values, 7);
  cr_assert_leq(shape.values, 9);
  cr_assert_gt(store::shape_of(std::string(100, '[')).depth,
               store::max_nesting_depth);
}
