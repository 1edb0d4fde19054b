#include "cactusford/calls/record.h"

#include <algorithm>

namespace cactusford::calls {

namespace {

// Estimated memory per entry besides its key and body.
constexpr std::size_t entry_overhead = 160;

std::size_t
size_of(const std::string& key, const record_entry& e)
{
  const auto body = e.answer ? e.answer->body.size() : 0;
  return entry_overhead + 2 * key.size() + body;
}

admit_result
refuse(admit_outcome outcome,
       error_kind kind,
       std::string detail,
       std::uint32_t retry)
{
  return { outcome, { kind, std::move(detail), retry }, nullptr };
}

admit_result
resolve_repeat(const record_entry& e, const keyed_call& call)
{
  if (e.fingerprint != call.fingerprint) {
    return refuse(admit_outcome::refused,
                  error_kind::bad_request,
                  "idempotency key was used with another request",
                  0);
  }
  switch (e.state) {
    case entry_state::running:
      return { admit_outcome::running, {}, nullptr };
    case entry_state::answered:
      return { admit_outcome::answered, {}, e.answer };
    case entry_state::failed:
      break;
  }
  return refuse(admit_outcome::unknown,
                error_kind::outcome_unknown,
                "the call began and its answer was lost",
                0);
}

// A key outside these bounds cannot be distinguished from one that ran
// elsewhere.
admit_result
check_age(const idempotency_record& record,
          const keyed_call& call,
          std::uint64_t now_ms)
{
  const auto skew = record.limits.max_skew_ms;
  if (call.issued_ms > now_ms + skew) {
    return refuse(admit_outcome::refused,
                  error_kind::bad_request,
                  "idempotency key is issued in the future",
                  0);
  }
  const auto oldest = now_ms - std::min(now_ms, record.limits.window_ms - skew);
  if (call.issued_ms < oldest) {
    return refuse(admit_outcome::unknown,
                  error_kind::outcome_unknown,
                  "idempotency key is older than the record keeps",
                  0);
  }
  // The caller's clock may run ahead by the skew, so a key issued before the
  // ownership time can carry a timestamp up to that much later.
  if (call.issued_ms < record.owned_since_ms + skew) {
    return refuse(admit_outcome::unknown,
                  error_kind::outcome_unknown,
                  "the key was issued before this home took over",
                  0);
  }
  return { admit_outcome::run, {}, nullptr };
}

bool
is_full(const idempotency_record& record)
{
  return record.entries.size() >= record.limits.max_entries ||
         record.bytes >= record.limits.max_bytes;
}

void
set_outcome(idempotency_record& record,
            const std::string& key,
            entry_state state,
            stored_answer_ptr answer)
{
  const auto found = record.entries.find(key);
  if (found == record.entries.end()) {
    return;
  }
  record.bytes -= size_of(key, found->second);
  found->second.state = state;
  found->second.answer = std::move(answer);
  record.bytes += size_of(key, found->second);
}

} // namespace

admit_result
admit(idempotency_record& record, const keyed_call& call, std::uint64_t now_ms)
{
  expire(record, now_ms);
  const auto found = record.entries.find(call.key);
  if (found != record.entries.end()) {
    return resolve_repeat(found->second, call);
  }
  const auto age_check = check_age(record, call, now_ms);
  if (age_check.outcome != admit_outcome::run) {
    return age_check;
  }
  // Evicting an entry early would let its repeat run again and book twice. New
  // calls are refused instead, and are truly not run.
  if (is_full(record)) {
    return refuse(admit_outcome::refused,
                  error_kind::record_full,
                  "the record of non-idempotent calls is full",
                  1000);
  }
  record_entry e{
    entry_state::running, call.issued_ms, call.fingerprint, nullptr
  };
  record.bytes += size_of(call.key, e);
  record.entries.emplace(call.key, std::move(e));
  record.order.push_back(call.key);
  return age_check;
}

void
store_answer(idempotency_record& record,
             const std::string& key,
             stored_answer_ptr answer)
{
  set_outcome(record, key, entry_state::answered, std::move(answer));
}

void
mark_failed(idempotency_record& record, const std::string& key)
{
  set_outcome(record, key, entry_state::failed, nullptr);
}

void
withdraw(idempotency_record& record, const std::string& key)
{
  const auto found = record.entries.find(key);
  if (found != record.entries.end()) {
    record.bytes -= size_of(key, found->second);
    record.entries.erase(found);
  }
}

void
import_key(idempotency_record& record,
           const keyed_call& call,
           stored_answer_ptr answer)
{
  if (record.entries.contains(call.key)) {
    return;
  }
  record_entry e{ answer ? entry_state::answered : entry_state::failed,
                  call.issued_ms,
                  call.fingerprint,
                  std::move(answer) };
  record.bytes += size_of(call.key, e);
  record.entries.emplace(call.key, std::move(e));
  record.order.push_back(call.key);
}

void
expire(idempotency_record& record, std::uint64_t now_ms)
{
  // An entry stays until its key is refused by age, even when the call arrived
  // long after the key was issued.
  while (!record.order.empty()) {
    const auto found = record.entries.find(record.order.front());
    if (found == record.entries.end()) {
      record.order.pop_front();
      continue;
    }
    const auto& e = found->second;
    const bool is_in_window = e.issued_ms + record.limits.window_ms > now_ms;
    if (is_in_window || e.state == entry_state::running) {
      return;
    }
    record.bytes -= size_of(found->first, e);
    record.entries.erase(found);
    record.order.pop_front();
  }
}

} // namespace cactusford::calls
