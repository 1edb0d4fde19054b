#include "cactusford/store/fields.h"
#include "cactusford/store/salvage.h"
#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace cactusford;
using nlohmann::json;

namespace {

// Returns the names that can be read from a list of three whose middle element
// is `broken`.
std::vector<std::string>
names_read(const std::string& broken)
{
  const auto text =
    R"({"list":[{"n":"first"},)" + broken + R"(,{"n":"last"}],"count":9})";
  const auto [j, was_repaired] = store::parse_leniently(text);
  std::vector<std::string> names;
  if (!j.is_object() || j.value("count", 0) != 9) {
    return names;
  }
  for (const auto& item : j["list"]) {
    names.push_back(item.is_object() ? item.value("n", "?") : "?");
  }
  return names;
}

using names = std::vector<std::string>;

std::string
repeated(std::string_view text, std::size_t times)
{
  std::string all;
  for (std::size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

} // namespace

// Guards against 503 for every call because an entry knows no backend server:
// another writer puts one entry into the list that the parser rejects, and the
// whole list is dropped with it, at every read, until that entry is removed.
Test(salvage, one_unreadable_object_hides_no_other)
{
  SECTION("the name of an object with an invalid value stays readable")
  {
    const names all{ "first", "b", "last" };
    for (const auto* value : { "1e400",
                               "-1e999",
                               "\"\\ud800\"",
                               "\"\\udc00\\ud800\"",
                               "\"\\ud800\\u0041\"",
                               "\"\\q\"",
                               "\"\\u12\"",
                               "NaN",
                               "undefined",
                               "01",
                               "'x'",
                               "\"\x01\"",
                               "\"\xff\xfe\"" }) {
      const auto text = R"({"n":"b","v":)" + std::string{ value } + "}";
      cr_assert(names_read(text) == all, "%s", value);
    }
  }
  SECTION("a malformed object loses its name, and nothing else is lost")
  {
    const names others{ "first", "?", "last" };
    for (const auto* object : { R"({"n":"b",,"v":1})",
                                R"({"n" "b"})",
                                R"({"n":"b","v":})",
                                R"({"n":"b"}{"n":"c"})",
                                R"([1 2])" }) {
      cr_assert(names_read(object) == others, "%s", object);
    }
    const std::string deep(10'000, '[');
    const std::string closed(10'000, ']');
    cr_assert(names_read(deep + closed) == others);
  }
  SECTION("the name of an object that is nested too deeply stays readable")
  {
    const names all{ "first", "b", "last" };
    for (const std::size_t depth : { 100U, 5'000U, 400'000U }) {
      const auto arrays = std::string(depth, '[') + std::string(depth, ']');
      cr_expect(names_read(R"({"n":"b","v":)" + arrays + "}") == all);
      cr_expect(names_read(R"({"v":)" + arrays + R"(,"n":"b"})") == all);
      const auto objects =
        repeated(R"({"x":)", depth) + "1" + std::string(depth, '}');
      cr_expect(names_read(R"({"n":"b","v":)" + objects + "}") == all);
      const auto mixed =
        repeated(R"([{"]}":)", depth / 2) + "0" + repeated("}]", depth / 2);
      cr_expect(names_read(R"({"n":"b","v":)" + mixed + "}") == all);
    }
  }
  SECTION("duplicate keys and long strings are valid")
  {
    const names all{ "first", "b", "last" };
    cr_assert(names_read(R"({"n":"a","n":"b"})") == all);
    const auto text = R"({"n":"b","v":")" + std::string(100'000, 'x') + "\"}";
    cr_assert(names_read(text) == all);
  }
}

Test(salvage, marks_only_what_cannot_be_read)
{
  const std::string good =
    R"({"a":[1,-2.5e3,true,null],"b":"\ud83d\ude00 \u00e9\n\"","c":{}})";
  cr_assert_eq(store::mark_unreadable(good), good);
  cr_assert_eq(store::replace_unreadable_elements(good), good);
  const std::string empty = R"({"list":[ ],"count":9})";
  cr_assert_eq(store::replace_unreadable_elements(empty), empty);
  SECTION("the incomplete end of a truncated message is not an element")
  {
    const auto [j, was_repaired] =
      store::parse_leniently(R"({"list":[{"n":"a"},{")");
    cr_assert(j.is_discarded());
  }
}
