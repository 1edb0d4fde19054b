#include "cactusford/batches/parts.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace cactusford::batches;

namespace {

std::string
joined(const std::vector<std::string_view>& parts)
{
  std::string all;
  for (const auto& p : parts) {
    all += p;
  }
  return all;
}

} // namespace

Test(parts, join_to_what_was_split)
{
  const std::string body = "0123456789";
  cr_assert_eq(split_parts(body, 10).size(), 1);
  cr_assert_eq(split_parts(body, 4).size(), 3);
  cr_assert(joined(split_parts(body, 4)) == body);
  SECTION("an empty body has one part")
  {
    cr_assert_eq(split_parts("", 4).size(), 1);
  }
}

// A part that ends inside a UTF-8 sequence is not valid UTF-8. The store would
// reject it or substitute a replacement character, and the trainer's items
// would be read back with different bytes.
Test(parts, never_end_inside_a_character)
{
  const std::string body = "a\u00e9\u20ac\U0001F600b\u00e9";
  for (std::size_t size = 4; size < body.size(); ++size) {
    const auto parts = split_parts(body, size);
    cr_assert(joined(parts) == body);
    for (const auto& p : parts) {
      cr_assert_leq(p.size(), size);
      cr_assert_no_throw(encode_part(p).dump());
      cr_assert(decode_part(encode_part(p)) == std::string{ p });
    }
  }
}

Test(parts, of_another_shape_are_not_read)
{
  cr_assert_not(decode_part(nullptr));
  cr_assert_not(decode_part({ { "text", 5 } }));
}
