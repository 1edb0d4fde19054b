// cactusford-bench: the demo, load, experiments and measurements.

#include "bench/demo.h"

#include <iostream>
#include <string>
#include <vector>

int
main(int argc, char** argv)
{
  const std::vector<std::string> words{ argv + 1, argv + argc };
  if (!words.empty() && words[0] == "demo") {
    return cactusford::bench::run_demo({});
  }
  std::cerr << "usage: cactusford-bench demo\n";
  return 2;
}
