// Accepts batches into the store, runs the batches that this instance owns,
// takes over batches whose owner is gone, and returns results.
#pragma once

#include "cactusford/batches/event_reader.h"
#include "cactusford/batches/ledger.h"
#include "cactusford/batches/version_pins.h"
#include "cactusford/edge/forward.h"
#include "cactusford/http/server.h"
#include "cactusford/membership/directory.h"
#include "cactusford/membership/standby.h"
#include "cactusford/store/store.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusford::batches {

// Kinds of objects in the store that hold batches.
constexpr std::string_view batch_kind = "batches";
constexpr std::string_view part_kind = "submissions";
constexpr std::string_view chunk_kind = "results";
constexpr std::string_view progress_kind = "texts";

// Paths of the calls between instances about batches and their owners.
constexpr std::string_view peer_results_path = "/results/";
constexpr std::string_view peer_alive_path = "/alive";
constexpr std::string_view peer_ended_path = "/ended/";
constexpr std::string_view peer_taken_path = "/taken/";
constexpr std::string_view peer_forwarded_path = "/passed/";
constexpr std::string_view peer_handed_over_path = "/handed-over/";
constexpr std::string_view peer_engine_usage_path = "/engine-use";

// Dependencies of the batch manager. All referenced objects must outlive it.
struct manager_dependencies
{
  asio::io_context& io;
  http::client& http;
  store::client& store;
  backends::registry& registry;
  const edge::dialect& dialect;
  edge::forwarder& forwarder;
  std::function<routes::table_ptr()> table;
  std::string instance;
  // The address at which other instances reach this one.
  std::string address;
  std::string data_centre;
  // How long a batch stays readable after it was accepted.
  std::uint64_t retention_ms = 120000;
  // This instance's CPU share, in cores.
  double capacity = 1;
  // Returns the largest known entries, in descending order of capacity.
  std::function<std::vector<membership::member>()> largest_entries = [] {
    return std::vector<membership::member>{};
  };
  // Null: no item is quarantined.
  quarantine::manager* quarantine_manager = nullptr;
  // Default: this instance takes batches over like any other.
  std::function<membership::standby_state()> standby_state = [] {
    return membership::standby_state{};
  };
  // False: scorers' calls do not yield to callers before servers refuse.
  bool score_calls_yield = true;
  // Whether the slots of engines are divided between owners, and whether runs
  // that wait on an engine are told from those that hang.
  bool engine_shares = true;
  bool run_health = true;
  // True: owners and their successors are chosen by data centre and region, and
  // batches are handed over directly.
  bool placement_by_data_centre = false;
  std::string region = {};
  // When this process started, by its own time of day.
  std::uint64_t started_ms = 0;
  // Returns the entries that announced their shutdown lately.
  std::function<std::vector<membership::member>()> departures = [] {
    return std::vector<membership::member>{};
  };
  // Time from SIGTERM to the exit of the process.
  std::uint64_t grace_ms = 0;
  // Returns the addresses of the other instances that relay for sidecars.
  std::function<std::vector<std::string>()> relays = [] {
    return std::vector<std::string>{};
  };
  // Where submissions take their memory; null: they are not bounded.
  std::shared_ptr<http::request_memory> memory = nullptr;
};

// What the manager did about engines that several owners use.
struct sharing_counts
{
  std::uint64_t slots_owned = 0;
  std::uint64_t slots_borrowed = 0;
  std::uint64_t items_waiting = 0;
  std::uint64_t runs_waiting = 0;
  std::uint64_t moved_waiting = 0;
  std::uint64_t moved_stalled = 0;
  std::uint64_t moved_unreachable = 0;

  friend bool operator==(const sharing_counts&,
                         const sharing_counts&) = default;
};

class manager
{
public:
  explicit manager(manager_dependencies dependencies);
  ~manager();

  // Starts the periodic checks.
  void start();

  // Accepts a batch that a caller submits for its workspace.
  void accept(const http::call& caller,
              const std::string& id,
              const std::string& workspace,
              std::uint64_t give_up_ms);

  // Returns results to a caller. A read `from_peer` is answered only from what
  // this instance owns; it is never forwarded or read from the store.
  void read(const http::call& caller,
            const edge::batch_request& r,
            bool from_peer);

  void read_item(const http::call& caller, const edge::batch_request& r);

  void end(const http::call& caller, const edge::batch_request& r);

  // Called when another instance reports that a batch has ended.
  void on_batch_ended(const std::string& id);

  // Called when another instance reports that it has taken a batch over.
  void on_takeover(const std::string& id);

  // Called when another instance forwards a submission, which this instance
  // should accept and run.
  void on_submission_forwarded(const http::call& peer, const std::string& id);

  // Called when an owner that shuts down hands a batch to this instance.
  void on_handed_over(const http::call& peer);

  // Called when another instance reports how many runs it has on each engine.
  void on_engine_usage(const http::call& peer);

  // Returns the runs on the engine that need its loaded weight versions, as far
  // as this instance has them or was told.
  pinned_models pins_of(const std::string& engine) const;

  // Returns false if another instance should run the batches that this one
  // owns.
  bool can_own() const;

  // Returns true if other instances should leave the batches of this one to it.
  // Unlike `can_own`, that includes the time in which it is shutting down but
  // has not handed them over.
  bool keeps_batches() const;

  // Called by the watch of the batches.
  void on_list(std::vector<store::object>&& all);
  void on_change(store::change&& c);

  // Called when backend servers or their versions have changed.
  void on_backends();

  // Hands the owned batches over to other instances and calls `done` when all
  // have been handed over.
  void leave(std::function<void()> done);

  std::size_t owned() const;

  sharing_counts sharing() const;

  // Number of times that a batch's next item found the budget of a cold engine
  // used up.
  std::uint64_t held_by_warm_up() const;

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace cactusford::batches
