// Implementation class of the batch manager, shared by its source files.
#pragma once

#include "cactusford/batches/engine_shares.h"
#include "cactusford/batches/engine_use.h"
#include "cactusford/batches/handover.h"
#include "cactusford/batches/home_placement.h"
#include "cactusford/batches/manager.h"
#include "cactusford/batches/placement.h"
#include "cactusford/batches/progress.h"
#include "cactusford/batches/reusable_texts.h"
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

// Retry delay sent to a refused caller. The store usually answers again within
// a second.
constexpr std::string_view retry_after_s = "0.5";

// Delays before an item or a write is retried.
constexpr std::uint64_t refused_pause_ms = 60;
constexpr std::uint64_t failed_pause_ms = 100;

http::response
answer(int status, std::string body = {});

// Returns true if the workspace may read the batch, end it and get the bodies
// of its items. For any other workspace the batch does not exist.
bool
is_accessible_to(const stored_batch& b, const std::string& workspace);

// Returns a 503 response with a retry delay. Nothing has been executed.
http::response
retry_later(const edge::dialect& d);

namespace detail {

enum class handover_stage
{
  // Goes on with the batch.
  running,
  // The successor has been asked.
  sent,
  // The successor goes on; the store doesn't name it yet.
  confirming,
  // The successor is being written to the store.
  writing,
};

// A batch that this instance hands over because it is shutting down.
struct leaving_batch
{
  handover_stage stage = handover_stage::running;
  membership::member successor;
  // Entries that refused the batch.
  std::set<std::string> refused;
  std::uint64_t sends = 0;
  std::uint64_t since_ms = 0;
};

// A batch that is being written to the store.
struct pending_submission
{
  http::call caller;
  std::string id;
  // The submission as it was sent; `parts` refers to it.
  std::string body;
  std::shared_ptr<const void> body_memory;
  batches::submission submission;
  submission_memory memory;
  stored_batch stored;
  std::vector<std::string_view> parts;
  std::uint64_t next_part = 0;
  // When the caller gives up, on the steady clock.
  std::uint64_t give_up_ms = 0;
  // A write of the batch object got no answer: it may have been applied, or may
  // still be applied later.
  bool write_unknown = false;
  // Entries that were chosen as the owner and take no batches.
  std::set<std::string> refused;
};

} // namespace detail

// Collects all that a successor can't read from the store yet.
progress
collect_progress(const batch_state& b);

struct manager::impl : std::enable_shared_from_this<manager::impl>
{
  explicit impl(manager_dependencies dependencies)
    : deps{ std::move(dependencies) }
    , timer{ deps.io }
    , sharing_timer{ deps.io }
    , warm_up_timer{ deps.io }
  {
  }

  // Batches known from the store
  batch_state* find_batch(const std::string& id);
  batch_state* apply_stored_batch(const store::object& o);
  void add_owner_as_relay(const batch_state& b);
  // `is_fresh`: the batch was just created, so no results can be listed yet.
  void own_if_assigned(batch_state& b, bool is_fresh);
  void update(batch_state& b, stored_batch&& s);
  void close(batch_state& b);
  void forget(const std::string& id);
  std::shared_ptr<const routes::route> route_to(const std::string& host,
                                                const std::string& path) const;
  std::uint64_t due_of(const batch_state& b) const;
  void lookup(const std::string& id, std::function<void(batch_state*, bool)>);

  // Home regions
  data_centres::home_regions homes_of(const stored_batch& b) const;
  bool may_own(const stored_batch& b) const;
  bool is_restricted(const std::string& id);
  std::string_view home_refusal(const stored_batch& b) const;
  void release_to_successor(batch_state& b, std::function<void()> done);
  void release_outside_homes(batch_state& b);

