// The at-most-once record of a home: the state of each idempotency key. Does no
// I/O and reads no clock; times are milliseconds since 1970. See
// docs/AT-MOST-ONCE.md.
#pragma once

#include "cactusford/error.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace cactusford::calls {

struct stored_answer
{
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

using stored_answer_ptr = std::shared_ptr<const stored_answer>;

struct record_limits
{
  std::size_t max_entries = 100000;
  std::size_t max_bytes = 64U << 20;
  // How long an entry is kept; older keys are refused by their issue time.
  std::uint64_t window_ms = 600000;
  // Maximum error of the callers' clocks.
  std::uint64_t max_skew_ms = 2000;

  friend bool operator==(const record_limits&, const record_limits&) = default;
};

enum class admit_outcome
{
  // The key is new: run the call. It has been added to the record.
  run,
  // The call is running: wait for its answer.
  running,
  // The call has completed: send the stored answer.
  answered,
  // The call was not run; the error says when to retry.
  refused,
  // The call may have run, here or at an earlier home.
  unknown,
};

struct admit_result
{
  admit_outcome outcome = admit_outcome::unknown;
  failure error;
  stored_answer_ptr answer;
};

enum class entry_state
{
  running,
  answered,
  failed,
};

struct record_entry
{
  entry_state state = entry_state::running;
  std::uint64_t issued_ms = 0;
  // Hash of the request. A different request with the same key is a caller's
  // mistake.
  std::uint64_t fingerprint = 0;
  stored_answer_ptr answer;
};

struct idempotency_record
{
  record_limits limits;
  // Keys issued before this time may have run at an earlier home.
  std::uint64_t owned_since_ms = 0;
  std::unordered_map<std::string, record_entry> entries;
  // Keys in order of arrival, for expiry.
  std::deque<std::string> order;
  std::size_t bytes = 0;
};

struct keyed_call
{
  std::string key;
  std::uint64_t issued_ms = 0;
  std::uint64_t fingerprint = 0;

  friend bool operator==(const keyed_call&, const keyed_call&) = default;
};

admit_result
admit(idempotency_record& record, const keyed_call& call, std::uint64_t now_ms);

// Stores the answer of a call that `admit` let run.
void
store_answer(idempotency_record& record,
             const std::string& key,
             stored_answer_ptr answer);

// The call began and its answer was lost: every repeat gets `unknown`.
void
mark_failed(idempotency_record& record, const std::string& key);

// Removes a call that was admitted but never began, so that a repeat may run.
// Each attempt uses a single stream, so no delayed copy of it can arrive after
// the refusal.
void
withdraw(idempotency_record& record, const std::string& key);

// Adds a key that ran at an earlier home, with its answer or, without one, as
// of unknown outcome. It is added even to a full record, as the home would
// otherwise forget that the key ran.
void
import_key(idempotency_record& record,
           const keyed_call& call,
           stored_answer_ptr answer);

// Removes entries whose window has passed. From then on their keys are refused
// by age.
void
expire(idempotency_record& record, std::uint64_t now_ms);

} // namespace cactusford::calls
