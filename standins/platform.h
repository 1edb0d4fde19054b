// Stand-in of the platform's object API, with faults to switch on.
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
  std::uint32_t latency_ms = 2;
  // How late the list of instances is.
  std::uint32_t list_lag_ms = 300;
  double writes_per_s = 300;
  double reads_per_s = 2000;
};

// Switched by POST /control/faults.
struct platform_faults
{
  bool outage = false;
  std::uint32_t slow_ms = 0;
  // Writes that take effect without an answer.
  std::uint32_t lose_answers = 0;
  // Reads answer from this many revisions ago.
  std::uint64_t stale_by = 0;
};

class platform
{
public:
  explicit platform(platform_settings s);
  ~platform();
  int start();

private:
  struct entry
  {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string spec;
    std::string request_id;
  };
  // Tokens for a rate: refilled with time, one a call.
  struct bucket
  {
    double rate = 0;
    double tokens = 0;
    std::uint64_t at_ms = 0;
    bool take();
  };

  void add_routes();
  bool enter(httplib::Response& out, bucket& limit, const char* duty);
  void get(const httplib::Request& in, httplib::Response& out);
  void put(const httplib::Request& in, httplib::Response& out);
  void changes(const httplib::Request& in, httplib::Response& out);
  void set_faults(const httplib::Request& in, httplib::Response& out);
  void set_instances(const httplib::Request& in, httplib::Response& out);
  std::uint64_t store(entry e);
  nlohmann::json list_since(std::uint64_t since, const std::string& exclude);

  platform_settings settings_;
  server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, entry> objects_;
  // Earlier versions, for stale reads.
  std::map<std::string, std::map<std::uint64_t, entry>> history_;
  std::uint64_t revision_ = 0;
  platform_faults faults_;
  bucket writes_;
  bucket reads_;
  std::map<std::string, std::uint64_t> counts_;
  std::vector<std::thread> late_;
  bool stopped_ = false;
};

} // namespace cactusford::standins
