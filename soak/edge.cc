// The entry program with the wire of the stand-ins: all but the names on the
// wire is what runs on the users' platform.
#include "cactusford/edge/hosted.h"
#include "standins/object_store.h"

int
main(int argc, char** argv)
{
  using namespace cactusford;
  return edge::hosted_main(
    argc, argv, "", standins::json_dialect(), edge::run_edge);
}
