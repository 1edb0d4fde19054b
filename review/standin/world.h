// Stand-ins for the workers of a small deployment, and a caller that talks to
// the entries. All of them run on one event loop.
#pragma once

#include "cactusford/http/client.h"
#include "cactusford/http/server.h"
#include "review/standin/store.h"

#include <nlohmann/json.hpp>

#include <asio/io_context.hpp>

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

// Writes what was sent, answered and run, one line an event.
class recorder
{
public:
  explicit recorder(const std::string& path);

  void line(const std::string& text);

private:
  std::ofstream out_;
  std::uint64_t started_ms_;
};

// What a run of an item does, decided when the run starts.
struct run_plan
{
  // Events of the whole output, and the time between two of them.
  std::uint64_t events = 8;
  std::uint64_t gap_ms = 20;
  // Answers with this status instead of a stream; 0 for a stream.
  int status = 0;
  // Resets the channel after this event; 0 to send all of them.
  std::uint64_t reset_after = 0;
};

// Returns the data of one event of an item's output.
std::string
event_data(const std::string& item, std::uint64_t event);

// Returns the output of an item that was generated completely.
std::string
whole_output(const std::string& item, std::uint64_t events);

// A model worker. Streams the events of items, and takes orders to load other
// weights while its runs continue, if the order says so.
class model_worker
{
public:
  // `plan` is asked at the start of each run: the item, how often it was run
  // before by any worker, and the event after which it is to go on.
  using planner = std::function<
    run_plan(const std::string& item, int runs_before, std::uint64_t after)>;

  model_worker(asio::io_context& io,
               platform_store& store,
               recorder& record,
               std::string id,
               std::string zone,
               planner plan);

  std::string address() const;
  std::size_t running() const { return runs_; }
  std::uint64_t version() const { return version_; }
  const std::string& id() const { return id_; }

  // Writes the worker's entry to the store.
  void announce();

  static constexpr std::uint64_t slots = 8;

private:
  struct run;
  void serve(const cactusford::http::call& c);
  void report(const cactusford::http::call& c);
  void take_order(const cactusford::http::call& c);
  void finish_load(std::uint64_t version);
  void start_run(const cactusford::http::call& c, const std::string& item);
  void send_event(const std::shared_ptr<run>& r);
  void later(std::uint64_t ms, std::function<void()> action);

  asio::io_context& io_;
  platform_store& store_;
  recorder& record_;
  std::string id_;
  std::string zone_;
  planner plan_;
  cactusford::http::server server_;
  std::uint64_t version_ = 1;
  std::uint64_t orders_ = 0;
  std::uint64_t fence_ = 0;
  bool is_loading_ = false;
  std::size_t runs_ = 0;
  // Shared by all workers: how often each item was run.
  static std::map<std::string, int> runs_of_item;
};

// A plain service that answers each request with its receipt. A body "work N"
// makes it work for N milliseconds.
class plain_service
{
public:
  plain_service(asio::io_context& io,
                platform_store& store,
                recorder& record,
                std::string id,
                std::string zone);

  const std::string& id() const { return id_; }

  // Writes the worker's entry to the store.
  void announce();

private:
  void serve(const cactusford::http::call& c);

  asio::io_context& io_;
  platform_store& store_;
  recorder& record_;
  std::string id_;
  std::string zone_;
  cactusford::http::server server_;
};

// One deployment: store, workers, and the project's programs as processes of
// their own.
class world
{
public:
  world(std::string programs, std::string folder, std::string record_path);
  ~world();
  world(const world&) = delete;
  world& operator=(const world&) = delete;

  void add_model_workers(std::size_t count, model_worker::planner plan);
  void add_services(std::size_t count);

  // Starts the entries and waits until all are ready.
  bool start_entries(std::size_t count);
  // Sends a signal to an entry that was started.
  void signal_entry(std::size_t entry, int number);
  // The address that callers of an entry connect to.
  const std::string& callers_of(std::size_t entry) const;
  asio::io_context& io() { return io_; }

  // Starts a sidecar beside each model worker.
  void start_sidecars();

  // Runs the event loop until `done` returns true or the time is up.
  bool run_until(const std::function<bool()>& done, std::uint64_t limit_ms);
  void run_for(std::uint64_t ms);

  struct answer
  {
    int status = 0;
    std::string body;
  };
  // Calls an entry on a new channel. Status 0: no answer.
  answer call(std::size_t entry,
              const std::string& method,
              const std::string& target,
              cactusford::http::headers fields = {},
              const std::string& body = {});

  // Submits a batch until it is accepted, at one entry after the other.
  bool submit(const std::string& id, const nlohmann::json& batch);
  // Reads the results of a batch from a position onward.
  std::optional<nlohmann::json> read(std::size_t entry,
                                     const std::string& id,
                                     std::size_t after);
  bool end(std::size_t entry, const std::string& id);

  platform_store& store() { return store_; }
  recorder& record() { return record_; }
  const std::vector<std::unique_ptr<model_worker>>& workers() const
  {
    return workers_;
  }
  const std::vector<std::unique_ptr<plain_service>>& services() const
  {
    return services_;
  }

private:
  struct process
  {
    pid_t pid = 0;
    std::string ready;
    std::string callers;
  };

  pid_t start(const std::string& program,
              const std::string& name,
              const nlohmann::json& settings);
  bool is_ready(const process& p);

  asio::io_context io_;
  std::string programs_;
  std::string folder_;
  recorder record_;
  platform_store store_;
  cactusford::http::client client_;
  std::vector<std::unique_ptr<model_worker>> workers_;
  std::vector<std::unique_ptr<plain_service>> services_;
  std::vector<process> entries_;
  std::vector<pid_t> sidecars_;
  std::vector<std::string> peers_;
};

// Returns an item as a trainer submits it.
nlohmann::json
item(const std::string& id, const std::string& group);

// Returns a batch of these items.
nlohmann::json
batch(std::uint64_t step,
      std::uint64_t min_version,
      std::uint64_t desired,
      const nlohmann::json& items);

// Returns the manifest; `single_version` is that of the trainer's route.
nlohmann::json
manifest(bool single_version);

} // namespace review
