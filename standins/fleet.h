// Runs the processes of a deployment on this machine and acts as the platform
// that starts, lists, stops and replaces them. Used by tests, benchmarks and
// the demo.
#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusford::standins {

struct fleet_options
{
  // Folder of a deployment, with deployment.json and declarations/.
  std::string deployment;
  // Folder for settings, logs and ports; emptied by the constructor.
  std::string folder;
  // Folder that contains the programs.
  std::string programs;
  // JSON merge patches for the settings of all processes of a role.
  nlohmann::json entry_settings = nlohmann::json::object();
  nlohmann::json sidecar_settings = nlohmann::json::object();
  nlohmann::json platform_settings = nlohmann::json::object();
  nlohmann::json engine_settings = nlohmann::json::object();
  // JSON merge patch for deployment.json.
  nlohmann::json deployment_settings = nlohmann::json::object();
  // Runs each backend server in its own process, so that it can be killed
  // alone.
  bool split_backends = false;
};

class fleet
{
public:
  explicit fleet(fleet_options options);
  // Stops all processes.
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Starts all processes except the trainers and waits until they are ready.
  // Returns an error message, or an empty string on success.
  std::string start();

  // Applies all declarations of the deployment with the operators' command.
  // Returns an error message, or an empty string on success.
  std::string apply_declarations();
  // Writes a declaration to a file and applies it. `operator_name` makes the
  // file name unique among concurrent operators.
  std::string apply(const std::string& kind,
                    const std::string& name,
                    const nlohmann::json& spec,
                    const std::string& operator_name = "a");

  void start_trainers(std::uint64_t steps);

  // Sends a signal to a process and, after SIGKILL, waits until it has exited.
  void signal(const std::string& name, int signal_number);
  // Waits until a process has exited and returns its exit code, or -1 after
  // `limit_ms`.
  int wait_exit(const std::string& name, std::uint32_t limit_ms);
  // Starts a stopped process again, updates its entry in the instance list and
  // waits until it is ready. Its ports may change, except the rpc port of an
  // entry. Returns an error message, or an empty string on success.
  std::string restart(const std::string& name);
  // Like `restart`, but does not wait until the process is ready.
  std::string respawn(const std::string& name);
  // Starts a killed backend server again on the same port.
  void restart_backend(const std::string& name);
  // Returns false if the process exits or is not ready after `limit_ms`.
  bool wait_ready(const std::string& name, std::uint32_t limit_ms);
  bool is_running(const std::string& name);
  // Returns 0 if the process is not running.
  pid_t pid_of(const std::string& name) const;

  // Mark an instance as leaving, removed or live in the platform's instance
  // list.
  void mark_leaving(const std::string& name);
  void mark_gone(const std::string& name);
  void mark_live(const std::string& name);

  // Set the faults of the platform or of a backend server; see /control/faults.
  void inject_platform_fault(const nlohmann::json& faults);
  void inject_backend_fault(const std::string& backend,
                            const nlohmann::json& faults);

  std::vector<std::string> entries() const;
  std::vector<std::string> sidecars(const std::string& serves) const;
  std::string data_centre(const std::string& name) const;
  // Returns "ip:port" of a named port of a process, such as "http" of an entry.
  std::string address(const std::string& name, const std::string& port) const;
  // Returns the number of calls to the platform so far, by operation.
  nlohmann::json platform_counts() const;
  const nlohmann::json& deployment() const { return deployment_; }
  const std::string& folder() const { return options_.folder; }

  // Runs the operators' command with these arguments and returns its exit code
  // and output.
  std::pair<int, std::string> run_operator_command(
    const std::vector<std::string>& arguments);

private:
  struct process
  {
    std::string program;
    nlohmann::json settings;
    // Entry in the platform's instance list; null for stand-ins, which are not
    // in the list.
    nlohmann::json list_entry;
    pid_t pid = 0;
    // Bound ports by name.
    std::map<std::string, int> ports;
  };

  std::string spawn(const std::string& name);
  bool wait_for_ports(const std::string& name);
  void add_backends();
  void add_sidecar(const std::string& name,
                   const std::string& kind,
                   const std::string& serves,
                   const std::string& backend,
                   std::size_t index);
  std::string address_of_backend(const std::string& backend) const;
  // Sends the list entries of these instances to the platform.
  void update_instance_list(const std::vector<std::string>& names);
  std::vector<std::string> peer_links(const std::string& excluded);
  // Returns the settings that all daemons have. `index` selects the data
  // centre.
  nlohmann::json common_settings(const std::string& name,
                                 std::size_t index) const;
  bool post(const std::string& address,
            const std::string& path,
            const nlohmann::json& body) const;

  fleet_options options_;
  nlohmann::json deployment_;
  std::map<std::string, process> processes_;
  // Maps a backend server to the stand-in process that hosts it.
  std::map<std::string, std::string> host_processes_;
  // Sidecars by the pool or service that they serve.
  std::map<std::string, std::vector<std::string>> sidecars_;
};

} // namespace cactusford::standins
