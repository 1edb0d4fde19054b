// Tests API keys of workspaces with entries that run as processes.
#include "cactusford/testing/section.h"
#include "tests/process_cluster.h"

using namespace cactusford;
using namespace cactusford::testing;

namespace {

const json both_keys{ { "planning", { "key-one", "key-two" } } };
const json second_key{ { "planning", { "key-two" } } };

void
wait_for_status(process_cluster& cluster, const std::string& key, int status)
{
  for (std::size_t at = 0; at < cluster.entries.size(); ++at) {
    while (cluster.call(at, "other", "/look/", key).value.status != status) {
      cluster.run_for(20);
    }
  }
}

std::string
all_logs(const process_cluster& cluster)
{
  std::string text;
  for (const auto& e : cluster.entries) {
    std::ifstream in{ cluster.folder + "/" + e.name + ".log" };
    text += { std::istreambuf_iterator<char>{ in }, {} };
  }
  return text;
}

} // namespace

// Key rotation: an operator declares a workspace with two keys, callers move to
// the second one, and the first is removed. Every entry then refuses the first
// key. Backend servers never receive a key, and no log line contains one.
Test(workspaces, keys_take_effect_and_are_revoked, .timeout = 60)
{
  process_cluster cluster{ "keys", 2 };
  cluster.configure(2, both_keys);
  wait_for_status(cluster, "", 401);
  const auto unknown_key = cluster.call(0, "other", "/look/", "key-of-nobody");
  cr_assert_eq(unknown_key.value.status, 401);
  cr_assert(
    http::find(unknown_key.value.fields, "WWW-Authenticate").has_value());
  cr_assert_eq(cluster.call(1, "other", "/look/", "key-one").value.status, 200);
  const auto& received = cluster.last_request.fields;
  cr_assert_eq(*http::find(received, "Workspace"), "planning");
  cr_assert_not(http::find(received, "Authorization").has_value());
  cluster.configure(3, second_key);
  wait_for_status(cluster, "key-one", 401);
  cr_assert_eq(cluster.call(0, "other", "/look/", "key-two").value.status, 200);
  cr_assert_eq(all_logs(cluster).find("key-"), std::string::npos);
}

// An entry has lost contact with the store, so a key that it does not know may
// be in force by now. It must answer 503 instead of 401, so that the caller
// retries at another entry. Keys that it knows still work.
Test(workspaces, an_entry_with_a_stale_table_denies_no_key, .timeout = 60)
{
  process_cluster cluster{ "behind", 1 };
  cluster.configure(2, second_key);
  wait_for_status(cluster, "", 401);
  cluster.store.inject_fault = [](const store::call&) {
    return object_store::fault::drop_request;
  };
  wait_for_status(cluster, "key-new", 503);
  cr_assert_eq(cluster.call(0, "other", "/look/", "key-two").value.status, 200);
  cluster.store.inject_fault = nullptr;
  wait_for_status(cluster, "key-new", 401);
}
