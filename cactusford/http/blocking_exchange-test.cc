#include "cactusford/http/blocking_exchange.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

using namespace cactusford;

// Callers that use up the descriptors ended the whole process, as the next call
// to the platform threw an exception on a worker thread.
Test(blocking_exchange, is_not_sent_without_descriptors, .timeout = 20)
{
  rlimit before{};
  cr_assert_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
  const rlimit none{ 0, before.rlim_max };
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &none), 0);
  const auto r = http::fetch_and_wait(
    "127.0.0.1:9", { "GET", "/", { { "Host", "x" } }, "" }, {});
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
  cr_assert(r.outcome == http::exchange_outcome::not_sent);
}
