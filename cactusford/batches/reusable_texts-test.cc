#include "cactusford/batches/reusable_texts.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

using namespace cactusford::batches;

namespace {

constexpr std::size_t enough_bytes = 1U << 20;

item_text
text_of(const std::string& text)
{
  item_text t;
  t.events = 1;
  t.text = text;
  return t;
}

} // namespace

// Guards against a text that another workspace, or another item with the same
// id, gets.
Test(reusable_texts, are_those_of_the_same_item)
{
  stored_batch b;
  b.workspace = "w";
  b.host = "h";
  const item i{ "x", "/p", { { "A", "b" } }, "body", "g", 0, {} };
  reusable_texts r;
  keep(r, key_of(b, "m", i), text_of("own"), enough_bytes);
  const auto is_found = [&](const stored_batch& other_batch,
                            const std::string& model,
                            const item& other) {
    return find(r, key_of(other_batch, model, other)) != nullptr;
  };
  SECTION("also in another batch and group")
  {
    auto other = i;
    other.group = "other";
    auto later = b;
    later.id = "later";
    cr_assert(is_found(later, "m", other));
  }
  SECTION("but not of another workspace, host, model or item")
  {
    auto workspace = b;
    workspace.workspace = "v";
    cr_assert_not(is_found(workspace, "m", i));
    auto host = b;
    host.host = "other";
    cr_assert_not(is_found(host, "m", i));
    cr_assert_not(is_found(b, "other", i));
    for (const auto change : { 0, 1, 2, 3, 4 }) {
      auto other = i;
      other.id += change == 0 ? "2" : "";
      other.path += change == 1 ? "2" : "";
      other.body += change == 2 ? "2" : "";
      other.fields.front().name += change == 3 ? "2" : "";
      other.fields.front().value += change == 4 ? "2" : "";
      cr_assert_not(is_found(b, "m", other), "%d", change);
    }
  }
}

// Guards against memory that grows with each batch, and against all texts lost
// at once when it is full.
Test(reusable_texts, drop_the_oldest_when_they_are_many)
{
  constexpr std::size_t max_bytes = 20000;
  constexpr int count = 100;
  reusable_texts r;
  const auto key = [](int n) {
    return text_key{ "w", "h", std::to_string(n), 1 };
  };
  for (int n = 0; n < count; ++n) {
    keep(r, key(n), text_of(std::string(100, 'a')), max_bytes);
    keep(r, key(0), text_of("again"), max_bytes);
  }
  cr_assert_leq(r.bytes, max_bytes);
  cr_assert_eq(r.all.size(), r.order.size());
  cr_assert_eq(find(r, key(0))->text, "again");
  cr_assert(find(r, key(count - 1)) != nullptr);
  cr_assert(find(r, key(1)) == nullptr);
}
