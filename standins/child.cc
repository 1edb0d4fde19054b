#include "standins/child.h"

#include <fcntl.h>
#include <spawn.h>
#include <unistd.h>

namespace cactusford::standins {

pid_t
spawn_program(const std::vector<std::string>& words, const std::string& output)
{
  std::vector<char*> arguments;
  for (const auto& w : words) {
    arguments.push_back(const_cast<char*>(w.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, 1, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // A child that holds the test's listening sockets keeps their ports open when
  // a stand-in of the test ends: connections would wait where they are refused.
  constexpr int first_inherited = 3;
  posix_spawn_file_actions_addclosefrom_np(&actions, first_inherited);
  pid_t pid = 0;
  const int rc = posix_spawn(
    &pid, words[0].c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  return rc == 0 ? pid : 0;
}

} // namespace cactusford::standins
