#include "cactusford/operators/command.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace {

// No entry listens at the address, so a command that is not refused as wrong
// use fails with 1.
int
run(std::vector<std::string> arguments)
{
  arguments.insert(arguments.begin(), "cactusford");
  arguments.insert(arguments.end(), { "--entry", "127.0.0.1:1" });
  std::vector<char*> argv;
  for (auto& a : arguments) {
    argv.push_back(a.data());
  }
  argv.push_back(nullptr);
  return cactusford::operators::run_command(static_cast<int>(arguments.size()),
                                            argv.data());
}

} // namespace

// Guards against an order for the wrong data centre, or for none, that a
// mistyped command gives.
Test(command, drain_orders_name_one_data_centre)
{
  constexpr int failed = 1;
  constexpr int wrong_use = 2;
  SECTION("without a name, or with two")
  {
    cr_assert_eq(run({ "drain" }), wrong_use);
    cr_assert_eq(run({ "drain", "hall-a", "hall-b" }), wrong_use);
    cr_assert_eq(run({ "undrain" }), wrong_use);
    cr_assert_eq(run({ "undrain", "hall-a", "hall-b" }), wrong_use);
  }
  SECTION("a reason belongs to drain and needs a text")
  {
    cr_assert_eq(run({ "undrain", "hall-a", "--reason", "x" }), wrong_use);
  }
  SECTION("a name that no data centre can have is refused")
  {
    cr_assert_eq(run({ "drain", "Hall A" }), failed);
  }
}
