// Carries one call to a backend server and brings back its answer: which
// attempts are made, and what their ends mean for the caller.
#pragma once

#include "cactusford/edge/dialect.h"
#include "cactusford/edge/second_attempt.h"
#include "cactusford/http/client.h"
#include "cactusford/quarantine/manager.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace cactusford::edge {

// What is asked, by a caller or by the product itself.
struct forward_request
{
  http::request request;
  std::string id;
  // On whose behalf; empty: nobody's in particular.
  std::string workspace;
  routes::route route;
  // Steady clock: when the answer is of no more use.
  std::uint64_t give_up_ms = 0;
  // After an attempt whose connection was cut it is for the asker to try again,
  // as nobody waits for the answer.
  bool no_retry_after_disconnect = false;
};

enum class forward_end
{
  // The backend server's own answer.
  answered,
  // No backend server has run it, and none will.
  not_run,
  // The same: backend servers have ended under this request before.
  quarantined,
  // It may have run.
  unknown,
  // Time is up; it may have run.
  timed_out,
};

std::string_view
name_of(forward_end e) noexcept;

struct forward_outcome
{
  forward_end what = forward_end::unknown;
  http::response answer;
  // Answers of backend servers that the call itself had failed.
  std::uint32_t failed_runs = 0;
  // Answers of backend servers that had no place for it.
  std::uint32_t refusals = 0;
  std::uint32_t attempts = 0;
  std::string backend;
  // For `quarantined`: in how many milliseconds it may be tried again, and how
  // many backend servers have ended under it.
  std::uint64_t retry_after_ms = 0;
  std::uint32_t crashes = 0;
};

// What an attempt's end means for the call. Pure.
enum class next_step
{
  deliver,
  try_another,
  give_up_not_run,
  give_up_unknown,
};

struct attempt_end
{
  http::end_state state = http::end_state::cut;
  int status = 0;
  // The answer says that the request was not run.
  bool not_run = false;
  bool is_signed = false;
};

struct call_progress
{
  bool repeatable = false;
  // Backend servers that may have run it, this one included.
  std::uint32_t runs = 0;
  std::uint32_t max_runs = 1;
  std::uint32_t tries = 0;
  // False: not by this call, when a connection was cut.
  bool repeatable_after_cut = true;
};

next_step
after_attempt(const attempt_end& end, const call_progress& progress);

// The backend server ran it and says that the call itself failed. Its answer at
// the deadline (504) or on the way (502) says nothing of the call.
bool
is_failed_run(const attempt_end& end);

class forwarder
{
public:
  forwarder(asio::io_context& io,
            http::client& http,
            backends::registry& registry,
            const dialect& d,
            std::string data_centre,
            quarantine::manager* guard = nullptr);

  using handler = std::function<void(forward_outcome&&)>;

  // Called when a backend server answers that it is another one: the list of
  // them that is known here is old.
  std::function<void()> on_misdirected;

  // Called once a request, when it is known that a backend server has begun to
  // run it, with when that was on the steady clock.
  std::function<void(const std::string& workspace, std::uint64_t at_ms)>
    on_begun;

  // Returns what cancels the call; no outcome follows then.
  std::function<void()> start(forward_request r, handler done);

private:
  struct flight;
  struct attempt;
  void step(const std::shared_ptr<flight>& f);
  quarantine::decision judge(const flight& f);
  bool may_send(const std::shared_ptr<flight>& f);
  bool is_run_by_another(const flight& f) const;
  void wait_and_step(const std::shared_ptr<flight>& f);
  backends::backend* end_attempt(const flight& f, attempt& a);
  void note_begun(flight& f);
  void try_again(const std::shared_ptr<flight>& f);
  void keep_out(const std::shared_ptr<flight>& f,
                const quarantine::decision& v);
  void tell_guard(const flight& f, const attempt& a, const attempt_end& end);
  void send(const std::shared_ptr<flight>& f, backends::backend& b);
  void hedge_later(const std::shared_ptr<flight>& f);
  void on_attempt(const std::shared_ptr<flight>& f,
                  std::size_t index,
                  http::end_state end,
                  http::response&& r);
  void give_up_attempts(const std::shared_ptr<flight>& f);
  void give_up_later(const std::shared_ptr<flight>& f);
  void finish(const std::shared_ptr<flight>& f,
              forward_end what,
              http::response&& r);
  void log_cut(const flight& f, const attempt& a, std::uint64_t now) const;
  http::request prepare(const flight& f, const backends::backend& b) const;

  asio::io_context& io_;
  http::client& http_;
  backends::registry& registry_;
  const dialect& dialect_;
  std::string data_centre_;
  // Null: no request is kept out.
  quarantine::manager* guard_;
  // By the path of the route: calls of one kind take about the same time.
  std::map<std::string, second_attempts> second_;
  // Attempts under way of each work.
  std::map<quarantine::fingerprint, std::uint32_t> running_;
  std::mt19937_64 random_{ std::random_device{}() };
};

} // namespace cactusford::edge
