#include "cactusford/edge/hosted.h"
#include "platform/dialect.h"

int
main(int argc, char** argv)
{
  using namespace cactusford;
  return edge::hosted_main(
    argc, argv, "", platform_adapter::make_dialect(), edge::run_sidecar);
}
