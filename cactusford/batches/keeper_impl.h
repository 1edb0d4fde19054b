// The insides of the keeper, shared by its sources.
#pragma once

#include "cactusford/batches/engine_use.h"
#include "cactusford/batches/keeper.h"
#include "cactusford/batches/placement.h"
#include "cactusford/batches/progress.h"
#include "cactusford/batches/schedule.h"
#include "cactusford/batches/score_limit.h"
#include "cactusford/batches/score_queue.h"
#include "cactusford/batches/state.h"

#include <set>

namespace cactusford::batches {

using detail::batch_state;
using detail::item_stage;
using detail::item_state;
using detail::waiting_reader;

// When a caller that was refused may come back: the store usually answers
// again within a second.
constexpr std::string_view come_back_s = "0.5";

// Pauses before an item or a write is tried again.
constexpr std::uint64_t refused_pause_ms = 60;
constexpr std::uint64_t failed_pause_ms = 100;

http::response
answer(int status, std::string body = {});

// The workspace may read it, end it and ask for its bodies. To any other it is
// not there.
bool
is_of(const stored_batch& b, const std::string& workspace);

// Refused; nothing has been done.
http::response
come_back(const edge::dialect& d);

namespace detail {

// A batch on its way into the store.
struct acceptance
{
  http::call caller;
  std::string id;
  batches::submission submission;
  stored_batch head;
  std::vector<std::string_view> parts;
  std::uint64_t next_part = 0;
  // When the caller gives up, on the steady clock.
  std::uint64_t until_ms = 0;
  // A write of the head had no answer: it may stand, or stand later.
  bool unknown = false;
};

} // namespace detail

struct keeper::impl : std::enable_shared_from_this<keeper::impl>
{
  explicit impl(keeper_parts parts)
    : p{ std::move(parts) }
    , timer{ p.io }
  {
  }

  // Knowledge
  batch_state* known(const std::string& id);
  batch_state* learn(const store::object& o);
  void note_owner(const batch_state& b);
  // `is_fresh`: nothing can be listed yet.
  void own_ours(batch_state& b, bool is_fresh);
  void update(batch_state& b, stored_batch&& s);
  void close(batch_state& b);
  void forget(const std::string& id);
  std::shared_ptr<const routes::route> route_to(const std::string& host,
                                                const std::string& path) const;
  std::uint64_t due_of(const batch_state& b) const;
  void lookup(const std::string& id, std::function<void(batch_state*, bool)>);

  // Submissions
  void write_parts(const std::shared_ptr<detail::acceptance>& a);
  void write_head(const std::shared_ptr<detail::acceptance>& a);
  void on_head(const std::shared_ptr<detail::acceptance>& a,
               const store::reply& r);
  void accept_again(
    const std::shared_ptr<detail::acceptance>& a,
    void (impl::*step)(const std::shared_ptr<detail::acceptance>&));
  void refuse(const detail::acceptance& a);
  membership::member self() const;
  placement_view view_of(const std::string& host, const std::string& target);
  void pass_on(const std::shared_ptr<detail::acceptance>& a,
               const membership::member& to);
  void accept_here(const std::shared_ptr<detail::acceptance>& a);
  void remove_unclaimed(const std::string& id, std::uint64_t parts);
  void remove_parts(const std::string& id,
                    std::uint64_t part,
                    std::uint64_t parts,
                    std::function<void(bool)> done);
  void with_submission(batch_state& b, std::function<void(bool)> done);
  void read_part(const std::string& id, std::uint64_t part, std::string sofar);
  void end_read(const std::string& id, bool ok);

  // Ownership
  void own(batch_state& b, bool is_fresh);
  void load_tenure(const std::string& id);
  void begin_tenure(const std::string& id);
  void disown(batch_state& b, std::string_view why);
  bool take_chunk(const std::string& id, const store::object& o);
  void load_chunks(const std::string& id, std::function<void(bool)> done);
  void fence(const std::string& id, int tries, std::function<void(bool)> done);
  void ask_owners(std::uint64_t now);
  void take_over(batch_state& b, std::string_view why);
  void write_status(const std::string& id,
                    std::function<void(stored_batch&)> change,
                    std::function<void(store::call_result)> done,
                    int tries);

  void tell(const std::string& address,
            std::string_view path,
            const std::string& id);
  void doubt(batch_state& b, std::string_view why);
  void verify(batch_state& b);
  void note_alive(std::uint64_t now);
  void note_store(std::uint64_t now);

