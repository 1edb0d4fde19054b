#include "cactusford/weights/machine.h"

#include <algorithm>
#include <cmath>

namespace cactusford::weights {

namespace {

constexpr std::uint64_t first_retry_ms = 100;
constexpr std::uint64_t max_retry_ms = 2000;

void
schedule_retry(weight_state& m, std::uint64_t now_ms)
{
  const auto exponent = std::min<std::uint32_t>(m.failures, 5);
  m.retry_not_before_ms =
    now_ms + std::min(first_retry_ms << exponent, max_retry_ms);
  ++m.failures;
}

} // namespace

void
set_target(weight_state& m,
           std::uint64_t version,
           std::uint64_t fence,
           std::uint64_t earliest_swap_ms)
{
  if (fence <= m.fence) {
    return;
  }
  m.target_version = version;
  m.fence = fence;
  m.failures = 0;
  m.retry_not_before_ms = 0;
  m.earliest_swap_ms = earliest_swap_ms;
}

action
next_action(weight_state& m, std::uint64_t now_ms)
{
  if (now_ms < m.retry_not_before_ms) {
    return action::none;
  }
  if (m.current_phase == phase::unknown) {
    m.current_phase = phase::reading;
    return action::read_back;
  }
  const bool can_order =
    m.current_phase == phase::idle || m.current_phase == phase::staged;
  if (!can_order || m.target_version == 0 || m.target_version == m.active) {
    return action::none;
  }
  if (m.staged != m.target_version) {
    m.current_phase = phase::staging;
    return action::stage;
  }
  if (now_ms < m.earliest_swap_ms) {
    return action::none;
  }
  m.current_phase = phase::swapping;
  ++m.swap_epoch;
  return action::swap;
}

void
on_read(weight_state& m,
        const result<engine::versions>& r,
        std::uint64_t now_ms)
{
  if (!r) {
    m.current_phase = phase::unknown;
    schedule_retry(m, now_ms);
    return;
  }
  if (m.active != r.value.active) {
    ++m.swap_epoch;
  }
  m.active = r.value.active;
  m.staged = r.value.staged;
  m.current_phase = phase::idle;
}

// An order whose answer is lost may or may not have taken effect. A guess could
// attribute the following tokens to the wrong version, so the versions are read
// back before the next order.
void
on_order(weight_state& m,
         engine::order_kind kind,
         std::uint64_t version,
         const failure& f,
         std::uint64_t now_ms)
{
  if (kind == engine::order_kind::swap) {
    ++m.swap_epoch;
  }
  if (f) {
    m.current_phase = phase::unknown;
    schedule_retry(m, now_ms);
    return;
  }
  m.failures = 0;
  if (kind == engine::order_kind::stage) {
    m.staged = version;
    m.current_phase = phase::staged;
  } else {
    m.active = version;
    m.staged = 0;
    m.current_phase = phase::idle;
  }
}

std::uint64_t
serving_version(const weight_state& m)
{
  const bool is_version_known = m.current_phase == phase::idle ||
                                m.current_phase == phase::staging ||
                                m.current_phase == phase::staged;
  return is_version_known ? m.active : 0;
}

std::uint64_t
wave_delay_ms(std::size_t position,
              std::size_t count,
              double max_swapping_share,
              std::uint64_t swap_ms)
{
  const auto wave_size =
    std::max<std::size_t>(1,
                          static_cast<std::size_t>(std::floor(
                            static_cast<double>(count) * max_swapping_share)));
  return (position / wave_size) * swap_ms;
}

} // namespace cactusford::weights
