// A stand-in for the platform's object store, with faults to switch on, and
// the wire that it shares with the product in tests.
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

// Calls and replies as plain JSON, and simple forms of all other messages.
edge::dialect
json_dialect();

class object_store
{
public:
  explicit object_store(asio::io_context& io);

  std::string address() const;

  // Writes as an operator or a trainer would; returns the revision.
  std::uint64_t put(const std::string& kind,
                    const std::string& name,
                    const nlohmann::json& spec);

  // Carries out a call of somebody who is not served over the wire.
  store::reply write(const store::call& c) { return perform(c); }

  const store::object* find(const std::string& kind,
                            const std::string& name) const;

  // Objects of a kind in the order of their names.
  std::vector<store::object> all(const std::string& kind) const;

  // What other writers leave. Where `invalid_byte_marker` stands in a text,
  // answers hold a byte that is no UTF-8; objects of these names are answered
  // as a text.
  static constexpr std::string_view invalid_byte_marker = "<bad byte>";
  std::set<std::string> objects_sent_as_text;

  // Drops all history and ends the waiting watches, as when it is compacted.
  void compact();

  // Decides on each call what goes wrong. Default: nothing.
  enum class fault
  {
    none,
    // Nothing is done: 503.
    refuse,
    // Done, but not answered.
    drop_response,
    // Not done and not answered.
    drop_request,
  };
  std::function<fault(const store::call&)> inject_fault;

  // Objects in one answer to a list.
  std::size_t page_size = 500;

  std::uint64_t calls() const { return calls_; }

private:
  struct waiting_watch
  {
    http::call caller;
    store::call call;
    std::uint64_t until_ms = 0;
  };

  void serve(const http::call& c);
  store::reply perform(const store::call& c);
  void note_change(const std::string& kind, store::object o, bool deleted);
  void answer_watches();
  void tick();

  asio::io_context& io_;
  http::server server_;
  std::map<std::string, std::map<std::string, store::object>> objects_;
  std::map<std::string, std::vector<store::change>> history_;
  std::vector<waiting_watch> watches_;
  std::uint64_t revision_ = 1;
  std::uint64_t history_from_ = 0;
  std::uint64_t calls_ = 0;
  std::vector<http::call> unanswered_;
};

} // namespace cactusford::standins
