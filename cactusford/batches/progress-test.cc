#include "cactusford/batches/progress.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace cactusford::batches;

Test(progress, reads_back_what_it_keeps)
{
  item_text t;
  t.last_event = 7;
  t.events = 7;
  t.text = "a\nb";
  t.version = 4;
  t.versions = { 3, 4 };
  const progress p{ { "x", t } };
  cr_assert(decode_progress(encode_progress(p)) == p);
  SECTION("a damaged entry affects only its own item")
  {
    auto spec = encode_progress(p);
    spec["list"].push_back({ { "item", "y" } });
    cr_assert(decode_progress(spec) == p);
    cr_assert(decode_progress(nullptr).empty());
  }
}
