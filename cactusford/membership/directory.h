// The entries that this instance has heard from. Pure functions: the current
// time is a parameter.
//
// Entries differ in size by a factor of five, and only the relays hear from all
// of them, as each shared watch goes through a relay. An entry piggybacks its
// own description on its watches, at most twice a second, and the reply lists
// the largest entries. That is some hundred bytes, and no call to the store.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactusford::membership {

struct member
{
  std::string instance;
  // Address at which other instances reach it.
  std::string address;
  // Share of a core; 0 if it accepts no work.
  double capacity = 0;
  // When its process started, by its own time of day.
  std::uint64_t started_ms = 0;
  // Empty if the member doesn't announce them.
  std::string data_centre = {};
  std::string region = {};
  // How long ago a member without capacity announced its shutdown, in
  // milliseconds.
  std::uint64_t left_ms_ago = 0;

  friend bool operator==(const member&, const member&) = default;
};

// How long a member counts as alive after its last message, in milliseconds. A
// watch is held for a second. A member that is gone costs a submission sent to
// it one refused connection.
constexpr std::uint64_t member_timeout_ms = 2000;

// How long a shutdown is remembered, in milliseconds. A rolling stop of twenty
// entries takes about as long.
constexpr std::uint64_t departure_memory_ms = 10000;

struct directory
{
  struct entry
  {
    member value;
    std::uint64_t heard_at_ms = 0;

    friend bool operator==(const entry&, const entry&) = default;
  };
  std::map<std::string, entry> all;
  // Members that announced their shutdown lately, and when.
  std::map<std::string, entry> departed;

  friend bool operator==(const directory&, const directory&) = default;
};

// Records a message of a member. A member without capacity has left: it is
// removed, unless a later incarnation of it is known.
void
record(directory& d, const member& m, std::uint64_t now_ms);

// Returns the members that are alive, sorted by descending capacity; of equal
// ones the most recently started first. Planned restarts happen one after the
// other, so the member that started last will not be stopped next.
std::vector<member>
largest(const directory& d, std::size_t most, std::uint64_t now_ms);

// Returns the members that announced their shutdown lately, the latest first.
// They have no capacity.
std::vector<member>
departures(const directory& d, std::uint64_t now_ms);

// Limits of a relay's reply. It must not grow with the number of entries.
struct reply_limits
{
  std::size_t largest = 6;
  std::size_t recently_started = 6;
  std::size_t departed = 6;

  friend bool operator==(const reply_limits&, const reply_limits&) = default;
};

// Returns what a relay reports where entries are placed by data centre: recent
// departures, then the largest live members of each region in turn, then the
// most recently started of those that are large, by region in turn.
//
// The largest of the whole deployment may all be in one region, and the
// accepting entries of the other regions would know none of their own.
std::vector<member>
members_for_reply(const directory& d,
                  const reply_limits& limits,
                  std::uint64_t now_ms);

// Returns the number of members whose name sorts before this one.
std::uint32_t
rank_of(const directory& d, const std::string& instance);

nlohmann::json
encode(const std::vector<member>& members);

// Returns the number of members that are alive.
std::size_t
count_alive(const directory& d, std::uint64_t now_ms);

// Adds the number of all entries to encoded members. Builds that do not know it
// skip it.
void
add_entry_count(nlohmann::json& members, std::size_t entries);

// Returns nothing for replies of earlier builds.
std::optional<std::size_t>
entry_count_from(const nlohmann::json& members);

// Skips members that can't be decoded.
std::vector<member>
members_from(const nlohmann::json& j);

} // namespace cactusford::membership
