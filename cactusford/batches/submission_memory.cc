#include "cactusford/batches/submission_memory.h"

#include "cactusford/store/fields.h"

#include <utility>

namespace cactusford::batches {

namespace {

// An item with its state, without its texts.
constexpr std::uint64_t item_bytes = 1536;

// A JSON value as it is parsed, and its part of the item that is made of it.
constexpr std::uint64_t value_bytes = 256;

} // namespace

submission_memory::~submission_memory()
{
  if (from_) {
    http::release_submission(from_->budget, bytes_);
  }
}

submission_memory::submission_memory(submission_memory&& other) noexcept
  : from_{ std::exchange(other.from_, nullptr) }
  , bytes_{ std::exchange(other.bytes_, 0) }
{
}

submission_memory&
submission_memory::operator=(submission_memory&& other) noexcept
{
  std::swap(from_, other.from_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

std::optional<submission_memory>
submission_memory::take(std::shared_ptr<http::request_memory> from,
                        std::uint64_t bytes)
{
  submission_memory taken;
  if (from && !http::take_submission(from->budget, bytes)) {
    return std::nullopt;
  }
  taken.from_ = std::move(from);
  taken.bytes_ = bytes;
  return taken;
}

std::uint64_t
kept_bytes(std::uint64_t body_bytes, std::uint64_t items) noexcept
{
  return body_bytes + items * item_bytes;
}

std::uint64_t
parsing_bytes(std::string_view text)
{
  return text.size() + store::shape_of(text).values * value_bytes;
}

parsing_room
room_to_parse(const http::request_memory* memory, std::string_view text)
{
  if (memory == nullptr) {
    return parsing_room::available;
  }
  const auto bytes = parsing_bytes(text);
  if (http::has_room_for_moment(memory->budget, bytes)) {
    return parsing_room::available;
  }
  const auto limit = memory->budget.limits.total_bytes;
  return text.size() + bytes > limit ? parsing_room::never
                                     : parsing_room::later;
}

} // namespace cactusford::batches
