// Stand-in for the platform's store: objects by kind and name, one revision
// counter, conditional writes, lists and watches.
#pragma once

#include "cactusford/http/server.h"

#include <nlohmann/json.hpp>

#include <asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace review {

class platform_store
{
public:
  explicit platform_store(asio::io_context& io);

  std::string address() const;

  // Creates an object or replaces its spec, as the operator, a trainer or a
  // worker does. Returns the new revision.
  std::uint64_t put(const std::string& kind,
                    const std::string& name,
                    const nlohmann::json& spec);

  // Removes an object, as the store does with the entry of a worker that has
  // been silent for too long.
  void erase(const std::string& kind, const std::string& name);

  // Returns the object, or null if there is none.
  nlohmann::json get(const std::string& kind, const std::string& name) const;

  // Performs the next creation of this object without an answer.
  void lose_answer_to_create(const std::string& kind, const std::string& name);

  // Whether that answer has been lost.
  bool has_lost_answer() const { return has_lost_answer_; }

private:
  struct change
  {
    std::uint64_t revision = 0;
    std::string kind;
    bool deleted = false;
    nlohmann::json object;
  };
  struct waiting_watch
  {
    cactusford::http::call caller;
    std::string kind;
    std::uint64_t since = 0;
    std::uint64_t until_ms = 0;
  };
  struct target
  {
    std::string kind;
    std::string name;
    bool is_status = false;
  };

  static target target_of(std::string_view path);
  void serve(const cactusford::http::call& c);
  void list(const cactusford::http::call& c, const target& t);
  void create(const cactusford::http::call& c, const target& t);
  void replace(const cactusford::http::call& c, const target& t);
  void remove(const cactusford::http::call& c, const target& t);
  void store_object(const std::string& kind, nlohmann::json object);
  void record(change made);
  nlohmann::json changes_since(const std::string& kind,
                               std::uint64_t since) const;
  void answer_watches();
  void tick();

  asio::io_context& io_;
  cactusford::http::server server_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::vector<change> history_;
  std::vector<waiting_watch> watches_;
  std::string unanswered_kind_;
  std::string unanswered_name_;
  bool has_lost_answer_ = false;
  // Channels on which an answer was lost: they return nothing further.
  std::vector<cactusford::http::call> unanswered_;
};

} // namespace review
