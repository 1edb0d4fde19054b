// The in-memory state of a batch and its items.
#pragma once

#include "cactusford/backends/run_moves.h"
#include "cactusford/batches/batch.h"
#include "cactusford/batches/event_reader.h"
#include "cactusford/batches/ledger.h"
#include "cactusford/batches/progress.h"
#include "cactusford/batches/submission_memory.h"
#include "cactusford/http/client.h"
#include "cactusford/http/server.h"
#include "cactusford/quarantine/fingerprint.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusford::batches::detail {

enum class item_stage
{
  waiting,
  running,
  scoring,
  finished,
};

struct item_state
{
  std::size_t index = 0;
  item_stage stage = item_stage::waiting;
  item_text text;
  std::uint32_t tries = 0;
  // Number of 500 responses from engines and from the scorer.
  std::uint32_t failed_runs = 0;
  std::uint32_t failed_scores = 0;
  std::uint64_t not_before_ms = 0;
  // The engine on which the item's last run failed.
  std::string failed_on;
  // Fingerprint of the item's request, independent of its id; set by the first
  // run.
  quarantine::fingerprint work;

  // The current run.
  std::uint64_t run = 0;
  backends::incarnation backend;
  std::string address;
  http::pending_request pending;
  event_reader reader{ "" };
  int status = 0;
  bool not_run = false;
  // The weight version that generates the next event of the run.
  std::uint64_t version = 0;
  std::uint64_t started_ms = 0;
  std::uint64_t first_event_ms = 0;
  std::uint64_t last_event_ms = 0;
  std::uint64_t events_in_run = 0;
  backends::gap_window gaps;
  backends::move_history moves;

  // The scorer call.
  std::uint32_t score_tries = 0;
  std::uint64_t score_retry_at_ms = 0;
  std::function<void()> cancel_score;
};

struct waiting_reader
{
  http::call caller;
  std::uint64_t after = 0;
  std::uint64_t until_ms = 0;
};

struct batch_state
{
  // Stores the submission and creates the states of its items.
  void set(submission s, const std::string& version_line);

  // Drops the submission and its items; none of them can run any more.
  void drop_submission();

  // Returns true if the batch has not ended.
  bool is_open() const;

  // Marks waiting items that have a listed result as finished. Does not stop
  // any runs.
  void mark_listed_finished();

  // Recalculates the number of unfinished items of each group.
  void recount_unfinished();

  // Returns the number of groups in which every item has a result.
  std::size_t complete_groups() const;

  // Called when an item has its result; records whether that completes its
  // group.
  void on_item_finished(std::size_t index, std::uint64_t now_ms);

  const item* find_item(const std::string& id) const;

  stored_batch stored;
  bool has_submission = false;
  // What the submission takes from the budget of the process.
  submission_memory memory;
  // Called with true when the submission has been read, or with false if that
  // failed.
  std::vector<std::function<void(bool)>> submission_waiters;
  batches::submission submission;
  std::vector<item_state> items;
  std::unordered_map<std::string, std::size_t> index_of;
  // Number of items without a result, by group.
  std::map<std::string, std::size_t> unfinished_by_group;
  batches::ledger ledger;
  std::vector<waiting_reader> readers;
  // This instance owns the batch; and it has read all of its chunks.
  bool owned = false;
  bool loaded = false;
  bool load_retry_needed = false;
  // The items count for this instance's demand for engines.
  bool has_demand = false;
  // The batch ended while this instance owned it and knew all of its chunks, so
  // no more results will be listed.
  bool complete = false;
  // Another instance may own the batch by now. Until the store has confirmed
  // the owner, no reader is told that there are no more results.
  bool owner_unconfirmed = false;
  bool confirming_owner = false;
  bool taking_over = false;
  // This instance is shutting down, but goes on with the batch until it hands
  // it over.
  bool runs_until_handover = false;
  // The successor has confirmed that it goes on with the batch. Until the store
  // names it, this instance remains the owner but neither runs items nor lists
  // results.
  bool handed_over = false;
  // This instance goes on with the batch on the word of this owner, which the
  // store may still name. Empty otherwise.
  std::string handed_over_by;
  // No result may be listed: the store doesn't name this instance as the owner
  // yet, or the fence isn't stored.
  bool listing_paused = false;
  bool removing = false;
  bool group_completed = false;
  // A server's answer has ended an item whose result is not being written yet.
  bool has_rejected_item = false;
  // Revision of the batch object at which this instance became the owner.
  std::uint64_t epoch = 0;
  // On the steady clock.
  std::uint64_t due_ms = 0;
  // When the oldest complete group that is not yet written was completed.
  std::uint64_t group_completed_ms = 0;
  // The saved progress: when it was last written, whether a write is in
  // progress, and whether the object exists in the store.
  std::uint64_t last_save_ms = 0;
  bool saving = false;
  bool has_stored_progress = false;
  // The failed attempts that it contains.
  failures_by_item saved_failures;
  std::uint64_t owner_since_ms = 0;
  std::uint64_t next_write_ms = 0;
  // When the last results were written because of a rejected item.
  std::uint64_t rejections_written_ms = 0;
  std::uint64_t chunks_checked_ms = 0;
  // When this instance last began to write itself as the owner of a batch that
  // was handed to it.
  std::uint64_t confirm_started_ms = 0;
};

} // namespace cactusford::batches::detail
