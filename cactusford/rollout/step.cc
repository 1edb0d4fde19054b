#include "cactusford/rollout/step.h"

#include <algorithm>

namespace cactusford::rollout {

namespace {

constexpr std::uint32_t bits_per_byte = 8;

} // namespace

step
make_step(const std::string& job,
          std::uint64_t number,
          std::uint32_t groups,
          std::uint32_t group_size)
{
  step s;
  s.job = job;
  s.number = number;
  s.group_size = group_size;
  s.slots.resize(std::size_t{ groups } * group_size);
  s.waiting = s.slots.size();
  return s;
}

std::optional<std::uint32_t>
start_next(step& s, std::uint64_t now_ms)
{
  while (s.cursor < s.slots.size() &&
         s.slots[s.cursor].phase != slot_phase::waiting) {
    ++s.cursor;
  }
  if (s.cursor == s.slots.size()) {
    return std::nullopt;
  }
  auto& slot = s.slots[s.cursor];
  slot.phase = slot_phase::running;
  slot.started_ms = now_ms;
  ++slot.attempts;
  --s.waiting;
  return static_cast<std::uint32_t>(s.cursor);
}

void
release_slot(step& s, std::uint32_t index)
{
  auto& slot = s.slots[index];
  if (slot.phase == slot_phase::waiting ||
      slot.phase == slot_phase::delivered) {
    return;
  }
  s.ready -= slot.phase == slot_phase::ready ? 1 : 0;
  slot.phase = slot_phase::waiting;
  slot.body.reset();
  ++s.waiting;
  s.cursor = std::min<std::size_t>(s.cursor, index);
}

bool
begin_scoring(step& s, std::uint32_t index)
{
  auto& slot = s.slots[index];
  if (slot.phase != slot_phase::running) {
    return false;
  }
  slot.phase = slot_phase::scoring;
  return true;
}

void
fill(step& s, std::uint32_t index, sample body)
{
  auto& slot = s.slots[index];
  if (slot.phase == slot_phase::scoring) {
    slot.phase = slot_phase::ready;
    slot.body = std::move(body);
    ++s.ready;
  }
}

std::size_t
mark_received(step& s, const std::string& bitmap)
{
  std::size_t newly_delivered = 0;
  for (std::uint32_t i = 0; i < s.slots.size(); ++i) {
    auto& slot = s.slots[i];
    if (slot.phase == slot_phase::delivered || !is_received(bitmap, i)) {
      continue;
    }
    s.waiting -= slot.phase == slot_phase::waiting ? 1 : 0;
    s.ready -= slot.phase == slot_phase::ready ? 1 : 0;
    slot.phase = slot_phase::delivered;
    slot.body.reset();
    ++s.delivered;
    ++newly_delivered;
  }
  return newly_delivered;
}

std::vector<std::uint32_t>
ready_slots(const step& s, std::size_t limit)
{
  std::vector<std::uint32_t> indices;
  if (s.ready == 0) {
    return indices;
  }
  for (std::uint32_t i = 0; i < s.slots.size() && indices.size() < limit; ++i) {
    if (s.slots[i].phase == slot_phase::ready) {
      indices.push_back(i);
    }
  }
  return indices;
}

bool
is_received(const std::string& bitmap, std::uint32_t index)
{
  const auto byte = index / bits_per_byte;
  return byte < bitmap.size() && ((static_cast<unsigned char>(bitmap[byte]) >>
                                   (index % bits_per_byte)) &
                                  1U) != 0;
}

void
set_received(std::string& bitmap, std::uint32_t index)
{
  const auto byte = index / bits_per_byte;
  if (byte >= bitmap.size()) {
    bitmap.resize(byte + 1);
  }
  bitmap[byte] = static_cast<char>(static_cast<unsigned char>(bitmap[byte]) |
                                   (1U << (index % bits_per_byte)));
}

std::uint64_t
oldest_version(const sample& s)
{
  std::uint64_t oldest = s.runs_size() == 0 ? 0 : UINT64_MAX;
  for (const auto& run : s.runs()) {
    oldest = std::min(oldest, run.weight_version());
  }
  return oldest;
}

void
add_run(sample& s, std::uint64_t version, std::uint32_t tokens)
{
  const auto size = s.runs_size();
  if (size > 0 && s.runs(size - 1).weight_version() == version) {
    auto* last = s.mutable_runs(size - 1);
    last->set_tokens(last->tokens() + tokens);
    return;
  }
  auto* run = s.add_runs();
  run->set_weight_version(version);
  run->set_tokens(tokens);
}

} // namespace cactusford::rollout
