#include "cactusford/batches/handover.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace cactusford::batches;

namespace {

handover
example()
{
  handover h;
  h.stored.id = "x";
  h.stored.revision = 7;
  h.stored.host = "h";
  h.stored.target = "/b/";
  h.stored.items = 2;
  h.stored.owner = "a";
  h.stored.owner_data_centre = "n1";
  h.submission.model = "m";
  h.submission.step = 4;
  h.submission.min_version = 3;
  h.submission.desired_groups = 1;
  h.submission.items = {
    { "i", "/p", { { "F", "v" } }, "body", "g", 12, {} },
    { "j", "/p", {}, "body", "g", 0, scorer_call{ "s", "h", "/s", "b" } },
  };
  h.listed = { "k" };
  h.progress.finished = { { "i", true, "text", { 3 }, "signed" } };
  h.progress.texts["j"] = { 7, 7, "abc", 3, { 3 }, true };
  h.progress.texts["l"] = { 2, 2, "de", 3, { 3 } };
  h.progress.failures["l"] = { 2, 1 };
  return h;
}

} // namespace

// A field that is lost on the way would be lost from the batch: the successor
// doesn't read the submission from the store.
Test(handover_message, reads_back_what_it_sends)
{
  const auto h = example();
  cr_assert(decode_handover(encode_handover(h)) == h);
  SECTION("a damaged message is refused as a whole")
  {
    for (const auto* key : { "batch", "spec", "submission", "finished" }) {
      auto j = encode_handover(h);
      j.erase(key);
      cr_assert_not(decode_handover(j));
      cr_assert_eq(decode_handover(j).fault.field, key);
    }
    cr_assert_not(decode_handover(nullptr));
  }
}
