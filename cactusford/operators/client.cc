#include "cactusford/operators/client.h"

#include "cactusford/operators/operators.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <thread>

namespace cactusford::operators {

namespace {

constexpr std::chrono::seconds call_limit{ 10 };
constexpr std::chrono::milliseconds retry_wait{ 200 };
constexpr int rounds = 3;
constexpr int max_message = 64 << 20;

bool
is_retryable(error_kind kind)
{
  return kind == error_kind::platform_unavailable ||
         kind == error_kind::platform_stale ||
         kind == error_kind::outcome_unknown;
}

} // namespace

struct client::state
{
  std::vector<std::unique_ptr<operator_service::Stub>> stubs;

  template<typename Response, typename Call>
  result<Response> call_with_retries(Call call)
  {
    result<Response> last;
    last.error = { error_kind::bad_request,
                   "no entry is set; use --entry or CACTUSFORD_ENTRIES" };
    for (int round = 0; round < rounds; ++round) {
      for (auto& stub : stubs) {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + call_limit);
        last = {};
        const grpc::Status s = call(*stub, context, last.value);
        if (s.ok()) {
          return last;
        }
        const auto& kind = s.error_details();
        last.error = { kind.empty() ? error_kind::outcome_unknown
                                    : error_kind_from(kind),
                       s.error_message() };
        if (!is_retryable(last.error.kind)) {
          return last;
        }
      }
      std::this_thread::sleep_for(retry_wait);
    }
    return last;
  }
};

client::client(const std::vector<std::string>& entries)
  : state_{ std::make_unique<state>() }
{
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(max_message);
  for (const auto& address : entries) {
    state_->stubs.push_back(operator_service::NewStub(grpc::CreateCustomChannel(
      address, grpc::InsecureChannelCredentials(), arguments)));
  }
}

client::~client() = default;

result<apply_response>
client::apply(const apply_request& r)
{
  return state_->call_with_retries<apply_response>(
    [&](auto& stub, auto& c, auto& out) { return stub.apply(&c, r, &out); });
}

result<apply_response>
client::remove(const delete_request& r)
{
  return state_->call_with_retries<apply_response>(
    [&](auto& stub, auto& c, auto& out) { return stub.remove(&c, r, &out); });
}

result<get_response>
client::get(const get_request& r)
{
  return state_->call_with_retries<get_response>(
    [&](auto& stub, auto& c, auto& out) { return stub.get(&c, r, &out); });
}

result<status_response>
client::status()
{
  return state_->call_with_retries<status_response>(
    [](auto& stub, auto& c, auto& out) {
      return stub.status(&c, status_request{}, &out);
    });
}

} // namespace cactusford::operators