  // Submissions
  void write_parts(const std::shared_ptr<detail::pending_submission>& pending);
  void write_batch_object(
    const std::shared_ptr<detail::pending_submission>& pending);
  void on_batch_object_written(
    const std::shared_ptr<detail::pending_submission>& pending,
    const store::reply& r);
  void retry_acceptance(
    const std::shared_ptr<detail::pending_submission>& pending,
    void (impl::*step)(const std::shared_ptr<detail::pending_submission>&));
  void refuse(const detail::pending_submission& pending);
  void refuse_for_memory(const detail::pending_submission& pending,
                         parsing_room room);
  membership::member this_member() const;
  placement_view placement_view_for(const stored_batch& batch);
  void add_data_centre_rules(placement_view& view) const;
  void place_submission(
    const std::shared_ptr<detail::pending_submission>& pending);
  void forward_submission(
    const std::shared_ptr<detail::pending_submission>& pending,
    const membership::member& to);
  void accept_locally(
    const std::shared_ptr<detail::pending_submission>& pending);
  void remove_orphaned_parts(const std::string& id, std::uint64_t parts);
  void remove_parts(const std::string& id,
                    std::uint64_t part,
                    std::uint64_t parts,
                    std::function<void(bool)> done);
  void load_submission(batch_state& b, std::function<void(bool)> done);
  void read_part(const std::string& id,
                 std::uint64_t part,
                 std::string collected);
  bool take_memory_of_read(batch_state& b, std::string_view text);
  void finish_submission_read(const std::string& id, bool ok);

  // Ownership
  void take_ownership(batch_state& b, bool is_fresh);
  void load_owned_batch(batch_state& b);
  void activate_owned_batch(const std::string& id);
  void stop_work(batch_state& b);
  void drop_ownership(batch_state& b, std::string_view reason);
  bool adopt_if_next_chunk(const std::string& id, const store::object& o);
  void load_chunks(const std::string& id, std::function<void(bool)> done);
  void fence(const std::string& id, int tries, std::function<void(bool)> done);
  void update_standby(std::uint64_t now);
  void probe_owners(std::uint64_t now);
  void take_over(batch_state& b, std::string_view reason);
  void write_status(const std::string& id,
                    std::function<void(stored_batch&)> change,
                    std::function<void(store::call_result)> done,
                    int tries);

  void notify_peer(const std::string& address,
                   std::string_view path,
                   const std::string& id);
  void mark_unconfirmed(batch_state& b, std::string_view reason);
  void confirm_owner(batch_state& b);
  void check_for_pause(std::uint64_t now);
  void track_store(std::uint64_t now);

  // Handing batches over at shutdown
  void leave(std::function<void()> done);
  void continue_leaving(std::uint64_t now);
  std::optional<membership::member> successor_of(const std::string& id);
  void hand_over(const std::string& id);
  void hand_over_through_store(const std::string& id);
  void write_successor(const std::string& id);
  void send_handover(const std::string& id, http::request r);
  void on_handover_answered(const std::string& id,
                            http::exchange_outcome end,
                            int status);
  int accept_handover(handover&& h);
  void apply_handover(batch_state& b, handover&& h);
  void confirm_handover(batch_state& b);
  void on_handover_confirmed(batch_state& b);
  void fence_handed_over(batch_state& b);
  void resume_listing(batch_state& b);

  // Engine usage reports between owners
  engine_runs own_runs() const;
  pinned_engines own_pins(std::uint64_t now) const;
  std::set<std::string> other_owners(std::uint64_t now) const;
  void report_engine_usage(std::uint64_t now, bool at_once = false);

  // Engine slots shared with other owners
  std::map<std::string, own_use> own_uses(std::uint64_t now) const;
  demand_by_service own_demand(std::uint64_t now) const;
  std::map<std::string, std::vector<listed_owner>> listed_owners() const;
  void note_new_batches(std::uint64_t now);
  void update_sharing(std::uint64_t now);
  void report_demand_change(std::uint64_t now);
  service_sharing* sharing_of(std::string_view service);
  void restrict_to_share(backends::item_needs& needs, std::uint64_t now);
  void on_run_started(std::string_view service,
                      const backends::backend& engine);
  bool has_active_sibling(const batch_state& b,
                          const item_state& i,
                          std::uint64_t silence_limit,
                          std::uint64_t now) const;
  bool check_silent_run(batch_state& b,
                        item_state& i,
                        backends::backend& backend,
                        std::uint64_t silence_limit,
                        std::uint64_t now);

