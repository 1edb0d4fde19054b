// The memory that a submission takes from the budget of the process, and that
// reading it takes for a moment.
#pragma once

#include "cactusford/http/server.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace cactusford::batches {

// Holds memory of the budget until it is destroyed.
class submission_memory
{
public:
  submission_memory() = default;
  ~submission_memory();
  submission_memory(submission_memory&& other) noexcept;
  submission_memory& operator=(submission_memory&& other) noexcept;

  // Returns nothing if the budget has no room. A null budget has no bound.
  static std::optional<submission_memory> take(
    std::shared_ptr<http::request_memory> from,
    std::uint64_t bytes);

private:
  std::shared_ptr<http::request_memory> from_;
  std::uint64_t bytes_ = 0;
};

// Estimates what a submission takes while it is kept.
std::uint64_t
kept_bytes(std::uint64_t body_bytes, std::uint64_t items) noexcept;

// Estimates what reading a JSON message takes beside its text. A value of two
// bytes takes many times as much.
std::uint64_t
parsing_bytes(std::string_view text);

enum class parsing_room
{
  available,
  // Memory is short.
  later,
  // The message takes more than all of the memory for callers.
  never,
};

parsing_room
room_to_parse(const http::request_memory* memory, std::string_view text);

} // namespace cactusford::batches
