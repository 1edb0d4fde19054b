// Generates load for experiments: live completions, service checks and
// bookings. Every response is logged. The callers retry as real ones do:
// through another entry, and a booking under the same idempotency key.
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
  // Returns the addresses of the entries that a load balancer would use.
  std::function<std::vector<std::string>()> entries;
  std::string model;
  std::string service;
  std::uint32_t live_callers = 2;
  std::uint32_t check_callers = 1;
  std::uint32_t booking_callers = 1;
  std::uint32_t interval_ms = 20;
  std::uint32_t max_tokens = 48;
  std::uint32_t deadline_ms = 5000;
  // Retries of a request that was not answered.
  std::uint32_t max_retries = 4;
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

class load_generator
{
public:
  explicit load_generator(load_options o);
  ~load_generator();

  void start();
  // Stops the callers and waits for their calls in progress.
  void stop();
  load_counts counts();

private:
  struct shared_state;
  void run_live_caller(std::uint64_t caller_index);
  void run_service_caller(std::uint64_t caller_index, bool is_booking);

  load_options options_;
  std::shared_ptr<shared_state> state_;
  std::vector<std::thread> threads_;
};

// Returns the given percentile, as a fraction from 0 to 1, of the values.
double
percentile(std::vector<double> values, double fraction);

} // namespace cactusford::bench
