// Stand-in for an engine that streams the text of batch items, and for a
// scorer. Tests set the public members to inject faults.
#pragma once

#include "cactusford/http/server.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cactusford::standins {

class stream_engine
{
public:
  stream_engine(asio::io_context& io, std::string id);

  std::string address() const;

  // Number of events per item, and the time between two events.
  std::uint64_t events = 5;
  std::uint64_t gap_ms = 5;
  // A change applies to the runs in progress too, which announce it.
  std::uint64_t version = 1;
  // Aborts the connection in the middle of this event, unless the latest run
  // was resumed; 0 means never.
  std::uint64_t abort_inside_event = 0;
  // Answers resumed runs with status 500.
  bool fails_resumed_runs = false;
  // Number of runs answered so, by item.
  std::map<std::string, int> failed_runs;
  // Answers each run of these items with this status.
  std::map<std::string, int> fixed_status;
  // Leaves scorer calls unanswered.
  bool holds_scores = false;
  // Crashes the engine, which aborts all its runs. Its port stays refused: it
  // must not be given to a server of another test, which would get the runs of
  // entries that still list this engine.
  void crash();

  // A run with this body crashes the engine; an empty string means none.
  std::string poison_body;
  bool has_crashed = false;
  // Refuses all runs as not executed, as an engine does while it loads weights.
  bool loading = false;

  // The engine and its answers report that it is cold before this time.
  std::uint64_t cold_until_ms = 0;

  // A request that the engine did not refuse as meant for another server.
  struct arrival
  {
    std::string id;
    std::uint64_t at_ms = 0;
    bool is_score = false;
    http::headers fields;
  };
  std::vector<arrival> arrivals;

  // Called with each event that is sent, and the version that generated it.
  std::function<
    void(const std::string& item, std::uint64_t event, std::uint64_t version)>
    on_event;

  struct run
  {
    std::string item;
    std::uint64_t resumed_at = 0;
  };
  // All runs that were started on this engine.
  std::vector<run> runs;
  // Number of scorer calls by item.
  std::map<std::string, int> scores;
  // Number of runs that are being streamed.
  std::size_t streaming = 0;

  // Returns the complete text of an item.
  static std::string text_of(const std::string& item, std::uint64_t events);

private:
  void serve(const http::call& c);
  void stream(const http::call& c,
              const std::string& item,
              std::uint64_t next_event,
              std::uint64_t run_version);

  asio::io_context& io_;
  std::string id_;
  http::server server_;
  std::vector<http::call> held_scores_;
  asio::ip::tcp::acceptor refusing_port_;
};

} // namespace cactusford::standins
