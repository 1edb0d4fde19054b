// Forwards a call to backend servers: decides which attempts are made and what
// their outcomes mean for the caller.
#pragma once

#include "cactusford/admission/call_queue.h"
#include "cactusford/edge/dialect.h"
#include "cactusford/edge/second_attempt.h"
#include "cactusford/http/client.h"
#include "cactusford/quarantine/manager.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cactusford::edge {

// A request to forward, from a caller or from this process itself.
struct forward_request
{
  http::request request;
  // Holds the memory of the body in the budget of the process.
  std::shared_ptr<const void> body_memory = nullptr;
  std::string id;
  // Workspace that the request runs for; empty if there is none.
  std::string workspace;
  routes::route route;
  // Deadline on the steady clock; an answer after it is useless.
  std::uint64_t give_up_ms = 0;
  // Does not repeat the request after an attempt has lost its connection. The
  // requester retries itself, as no caller is waiting for the answer.
  bool no_retry_after_disconnect = false;
  admission::call_demand demand;
  // Regions whose backend servers may run the request.
  data_centres::home_regions homes;
};

enum class forward_end
{
  // A backend server has answered.
  answered,
  // No backend server has run the request, and none will.
  not_run,
  // Not run, because backend servers have crashed while running it before.
  quarantined,
  // The request may have run.
  unknown,
  // The deadline has passed; the request may have run.
  timed_out,
};

std::string_view
name_of(forward_end e) noexcept;

struct forward_outcome
{
  forward_end what = forward_end::unknown;
  http::response answer;
  // Number of answers in which a backend server reports that the run failed.
  std::uint32_t failed_runs = 0;
  // Number of answers in which a backend server had no free slot.
  std::uint32_t refusals = 0;
  std::uint32_t attempts = 0;
  std::string backend;
  // Load that the server reported with its answer; zero if it reported none.
  backends::reported_load load;
  // Refused by the queue of its service, or because all servers are drained: no
  // server was asked.
  bool is_unsent = false;
  // All servers of the service are drained.
  bool is_drained = false;
  // For `quarantined` and `not_run`: the delay before a retry; 0 if unknown.
  std::uint64_t retry_after_ms = 0;
  // For `not_run`: the time until a cold server may get another request, if
  // only that was missing; else 0.
  std::uint64_t budget_wait_ms = 0;
  // For `quarantined`: the number of backend servers that have crashed while
  // running the request.
  std::uint32_t crashes = 0;
};

// What to do after an attempt has ended.
enum class next_step
{
  deliver,
  try_another,
  give_up_not_run,
  give_up_unknown,
};

struct attempt_end
{
  http::exchange_outcome state = http::exchange_outcome::connection_lost;
  int status = 0;
  // The answer states that the request was not run.
  bool not_run = false;
  bool is_signed = false;
};

struct call_progress
{
  bool repeatable = false;
  // Backend servers that may have run the call, including this attempt's.
  std::uint32_t runs = 0;
  std::uint32_t max_runs = 1;
  std::uint32_t contacted_count = 0;
  // False: no further attempt after one has lost its connection.
  bool repeatable_after_disconnect = true;
};

// Pure.
next_step
after_attempt(const attempt_end& end, const call_progress& progress);

// True if the backend server ran the call and reports that it failed (500).
// Timeouts (504) and gateway errors (502) say nothing about the call itself.
bool
is_failed_run(const attempt_end& end);

// The queue of one service, for metrics.
struct queue_view
{
  std::string service;
  const admission::call_queue* queue = nullptr;
  // Calls that had to wait and calls that were refused, since the start.
  std::uint64_t queued = 0;
  std::uint64_t refused = 0;
};

class forwarder
{
public:
  forwarder(asio::io_context& io,
            http::client& http,
            backends::registry& registry,
            const dialect& d,
            std::string data_centre,
            quarantine::manager* quarantine_manager = nullptr);

  using handler = std::function<void(forward_outcome&&)>;

  // Called when a backend server answers that it is not the expected one, which
  // means that the local list of backend servers is stale.
  std::function<void()> on_misdirected;

  // Called once per request, as soon as it is known that a backend server has
  // started to run it. `at_ms` is the start on the steady clock.
  std::function<void(const std::string& workspace, std::uint64_t at_ms)>
    on_run_started;

  // Returns true if calls of this service wait in a queue while it is full.
  std::function<bool(const std::string& service)> is_queued =
    [](const std::string&) { return false; };

  // Called when a call starts that was accepted by a queue, with its wait.
  std::function<void(std::uint64_t waited_ms)> on_queue_wait;

  // Called when a data centre has become unreachable or reachable, by the
  // results of calls and of runs.
  std::function<void()> on_reachability_changed;

