// What an instance holds of a batch while it runs.
#pragma once

#include "cactusford/backends/registry.h"
#include "cactusford/batches/batch.h"
#include "cactusford/batches/event_reader.h"
#include "cactusford/batches/ledger.h"
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
  // Answers of 500, of engines and of the scorer.
  std::uint32_t failed_runs = 0;
  std::uint32_t failed_scores = 0;
  std::uint64_t not_before_ms = 0;
  // The engine that just failed it.
  std::string not_on;
  // What it asks for, whatever its id; set by its first run.
  quarantine::fingerprint work;

  // The present run.
  std::uint64_t run = 0;
  backends::incarnation backend;
  std::string address;
  http::pending sent;
  event_reader reader{ "" };
  int status = 0;
  bool not_run = false;
  std::uint64_t started_ms = 0;
  std::uint64_t first_event_ms = 0;
  std::uint64_t last_event_ms = 0;
  std::uint64_t events_in_run = 0;

  // The scorer's call.
  std::uint32_t score_tries = 0;
  std::uint64_t score_again_ms = 0;
  std::function<void()> cancel_score;
};

struct waiting_reader
{
  http::call caller;
  std::uint64_t after = 0;
  std::uint64_t until_ms = 0;
};

// Text of an item whose batch has ended.
struct carried_item
{
  item_text text;
  bool whole = false;
};

struct batch_state
{
  // Fills in the submission.
  void set(submission s, const std::string& version_line);

  // Drops the submission and its items: nothing is run any more.
  void release();

  // Not ended, and something may be left to do.
  bool is_open() const;

  // Marks the items that are listed as finished and stops nothing.
  void drop_listed();

  // Counts the items without a result anew.
  void recount();

  // Groups of which all items have a result.
  std::size_t whole_groups() const;

  // An item has its result; notes whether its group is whole by that.
  void note_finished(std::size_t index, std::uint64_t now_ms);

  const item* find_item(const std::string& id) const;

  stored_batch stored;
  bool has_submission = false;
  // Called when the submission has been read, or could not be.
  std::vector<std::function<void(bool)>> want_submission;
  batches::submission submission;
  std::vector<item_state> items;
  std::unordered_map<std::string, std::size_t> index_of;
  // Of each group, the items without a result.
  std::map<std::string, std::size_t> missing;
  batches::ledger ledger;
  std::vector<waiting_reader> readers;
  // This instance owns it, and has read all chunks.
  bool owned = false;
  bool loaded = false;
  bool load_again = false;
  // It ended while this instance owned it and knew all its chunks: nothing is
  // listed any more.
  bool complete = false;
  // Somebody else may own it by now; until the store has been asked, nobody is
  // told that there is nothing more.
  bool doubted = false;
  bool verifying = false;
  bool taking_over = false;
  bool removing = false;
  bool group_became_whole = false;
  // Revision at which this instance became the owner.
  std::uint64_t epoch = 0;
  // On the steady clock.
  std::uint64_t due_ms = 0;
  // When a group became whole that is not yet written.
  std::uint64_t whole_since_ms = 0;
  // The kept text of running items: when it was last written, and whether it
  // stands in the store.
  std::uint64_t saved_ms = 0;
  bool saving = false;
  bool has_saved = false;
  std::uint64_t owner_since_ms = 0;
  std::uint64_t write_again_ms = 0;
  std::uint64_t looked_ms = 0;
};

} // namespace cactusford::batches::detail
