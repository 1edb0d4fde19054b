// Keys of workspaces, at entries as processes.
#include "cactusford/testing/section.h"
#include "tests/process_cluster.h"

using namespace cactusford;
using namespace cactusford::testing;

namespace {

const json both_keys{ { "planning", { "key-one", "key-two" } } };
const json second_key{ { "planning", { "key-two" } } };

void
wait_for_status(process_cluster& w, const std::string& key, int status)
{
  for (std::size_t at = 0; at < w.entries.size(); ++at) {
    while (w.call(at, "other", "/look/", key).value.status != status) {
      w.run_for(20);
    }
  }
}

std::string
all_logs(const process_cluster& w)
{
  std::string text;
  for (const auto& e : w.entries) {
    std::ifstream in{ w.folder + "/" + e.name + ".log" };
    text += { std::istreambuf_iterator<char>{ in }, {} };
  }
  return text;
}

} // namespace

// An operator declares a workspace with two keys, callers move to the second
// one, and the first is taken away. From then on it is refused at every entry;
// the server never sees a key, and no line of a log holds one.
Test(workspaces, keys_come_into_force_and_are_taken_away, .timeout = 60)
{
  process_cluster w{ "keys", 2 };
  w.configure(2, both_keys);
  wait_for_status(w, "", 401);
  const auto denied = w.call(0, "other", "/look/", "key-of-nobody");
  cr_assert_eq(denied.value.status, 401);
  cr_assert(http::find(denied.value.fields, "WWW-Authenticate").has_value());
  cr_assert_eq(w.call(1, "other", "/look/", "key-one").value.status, 200);
  const auto& seen = w.last_request.fields;
  cr_assert_eq(*http::find(seen, "Workspace"), "planning");
  cr_assert_not(http::find(seen, "Authorization").has_value());
  w.configure(3, second_key);
  wait_for_status(w, "key-one", 401);
  cr_assert_eq(w.call(0, "other", "/look/", "key-two").value.status, 200);
  cr_assert_eq(all_logs(w).find("key-"), std::string::npos);
}

// An entry hears nothing of the store any more. A key that it doesn't know may
// be in force by now: its caller is told to come back, and finds an entry that
// knows. Keys that it knows go on working.
Test(workspaces, an_entry_that_may_be_behind_denies_nothing, .timeout = 60)
{
  process_cluster w{ "behind", 1 };
  w.configure(2, second_key);
  wait_for_status(w, "", 401);
  w.store.faults = [](const store::call&) {
    return object_store::fault::silent;
  };
  wait_for_status(w, "key-new", 503);
  cr_assert_eq(w.call(0, "other", "/look/", "key-two").value.status, 200);
  w.store.faults = nullptr;
  wait_for_status(w, "key-new", 401);
}