  // What owners tell each other
  engine_runs own_runs() const;
  std::set<std::string> other_owners() const;
  void tell_use(std::uint64_t now);

  // Runs
  void plan_soon();
  bool has_workspaces() const;
  std::uint64_t expected_ms(const batch_state& b,
                            const item_state& i,
                            double usual_event_ms) const;
  double usual_event_ms(const batch_state& b) const;
  void plan();
  bool launch(batch_state& b, item_state& i, std::uint32_t urgency);
  bool is_kept_out(const batch_state& b, const item_state& i);
  void tell_guard(const item_state& i, http::end_state end);
  void on_run_head(const std::string& id,
                   std::size_t at,
                   std::uint64_t run,
                   const http::head& h);
  void on_body(const std::string& id,
               std::size_t at,
               std::uint64_t run,
               std::string_view data);
  void on_run_end(const std::string& id,
                  std::size_t at,
                  std::uint64_t run,
                  http::end_state end);
  item_state* current_run(const std::string& id,
                          std::size_t at,
                          std::uint64_t run);
  void stop_run(item_state& i);
  void retry_item(batch_state& b,
                  item_state& i,
                  std::uint64_t pause,
                  std::string_view why);
  void on_text(batch_state& b, item_state& i);
  void want_score(const std::string& id, std::size_t at);
  void start_scores();
  bool is_suspect(const unscored_text& t);
  void score(const next_score& next);
  void release(const next_score& next);
  void end_score(const next_score& next, score_end end, std::size_t places);
  std::size_t places_of(const routes::route& r) const;
  void on_scored(const std::string& id,
                 std::size_t at,
                 edge::forward_outcome&& o);
  void finish_item(batch_state& b, item_state& i, item_result r);
  void leave_ended_lives();
  void watch_runs(batch_state& b, std::uint64_t now);
  void give_up_late(batch_state& b);
  void reuse_carried(batch_state& b);
  void remember(batch_state& b);

  // Kept text of running items
  void save_progress(batch_state& b, std::function<void()> done);
  void maybe_save(batch_state& b, std::uint64_t now);
  void load_progress(const std::string& id, std::function<void()> done);

  // Results
  void write_results(batch_state& b);
  void maybe_write(batch_state& b, std::uint64_t now);
  void read_back(const std::string& id, std::uint64_t chunk);
  void on_chunk(const std::string& id, stored_chunk chunk);
  void answer_readers(batch_state& b, std::uint64_t now);
  void answer_reader(const waiting_reader& r, batch_state& b);
  void respond_page(const http::call& c, batch_state& b, std::uint64_t after);
  void read_from_owner(const http::call& caller,
                       batch_state& b,
                       const edge::batch_request& r);
  void read_from_store(const http::call& caller, const edge::batch_request& r);

  // Ended batches
  void remove_expired(std::uint64_t now);
  void remove_chunk(const std::string& id, std::uint64_t chunk);
  void remove_rest(const std::string& id);
  void remove_head(const std::string& id);

  std::optional<std::string_view> owner_silence(const batch_state& b,
                                                std::uint64_t now);
  void tick();

  keeper_parts p;
  asio::steady_timer timer;
  std::unordered_map<std::string, std::unique_ptr<batch_state>> batches;
  // Submissions that this instance is accepting: it need not read them back.
  std::unordered_map<std::string, std::shared_ptr<detail::acceptance>>
    accepting;
  std::unordered_map<std::string, detail::carried_item> carried;
  // When an owner's address last answered, on the steady clock.
  std::map<std::string, std::uint64_t> owner_seen;
  std::map<std::string, std::uint64_t> owner_refused;
  // When it last said that it lives and reaches no store.
  std::map<std::string, std::uint64_t> owner_cut_off;
  std::map<std::string, bool> owner_asked;
  // Since when the store answers this instance; 0: it does not.
  std::uint64_t store_there_since_ms = 0;
  std::uint64_t last_ask = 0;
  // When this process last looked at the clock.
  std::uint64_t alive_ms = 0;
  std::uint64_t alive_wall_ms = 0;
  std::uint64_t last_expiry_look = 0;
  token_pace pace;
  use_of_others others;
  engine_runs told_runs;
  std::uint64_t told_ms = 0;
  score_queue unscored;
  score_limit scores;
  std::uint64_t next_run = 1;
  bool plan_posted = false;
  bool leaving = false;
};

} // namespace cactusford::batches
