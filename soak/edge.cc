// The entry program with the wire format of the stand-ins. Apart from the names
// on the wire, this is the code that runs on the users' platform.
#include "cactusford/edge/hosted.h"
#include "standins/object_store.h"

int
main(int argc, char** argv)
{
  using namespace cactusford;
  return edge::hosted_main(
    argc, argv, "", standins::json_dialect(), edge::run_edge);
}
