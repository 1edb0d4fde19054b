// What callers may make an entry hold: the limits of its ports, and which calls
// it takes while the memory for answers is used up.
#pragma once

#include "cactusford/edge/settings.h"
#include "cactusford/http/server.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace cactusford::edge {

enum class port_kind
{
  callers,
  peers,
  // Health checks and metrics: their requests have no bodies that matter.
  monitoring,
};

http::server_options
options_for(port_kind kind,
            const hosted_settings& s,
            std::shared_ptr<http::request_memory> memory);

// Sets the bounds on memory that follow from the settings.
void
set_bounds(http::memory_budget& b, const hosted_settings& s);

// The length of recent answers by route, in bytes. A longer one counts at once
// and is forgotten slowly.
using answer_lengths = std::map<std::string, double, std::less<>>;

void
note_answer(answer_lengths& l, std::string_view route, std::size_t bytes);

// Returns true if all recent answers of the route are short. A route without
// answers so far may have long ones.
bool
has_short_answers(const answer_lengths& l, std::string_view route);

// Returns how long the next answer of the route may be, by its recent ones; 0
// if they are short.
std::uint64_t
expected_answer(const answer_lengths& l, std::string_view route);

// Room that must be left for a call of a route without answers so far.
constexpr std::uint64_t unknown_answer_bytes = 1U << 20;

// Keeps room for the answer of a call that runs. Calls that are taken at once
// would otherwise all find the room free that only some of their answers fit
// into.
class answer_reservation
{
public:
  answer_reservation(std::shared_ptr<http::buffer_budget> b,
                     std::uint64_t bytes);
  ~answer_reservation();
  answer_reservation(const answer_reservation&) = delete;
  answer_reservation& operator=(const answer_reservation&) = delete;

  void release();

private:
  std::shared_ptr<http::buffer_budget> from_;
  std::uint64_t bytes_;
};

// Messages between instances, other than batches, are as long as an object of
// the store at most.
constexpr std::size_t max_peer_message_bytes = 2U << 20;

} // namespace cactusford::edge
