// Starts the processes of a deployment on this machine and plays the platform
// that starts, lists, stops and replaces them. For tests, benches, the demo.
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
  // Folder of a deployment: deployment.json and declarations/.
  std::string deployment;
  // Where settings, logs and ports are written; emptied first.
  std::string folder;
  // Where the programs are.
  std::string programs;
  // Merged over the settings of each process of the role.
  nlohmann::json entry_settings = nlohmann::json::object();
  nlohmann::json sidecar_settings = nlohmann::json::object();
  nlohmann::json platform_settings = nlohmann::json::object();
  nlohmann::json engine_settings = nlohmann::json::object();
  // Merged over deployment.json.
  nlohmann::json deployment_settings = nlohmann::json::object();
  // Each backend server in a process of its own, so that it can be killed.
  bool split_backends = false;
};

class fleet
{
public:
  explicit fleet(fleet_options o);
  // Ends what it started.
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Starts all but the trainers and waits until every process is ready.
  // Returns what went wrong, or nothing.
  std::string start();

  // Applies the declarations through the operators' command.
  std::string apply_declarations();
  // Writes and applies one declaration.
  std::string apply(const std::string& kind,
                    const std::string& name,
                    const nlohmann::json& spec,
                    const std::string& operator_name = "a");

  void start_trainers(std::uint64_t steps);

  // Sends a signal by name. SIGKILL is waited for.
  void signal(const std::string& name, int number);
  // Waits for the end and returns the exit code, -1 after `limit_ms`.
  int wait_exit(const std::string& name, std::uint32_t limit_ms);
  // Starts a process of that name again, with new ports, and lists it.
  std::string restart(const std::string& name);
  // Starts it without waiting for readiness.
  std::string respawn(const std::string& name);
  // Starts a killed backend server on its old port.
  void restart_backend(const std::string& name);
  bool wait_ready(const std::string& name, std::uint32_t limit_ms);
  bool is_running(const std::string& name);
  // 0 when it does not run.
  pid_t pid_of(const std::string& name) const;

  // Marks an instance as leaving in the platform's list, or takes it out.
  void mark_leaving(const std::string& name);
  void mark_gone(const std::string& name);
  void mark_live(const std::string& name);

  void inject_platform_fault(const nlohmann::json& faults);
  void inject_backend_fault(const std::string& backend,
                            const nlohmann::json& faults);

  std::vector<std::string> entries() const;
  std::vector<std::string> sidecars(const std::string& serves) const;
  // "ip:port" of a bound port, such as "http" of an entry.
  std::string address(const std::string& name, const std::string& port) const;
  // Calls to the platform so far, by duty.
  nlohmann::json platform_counts() const;
  const nlohmann::json& deployment() const { return deployment_; }
  const std::string& folder() const { return options_.folder; }

  // Runs the operators' command; returns its exit code and output.
  std::pair<int, std::string> run_operator_command(
    const std::vector<std::string>& words);

private:
  struct process
  {
    std::string program;
    nlohmann::json settings;
    // Its line in the platform's list; null for stand-ins.
    nlohmann::json listed;
    pid_t pid = 0;
    std::map<std::string, int> ports;
  };

  std::string spawn(const std::string& name);
  bool wait_ports(const std::string& name);
  void add_backends();
  void add_sidecar(const std::string& name,
                   const std::string& kind,
                   const std::string& serves,
                   const std::string& backend,
                   std::size_t number);
  std::string address_of_backend(const std::string& backend) const;
  void list(const std::vector<std::string>& names);
  std::vector<std::string> some_links(const std::string& but);
  nlohmann::json common(const std::string& name, std::size_t number) const;
  bool post(const std::string& address,
            const std::string& path,
            const nlohmann::json& body) const;

  fleet_options options_;
  nlohmann::json deployment_;
  std::map<std::string, process> processes_;
  // Backend server -> stand-in process that hosts it.
  std::map<std::string, std::string> hosts_;
  std::map<std::string, std::vector<std::string>> sidecars_;
};

} // namespace cactusford::standins
