// Entries that this instance has heard of. Pure: time is passed in.
//
// Entries differ in size by a factor of five, and only the relays hear from all
// of them: each shared watch comes through one. An entry tells of itself beside
// its watches, twice a second at most, and hears of the largest ones with the
// answer: some hundred bytes, and no call to the store.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cactusford::membership {

struct member
{
  std::string instance;
  // Where other instances reach it.
  std::string address;
  // Its share of a core; 0: it takes no work.
  double capacity = 0;
  // When its process started, by its own time of day.
  std::uint64_t started_ms = 0;

  friend bool operator==(const member&, const member&) = default;
};

// How long a member counts as alive after it was heard of, in milliseconds. A
// watch is held for a second; one that is gone costs a submission that is sent
// there one refused connection.
constexpr std::uint64_t heard_for_ms = 2000;

struct directory
{
  struct heard
  {
    member of;
    std::uint64_t at_ms = 0;

    friend bool operator==(const heard&, const heard&) = default;
  };
  std::map<std::string, heard> all;

  friend bool operator==(const directory&, const directory&) = default;
};

// A member was heard of; one without capacity is left out from now on.
void
note(directory& d, const member& m, std::uint64_t now_ms);

// The members heard of lately, by falling capacity; of equal ones the youngest
// first. Planned restarts come one after the other: who was started last will
// not be stopped next.
std::vector<member>
largest(const directory& d, std::size_t most, std::uint64_t now_ms);

// How many of the members have a lesser name.
std::uint32_t
rank_of(const directory& d, const std::string& instance);

nlohmann::json
encode(const std::vector<member>& members);

// Members that can't be read are left out.
std::vector<member>
members_from(const nlohmann::json& j);

} // namespace cactusford::membership
