// The cases of the review. Usage: review-standin CASE PROGRAMS FOLDER RECORD.
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
// run. TROUBLE=0 in the environment leaves the disruption out.
#include "review/standin/world.h"

#include <cstdlib>
#include <iostream>
#include <string>

namespace review {

int
run_reused_text(world& w, bool trouble);

int
run_single_version(world& w, bool trouble);

int
run_lapsed_entries(world& w, bool trouble);

} // namespace review

int
main(int argc, char** argv)
{
  constexpr int could_not_run = 2;
  if (argc != 5) {
    std::cerr << "usage: review-standin CASE PROGRAMS FOLDER RECORD\n";
    return could_not_run;
  }
  const std::string name = argv[1];
  const auto* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string{ setting } != "0";
  review::world w{ argv[2], argv[3], argv[4] };
  w.record().line("case " + name + (trouble ? "" : ", without disruption"));
  int result = could_not_run;
  if (name == "reused-text") {
    result = review::run_reused_text(w, trouble);
  } else if (name == "single-version") {
    result = review::run_single_version(w, trouble);
  } else if (name == "lapsed-entries") {
    result = review::run_lapsed_entries(w, trouble);
  }
  w.record().line("exit " + std::to_string(result));
  return result;
}
