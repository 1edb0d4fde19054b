// A stand-in engine that streams the text of items, and a scorer, with faults
// to switch on.
#pragma once

#include "cactusford/http/server.h"

#include <asio/io_context.hpp>

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

  // Every item has this many events, this far apart.
  std::uint64_t events = 5;
  std::uint64_t gap_ms = 5;
  std::uint64_t version = 1;
  // Ends the stream in the middle of event n of an item's first run; 0: never.
  std::uint64_t abort_inside_event = 0;
  // It ends, and all its runs with it.
  void crash();

  // A run with this body ends the engine.
  std::string poison_body;
  bool has_crashed = false;
  // Answers refused as not run because weights are being loaded.
  bool loading = false;

  struct run
  {
    std::string item;
    std::uint64_t resumed_at = 0;
  };
  // All runs that were begun here.
  std::vector<run> runs;
  std::map<std::string, int> scores;
  std::size_t streaming = 0;

  // The text that an item has when it is whole.
  static std::string text_of(const std::string& item, std::uint64_t events);

private:
  void serve(const http::call& c);
  void stream(const http::call& c, const std::string& item, std::uint64_t next);

  asio::io_context& io_;
  std::string id_;
  http::server server_;
};

} // namespace cactusford::standins
