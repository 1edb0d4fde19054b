// Stand-in for the object API of the platform, with injected faults.
// Protocol: docs/PLATFORM.md.
#pragma once

#include "standins/server.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cactusford::standins {

struct platform_settings
{
  std::string address = "127.0.0.1:0";
  // Delay of each call.
  std::uint32_t latency_ms = 2;
  // Delay before a change of the instance list becomes visible.
  std::uint32_t list_lag_ms = 300;
  // Rate limits; calls beyond them are refused with status 429.
  double writes_per_s = 300;
  double reads_per_s = 2000;
};

// Set by POST /control/faults.
struct platform_faults
{
  // All calls fail with status 503.
  bool outage = false;
  // Additional delay of each call.
  std::uint32_t slow_ms = 0;
  // Number of writes that take effect but whose response is lost.
  std::uint32_t lose_answers = 0;
  // Reads of an object return its state from this many revisions ago.
  std::uint64_t stale_by = 0;
};

class platform
{
public:
  explicit platform(platform_settings s);
  ~platform();
  // Returns the port, or 0 if the address cannot be bound.
  int start();

private:
  struct stored_object
  {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string spec;
    std::string request_id;
  };
  // Rate limit: tokens are refilled over time and each call takes one.
  struct token_bucket
  {
    double rate = 0;
    double tokens = 0;
    std::uint64_t refilled_ms = 0;
    bool try_take();
  };

  void add_routes();
  // Counts a call and applies the latency, the outage and the rate limit.
  // Returns false if the call was refused and the response is set.
  bool admit(httplib::Response& response,
             token_bucket& limit,
             const char* operation);
  void get(const httplib::Request& request, httplib::Response& response);
  void put(const httplib::Request& request, httplib::Response& response);
  void changes(const httplib::Request& request, httplib::Response& response);
  void set_faults(const httplib::Request& request, httplib::Response& response);
  void set_instances(const httplib::Request& request,
                     httplib::Response& response);
  std::uint64_t store(stored_object object);
  // Returns the objects that changed after a revision, except those whose kind
  // occurs in `exclude`.
  nlohmann::json changed_since(std::uint64_t since, const std::string& exclude);

  platform_settings settings_;
  server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, stored_object> objects_;
  // All versions of each object, for stale reads.
  std::map<std::string, std::map<std::uint64_t, stored_object>> history_;
  std::uint64_t revision_ = 0;
  platform_faults faults_;
  token_bucket writes_;
  token_bucket reads_;
  // Number of calls by operation.
  std::map<std::string, std::uint64_t> counts_;
  // Threads that apply changes of the instance list after `list_lag_ms`.
  std::vector<std::thread> list_updates_;
  bool stopped_ = false;
};

} // namespace cactusford::standins
