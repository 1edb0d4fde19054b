// Model of how fast the streams of a service's servers are. Tells a server that
// is slow by nature or by load from one that is in trouble. Free of side
// effects: the current time is a parameter.
//
// The time between two events is modelled as the base pace of the service,
// times the factor of the server, times the slowdown at its load, times its
// trouble.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace cactusford::backends {

// What this instance has measured for one server.
struct server_speed
{
  // Relative to the median server of the service.
  double factor = 1;
  // Number of undisturbed samples, up to the number that makes the factor
  // known.
  std::uint32_t samples = 0;
  // Fast moving average of measured over expected time.
  double trouble = 1;
  // Times of the latest samples, newest first; 0 if there were fewer. Each
  // covers at least two events.
  std::array<std::uint64_t, 2> sampled_at_ms{};
  // Since when `trouble` has been above the limit, which identifies the period
  // of trouble; 0 if it is not.
  std::uint64_t trouble_since_ms = 0;
  // Later samples have confirmed the trouble.
  bool in_trouble = false;
  // The current period of trouble was logged.
  bool is_trouble_logged = false;

  friend bool operator==(const server_speed&, const server_speed&) = default;
};

// What this instance has measured for a service.
struct service_pace
{
  // Time between two events at the median server without load; 0 if unknown.
  double base_ms = 0;
  // Slowdown at loads of 1/4, 1/2, 3/4, 1, and more.
  std::array<double, 5> slowdown{ 1, 1, 1, 1, 1 };
  // Factor of the slower quartile of the servers; 0 if too few are known.
  double slow_factor = 0;
  // Factor of the fastest server.
  double fast_factor = 1;
  // The servers were measured to differ in speed. Stays true, as they differ by
  // their hardware.
  bool is_uneven = false;
  // Trouble of the median server; the whole service may be slow for a while.
  double trouble = 1;
  // Moving average of the load of the measured servers.
  double load = 0;
  std::uint64_t summarized_at_ms = 0;

  friend bool operator==(const service_pace&, const service_pace&) = default;
};

// Events of a stream since the last sample.
struct gap_window
{
  std::uint64_t start_ms = 0;
  std::uint64_t events = 0;

  friend bool operator==(const gap_window&, const gap_window&) = default;
};

// Counts events that arrived together. Returns the mean time between events
// once there are enough for a sample, and starts the next window.
std::optional<double>
add_events(gap_window& w,
           std::uint64_t events,
           double expected_gap_ms,
           std::uint64_t now_ms);

// Returns true if the server's factor rests on enough samples.
bool
is_factor_known(const server_speed& s);

// Returns the factor for choosing a server: 1 if it is unknown or differs from
// the median by less than measurements do.
double
distinct_factor(const server_speed& s);

// Returns the slowdown at a load (runs per slot): at least 1, never falling.
double
slowdown_at(const service_pace& p, double load);

// Returns the expected time between two events if the server is not in trouble;
// 0 if unknown.
double
expected_gap_ms(const service_pace& p, const server_speed& s, double load);

// Returns the time between two events at the typical server and load; 0 if
// unknown.
double
typical_gap_ms(const service_pace& p);

// Returns the trouble of a server relative to that of its service: at least 1,
// and 1 without recent samples.
double
trouble_of(const service_pace& p, const server_speed& s, std::uint64_t now_ms);

void
record_gap(service_pace& p,
           server_speed& s,
           double gap_ms,
           double load,
           std::uint64_t now_ms);

bool
is_summary_due(const service_pace& p, std::uint64_t now_ms);

// Updates the service's figures from all its servers, and scales the factors so
// that the median server has the factor 1.
void
summarize(service_pace& p,
          const std::vector<server_speed*>& servers,
          std::uint64_t now_ms);

// Returns true if the server's streams are much slower than its own factor and
// load explain.
bool
is_in_trouble(const service_pace& p,
              const server_speed& s,
              std::uint64_t now_ms);

// Returns true if a run with these many events left ends sooner on another
// server by more than the move costs.
bool
move_pays(double remaining_events, double gap_here_ms, double gap_there_ms);

// Forgets what described a server's previous incarnation only.
void
restart(server_speed& s);

// Returns the cost of a server's speed for choosing a server, in units of load:
// 0 if it is not distinct from the others of its service.
double
speed_cost(const service_pace& p, const server_speed& s, double load);

// Returns the expected queueing of a plain call at the load when it was sent,
// itself included: its duration divided by this is the server's own speed.
double
queueing_at(double load);

} // namespace cactusford::backends
