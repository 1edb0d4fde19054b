#include "cactusford/backends/speed.h"

#include <algorithm>
#include <cmath>

namespace cactusford::backends {

namespace {

// A stream pauses while its engine reads another run's prompt, and its events
// arrive in clumps while this instance is busy. Over this many expected gaps,
// one such pause does not look like trouble.
constexpr double window_gaps = 4;
constexpr std::uint64_t min_window_events = 2;
constexpr std::uint64_t window_events_unknown = 4;

// Age at which a sample says nothing any more, so that a server that has
// recovered is tried again.
constexpr std::uint64_t max_sample_age_ms = 2500;

// Under load, healthy engines differ from what is expected by tens of percent;
// an engine in trouble differs by a factor of three to four. The period ends
// well below the limit, so that it is not counted several times.
constexpr double trouble_limit = 1.9;
constexpr double recovered_limit = 1.4;
constexpr double trouble_gain = 0.35;
// A single run that waits for a slot must not look like trouble by itself.
constexpr double max_ratio = 4;

// All streams of an engine see the same pause, so that one of them can yield
// many samples. Only samples of later windows confirm trouble.
constexpr std::uint64_t confirm_ms = 250;

// Samples after which a factor is known: more than 20 events. The gain falls
// until as many samples were seen as it averages over in the long run.
constexpr std::uint32_t known_samples = 6;
constexpr std::uint32_t max_samples = 33;
constexpr double factor_gain = 0.03;

constexpr std::size_t min_known_servers = 3;

// Disturbances only lengthen gaps, so a shorter gap is more credible.
constexpr double rise_ratio = 0.5;
constexpr double disturbed_ratio = 0.05;
constexpr double max_step = 0.5;
constexpr double min_factor = 0.25;
constexpr double max_factor = 4;

// Slower than the base pace, as the two can explain the same samples.
constexpr double slowdown_gain = 0.003;
constexpr double load_gain = 0.02;
constexpr double loads_per_knot = 0.25;

// The base pace follows a service that is slow as a whole within seconds.
constexpr double base_time_ms = 1500;
constexpr std::uint64_t summary_period_ms = 100;
constexpr std::uint64_t max_summary_step_ms = 500;
// With fewer measured servers, one of them may be all that has changed.
constexpr std::size_t min_median_servers = 4;
constexpr double max_lone_step = 0.25;

// Factors of equal servers differ by a few percent from noise. Below this
// difference, servers are chosen by load alone.
constexpr double indistinct = 0.12;

// The slower quartile of a service of unequal servers is slower than the faster
// quartile by more than this.
constexpr double uneven_ratio = 1.2;
constexpr std::size_t min_compared_servers = 4;

// One unit of load lengthens gaps by the rise of the slowdown curve, and delays
// the first event by the prompts of the other runs, which the curve does not
// show. With less than 0.75, bursts crowded the fast engines.
constexpr double min_slope = 0.75;
constexpr double max_slope = 1;

// Reading the prompt, opening a connection, and the slot that both take; and
// the uncertainty of the remaining length.
constexpr double move_cost_ms = 250;
constexpr double move_cost_ratio = 0.25;

bool
is_recent(std::uint64_t at_ms, std::uint64_t now_ms)
{
  return at_ms != 0 && now_ms - at_ms <= max_sample_age_ms;
}

std::size_t
knot_of(const service_pace& p, double load)
{
  const auto at = std::lround(load / loads_per_knot) - 1;
  return static_cast<std::size_t>(
    std::clamp(at, 0L, static_cast<long>(p.slowdown.size()) - 1));
}

// Learns the slowdown at a load. The first knot stays 1: what changes there is
// the base pace.
void
learn_slowdown(service_pace& p, double load, double ratio)
{
  const auto at = knot_of(p, load);
  if (at == 0) {
    return;
  }
  auto& curve = p.slowdown;
  const auto step = std::clamp(ratio - 1, -max_step, max_step);
  curve[at] = std::max(1.0, curve[at] * (1 + slowdown_gain * step));
  for (std::size_t k = 0; k < curve.size(); ++k) {
    curve[k] =
      k < at ? std::min(curve[k], curve[at]) : std::max(curve[k], curve[at]);
  }
}

void
learn_factor(server_speed& s, double relative, double ratio)
{
  // Until the factor is known, nothing tells trouble from a slow model. Servers
  // slower than the rest by more than the limit were taken for troubled ones
  // that never recover.
  const bool is_disturbed = is_factor_known(s) && ratio >= trouble_limit;
  if (s.samples == 0) {
    s.factor = relative;
  } else {
    const auto gain = std::max(factor_gain, 1.0 / (s.samples + 1));
    auto step = std::clamp(relative / s.factor - 1, -max_step, max_step);
    step *= is_factor_known(s) && step > 0 ? rise_ratio : 1;
    step *= is_disturbed ? disturbed_ratio : 1;
    s.factor *= 1 + gain * step;
  }
  s.factor = std::clamp(s.factor, min_factor, max_factor);
  if (!is_disturbed && s.samples < max_samples) {
    ++s.samples;
  }
}

// Returns true if the expected gap of the server rests on any measurement.
bool
is_comparable(const service_pace& p, const server_speed& s)
{
  return s.samples > 0 || p.slow_factor > 0;
}

double
element_at(std::vector<double>& values, std::size_t index)
{
  const auto at = values.begin() + static_cast<long>(index);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

} // namespace

std::optional<double>
add_events(gap_window& w,
           std::uint64_t events,
           double expected_gap_ms,
           std::uint64_t now_ms)
{
  if (w.start_ms == 0) {
    w = { now_ms, 0 };
    return std::nullopt;
  }
  w.events += events;
  const auto span = static_cast<double>(now_ms - w.start_ms);
  const bool enough =
    expected_gap_ms > 0
      ? w.events >= min_window_events && span >= window_gaps * expected_gap_ms
      : w.events >= window_events_unknown;
  if (!enough || span <= 0) {
    return std::nullopt;
  }
  const auto gap = span / static_cast<double>(w.events);
  w = { now_ms, 0 };
  return gap;
}

bool
is_factor_known(const server_speed& s)
{
  return s.samples >= known_samples;
}

double
distinct_factor(const server_speed& s)
{
  const bool distinct = std::abs(s.factor - 1) > indistinct;
  return is_factor_known(s) && distinct ? s.factor : 1;
}

double
slowdown_at(const service_pace& p, double load)
{
  const auto last = static_cast<double>(p.slowdown.size() - 1);
  const auto at = std::clamp(load / loads_per_knot - 1, 0.0, last);
  const auto below = static_cast<std::size_t>(at);
  const auto above = std::min(below + 1, p.slowdown.size() - 1);
  const auto part = at - static_cast<double>(below);
  return p.slowdown[below] + part * (p.slowdown[above] - p.slowdown[below]);
}

double
expected_gap_ms(const service_pace& p, const server_speed& s, double load)
{
  const auto factor = is_factor_known(s)  ? s.factor
                      : p.slow_factor > 0 ? p.slow_factor
                                          : s.factor;
  return p.base_ms * factor * slowdown_at(p, load);
}

double
typical_gap_ms(const service_pace& p)
{
  return p.base_ms * slowdown_at(p, p.load);
}

double
trouble_of(const service_pace& p, const server_speed& s, std::uint64_t now_ms)
{
  return is_recent(s.sampled_at_ms.front(), now_ms)
           ? std::max(1.0, s.trouble / std::max(1.0, p.trouble))
           : 1;
}

void
record_gap(service_pace& p,
           server_speed& s,
           double gap_ms,
           double load,
           std::uint64_t now_ms)
{
  if (p.base_ms == 0) {
    p.base_ms = gap_ms;
  }
  if (!is_recent(s.sampled_at_ms.front(), now_ms)) {
    s.trouble = 1;
    s.trouble_since_ms = 0;
    s.in_trouble = false;
  }
  const bool was_known = is_factor_known(s);
  const auto ratio =
    is_comparable(p, s)
      ? std::min(gap_ms / expected_gap_ms(p, s, load), max_ratio)
      : 1;
  s.trouble += trouble_gain * (ratio - s.trouble);
  std::shift_right(s.sampled_at_ms.begin(), s.sampled_at_ms.end(), 1);
  s.sampled_at_ms.front() = now_ms;

  const auto relative_trouble = trouble_of(p, s, now_ms);
  if (relative_trouble < recovered_limit) {
    s.trouble_since_ms = 0;
    s.in_trouble = false;
  } else if (relative_trouble >= trouble_limit) {
    s.trouble_since_ms = s.trouble_since_ms == 0 ? now_ms : s.trouble_since_ms;
    // An engine that loads weights pauses all its streams once, and their
    // samples keep the average high for a while.
    const bool is_slow_sample =
      ratio >= trouble_limit * std::max(1.0, p.trouble);
    s.in_trouble = s.in_trouble || (is_slow_sample &&
                                    now_ms - s.trouble_since_ms >= confirm_ms);
  }

  const auto own_ratio = ratio / std::max(1.0, p.trouble);
  if (is_factor_known(s) && own_ratio < trouble_limit) {
    learn_slowdown(p, load, own_ratio);
  }
  learn_factor(s, gap_ms / (p.base_ms * slowdown_at(p, load)), own_ratio);
  p.load += load_gain * (load - p.load);
  // What was measured with another expectation says nothing.
  if (!was_known && is_factor_known(s)) {
    s.trouble = 1;
    s.trouble_since_ms = 0;
    s.in_trouble = false;
  }
}

bool
is_summary_due(const service_pace& p, std::uint64_t now_ms)
{
  return now_ms - p.summarized_at_ms >= summary_period_ms;
}

void
summarize(service_pace& p,
          const std::vector<server_speed*>& servers,
          std::uint64_t now_ms)
{
  const auto since = std::min(now_ms - p.summarized_at_ms, max_summary_step_ms);
  p.summarized_at_ms = now_ms;
  std::vector<double> known;
  std::vector<double> troubles;
  std::size_t measured = 0;
  for (const auto* s : servers) {
    measured += s->sampled_at_ms.front() != 0 ? 1 : 0;
    if (is_factor_known(*s)) {
      known.push_back(s->factor);
      if (is_recent(s->sampled_at_ms.front(), now_ms)) {
        troubles.push_back(s->trouble);
      }
    }
  }
  const bool has_median = troubles.size() >= min_median_servers;
  p.trouble = 1;
  if (!troubles.empty()) {
    const auto median = element_at(troubles, (troubles.size() - 1) / 2);
    p.trouble = has_median ? median : 1;
    const auto step = has_median
                        ? median - 1
                        : std::clamp(median - 1, -max_lone_step, max_lone_step);
    // The averages are relative to the base pace. If they kept their values,
    // the base pace would overshoot while samples are rare.
    const auto change = 1 + step * static_cast<double>(since) / base_time_ms;
    p.base_ms *= change;
    p.trouble /= has_median ? change : 1;
    for (auto* s : servers) {
      s->trouble /= change;
    }
  }
  p.slow_factor = 0;
  if (known.empty()) {
    return;
  }
  const auto scale = element_at(known, (known.size() - 1) / 2);
  p.base_ms *= scale;
  for (auto* s : servers) {
    s->factor = s->samples > 0 ? s->factor / scale : s->factor;
  }
  // Slow servers yield their samples last: measured servers without a known
  // factor count as slower than all others.
  if (known.size() >= min_compared_servers) {
    const auto fast = element_at(known, known.size() / 4);
    const auto slow = element_at(known, known.size() * 3 / 4);
    p.is_uneven = p.is_uneven || slow > uneven_ratio * fast;
  }
  p.fast_factor = *std::min_element(known.begin(), known.end()) / scale;
  const auto quartile = std::max(measured, known.size()) * 3 / 4;
  if (known.size() >= min_known_servers && quartile < known.size()) {
    p.slow_factor = element_at(known, quartile) / scale;
  }
}

bool
is_in_trouble(const service_pace& p,
              const server_speed& s,
              std::uint64_t now_ms)
{
  const bool comparable = is_factor_known(s) || p.slow_factor > 0;
  return comparable && s.in_trouble &&
         is_recent(s.sampled_at_ms.back(), now_ms) &&
         trouble_of(p, s, now_ms) >= recovered_limit;
}

bool
move_pays(double remaining_events, double gap_here_ms, double gap_there_ms)
{
  const auto saved = remaining_events * (gap_here_ms - gap_there_ms);
  const auto rest = remaining_events * gap_there_ms;
  return saved > move_cost_ms + move_cost_ratio * rest;
}

void
restart(server_speed& s)
{
  server_speed fresh;
  fresh.factor = s.factor;
  fresh.samples = s.samples;
  s = fresh;
}

double
speed_cost(const service_pace& p, const server_speed& s, double load)
{
  const auto excess = distinct_factor(s) - 1;
  if (excess == 0) {
    return 0;
  }
  const auto slope =
    std::clamp(slowdown_at(p, 1) - slowdown_at(p, 0), min_slope, max_slope);
  return excess * slowdown_at(p, load) / slope;
}

double
queueing_at(double load)
{
  return std::max(1.0, load);
}

} // namespace cactusford::backends
