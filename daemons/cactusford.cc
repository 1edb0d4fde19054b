#include "cactusford/operators/command.h"

int
main(int argc, char** argv)
{
  return cactusford::operators::run_command(argc, argv);
}
