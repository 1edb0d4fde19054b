// Stand-in for a model engine. Simulates continuous batching with bounded KV
// memory, a prefix cache, priorities, resumption and cancellation of requests,
// staging and swapping of weights with fencing tokens, and injected faults.
// Protocol and cost model: docs/ENGINE.md.
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
  // Duration of a decoding step: a base plus a share per running sequence.
  double step_base_us = 4000;
  double step_per_sequence_us = 250;
  double prefill_us_per_token = 60;
  // Limits of the batch: sequences, and tokens of KV memory.
  std::uint32_t max_batch = 24;
  std::uint64_t kv_tokens = 40000;
  // Capacity of the prefix cache.
  std::uint64_t cache_tokens = 20000;
  // Response lengths follow a log-normal distribution. They depend only on the
  // request id, so a repeated request has the same length.
  double length_mean = 120;
  double length_sigma = 0.6;
  // Share of requests whose length is multiplied by `straggler_factor`.
  double straggler_share = 0.02;
  double straggler_factor = 8;
  std::uint32_t stage_ms = 300;
  std::uint32_t swap_ms = 150;
  std::uint32_t load_lag_ms = 500;
  // Refuses orders whose fencing token is older than the latest one.
  bool obeys_fencing = true;
  // Sends the weight version with each chunk.
  bool reports_versions = true;
  // Delay before a completion is admitted.
  std::uint32_t latency_us = 0;
};

class engine
{
public:
  explicit engine(engine_settings s);
  ~engine();
  // Returns the port, or 0 if the address cannot be bound.
  int start();
  const std::string& name() const { return settings_.name; }

private:
  // Tokens that were generated in one scheduler period.
  struct chunk
  {
    std::uint32_t count = 0;
    std::string text;
    std::uint64_t version = 0;
  };
  // State of a completion request.
  struct sequence
  {
    std::string request_id;
    std::uint32_t attempt = 0;
    std::string model;
    // Prefix of each generated token, derived from the prompt.
    std::string token_prefix;
    std::uint32_t priority = 0;
    std::uint64_t arrival = 0;
    // Index of the next token to generate.
    std::uint32_t next_token = 0;
    std::uint32_t total_tokens = 0;
    std::uint64_t kv_used = 0;
    // Prefill time that is still to be spent.
    double prefill_us = 0;
    // Weight version of the latest chunk.
    std::uint64_t version = 0;
    bool done = false;
    bool cancelled = false;
    // Chunks that are not yet sent.
    std::deque<chunk> pending_chunks;
  };
  using sequence_ptr = std::shared_ptr<sequence>;
  struct model_state
  {
    std::uint64_t active = 1;
    std::uint64_t staged = 0;
    // Highest fencing token seen in an order.
    std::uint64_t fence = 0;
  };

  void add_routes();
  void run_scheduler();
  std::vector<sequence_ptr> select_batch();
  double decode(const std::vector<sequence_ptr>& batch, double budget_us);
  void handle_completion(const httplib::Request& request,
                         httplib::Response& response);
  sequence_ptr admit(const nlohmann::json& body);
  bool send_chunks(const sequence_ptr& s, httplib::DataSink& sink);
  void handle_order(const httplib::Request& request,
                    httplib::Response& response,
                    bool swap);
  void cache_prefix(const std::string& prompt, std::uint64_t tokens);
  std::uint32_t response_length(const std::string& request_id,
                                std::uint32_t max_tokens) const;

  engine_settings settings_;
  server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::list<sequence_ptr> running_;
  std::map<std::string, model_state> models_;
  // Cached prompts and their token counts, most recently used first.
  std::list<std::pair<std::string, std::uint64_t>> cache_;
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t prefix_hits_ = 0;
  std::uint64_t prefix_misses_ = 0;
  std::uint64_t generated_tokens_ = 0;
  // End of the running swap; decoding pauses until then.
  std::uint64_t paused_until_ms_ = 0;
  // Injected faults: number of swaps to fail, number of swaps whose response is
  // lost, and whether decoding hangs.
  std::uint32_t fail_swaps_ = 0;
  std::uint32_t lose_swap_answers_ = 0;
  bool hung_ = false;
  bool stopped_ = false;
  std::thread thread_;
};

} // namespace cactusford::standins
