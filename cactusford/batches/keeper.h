// Keeps batches: accepts them into the store, runs those that this instance
// owns, takes over those whose owner is gone, and shows results.
#pragma once

#include "cactusford/batches/event_reader.h"
#include "cactusford/batches/ledger.h"
#include "cactusford/edge/forward.h"
#include "cactusford/http/server.h"
#include "cactusford/membership/directory.h"
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

// Kinds of our own in the store.
constexpr std::string_view batch_kind = "batches";
constexpr std::string_view part_kind = "submissions";
constexpr std::string_view chunk_kind = "results";
constexpr std::string_view progress_kind = "texts";

// Path of the calls among instances about batches and their owners.
constexpr std::string_view peer_results_path = "/results/";
constexpr std::string_view peer_alive_path = "/alive";
constexpr std::string_view peer_ended_path = "/ended/";
constexpr std::string_view peer_taken_path = "/taken/";
constexpr std::string_view peer_passed_path = "/passed/";
constexpr std::string_view peer_use_path = "/engine-use";

// What the keeper works with; all outlive it.
struct keeper_parts
{
  asio::io_context& io;
  http::client& http;
  store::client& store;
  backends::registry& registry;
  const edge::dialect& dialect;
  edge::forwarder& forwarder;
  std::function<routes::table_ptr()> table;
  std::string instance;
  // Where other instances reach this one.
  std::string address;
  std::string data_centre;
  // How long a batch stays readable after it was accepted.
  std::uint64_t keep_ms = 120000;
  // This instance's share of a core.
  double capacity = 1;
  // The largest entries known, by falling capacity.
  std::function<std::vector<membership::member>()> largest_entries = [] {
    return std::vector<membership::member>{};
  };
  // Null: no item is kept out.
  quarantine::manager* guard = nullptr;
};

class keeper
{
public:
  explicit keeper(keeper_parts parts);
  ~keeper();

  // Starts the regular checks.
  void start();

  // A caller submits a batch for its workspace.
  void accept(const http::call& caller,
              const std::string& id,
              const std::string& workspace,
              std::uint64_t give_up_ms);

  // A caller reads results. A read `from_peer` is answered from what this
  // instance owns, or not at all.
  void read(const http::call& caller,
            const edge::batch_request& r,
            bool from_peer);

  void read_item(const http::call& caller, const edge::batch_request& r);

  void end(const http::call& caller, const edge::batch_request& r);

  // Another instance says that a batch has ended.
  void on_ended(const std::string& id);

  // Another instance says that it has taken a batch over.
  void on_taken(const std::string& id);

  // Another instance passes a submission on: this one is to accept and run it.
  void on_passed(const http::call& peer, const std::string& id);

  // Another instance tells what it has running at the engines.
  void on_use(const http::call& peer);

  // False when another instance should run what this one owns.
  bool can_own() const;

  // From the watch of the batches.
  void on_list(std::vector<store::object>&& all);
  void on_change(store::change&& c);

  // Backend servers or their versions have changed.
  void on_backends();

  // Gives the batches to other instances; `done` follows when all are given.
  void leave(std::function<void()> done);

  std::size_t owned() const;

private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

} // namespace cactusford::batches
