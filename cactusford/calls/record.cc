#include "cactusford/calls/record.h"

#include <algorithm>

namespace cactusford::calls {

namespace {

// What an entry costs besides its key and body.
constexpr std::size_t entry_overhead = 160;

std::size_t
size_of(const std::string& key, const record_entry& e)
{
  const auto body = e.answer ? e.answer->body.size() : 0;
  return entry_overhead + 2 * key.size() + body;
}

decision
refuse(admission what, error_kind kind, std::string detail, std::uint32_t retry)
{
  return { what, { kind, std::move(detail), retry }, nullptr };
}

decision
repeat_of(const record_entry& e, const keyed_call& call)
{
  if (e.fingerprint != call.fingerprint) {
    return refuse(admission::refused,
                  error_kind::bad_request,
                  "idempotency key was used with another request",
                  0);
  }
  switch (e.state) {
    case entry_state::running:
      return { admission::running, {}, nullptr };
    case entry_state::answered:
      return { admission::answered, {}, e.answer };
    case entry_state::failed:
      break;
  }
  return refuse(admission::unknown,
                error_kind::outcome_unknown,
                "the call began and its answer was lost",
                0);
}

// A key outside these bounds cannot be told from one that ran elsewhere.
decision
judge_age(const record& r, const keyed_call& call, std::uint64_t now_ms)
{
  const auto skew = r.limits.max_skew_ms;
  if (call.issued_ms > now_ms + skew) {
    return refuse(admission::refused,
                  error_kind::bad_request,
                  "idempotency key is issued in the future",
                  0);
  }
  const auto oldest = now_ms - std::min(now_ms, r.limits.window_ms - skew);
  if (call.issued_ms < oldest) {
    return refuse(admission::unknown,
                  error_kind::outcome_unknown,
                  "idempotency key is older than the record keeps",
                  0);
  }
  // The caller's clock may run ahead by the skew, so that a key issued before
  // the tenure can bear a time up to that much after it.
  if (call.issued_ms < r.tenure_ms + skew) {
    return refuse(admission::unknown,
                  error_kind::outcome_unknown,
                  "the key was issued before this home took over",
                  0);
  }
  return { admission::run, {}, nullptr };
}

bool
is_full(const record& r)
{
  return r.entries.size() >= r.limits.max_entries ||
         r.bytes >= r.limits.max_bytes;
}

void
settle(record& r,
       const std::string& key,
       entry_state state,
       kept_answer_ptr answer)
{
  const auto found = r.entries.find(key);
  if (found == r.entries.end()) {
    return;
  }
  r.bytes -= size_of(key, found->second);
  found->second.state = state;
  found->second.answer = std::move(answer);
  r.bytes += size_of(key, found->second);
}

} // namespace

decision
admit(record& r, const keyed_call& call, std::uint64_t now_ms)
{
  expire(r, now_ms);
  const auto found = r.entries.find(call.key);
  if (found != r.entries.end()) {
    return repeat_of(found->second, call);
  }
  const auto aged = judge_age(r, call, now_ms);
  if (aged.what != admission::run) {
    return aged;
  }
  // Forgetting an entry early would let its repeat run again, a doubled
  // booking. New calls are refused instead; they truly do not run.
  if (is_full(r)) {
    return refuse(admission::refused,
                  error_kind::record_full,
                  "the record of non-idempotent calls is full",
                  1000);
  }
  record_entry e{
    entry_state::running, call.issued_ms, call.fingerprint, nullptr
  };
  r.bytes += size_of(call.key, e);
  r.entries.emplace(call.key, std::move(e));
  r.order.push_back(call.key);
  return aged;
}

void
answered(record& r, const std::string& key, kept_answer_ptr answer)
{
  settle(r, key, entry_state::answered, std::move(answer));
}

void
failed(record& r, const std::string& key)
{
  settle(r, key, entry_state::failed, nullptr);
}

void
withdraw(record& r, const std::string& key)
{
  const auto found = r.entries.find(key);
  if (found != r.entries.end()) {
    r.bytes -= size_of(key, found->second);
    r.entries.erase(found);
  }
}

void
import_key(record& r, const keyed_call& call, kept_answer_ptr answer)
{
  if (r.entries.contains(call.key)) {
    return;
  }
  record_entry e{ answer ? entry_state::answered : entry_state::failed,
                  call.issued_ms,
                  call.fingerprint,
                  std::move(answer) };
  r.bytes += size_of(call.key, e);
  r.entries.emplace(call.key, std::move(e));
  r.order.push_back(call.key);
}

void
expire(record& r, std::uint64_t now_ms)
{
  // An entry stays until its key is refused by age, even when it came late.
  while (!r.order.empty()) {
    const auto found = r.entries.find(r.order.front());
    if (found == r.entries.end()) {
      r.order.pop_front();
      continue;
    }
    const auto& e = found->second;
    const bool young = e.issued_ms + r.limits.window_ms > now_ms;
    if (young || e.state == entry_state::running) {
      return;
    }
    r.bytes -= size_of(found->first, e);
    r.entries.erase(found);
    r.order.pop_front();
  }
}

} // namespace cactusford::calls
