// In-memory stand-in for the object store of the platform, with injected
// faults, and the wire format that tests use to reach it.
#pragma once

#include "cactusford/edge/dialect.h"
#include "cactusford/http/server.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactusford::standins {

// Returns a dialect that encodes store calls and replies as JSON and uses a
// minimal format for all other messages.
edge::dialect
json_dialect();

class object_store
{
public:
  explicit object_store(asio::io_context& io);

  std::string address() const;

  // Creates or replaces an object, as an operator or a trainer would, and
  // returns the new revision.
  std::uint64_t put(const std::string& kind,
                    const std::string& name,
                    const nlohmann::json& spec);

  // Removes an object and creates it again. The answer of a watch shows both
  // changes.
  std::uint64_t recreate(const std::string& kind,
                         const std::string& name,
                         const nlohmann::json& spec);

  // Performs a call directly, without a connection and without faults.
  store::reply write(const store::call& c) { return perform(c); }

  // Returns null if the object does not exist.
  const store::object* find(const std::string& kind,
                            const std::string& name) const;

  // Returns the objects of a kind, sorted by name.
  std::vector<store::object> all(const std::string& kind) const;

  // Invalid data, as other writers may leave it in the store: replies contain a
  // byte that is not valid UTF-8 in place of each `invalid_byte_marker`, and a
  // string in place of each object whose name is in `objects_sent_as_text`.
  static constexpr std::string_view invalid_byte_marker = "<bad byte>";
  std::set<std::string> objects_sent_as_text;

  // Simulates a compaction: drops the change history and aborts all pending
  // watches.
  void compact();

  // Fault that is injected into a call.
  enum class fault
  {
    none,
    // Responds with status 503 without performing the call.
    refuse,
    // Performs the call but sends no response.
    drop_response,
    // Neither performs the call nor responds.
    drop_request,
  };
  // Chooses the fault of each call; no call fails if it is empty.
  std::function<fault(const store::call&)> inject_fault;

  // Maximum number of objects in a list reply.
  std::size_t page_size = 500;

  // Number of calls received, including those with a fault.
  std::uint64_t calls() const { return calls_; }

private:
  struct pending_watch
  {
    http::call caller;
    store::call call;
    std::uint64_t deadline_ms = 0;
  };

  void serve(const http::call& c);
  store::reply perform(const store::call& c);
  void record_change(const std::string& kind, store::object o, bool deleted);
  void respond_to_watches();
  void tick();

  asio::io_context& io_;
  http::server server_;
  std::map<std::string, std::map<std::string, store::object>> objects_;
  std::map<std::string, std::vector<store::change>> history_;
  std::vector<pending_watch> watches_;
  std::uint64_t revision_ = 1;
  // Watches from an older revision fail, because the history was compacted.
  std::uint64_t history_from_ = 0;
  std::uint64_t calls_ = 0;
  // Keeps the connections of calls without a response open.
  std::vector<http::call> unanswered_;
};

} // namespace cactusford::standins
