// Stand-in of model engines: batches continuously, has bounded KV memory, a
// prefix cache, priorities, resume, cancel, load and swap orders with fencing,
// and faults to switch on. Protocol and cost model: docs/ENGINE.md.
#pragma once

#include "standins/server.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace cactusford::standins {

struct engine_settings
{
  std::string name;
  std::string address = "127.0.0.1:0";
  std::size_t threads = 64;
  // Time of one decoding step: base plus a part for each running sequence.
  double step_base_us = 4000;
  double step_per_sequence_us = 250;
  double prefill_us_per_token = 60;
  std::uint32_t max_batch = 24;
  std::uint64_t kv_tokens = 40000;
  std::uint64_t cache_tokens = 20000;
  // Lengths of answers: log-normal, by the request id.
  double length_mean = 120;
  double length_sigma = 0.6;
  double straggler_share = 0.02;
  double straggler_factor = 8;
  std::uint32_t stage_ms = 300;
  std::uint32_t swap_ms = 150;
  std::uint32_t load_lag_ms = 500;
  bool obeys_fencing = true;
  bool reports_versions = true;
  std::uint32_t latency_us = 0;
};

class engine
{
public:
  explicit engine(engine_settings s);
  ~engine();
  int start();
  const std::string& name() const { return settings_.name; }

private:
  struct chunk
  {
    std::uint32_t count = 0;
    std::string text;
    std::uint64_t version = 0;
  };
  struct sequence
  {
    std::string request;
    std::uint32_t attempt = 0;
    std::string model;
    std::string mark;
    std::uint32_t priority = 0;
    std::uint64_t arrival = 0;
    std::uint32_t next = 0;
    std::uint32_t total = 0;
    std::uint64_t kv = 0;
    double prefill_us = 0;
    std::uint64_t version = 0;
    bool done = false;
    bool cancelled = false;
    std::deque<chunk> ready;
  };
  using sequence_ptr = std::shared_ptr<sequence>;
  struct model_state
  {
    std::uint64_t active = 1;
    std::uint64_t staged = 0;
    std::uint64_t fence = 0;
  };

  void add_routes();
  void turn();
  std::vector<sequence_ptr> pick_batch();
  double decode(const std::vector<sequence_ptr>& batch, double credit_us);
  void complete(const httplib::Request& in, httplib::Response& out);
  sequence_ptr admit(const nlohmann::json& body);
  bool write_out(const sequence_ptr& s, httplib::DataSink& sink);
  void order(const httplib::Request& in, httplib::Response& out, bool swap);
  void remember_prefix(const std::string& prompt, std::uint64_t tokens);
  std::uint32_t length_of(const std::string& request, std::uint32_t most) const;

  engine_settings settings_;
  server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::list<sequence_ptr> running_;
  std::map<std::string, model_state> models_;
  // Prefixes in least-recently-used order, with their tokens.
  std::list<std::pair<std::string, std::uint64_t>> cache_;
  std::uint64_t cached_ = 0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t prefix_hits_ = 0;
  std::uint64_t prefix_misses_ = 0;
  std::uint64_t generated_ = 0;
  std::uint64_t paused_until_ms_ = 0;
  std::uint32_t fail_swaps_ = 0;
  std::uint32_t lose_swap_answers_ = 0;
  bool hung_ = false;
  bool stopped_ = false;
  std::thread thread_;
};

} // namespace cactusford::standins
