#include "cactusford/batches/manager_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/store/fields.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cactusford::batches {

namespace {

using detail::handover_stage;

// Timeouts of the message to the successor: it holds some hundred kilobytes of
// items and texts.
constexpr std::uint64_t send_timeout_ms = 1000;
constexpr std::uint64_t send_connect_timeout_ms = 250;

// How often the message is sent to entries that can't be reached or don't
// answer before the batch is handed over through the store alone.
constexpr std::uint64_t max_sends = 3;

// How long the successor may take to be named by the store before the leaving
// owner writes it itself.
constexpr std::uint64_t confirmation_timeout_ms = 1000;

// How often a successor tries to write itself as the owner.
constexpr std::uint64_t confirm_interval_ms = 300;

// 409: the batch has ended or belongs to another entry. 421: the instance takes
// no batches.
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;

// Collects all that the successor can't read from the store yet. A result whose
// write is in progress may be listed already: the successor then finds it there
// before it lists its own.
handover
collect_handover(const batch_state& b)
{
  handover h;
  h.stored = b.stored;
  h.submission = b.submission;
  for (const auto& r : b.ledger.listed) {
    h.listed.push_back(r.id);
  }
  h.progress = collect_progress(b);
  return h;
}

// Text that is not valid UTF-8 can't be sent as JSON.
std::optional<std::string>
serialize(const handover& h)
{
  try {
    return encode_handover(h).dump();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

void
set_owner(stored_batch& s, const membership::member& m)
{
  s.owner = m.instance;
  s.owner_address = m.address;
  s.owner_capacity = m.capacity;
  s.owner_data_centre = m.data_centre;
}

} // namespace

// Batches are handed over at once, or after some seconds in which most of them
// end.
void
manager::impl::leave(std::function<void()> done)
{
  leaving = true;
  leaving_since_ms = http::now_ms();
  on_left = std::move(done);
  const bool can_run_on =
    deps.placement_by_data_centre && handover_delay_ms(deps.grace_ms) > 0;
  for (auto& [id, b] : batches) {
    if (b->owned && b->is_open()) {
      b->runs_until_handover =
        can_run_on && b->loaded && b->handed_over_by.empty();
      leaving_batches[id].since_ms = leaving_since_ms;
    }
    answer_readers(*b, leaving_since_ms);
  }
  continue_leaving(leaving_since_ms);
}

void
manager::impl::continue_leaving(std::uint64_t now)
{
  const auto run_until_ms = leaving_since_ms + handover_delay_ms(deps.grace_ms);
  std::erase_if(leaving_batches, [&](const auto& l) {
    const auto* b = find_batch(l.first);
    return b == nullptr || !b->owned || !b->is_open();
  });
  // Batches are removed while they are handed over.
  std::vector<std::string> due;
  std::vector<std::string> unconfirmed;
  for (const auto& [id, l] : leaving_batches) {
    const bool runs_on =
      find_batch(id)->runs_until_handover && now < run_until_ms;
    if (l.stage == handover_stage::running && !runs_on) {
      due.push_back(id);
    } else if (l.stage == handover_stage::confirming &&
               now - l.since_ms >= confirmation_timeout_ms) {
      unconfirmed.push_back(id);
    }
  }
  for (const auto& id : due) {
    const auto found = leaving_batches.find(id);
    if (found != leaving_batches.end() &&
        found->second.stage == handover_stage::running) {
      hand_over(id);
    }
  }
  for (const auto& id : unconfirmed) {
    if (leaving_batches.contains(id)) {
      hand_over_through_store(id);
    }
  }
  if (leaving_batches.empty() && on_left) {
    std::exchange(on_left, nullptr)();
  }
}

std::optional<membership::member>
manager::impl::successor_of(const std::string& id)
{
  auto view = placement_view_for(find_batch(id)->stored);
  std::erase_if(view.largest_entries, [&](const auto& m) {
    return leaving_batches[id].refused.contains(m.instance);
  });
  const auto successor = choose_successor(view);
  auto line = timeline::event{ "batch_handed_over" }
                .with("batch", id)
                .with("to", successor ? successor->instance : "");
  if (successor && deps.placement_by_data_centre) {
    line = line.with("data_centre", successor->data_centre)
             .with("why", reason_for(view, *successor));
  }
  process::log_line(line);
  return successor;
}

void
manager::impl::hand_over(const std::string& id)
{
  auto& b = *find_batch(id);
  auto& l = leaving_batches[id];
  const auto successor = successor_of(id);
  l.successor = successor.value_or(membership::member{});
  const bool can_send = deps.placement_by_data_centre && successor &&
                        b.loaded && l.sends < max_sends;
  const auto body =
    can_send ? serialize(collect_handover(b)) : std::optional<std::string>{};
  if (!body) {
    hand_over_through_store(id);
    return;
  }
  ++l.sends;
  l.stage = handover_stage::sent;
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_handed_over_path } + id;
  r.body = *body;
  send_handover(id, std::move(r));
}

void
manager::impl::send_handover(const std::string& id, http::request r)
{
  http::exchange_options o;
  o.timeout_ms = send_timeout_ms;
  o.connect_timeout_ms = send_connect_timeout_ms;
  deps.http.fetch(leaving_batches[id].successor.address,
                  r,
                  o,
                  [self = shared_from_this(), id](http::exchange_outcome end,
                                                  http::response&& a) {
                    self->on_handover_answered(id, end, a.status);
                  });
}

// Without an answer the successor may go on with the batch or not. It is named
// by the store in both cases.
void
manager::impl::on_handover_answered(const std::string& id,
                                    http::exchange_outcome end,
                                    int status)
{
  auto* b = find_batch(id);
  const auto found = leaving_batches.find(id);
  if (b == nullptr || !b->owned || found == leaving_batches.end()) {
    return;
  }
  auto& l = found->second;
  const bool complete = end == http::exchange_outcome::complete;
  process::log_line(timeline::event{ "handover_answered" }
                      .with("batch", id)
                      .with("to", l.successor.instance)
                      .with("end", http::name_of(end))
                      .with("status", static_cast<std::uint64_t>(status)));
  if (complete && status == status_ok) {
    l.stage = handover_stage::confirming;
    l.since_ms = http::now_ms();
    b->runs_until_handover = false;
    b->handed_over = true;
    b->listing_paused = true;
    b->owner_unconfirmed = true;
    stop_work(*b);
    answer_readers(*b, l.since_ms);
  } else if ((complete && status == status_misdirected) ||
             end == http::exchange_outcome::not_sent) {
    l.refused.insert(l.successor.instance);
    hand_over(id);
  } else {
    hand_over_through_store(id);
  }
}

// Saves what is known of the items, then writes the successor.
void
manager::impl::hand_over_through_store(const std::string& id)
{
  leaving_batches[id].stage = handover_stage::writing;
  save_progress(*find_batch(id), true, [self = shared_from_this(), id] {
    self->write_successor(id);
  });
}

// Another entry that has taken the batch over meanwhile remains its owner.
void
manager::impl::write_successor(const std::string& id)
{
  constexpr int tries = 2;
  auto& l = leaving_batches[id];
  l.stage = handover_stage::writing;
  const auto* b = find_batch(id);
  const auto earlier = b == nullptr ? std::string{} : b->handed_over_by;
  write_status(
    id,
    [self = shared_from_this(), successor = l.successor, earlier](
      stored_batch& s) {
      if (s.owner == self->deps.instance ||
          (!earlier.empty() && s.owner == earlier)) {
        set_owner(s, successor);
      }
    },
    [self = shared_from_this(), id](store::call_result) {
      self->leaving_batches.erase(id);
      self->continue_leaving(http::now_ms());
    },
    tries);
}

void
manager::on_handed_over(const http::call& peer)
{
  auto h = decode_handover(store::parse_message(peer.request().body));
  if (!h) {
    process::log_line(timeline::event{ "handover_unreadable" }
                        .with("field", h.fault.field)
                        .with("why", h.fault.what));
    peer.respond(answer(status_bad_request));
    return;
  }
  peer.respond(answer(impl_->accept_handover(std::move(*h))));
}

// Returns the status of the response. The message may come late or twice.
int
manager::impl::accept_handover(handover&& h)
{
  if (leaving || !deps.placement_by_data_centre) {
    return status_misdirected;
  }
  // This instance's watch may be behind the message.
  store::object o;
  o.name = h.stored.id;
  o.revision = h.stored.revision;
  o.spec = encode_spec(h.stored);
  o.status = encode_status(h.stored);
  auto* b = apply_stored_batch(o);
  if (b == nullptr) {
    return status_bad_request;
  }
  if (b->owned) {
    return status_ok;
  }
  if (!may_own(b->stored)) {
    return status_misdirected;
  }
  if (!b->is_open() || b->stored.owner != h.stored.owner) {
    return status_conflict;
  }
  apply_handover(*b, std::move(h));
  confirm_handover(*b);
  schedule_dispatch();
  return status_ok;
}

// Goes on with the batch without reading the store. Nothing is listed before
// the store names this instance as the owner and the fence is stored.
void
manager::impl::apply_handover(batch_state& b, handover&& h)
{
  b.owned = true;
  b.loaded = true;
  b.listing_paused = true;
  b.handed_over_by = h.stored.owner;
  b.epoch = b.stored.revision;
  if (auto memory = submission_memory::take(
        deps.memory, kept_bytes(0, h.submission.items.size()))) {
    b.memory = std::move(*memory);
  }
  b.set(std::move(h.submission), deps.dialect.version_line);
  finish_submission_read(b.stored.id, true);
  b.mark_listed_finished();
  const std::set<std::string> listed{ h.listed.begin(), h.listed.end() };
  for (auto& i : b.items) {
    if (listed.contains(b.submission.items[i.index].id)) {
      i.stage = item_stage::finished;
    }
  }
  const auto texts = h.progress.texts.size();
  const auto failed = h.progress.failures.size();
  apply_progress(b, std::move(h.progress));
  score_complete_texts(b);
  b.recount_unfinished();
  b.group_completed = !b.ledger.pending.empty();
  b.group_completed_ms = http::now_ms();
  process::log_line(timeline::event{ "batch_handover_received" }
                      .with("batch", b.stored.id)
                      .with("from", b.handed_over_by)
                      .with("texts", texts)
                      .with("failed", failed)
                      .with("finished", b.ledger.pending.size())
                      .with("listed", listed.size()));
}

// Writes this instance as the owner, unless another one has been written
// meanwhile. While the store is silent, a write ends only with its timeout; the
// next one doesn't wait for that, as others may take the batch over as soon as
// the store answers.
void
manager::impl::confirm_handover(batch_state& b)
{
  const auto now = http::now_ms();
  if (b.taking_over && now - b.confirm_started_ms < confirm_interval_ms) {
    return;
  }
  b.taking_over = true;
  b.confirm_started_ms = now;
  const auto id = b.stored.id;
  write_status(
    id,
    [self = shared_from_this(), from = b.handed_over_by](stored_batch& s) {
      if (s.owner == from && !s.ended) {
        set_owner(s, self->this_member());
      }
    },
    [self = shared_from_this(), id, started = b.confirm_started_ms](
      store::call_result) {
      auto* current = self->find_batch(id);
      if (current != nullptr && current->confirm_started_ms == started) {
        current->taking_over = false;
      }
    },
    2);
}

void
manager::impl::on_handover_confirmed(batch_state& b)
{
  b.handed_over_by.clear();
  b.taking_over = false;
  b.epoch = b.stored.revision;
  process::log_line(timeline::event{ "batch_owned" }
                      .with("batch", b.stored.id)
                      .with("items", b.stored.items)
                      .with("revision", b.stored.revision));
  fence_handed_over(b);
}

// Reads the listed results, creates the fence, and lists the results that have
// been obtained so far.
void
manager::impl::fence_handed_over(batch_state& b)
{
  constexpr int fence_tries = 5;
  const auto id = b.stored.id;
  const auto ended = [self = shared_from_this(), id](bool ok) {
    auto* current = self->find_batch(id);
    if (current == nullptr || !current->owned) {
      return;
    }
    current->load_retry_needed = !ok;
    if (ok) {
      self->resume_listing(*current);
    }
  };
  load_chunks(id, [self = shared_from_this(), id, ended](bool ok) {
    if (ok) {
      self->fence(id, fence_tries, ended);
    } else {
      ended(false);
    }
  });
}

// The listed results are known now. Items that the previous owner had listed
// are not run, and those that it only believed to be listed are.
void
manager::impl::resume_listing(batch_state& b)
{
  for (auto& i : b.items) {
    const auto& id = b.submission.items[i.index].id;
    if (is_listed(b.ledger, id) && i.stage != item_stage::finished) {
      if (i.stage == item_stage::running) {
        stop_run(i);
      }
      if (i.cancel_score) {
        std::exchange(i.cancel_score, nullptr)();
      }
      i.stage = item_stage::finished;
    } else if (i.stage == item_stage::finished && !has_result(b.ledger, id)) {
      i.stage = item_stage::waiting;
    }
  }
  b.recount_unfinished();
  b.listing_paused = false;
  write_results_if_due(b, http::now_ms());
  schedule_dispatch();
}

} // namespace cactusford::batches