  // Cold engines
  void update_warm_up_senders(std::uint64_t now);
  void note_held(const backends::item_needs& needs, std::uint64_t now);
  void schedule_warm_up_dispatch(std::uint64_t now);

  // Runs
  void schedule_dispatch();
  bool has_workspaces() const;
  std::uint64_t expected_ms(const batch_state& b,
                            const item_state& i,
                            double typical_event_gap_ms) const;
  double typical_event_gap_ms(const batch_state& b) const;
  void note_run_events(item_state& i,
                       backends::backend& b,
                       std::uint64_t events,
                       std::uint64_t now);
  backends::run_outlook outlook_of(const batch_state& b,
                                   const item_state& i,
                                   double event_gap_ms) const;
  double gap_of_run_ms(const item_state& i, double typical_ms) const;
  void dispatch();
  backends::backend* choose_engine(const backends::item_needs& needs,
                                   bool single_version,
                                   std::uint64_t now);
  bool start_run(batch_state& b,
                 item_state& i,
                 std::uint32_t urgency,
                 std::uint64_t expected_ms);
  std::uint64_t silence_of(const item_state& i,
                           const backends::backend& backend,
                           std::uint64_t now) const;
  bool is_paused(const batch_state& b, item_state& i);
  void report_to_quarantine(const item_state& i, http::exchange_outcome end);
  void on_run_head(const std::string& id,
                   std::size_t at,
                   std::uint64_t run,
                   const http::head& h);
  version_rule version_rule_of(const batch_state& b) const;
  void on_version_changed(batch_state& b, item_state& i);
  void on_broken_events(batch_state& b, item_state& i, std::uint64_t event);
  void on_body(const std::string& id,
               std::size_t at,
               std::uint64_t run,
               std::string_view data);
  void on_run_end(const std::string& id,
                  std::size_t at,
                  std::uint64_t run,
                  http::exchange_outcome end);
  item_state* current_run(const std::string& id,
                          std::size_t at,
                          std::uint64_t run);
  void stop_run(item_state& i);
  bool is_stranded(const item_state& i) const;
  void leave_unreachable_engine(batch_state& b, item_state& i);
  void note_answer(const backends::backend& b);
  void note_run_failure(const item_state& i,
                        const backends::backend& b,
                        http::exchange_outcome end);
  void note_silent_run(const item_state& i,
                       const backends::backend& b,
                       std::uint64_t now);
  void report_reachability_change(bool has_changed);
  void retry_item(batch_state& b,
                  item_state& i,
                  std::uint64_t pause,
                  std::string_view reason);
  void on_text_complete(batch_state& b, item_state& i);
  void queue_score(const std::string& id, std::size_t at);
  void start_queued_scores();
  bool is_suspect(const unscored_text& t);
  void start_score_call(const next_score& next);
  void release_suspect(const next_score& next);
  void end_score_call(const next_score& next, score_end end, std::size_t slots);
  std::size_t slots_of(const routes::route& r,
                       const data_centres::home_regions& homes) const;
  void on_scored(const std::string& id,
                 std::size_t at,
                 edge::forward_outcome&& o);
  void reject_item(batch_state& b, item_state& i);
  void finish_item(batch_state& b, item_state& i, item_result r);
  void restart_runs_of_ended_incarnations();
  void check_runs(batch_state& b, std::uint64_t now);
  void give_up_expired_items(batch_state& b);
  void reuse_saved_texts(batch_state& b);
  void save_texts_for_reuse(batch_state& b);

  // What is known of the items and not listed
  std::size_t apply_progress(batch_state& b, progress&& p);
  void score_complete_texts(batch_state& b);
  void save_progress(batch_state& b,
                     bool is_handing_over,
                     std::function<void()> done);
  void save_progress_if_due(batch_state& b, std::uint64_t now);
  void load_progress(const std::string& id, std::function<void()> done);

