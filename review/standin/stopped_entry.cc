// An entry gets SIGTERM, and callers go on using the channels that they had
// opened to it.
#include "review/standin/world.h"

#include "cactusford/http/clock.h"

#include <csignal>
#include <memory>
#include <string>
#include <vector>

namespace review {

namespace {

namespace http = cactusford::http;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;
constexpr int ok = 200;

// Work of a booking, below the route's time-out of 4 s.
constexpr std::uint64_t work_ms = 2000;
constexpr std::uint64_t caller_wait_ms = 4000;
// When each caller sends its booking, counted from the SIGTERM. Each works on
// while the next one arrives.
constexpr std::uint64_t sent_after_ms[] = { 1000, 2600, 4200, 5800 };
// `GraceS`: the platform sends SIGKILL then.
constexpr std::uint64_t grace_ms = 8000;
// A request that was sent no later than this after the SIGTERM may be cut in
// the last sixth of the grace time.
constexpr std::uint64_t excused_until_ms = 3000;

// A caller that keeps its channel for its next request.
struct kept_caller
{
  explicit kept_caller(asio::io_context& io)
    : client{ io, { 1, 12000, 4 } }
  {
  }

  http::client client;
  std::uint64_t sent_ms = 0;
  bool is_waiting = false;
  bool ended = false;
  http::exchange_outcome outcome = http::exchange_outcome::not_sent;
  int status = 0;
};

void
send(world& w, kept_caller& c, const std::string& id, std::uint64_t work)
{
  http::exchange_options o;
  o.timeout_ms = 2 * caller_wait_ms;
  c.is_waiting = true;
  c.ended = false;
  c.sent_ms = http::now_ms();
  w.record().line("caller sends booking " + id +
                  (c.client.has_idle(w.callers_of(0)) ? " on its open channel"
                                                      : " on a new channel"));
  c.client.fetch(w.callers_of(0),
                 { "POST",
                   "/bookings/" + id,
                   { { "Host", "trainers.example" },
                     { "Request-Id", id },
                     { "Deadline-Ms", std::to_string(caller_wait_ms) } },
                   "work " + std::to_string(work) },
                 o,
                 [&w, &c, id](http::exchange_outcome end, http::response&& r) {
                   c.ended = true;
                   c.outcome = end;
                   c.status = r.status;
                   const auto took = http::now_ms() - c.sent_ms;
                   w.record().line(
                     "booking " + id + " ends after " + std::to_string(took) +
                     " ms: " +
                     (end == http::exchange_outcome::complete
                        ? "answered " + std::to_string(r.status)
                        : std::string{ "its channel was closed without an "
                                       "answer" }));
                 });
}

} // namespace

int
run_stopped_entry(world& w, bool trouble)
{
  constexpr std::size_t model_workers = 9;
  constexpr std::size_t services = 4;
  constexpr std::size_t entries = 4;
  w.store().put("config", "main", manifest(false));
  w.add_model_workers(
    model_workers,
    [](const std::string&, int, std::uint64_t) { return run_plan{}; });
  w.add_services(services);
  if (!w.start_entries(entries)) {
    return could_not_run;
  }
  w.start_sidecars();
  // Longer than `ContactMs`, so that the machine is in touch.
  constexpr std::uint64_t calm_ms = 4000;
  w.run_for(calm_ms);

  std::vector<std::unique_ptr<kept_caller>> callers;
  for (std::size_t i = 0; i < std::size(sent_after_ms); ++i) {
    callers.push_back(std::make_unique<kept_caller>(w.io()));
    auto& c = *callers.back();
    send(w, c, "c0000000000000" + std::to_string(10 + i), 20);
    w.run_until([&] { return c.ended; }, caller_wait_ms);
    if (c.status != ok) {
      return could_not_run;
    }
  }

  const auto stopped_ms = http::now_ms();
  if (trouble) {
    w.record().line("SIGTERM to entry 0");
    w.signal_entry(0, SIGTERM);
  }
  for (std::size_t i = 0; i < callers.size(); ++i) {
    const auto due = stopped_ms + sent_after_ms[i];
    w.run_until([&] { return http::now_ms() >= due; }, grace_ms);
    if (!callers[i]->client.has_idle(w.callers_of(0))) {
      // The entry has closed the channel: the caller goes to another one.
      continue;
    }
    send(w, *callers[i], "d0000000000000" + std::to_string(10 + i), work_ms);
  }
  const auto kill_ms = stopped_ms + grace_ms;
  w.run_until([&] { return http::now_ms() >= kill_ms; }, grace_ms);
  if (trouble) {
    w.record().line("SIGKILL to entry 0, if it still runs");
    w.signal_entry(0, SIGKILL);
  }
  w.run_for(500);

  std::size_t lost = 0;
  for (std::size_t i = 0; i < callers.size(); ++i) {
    const auto& c = *callers[i];
    lost += sent_after_ms[i] > excused_until_ms && c.ended &&
                c.outcome == http::exchange_outcome::connection_lost
              ? 1
              : 0;
  }
  w.record().line(std::to_string(lost) +
                  " bookings that were sent later than 3 s after the SIGTERM "
                  "were cut");
  return lost > 0 ? rule_broken : rule_held;
}

} // namespace review
