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
  progress p;
  p.texts["x"] = t;
  t.complete = true;
  p.texts["z"] = t;
  p.failures["x"] = { 2, 1 };
  p.finished = { { "u", false, "", {}, "" },
                 { "v", true, "text", { 4 }, "signed" } };
  cr_assert(decode_progress(encode_progress(p)) == p);
  SECTION("a damaged entry affects only its own item")
  {
    auto spec = encode_progress(p);
    spec["list"].push_back({ { "item", "y" } });
    spec["failures"].push_back({ { "item", "y" }, { "runs", -1 } });
    cr_assert(decode_progress(spec) == p);
    cr_assert(is_empty(decode_progress(nullptr)));
  }
  SECTION("progress that an earlier version has saved has texts only")
  {
    auto spec = encode_progress(p);
    spec.erase("failures");
    spec.erase("finished");
    cr_assert(decode_progress(spec).texts == p.texts);
    cr_assert(decode_progress(spec).finished.empty());
  }
}