  // Results
  void write_results(batch_state& b);
  void write_results_if_due(batch_state& b, std::uint64_t now);
  void resolve_unknown_write(const std::string& id, std::uint64_t chunk);
  void on_chunk(const std::string& id, stored_chunk chunk);
  void answer_readers(batch_state& b, std::uint64_t now);
  void answer_reader(const waiting_reader& r, batch_state& b);
  void respond_page(const http::call& c, batch_state& b, std::uint64_t after);
  void read_from_owner(const http::call& caller,
                       batch_state& b,
                       const edge::batch_request& r);
  void read_from_store(const http::call& caller, const edge::batch_request& r);

  // Removal of ended batches
  void remove_expired(std::uint64_t now);
  void remove_chunk(const std::string& id, std::uint64_t chunk);
  void remove_progress_and_parts(const std::string& id);
  void remove_batch_object(const std::string& id);

  std::optional<std::string_view> takeover_reason(const batch_state& b,
                                                  std::uint64_t now);
  void tick();

  manager_dependencies deps;
  asio::steady_timer timer;
  // Ends when the shares no longer rest on assumptions after a new batch.
  asio::steady_timer sharing_timer;
  // Ends when the budget of a cold engine returns for which items wait.
  asio::steady_timer warm_up_timer;
  std::unordered_map<std::string, std::unique_ptr<batch_state>> batches;
  // Submissions that this instance is accepting; it does not need to read them
  // back from the store.
  std::unordered_map<std::string, std::shared_ptr<detail::pending_submission>>
    accepting;
  batches::reusable_texts reusable;
  // When the owner at an address last answered, on the steady clock.
  bool is_standby = true;
  std::uint64_t standby_since_ms = 0;
  membership::probe_schedule probes = membership::schedule_of(true);
  std::map<std::string, std::uint64_t> owner_seen_at_ms;
  std::map<std::string, std::uint64_t> owner_refused_at_ms;
  // When the owner last answered that it is alive but cannot reach the store.
  std::map<std::string, std::uint64_t> owner_cut_off_at_ms;
  std::map<std::string, bool> owner_probe_pending;
  // Since when the store has been answering this instance; 0 while it does not.
  std::uint64_t store_reachable_since_ms = 0;
  std::uint64_t last_probe_ms = 0;
  // The last check of runs came late, as this process was held up.
  bool is_tick_late = false;
  std::uint64_t last_tick_ms = 0;
  std::uint64_t runs_moved_unreachable = 0;
  // When this process last read the clocks, to detect that it was paused.
  std::uint64_t last_clock_ms = 0;
  std::uint64_t last_wall_clock_ms = 0;
  std::uint64_t last_expiry_check_ms = 0;
  token_pace pace;
  peer_engine_usage peer_usage;
  engine_runs reported_runs;
  bool has_reported_pins = false;
  demand_by_service reported_demand;
  // By engine service.
  std::map<std::string, service_sharing, std::less<>> sharing;
  bool has_new_batch = false;
  std::uint64_t shares_logged_ms = 0;
  // The earliest budget that an item of this dispatch waits for; 0 for none.
  std::uint64_t budget_returns_ms = 0;
  std::uint64_t held_warm_up = 0;
  std::uint64_t runs_waiting = 0;
  std::uint64_t runs_moved_waiting = 0;
  std::uint64_t runs_moved_stalled = 0;
  std::uint64_t last_report_ms = 0;
  score_queue unscored;
  score_limit score_limiter;
  routes::yielding_routes yielding;
  std::uint64_t next_run = 1;
  bool dispatch_scheduled = false;
  bool leaving = false;
  // Since when, and what has to be handed over before `on_left` is called.
  std::uint64_t leaving_since_ms = 0;
  std::map<std::string, detail::leaving_batch> leaving_batches;
  std::function<void()> on_left;
};

} // namespace cactusford::batches
