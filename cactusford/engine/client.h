// Blocking client of a backend server (a model engine or a plain service), to
// be used on a worker thread. docs/ENGINE.md describes the protocol.
#pragma once

#include "cactusford/error.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cactusford::engine {

struct generation_request
{
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  // Number and text of the tokens that an earlier attempt generated.
  std::uint32_t resume_from = 0;
  std::string resume_text;
  // Requests with a lower value run first.
  std::uint32_t priority = 0;

  friend bool operator==(const generation_request&,
                         const generation_request&) = default;
};

struct token_chunk
{
  std::uint32_t count = 0;
  std::string text;
  // 0 if the engine does not report versions.
  std::uint64_t weight_version = 0;

  friend bool operator==(const token_chunk&, const token_chunk&) = default;
};

struct generation_result
{
  std::string finish_reason;
  failure error;
};

struct service_request
{
  std::string method;
  std::string path;
  std::string content_type;
  std::string body;
  std::string request_id;

  friend bool operator==(const service_request&,
                         const service_request&) = default;
};

// Longest body of a service's answer. With its framing it fits into one message
// to the entry.
constexpr std::size_t max_answer_bytes = 7U << 20;

struct service_answer
{
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const service_answer&,
                         const service_answer&) = default;
};

enum class order_kind
{
  stage,
  swap,
};

struct order
{
  order_kind kind = order_kind::stage;
  std::string model;
  std::uint64_t version = 0;
  // Fencing token. The engine rejects an order if it has seen a higher one.
  std::uint64_t fence = 0;

  friend bool operator==(const order&, const order&) = default;
};

struct versions
{
  // 0 if there is none.
  std::uint64_t active = 0;
  std::uint64_t staged = 0;

  friend bool operator==(const versions&, const versions&) = default;
};

class client
{
public:
  // `address` is "ip:port".
  explicit client(std::string address);

  // Streams tokens until the generation ends, fails or is cancelled. A stream
  // without a finish reason, or without an end, is an error (stream_cut).
  generation_result generate(
    const generation_request& g,
    const std::atomic<bool>& cancelled,
    const std::function<void(const token_chunk&)>& on_tokens);

  // Sends a request to a service. Errors: no_backend (the request was not
  // sent), outcome_unknown (also if the answer is longer than a message).
  result<service_answer> call(const service_request& r,
                              std::uint32_t deadline_ms);

  // Sends an order to stage or swap weights. Errors: fenced, backend_failed
  // (rejected), outcome_unknown.
  failure submit_order(const order& o);

  result<versions> read_versions(const std::string& model);

private:
  std::string address_;
};

} // namespace cactusford::engine
