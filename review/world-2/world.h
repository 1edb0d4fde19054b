// A small deployment on loopback addresses, for the cases of review 2: the
// platform's store, backend servers, callers, and the project's own programs as
// separate processes.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review_2 {

using nlohmann::json;

// Milliseconds since the case began, on the steady clock.
std::uint64_t
now_ms();

void
sleep_ms(std::uint64_t ms);

// Waits until `is_met` holds. Returns false if it does not within the time.
bool
wait_for(std::uint64_t ms, const std::function<bool()>& is_met);

// True unless the case is run with `TROUBLE=0`.
bool
has_trouble();

// Writes a line to `record.txt`, with the time.
void
note(const std::string& line);

// Sets the file to which `note` writes.
void
open_record(const std::string& path);

// A port on the loopback address that nobody listens at.
std::string
free_address();

struct message
{
  // Request.
  std::string method;
  std::string target;
  // Response; 0: there was none.
  int status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool is_complete = false;

  std::string field(const std::string& name) const;
};

// Sends a request on a new connection and reads the response.
message
call(const std::string& address,
     const std::string& method,
     const std::string& target,
     const std::vector<std::pair<std::string, std::string>>& fields,
     const std::string& body,
     std::uint64_t timeout_ms);

// A connection that a server has accepted.
class peer
{
public:
  explicit peer(int socket);
  ~peer();
  peer(const peer&) = delete;
  peer& operator=(const peer&) = delete;

  bool read_request(message& to);
  bool write(const std::string& bytes);
  void respond(int status,
               const std::vector<std::pair<std::string, std::string>>& fields,
               const std::string& body);
  // True if the other side has closed the connection.
  bool is_closed() const;

private:
  int socket_;
  std::string buffer_;
};

// Listens at an address and calls the handler for each request, on a thread of
// its connection. The connection ends when the handler returns false.
class http_server
{
public:
  using handler = std::function<bool(peer&, const message&)>;

  http_server(std::string address, handler h);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  const std::string& address() const { return address_; }
  // Refuses new connections and resets the open ones, as a crash does.
  void crash();
  void restart();

private:
  void listen();
  void accept();
  void serve(int socket);

  std::string address_;
  handler handle_;
  int socket_ = -1;
  std::thread thread_;
  std::mutex mutex_;
  std::vector<int> open_;
  std::atomic<bool> is_up_{ false };
  std::atomic<int> serving_{ 0 };
};

// The platform's store, with the calls that the pages name.
class object_store
{
public:
  object_store();

  const std::string& address() const { return server_->address(); }
  // What the platform's own writers do. Returns the revision.
  std::uint64_t put(const std::string& kind,
                    const std::string& name,
                    const json& spec);
  std::uint64_t remove(const std::string& kind, const std::string& name);
  json get(const std::string& kind, const std::string& name);

  // If set, decides whether the answer to a call that has been carried out is
  // lost. Its channel returns nothing further.
  std::function<bool(const message&)> loses_answer;

private:
  struct change
  {
    std::uint64_t revision = 0;
    std::string kind;
    json object;
    bool deleted = false;
  };

  bool handle(peer& p, const message& r);
  std::pair<int, json> perform(const message& r);
  std::pair<int, json> list(const std::string& kind, const std::string& after);
  std::pair<int, json> watch(const std::string& kind,
                             std::uint64_t since,
                             std::uint64_t wait_ms);
  void record(const std::string& kind, const json& object, bool deleted);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, json>> kinds_;
  std::vector<change> history_;
  std::unique_ptr<http_server> server_;
};

// A process of the system.
class process
{
public:
  process(std::string program, json settings, const std::string& folder);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  void start();
  void signal(int number);
  // Waits for the end. Returns false if it does not come in time.
  bool wait_end(std::uint64_t ms);
  bool is_running();
  const json& settings() const { return settings_; }
  std::string name() const { return settings_.at("instance"); }

private:
  std::string program_;
  json settings_;
  std::string base_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// Settings of an entry as the template of the deploy file gives them. The
// addresses are free ones.
json
entry_settings(const std::string& name,
               const std::string& zone,
               const std::string& store);

// A folder for settings and logs, removed at the end.
class temporary_folder
{
public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  const std::string& path() const { return path_; }

private:
  std::string path_;
};

std::string
encode_base64(const std::string& bytes);

} // namespace review_2
