// Client library for trainers. Fetches each sample exactly once and publishes
// weights. Not thread-safe: use a client per thread.
#pragma once

#include "cactusford/error.h"
#include "cactusford/rollout/rollout.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cactusford::rollout {

// The position of a trainer. A trainer saves it together with the samples that
// it has applied, and continues from there after a restart.
struct cursor
{
  std::uint64_t step = 1;
  // Bitmap: bit i is set if slot i of the step was received.
  std::string received;
  std::uint64_t weight_version = 1;
  std::uint64_t fence = 0;

  friend bool operator==(const cursor&, const cursor&) = default;
};

struct batch
{
  std::vector<sample> samples;
  std::uint32_t step_size = 0;
  std::uint32_t staleness_bound = 0;
  bool step_complete = false;
};

class trainer_client
{
public:
  class builder
  {
  public:
    builder& trainer(std::string name);
    // Adds the "ip:port" of an entry's RPC port. May be called repeatedly;
    // after a failed call, the client continues with the next entry.
    builder& entry(std::string address);
    builder& start_at(cursor c);
    builder& max_samples(std::uint32_t n);
    builder& wait_ms(std::uint32_t ms);
    trainer_client build() const;

  private:
    friend class trainer_client;
    std::string name_;
    std::vector<std::string> entries_;
    cursor start_;
    std::uint32_t max_samples_ = 64;
    std::uint32_t wait_ms_ = 1000;
  };

  ~trainer_client();
  trainer_client(trainer_client&&) noexcept;

  // Returns new samples of the current step, or none if the wait has ended.
  // Returned samples count as received from then on. Errors are temporary,
  // except not_found and bad_request.
  result<batch> fetch();

  // Publishes the version and advances to the next step.
  failure publish(std::uint64_t weight_version);

  const cursor& position() const;

private:
  struct state;
  explicit trainer_client(std::unique_ptr<state> s);
  std::unique_ptr<state> state_;
};

} // namespace cactusford::rollout
