#include "standins/child.h"

#include <fcntl.h>
#include <spawn.h>
#include <unistd.h>

namespace cactusford::standins {

pid_t
spawn_program(const std::vector<std::string>& arguments,
              const std::string& output_path)
{
  std::vector<char*> argv;
  for (const auto& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, 1, output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A child that inherits the listening sockets of the test would keep their
  // ports open after a stand-in of the test has stopped, so that connections
  // would hang instead of being refused.
  constexpr int first_inherited = 3;
  posix_spawn_file_actions_addclosefrom_np(&actions, first_inherited);
  pid_t pid = 0;
  const int rc = posix_spawn(
    &pid, arguments[0].c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return rc == 0 ? pid : 0;
}

} // namespace cactusford::standins