  // Repeats open calls elsewhere that wait for servers of the data centre, and
  // refuses waiting ones that no server is left for.
  void on_unreachable(const std::string& data_centre);

  // Refuses all calls that wait in queues.
  void refuse_waiting();

  // Refuses those of callers that may end later than this, on the steady clock.
  void refuse_waiting_beyond(std::uint64_t latest_end_ms);

  // Ends all calls of callers: those that no server may have run as not run,
  // all others as unknown. Returns the number of the latter.
  std::size_t end_calls();

  // Called when servers have been drained or undrained: calls that wait in
  // queues are started or refused at once.
  void on_servers_changed();

  std::vector<queue_view> queues() const;

  // Number of calls refused because only cold servers were left, and their
  // budgets were used up.
  std::uint64_t held_by_warm_up() const;

  // Starts the call and returns a function that cancels it. `done` is not
  // called after a cancellation.
  std::function<void()> start(forward_request r, handler done);

private:
  struct call_state;
  struct attempt;
  struct service_queue;
  void begin(const std::shared_ptr<call_state>& call);
  service_queue& queue_of(const std::string& service);
  void refresh_slots(service_queue& q) const;
  void start_waiting_calls(service_queue& q);
  void schedule_queue_check(service_queue& q);
  void refuse_queued(service_queue& q, const admission::refused_call& r);
  void leave_queue(call_state& call, forward_outcome& o);
  void release_room(call_state& call);
  bool is_drained(const call_state& call) const;
  void refuse_drained(const std::shared_ptr<call_state>& call);
  void end_without_server(const std::shared_ptr<call_state>& call);
  void send_next_attempt(const std::shared_ptr<call_state>& call);
  quarantine::decision check_quarantine(const call_state& call);
  bool may_send(const std::shared_ptr<call_state>& call);
  bool has_unresolved_run(const call_state& call) const;
  backends::call_needs needs_of(const call_state& call) const;
  backends::backend* choose_backend(const call_state& call);
  void note_held(call_state& call);
  void report_held(const call_state& call, forward_outcome& o);
  void wait_for_unresolved_run(const std::shared_ptr<call_state>& call);
  backends::backend* close_attempt(const call_state& call, attempt& a);
  void report_run_started(call_state& call);
  void start_trial(const std::shared_ptr<call_state>& call);
  void refuse_quarantined(const std::shared_ptr<call_state>& call,
                          const quarantine::decision& v);
  void report_to_quarantine(const call_state& call,
                            const attempt& a,
                            const attempt_end& end);
  void send(const std::shared_ptr<call_state>& call, backends::backend& b);
  void schedule_second_attempt(const std::shared_ptr<call_state>& call);
  void try_second_attempt(const std::shared_ptr<call_state>& call);
  void note_reach(const attempt& a, http::exchange_outcome end);
  bool is_in(const attempt& a, const std::string& data_centre);
  bool may_use_unreachable(const call_state& call) const;
  void prepare_last_resort(call_state& call, const backends::backend& b);
  bool is_beyond_reach(const call_state& call) const;
  void log_if_beyond_reach(const call_state& call) const;
  void withdraw_unsent_attempts(const std::shared_ptr<call_state>& call,
                                const std::string& data_centre);
  void repeat_elsewhere(const std::shared_ptr<call_state>& call,
                        const std::string& data_centre);
  void on_attempt_ended(const std::shared_ptr<call_state>& call,
                        std::size_t index,
                        http::exchange_outcome end,
                        http::response&& r);
  void cancel_open_attempts(const std::shared_ptr<call_state>& call);
  void schedule_cancellation(const std::shared_ptr<call_state>& call);
  void finish(const std::shared_ptr<call_state>& call,
              forward_end what,
              http::response&& r);
  void log_lost_connection(const call_state& call,
                           const attempt& a,
                           std::uint64_t now) const;
  http::request prepare(const call_state& call,
                        const backends::backend& b) const;

  asio::io_context& io_;
  http::client& http_;
  backends::registry& registry_;
  const dialect& dialect_;
  std::string data_centre_;
  // If null, no request is quarantined.
  quarantine::manager* quarantine_;
  // Keyed by the path prefix of the route, as calls of one route take about the
  // same time.
  std::map<std::string, second_attempts> second_attempts_;
  // Number of open attempts by the fingerprint of their request.
  std::map<quarantine::fingerprint, std::uint32_t> running_attempts_;
  std::map<std::string, std::shared_ptr<service_queue>> queues_;
  std::set<std::shared_ptr<call_state>> open_calls_;
  std::uint64_t last_queue_id_ = 0;
  std::uint64_t held_warm_up_ = 0;
  std::mt19937_64 random_{ std::random_device{}() };
};

} // namespace cactusford::edge
