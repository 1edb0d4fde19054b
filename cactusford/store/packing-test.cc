#include "cactusford/store/packing.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <cstdio>

using namespace cactusford;
using namespace cactusford::store;

namespace {

// A list of backend servers, as the store returns it.
std::string
list_of(std::size_t backends)
{
  auto items = nlohmann::json::array();
  for (std::size_t i = 0; i < backends; ++i) {
    const auto id = "i-" + std::to_string(1'000'000 + i * 7919);
    items.push_back({ { "name", id },
                      { "revision", 1000 + i },
                      { "spec",
                        { { "service", "drafter" },
                          { "address", "10.1.64." + std::to_string(i % 250) },
                          { "data_centre", "dc-" + std::to_string(i % 6) },
                          { "state", "ready" },
                          { "slots", 6 } } } });
  }
  return nlohmann::json{ { "items", items } }.dump();
}

} // namespace

// After a silence of the store each instance lists the backend servers again.
// The lists that a relay sent took longer than the instances wait, so each of
// them asked the store itself, until the store accepted no connection.
Test(packing, makes_long_lists_short)
{
  for (const std::size_t backends : { 30U, 300U, 2000U }) {
    packer p;
    http::response r{ 200, {}, list_of(backends) };
    const auto before = r.body;
    p.pack(r);
    std::printf("    %zu backend servers: %zu bytes instead of %zu\n",
                backends,
                r.body.size(),
                before.size());
    cr_expect_lt(4 * r.body.size(), before.size());
    cr_assert(unpack(r));
    cr_expect(r.body == before);
  }
}

Test(packing, leaves_other_responses_as_they_are)
{
  packer p;
  http::response r{ 200, {}, "short" };
  p.pack(r);
  cr_assert_eq(r.body, "short");
  cr_assert(unpack(r));
  cr_assert_eq(r.body, "short");
  SECTION("a malformed one is refused")
  {
    http::response broken{ 200, { { "Unpacked-Bytes", "5000" } }, "no zlib" };
    cr_assert_not(unpack(broken));
    broken.fields = { { "Unpacked-Bytes", "99999999999" } };
    cr_assert_not(unpack(broken));
  }
  SECTION("many bodies are packed one after the other")
  {
    for (std::size_t i = 100; i < 120; ++i) {
      http::response list{ 200, {}, list_of(i) };
      p.pack(list);
      cr_assert(unpack(list));
      cr_assert(list.body == list_of(i));
    }
  }
}
