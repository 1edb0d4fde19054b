// The at-most-once record of a home: what became of each idempotency key.
// Pure; times are milliseconds since 1970. See docs/AT-MOST-ONCE.md.
#pragma once

#include "cactusford/error.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace cactusford::calls {

struct kept_answer
{
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

using kept_answer_ptr = std::shared_ptr<const kept_answer>;

struct record_limits
{
  std::size_t max_entries = 100000;
  std::size_t max_bytes = 64U << 20;
  // How long an entry stays; an older key is refused by its issue time.
  std::uint64_t window_ms = 600000;
  // Callers' clocks are no further off than this.
  std::uint64_t max_skew_ms = 2000;

  friend bool operator==(const record_limits&, const record_limits&) = default;
};

enum class admission
{
  // First sight: run it. The entry is in the record.
  run,
  // It runs now: wait for its answer.
  running,
  // It ran: hand out the kept answer.
  answered,
  // It did not run now, and says when to come back.
  refused,
  // It may have run, here or at an earlier home.
  unknown,
};

struct decision
{
  admission what = admission::unknown;
  failure why;
  kept_answer_ptr answer;
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
  // Other bytes under the same key are a caller's mistake.
  std::uint64_t fingerprint = 0;
  kept_answer_ptr answer;
};

struct record
{
  record_limits limits;
  // Keys issued before this moment may have run at an earlier home.
  std::uint64_t tenure_ms = 0;
  std::unordered_map<std::string, record_entry> entries;
  // In the order of arrival, for expiry.
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

decision
admit(record& r, const keyed_call& call, std::uint64_t now_ms);

// The call that `admit` let run has answered.
void
answered(record& r, const std::string& key, kept_answer_ptr answer);

// It began and its answer was lost: every repeat is told "unknown".
void
failed(record& r, const std::string& key);

// It was admitted but never began, so that a repeat may run. An attempt comes
// over one stream only: no late copy of it can arrive behind the refusal.
void
withdraw(record& r, const std::string& key);

// A key that an earlier home ran, with its answer or of unknown outcome. It is
// taken even by a full record: the alternative is to forget that it ran.
void
import_key(record& r, const keyed_call& call, kept_answer_ptr answer);

// Entries whose window has passed. A key is refused by age from then on.
void
expire(record& r, std::uint64_t now_ms);

} // namespace cactusford::calls
