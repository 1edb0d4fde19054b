#include "cactusford/rollout/client.h"

#include "cactusford/process/daemon.h"
#include "cactusford/rollout/rollout.grpc.pb.h"
#include "cactusford/rollout/step.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

namespace cactusford::rollout {

namespace {

constexpr std::chrono::milliseconds call_margin{ 5000 };
constexpr int max_message = 64 << 20;

failure
failure_from(const grpc::Status& s)
{
  const auto& kind = s.error_details();
  return { kind.empty() ? error_kind::outcome_unknown : error_kind_from(kind),
           s.error_message(),
           200 };
}

} // namespace

struct trainer_client::state
{
  builder options;
  cursor position;
  std::size_t stub_index = 0;
  std::vector<std::unique_ptr<trainer_service::Stub>> stubs;
  std::string publish_id;

  trainer_service::Stub& stub() { return *stubs[stub_index % stubs.size()]; }
};

trainer_client::builder&
trainer_client::builder::trainer(std::string name)
{
  name_ = std::move(name);
  return *this;
}

trainer_client::builder&
trainer_client::builder::entry(std::string address)
{
  entries_.push_back(std::move(address));
  return *this;
}

trainer_client::builder&
trainer_client::builder::start_at(cursor c)
{
  start_ = std::move(c);
  return *this;
}

trainer_client::builder&
trainer_client::builder::max_samples(std::uint32_t n)
{
  max_samples_ = n;
  return *this;
}

trainer_client::builder&
trainer_client::builder::wait_ms(std::uint32_t ms)
{
  wait_ms_ = ms;
  return *this;
}

trainer_client
trainer_client::builder::build() const
{
  auto s = std::make_unique<state>();
  s->options = *this;
  s->position = start_;
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(max_message);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  for (const auto& address : entries_) {
    s->stubs.push_back(trainer_service::NewStub(grpc::CreateCustomChannel(
      address, grpc::InsecureChannelCredentials(), arguments)));
  }
  return trainer_client{ std::move(s) };
}

trainer_client::trainer_client(std::unique_ptr<state> s)
  : state_{ std::move(s) }
{
}

trainer_client::~trainer_client() = default;
trainer_client::trainer_client(trainer_client&&) noexcept = default;

// Delivery is exactly once because the trainer sends the slots that it has,
// rejects an owner with an older fencing token and accepts each slot once. A
// response that is lost, repeated or sent by a former owner has no effect.
result<batch>
trainer_client::fetch()
{
  auto& s = *state_;
  fetch_request request;
  request.set_trainer(s.options.name_);
  request.set_step(s.position.step);
  request.set_received(s.position.received);
  request.set_weight_version(s.position.weight_version);
  request.set_fence(s.position.fence);
  request.set_max_samples(s.options.max_samples_);
  request.set_wait_ms(s.options.wait_ms_);
  fetch_response response;
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + call_margin +
                       std::chrono::milliseconds{ s.options.wait_ms_ });
  const auto status = s.stub().fetch(&context, request, &response);
  if (!status.ok()) {
    ++s.stub_index;
    return { {}, failure_from(status) };
  }
  if (response.fence() < s.position.fence) {
    ++s.stub_index;
    return { {}, { error_kind::fenced, "response of a former owner", 100 } };
  }
  s.position.fence = response.fence();
  batch b;
  b.step_size = response.step_size();
  b.staleness_bound = response.staleness_bound();
  for (auto& sample : *response.mutable_samples()) {
    const auto index = sample.slot_index();
    if (sample.slot().step() != s.position.step ||
        is_received(s.position.received, index)) {
      continue;
    }
    set_received(s.position.received, index);
    b.samples.push_back(std::move(sample));
  }
  std::uint32_t received = 0;
  for (std::uint32_t i = 0; i < b.step_size; ++i) {
    received += is_received(s.position.received, i) ? 1 : 0;
  }
  b.step_complete = b.step_size > 0 && received == b.step_size;
  return { std::move(b), {} };
}

failure
trainer_client::publish(std::uint64_t weight_version)
{
  auto& s = *state_;
  // A retry uses the same id. Otherwise, after a lost response, it would be
  // reported as a conflict.
  if (s.publish_id.empty()) {
    s.publish_id = process::generate_id();
  }
  publish_request request;
  request.set_trainer(s.options.name_);
  request.set_weight_version(weight_version);
  request.set_request_id(s.publish_id);
  publish_response response;
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + call_margin);
  const auto status = s.stub().publish(&context, request, &response);
  if (!status.ok()) {
    ++s.stub_index;
    return failure_from(status);
  }
  s.publish_id.clear();
  s.position.weight_version = weight_version;
  ++s.position.step;
  s.position.received.clear();
  return {};
}

const cursor&
trainer_client::position() const
{
  return state_->position;
}

} // namespace cactusford::rollout
