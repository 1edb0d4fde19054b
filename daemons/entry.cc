#include "cactusford/entry/entry.h"
#include "cactusford/process/daemon.h"

#include <iostream>

int
main(int argc, char** argv)
{
  using namespace cactusford;
  int code = 0;
  const auto path = process::parse_settings_path(argc, argv, "", code);
  if (path.empty()) {
    return code;
  }
  const auto s = process::load_settings(path, settings::entry_settings_from);
  if (!s) {
    std::cerr << path << ": " << message_of(s.error) << "\n";
    return process::exit_settings;
  }
  return entry::run(s.value);
}
