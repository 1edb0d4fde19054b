#include "cactusford/workspaces/directory.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::workspaces;

namespace {

directory
two_workspaces()
{
  directory::builder b;
  b.workspace("planning", 1).key("key-one").key("key-two");
  b.workspace("billing", std::nullopt).key("key-three");
  return b.build();
}

} // namespace

// During key rotation a workspace has two keys: the operator adds the new one,
// callers move to it, and the old one is removed. Both must work meanwhile.
Test(workspaces, finds_a_workspace_by_any_of_its_keys)
{
  const auto d = two_workspaces();
  cr_assert_eq(find_workspace(d, "key-one")->name, "planning");
  cr_assert_eq(find_workspace(d, "key-two"), find_workspace(d, "key-one"));
  cr_assert_eq(find_workspace(d, "key-three")->name, "billing");
  cr_assert_null(find_workspace(d, "key-four"));
  cr_assert_null(find_workspace(d, ""));
  cr_assert_null(find_workspace(d, "key-on"));
  SECTION("equal declarations make equal directories")
  {
    cr_assert(d == two_workspaces());
  }
}

Test(workspaces, reads_the_key_of_a_bearer_header)
{
  cr_assert_eq(*bearer_key("Bearer abc"), "abc");
  cr_assert_eq(*bearer_key("bearer   abc "), "abc");
  for (const auto* other : { "", "Bearer", "Bearer ", "Basic abc", "abc" }) {
    cr_assert_not(bearer_key(other).has_value(), "%s", other);
  }
}

Test(workspaces, short_digest_does_not_reveal_the_key)
{
  cr_assert_eq(short_digest("key-one").size(), 8);
  cr_assert_eq(short_digest("key-one"), short_digest("key-one"));
  cr_assert_neq(short_digest("key-one"), short_digest("key-two"));
}

// Each call looks up its key, also at entries that have a tenth of a core.
Test(workspaces, finds_one_key_among_thirty_thousand)
{
  directory::builder b;
  constexpr int workspace_count = 10'000;
  constexpr int keys_each = 3;
  for (int i = 0; i < workspace_count; ++i) {
    b.workspace("w" + std::to_string(i), std::nullopt);
    for (int k = 0; k < keys_each; ++k) {
      b.key("key-" + std::to_string(i) + "-" + std::to_string(k));
    }
  }
  const auto d = b.build();
  cr_assert_eq(d.by_key.size(), workspace_count * keys_each);
  cr_assert_eq(find_workspace(d, "key-1234-2")->name, "w1234");
}
