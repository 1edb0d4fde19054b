#include "cactusford/edge/caller_limits.h"

#include <algorithm>

namespace cactusford::edge {

namespace {

constexpr std::uint64_t max_connections = 2000;

// The balancer and the scrapers need a few. With more, a crowd that connects
// again and again leaves each caller time to send its request.
constexpr std::uint64_t monitoring_connections = 512;

// Instances send each other up to a megabyte, which a small buffer would slow
// down.
constexpr std::size_t peer_unread_bytes = 64U << 10;

// Answers of most calls are below this; lists and texts are above.
constexpr double short_answer_bytes = 64U << 10;

// What is left of a long answer's weight after each shorter one.
constexpr double decay = 0.9;

std::uint64_t
caller_connections(const hosted_settings& s, std::size_t unread_bytes)
{
  if (s.max_connections > 0) {
    return s.max_connections;
  }
  return std::min(max_connections,
                  http::connection_limit_for(s.memory_mb, unread_bytes));
}

} // namespace

http::server_options
options_for(port_kind kind,
            const hosted_settings& s,
            std::shared_ptr<http::request_memory> memory)
{
  http::server_options o;
  o.memory = std::move(memory);
  o.min_body_rate = s.min_body_rate;
  switch (kind) {
    case port_kind::callers:
      o.connections = caller_connections(s, o.unread_bytes);
      break;
    case port_kind::peers:
      o.connections = max_connections;
      o.unread_bytes = peer_unread_bytes;
      break;
    case port_kind::monitoring:
      o.connections = monitoring_connections;
      o.keeps_bodies = false;
      break;
  }
  return o;
}

void
set_bounds(http::memory_budget& b, const hosted_settings& s)
{
  b.limits = http::memory_limits_for(s.memory_mb, s.request_memory_mb);
  b.answers.limit_bytes = http::buffer_limit_for(s.memory_mb);
}

void
note_answer(answer_lengths& l, std::string_view route, std::size_t bytes)
{
  const auto found = l.find(route);
  const auto length = static_cast<double>(bytes);
  if (found == l.end()) {
    l.emplace(route, length);
  } else {
    found->second = std::max(length, found->second * decay);
  }
}

std::uint64_t
expected_answer(const answer_lengths& l, std::string_view route)
{
  const auto found = l.find(route);
  return found == l.end() || found->second <= short_answer_bytes
           ? 0
           : static_cast<std::uint64_t>(found->second);
}

answer_reservation::answer_reservation(std::shared_ptr<http::buffer_budget> b,
                                       std::uint64_t bytes)
  : from_{ std::move(b) }
  , bytes_{ bytes }
{
  from_->reserved_bytes += bytes_;
}

answer_reservation::~answer_reservation()
{
  release();
}

void
answer_reservation::release()
{
  from_->reserved_bytes -= bytes_;
  bytes_ = 0;
}

bool
has_short_answers(const answer_lengths& l, std::string_view route)
{
  const auto found = l.find(route);
  return found != l.end() && found->second <= short_answer_bytes;
}

} // namespace cactusford::edge
