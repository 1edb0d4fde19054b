// Callers for experiments: live completions, service checks and bookings, each
// logged with what came back. They repeat like real ones: a booking under the
// same key, through another entry.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cactusford::bench {

struct load_options
{
  // Returns the callers' ports of the entries that the balancer would use.
  std::function<std::vector<std::string>()> entries;
  std::string model;
  std::string service;
  std::uint32_t live_callers = 2;
  std::uint32_t check_callers = 1;
  std::uint32_t booking_callers = 1;
  std::uint32_t pause_ms = 20;
  std::uint32_t max_tokens = 48;
  std::uint32_t deadline_ms = 5000;
  // Repeats of a request that was not answered.
  std::uint32_t repeats = 4;
  std::uint64_t seed = 1;
};

struct load_counts
{
  std::uint64_t live = 0;
  std::uint64_t service = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::vector<double> live_ms;
  std::vector<double> first_token_ms;
  std::vector<double> service_ms;
};

class load
{
public:
  explicit load(load_options o);
  ~load();

  void start();
  // Waits for the calls under way.
  void stop();
  load_counts counts();

private:
  struct shared;
  void live_caller(std::uint64_t number);
  void service_caller(std::uint64_t number, bool booking);

  load_options options_;
  std::shared_ptr<shared> shared_;
  std::vector<std::thread> threads_;
};

// The value below which the part `p` (0 to 1) of the values lies.
double
percentile(std::vector<double> values, double p);

} // namespace cactusford::bench
