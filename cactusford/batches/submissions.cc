#include "cactusford/batches/manager_impl.h"
#include "cactusford/batches/parts.h"
#include "cactusford/batches/submission_check.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

namespace cactusford::batches {

using detail::pending_submission;

namespace {

// Headers that an entry adds when it forwards a submission.
constexpr std::string_view target_header = "Caller-Target";
constexpr std::string_view workspace_header = "Caller-Workspace";
constexpr std::string_view data_centre_header = "Caller-Data-Centre";
constexpr std::string_view remaining_time_header = "Caller-Patience-Ms";

// Timeouts for forwarding a submission: they cover a transfer of some hundred
// kilobytes between two small entries, and the store's answers. If there is no
// response, the entry that received the submission accepts it itself while the
// caller is still waiting.
constexpr std::uint64_t forward_timeout_ms = 1000;
constexpr std::uint64_t forward_connect_timeout_ms = 250;

// 503: nothing of the batch will run. 421: the instance accepts no batches, so
// another one must.
constexpr int status_unavailable = 503;
constexpr int status_misdirected = 421;

std::shared_ptr<pending_submission>
make_pending_submission(const http::call& caller,
                        const std::string& id,
                        std::string target,
                        std::string workspace,
                        std::string accepted_in,
                        std::uint64_t give_up_ms)
{
  const auto& request = caller.request();
  auto pending = std::make_shared<pending_submission>();
  pending->caller = caller;
  auto body = caller.take_body();
  pending->body = std::move(body.text);
  pending->body_memory = std::move(body.memory);
  pending->id = id;
  pending->give_up_ms = give_up_ms;
  pending->stored.id = id;
  pending->stored.host =
    std::string{ http::find(request.fields, "Host").value_or("") };
  pending->stored.target = std::move(target);
  pending->stored.workspace = std::move(workspace);
  pending->stored.accepted_wall_ms = timeline::wall_ms();
  pending->stored.accepted_in = std::move(accepted_in);
  return pending;
}

// Answers a submission that was accepted before. If the id belongs to a batch
// of another workspace, nothing is accepted and its existence is not revealed.
http::response
answer_duplicate(const stored_batch& b, const std::string& workspace)
{
  return answer(is_accessible_to(b, workspace) ? 202 : 404);
}

} // namespace

// Forwards a submission to the entry that should run it, which also accepts it.
// When the receiving entry accepted it and then assigned it to its owner, the
// submission was parsed and sent twice, and the owner, whose watch showed the
// batch first, read it back from the store: its items started 0.14 to 0.9 s
// late.
void
manager::accept(const http::call& caller,
                const std::string& id,
                const std::string& workspace,
                std::uint64_t give_up_ms)
{
  if (const auto* b = impl_->find_batch(id)) {
    caller.respond(answer_duplicate(b->stored, workspace));
    return;
  }
  if (!is_batch_id(id)) {
    caller.respond(answer(400, R"({"error":"invalid_id"})"));
    return;
  }
  auto pending = make_pending_submission(caller,
                                         id,
                                         caller.request().target,
                                         workspace,
                                         impl_->deps.data_centre,
                                         give_up_ms);
  const auto refusal = impl_->home_refusal(pending->stored);
  if (!refusal.empty()) {
    process::log_line(timeline::event{ "batch_refused" }
                        .with("batch", id)
                        .with("why", refusal)
                        .with("workspace", workspace));
    caller.respond(retry_later(impl_->deps.dialect));
    return;
  }
  impl_->place_submission(pending);
}

void
manager::impl::place_submission(
  const std::shared_ptr<pending_submission>& pending)
{
  auto view = placement_view_for(pending->stored);
  const auto has_refused = [&](const membership::member& m) {
    return pending->refused.contains(m.instance);
  };
  std::erase_if(view.largest_entries, has_refused);
  std::erase_if(view.trainer_runners,
                [&](const runner& r) { return has_refused(r.entry); });
  const auto to = choose_runner(view);
  if (to.instance == deps.instance) {
    accept_locally(pending);
  } else {
    forward_submission(pending, to);
  }
}

void
manager::on_submission_forwarded(const http::call& peer, const std::string& id)
{
  const auto& fields = peer.request().fields;
  const auto target = http::find(fields, target_header);
  const auto remaining_ms = http::find_number(fields, remaining_time_header);
  if (!target || !remaining_ms) {
    process::log_line(
      timeline::event{ "forwarded_submission_unreadable" }.with("batch", id));
    peer.respond(answer(400));
    return;
  }
  if (!can_own()) {
    peer.respond(answer(status_misdirected));
    return;
  }
  const std::string workspace{
    http::find(fields, workspace_header).value_or("")
  };
  if (const auto* b = impl_->find_batch(id)) {
    peer.respond(answer_duplicate(b->stored, workspace));
    return;
  }
  const auto pending = make_pending_submission(
    peer,
    id,
    std::string{ *target },
    workspace,
    std::string{ http::find(fields, data_centre_header).value_or("") },
    http::now_ms() + *remaining_ms);
  if (!impl_->may_own(pending->stored)) {
    peer.respond(answer(status_misdirected));
    return;
  }
  impl_->accept_locally(pending);
}

// Forwards the submission to another entry. If that entry does not respond, it
// may have accepted the batch or may still do so. Accepting the batch here is
// safe because its object is created only once, but "not run" can no longer be
// promised.
void
manager::impl::forward_submission(
  const std::shared_ptr<pending_submission>& pending,
  const membership::member& to)
{
  const auto now = http::now_ms();
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_forwarded_path } + pending->id;
  r.fields = {
    { "Host", pending->stored.host },
    { std::string{ target_header }, pending->stored.target },
    { std::string{ data_centre_header }, pending->stored.accepted_in },
    { std::string{ remaining_time_header },
      std::to_string(pending->give_up_ms > now ? pending->give_up_ms - now
                                               : 0) }
  };
  if (!pending->stored.workspace.empty()) {
    r.fields.push_back(
      { std::string{ workspace_header }, pending->stored.workspace });
  }
  http::exchange_options o;
  o.body = std::shared_ptr<const std::string>{ pending, &pending->body };
  o.timeout_ms = forward_timeout_ms;
  o.connect_timeout_ms = forward_connect_timeout_ms;
  deps.http.fetch(
    to.address,
    r,
    o,
    [self = shared_from_this(), pending, to](http::exchange_outcome end,
                                             http::response&& answered) {
      process::log_line(
        timeline::event{ "batch_forwarded" }
          .with("batch", pending->id)
          .with("to", to.instance)
          .with("end", http::name_of(end))
          .with("status", static_cast<std::uint64_t>(answered.status)));
      const bool complete = end == http::exchange_outcome::complete;
      if (complete && answered.status != status_misdirected) {
        pending->caller.respond(
          answered.status == status_unavailable
            ? retry_later(self->deps.dialect)
            : answer(answered.status, std::move(answered.body)));
        return;
      }
      // An entry that is shutting down goes on with its batches and is still
      // the runner of the trainer's newest one.
      constexpr std::size_t max_refusals = 2;
      if (complete && self->deps.placement_by_data_centre &&
          pending->refused.size() < max_refusals) {
        pending->refused.insert(to.instance);
        self->place_submission(pending);
        return;
      }
      pending->write_unknown =
        !complete && end != http::exchange_outcome::not_sent;
      self->accept_locally(pending);
    });
}

// Writes the parts first and the batch object last: a batch exists once its
// object is stored.
void
manager::impl::accept_locally(
  const std::shared_ptr<pending_submission>& pending)
{
  const auto& body = pending->body;
  const auto room = room_to_parse(deps.memory.get(), body);
  if (room != parsing_room::available) {
    refuse_for_memory(*pending, room);
    return;
  }
  auto submission = deps.dialect.submission_from(body);
  if (!submission || !is_batch_id(pending->id)) {
    pending->caller.respond(answer(400));
    return;
  }
  if (const auto part = invalid_part(*submission)) {
    process::log_line(timeline::event{ "batch_invalid" }
                        .with("batch", pending->id)
                        .with("part", *part));
    const nlohmann::json error{
      { "error", "invalid_item" },
      { "message", *part + " cannot be part of an HTTP request" }
    };
    pending->caller.respond(answer(
      400,
      error.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
    return;
  }
  auto memory = submission_memory::take(
    deps.memory, kept_bytes(body.size(), submission->items.size()));
  if (!memory) {
    refuse_for_memory(*pending, parsing_room::later);
    return;
  }
  pending->memory = std::move(*memory);
  pending->parts = split_parts(body, part_bytes);
  pending->stored.items = submission->items.size();
  pending->stored.parts = pending->parts.size();
  pending->submission = std::move(*submission);
  accepting[pending->id] = pending;
  write_parts(pending);
}

// Nothing of the submission has been written here. Another instance to which it
// was forwarded may still accept it.
void
manager::impl::refuse_for_memory(const pending_submission& pending,
                                 parsing_room room)
{
  process::log_line(timeline::event{ "batch_refused" }
                      .with("batch", pending.id)
                      .with("why", "memory")
                      .with("bytes", pending.body.size())
                      .with("held", http::held_bytes(deps.memory->budget)));
  ++deps.memory->refused;
  if (pending.write_unknown) {
    pending.caller.respond(answer(504));
    return;
  }
  constexpr int too_large = 413;
  pending.caller.respond(room == parsing_room::never
                           ? answer(too_large)
                           : retry_later(deps.dialect));
}

// Writes the next part. A part that already exists was written by an earlier
// attempt at the same submission.
void
manager::impl::write_parts(const std::shared_ptr<pending_submission>& pending)
{
  if (pending->next_part == pending->parts.size()) {
    write_batch_object(pending);
    return;
  }
  store::call c;
  c.op = store::operation::create;
  c.kind = part_kind;
  c.name = part_name(pending->id, pending->next_part);
  c.body = encode_part(pending->parts[pending->next_part]);
  c.is_direct = homes_of(pending->stored).is_restricted;
  deps.store.perform(c, [self = shared_from_this(), pending](store::reply&& r) {
    const bool is_stored = r.result == store::call_result::done ||
                           r.result == store::call_result::conflict;
    if (!is_stored) {
      self->retry_acceptance(pending, &impl::write_parts);
      return;
    }
    ++pending->next_part;
    self->write_parts(pending);
  });
}

void
manager::impl::write_batch_object(
  const std::shared_ptr<pending_submission>& pending)
{
  // An instance that is shutting down accepts batches for others to run.
  const auto owner = leaving ? membership::member{} : this_member();
  pending->stored.owner = owner.instance;
  pending->stored.owner_address = owner.address;
  pending->stored.owner_capacity = owner.capacity;
  pending->stored.owner_data_centre = owner.data_centre;
  store::call c;
  c.op = store::operation::create;
  c.kind = batch_kind;
  c.name = pending->id;
  c.body = encode_spec(pending->stored);
  deps.store.perform(c, [self = shared_from_this(), pending](store::reply&& r) {
    self->on_batch_object_written(pending, r);
  });
}

membership::member
manager::impl::this_member() const
{
  return { deps.instance,   deps.address,     deps.capacity,
           deps.started_ms, deps.data_centre, deps.region };
}

// Collects what is known for the placement of a batch of this route.
placement_view
manager::impl::placement_view_for(const stored_batch& batch)
{
  placement_view view;
  view.self = this_member();
  view.largest_entries = deps.largest_entries();
  view.now_ms = http::now_ms();
  const auto route = route_to(batch.host, batch.target);
  view.trainer = route == nullptr ? batch.target : route->path_prefix;
  for (const auto& [id, b] : batches) {
    const auto& s = b->stored;
    if (!b->is_open() || s.owner.empty()) {
      continue;
    }
    if (route == nullptr || route_to(s.host, s.target) != route) {
      view.busy_instances.insert(s.owner);
      view.data_centres.busy.insert(s.owner_data_centre);
      continue;
    }
    // An instance that is no standby probes owners too rarely to know. The
    // batch's object names the owner that the standbys have found alive.
    const auto seen =
      b->owned || !is_standby ? view.now_ms : owner_seen_at_ms[s.owner_address];
    view.trainer_runners.push_back(
      { { s.owner, s.owner_address, s.owner_capacity, 0, s.owner_data_centre },
        s.accepted_wall_ms,
        seen });
  }
  keep_permitted(view,
                 { homes_of(batch), batch.accepted_in },
                 deps.registry.topology.regions,
                 [](const membership::member& m) { return m.data_centre; });
  if (deps.placement_by_data_centre) {
    add_data_centre_rules(view);
  }
  return view;
}

void
manager::impl::add_data_centre_rules(placement_view& view) const
{
  auto& rules = view.data_centres;
  rules.is_enabled = true;
  rules.departures = deps.departures();
  rules.wall_ms = timeline::wall_ms();
  const auto& drains = deps.registry.topology.drains;
  for (const auto& [data_centre, order] : drains.all) {
    if (data_centres::is_drained(drains, data_centre)) {
      rules.drained.insert(data_centre);
    }
  }
  // The stored batches don't name the incarnation of their owner.
  for (auto& r : view.trainer_runners) {
    for (const auto& m : view.largest_entries) {
      if (m.instance == r.entry.instance) {
        r.entry = m;
      }
    }
  }
}

void
manager::impl::on_batch_object_written(
  const std::shared_ptr<pending_submission>& pending,
  const store::reply& r)
{
  const bool accepted = r.result == store::call_result::done ||
                        r.result == store::call_result::conflict;
  if (!accepted) {
    pending->write_unknown =
      pending->write_unknown || r.result == store::call_result::unknown;
    retry_acceptance(pending, &impl::write_batch_object);
    return;
  }
  for (const auto& o : r.items) {
    apply_stored_batch(o);
  }
  accepting.erase(pending->id);
  const bool created = r.result == store::call_result::done;
  if (auto* b = find_batch(pending->id)) {
    own_if_assigned(*b, created && !r.after_unknown && !pending->write_unknown);
  }
  process::log_line(timeline::event{ "batch_accepted" }
                      .with("batch", pending->id)
                      .with("workspace", pending->stored.workspace)
                      .with("verdict", store::name_of(r.result)));
  const auto* b = find_batch(pending->id);
  pending->caller.respond(
    b == nullptr ? answer(202)
                 : answer_duplicate(b->stored, pending->stored.workspace));
}

// Retries a step of the acceptance until the caller's time is nearly up. The
// objects are created at most once, even if answers are lost.
void
manager::impl::retry_acceptance(
  const std::shared_ptr<pending_submission>& pending,
  void (impl::*step)(const std::shared_ptr<pending_submission>&))
{
  if (http::now_ms() >= pending->give_up_ms || !pending->caller.is_open()) {
    refuse(*pending);
    return;
  }
  auto wait = std::make_shared<asio::steady_timer>(
    deps.io, std::chrono::milliseconds{ failed_pause_ms });
  wait->async_wait(
    [self = shared_from_this(), pending, step, wait](asio::error_code ec) {
      if (!ec) {
        ((*self).*step)(pending);
      }
    });
}

// A 503 response promises that no item will run. That is impossible if a write
// of the batch object got no answer; parts alone do not run anything.
void
manager::impl::refuse(const pending_submission& pending)
{
  process::log_line(timeline::event{ "batch_refused" }
                      .with("batch", pending.id)
                      .with("parts", pending.next_part)
                      .with("unknown", pending.write_unknown ? 1U : 0U));
  pending.caller.respond(pending.write_unknown ? answer(504)
                                               : retry_later(deps.dialect));
  remove_orphaned_parts(pending.id, pending.parts.size());
  accepting.erase(pending.id);
}

// Removes the parts of a refused batch after the retention time, unless the
// batch exists by then: the caller may have had the same batch accepted
// elsewhere with these parts. If they were kept, the parts of refused batches
// would fill the store.
void
manager::impl::remove_orphaned_parts(const std::string& id, std::uint64_t parts)
{
  auto wait = std::make_shared<asio::steady_timer>(
    deps.io, std::chrono::milliseconds{ deps.retention_ms });
  wait->async_wait(
    [self = shared_from_this(), id, parts, wait](asio::error_code ec) {
      if (ec) {
        return;
      }
      self->lookup(id, [self, id, parts](batch_state* b, bool store_answered) {
        if (b == nullptr && store_answered) {
          self->remove_parts(id, 0, parts, [](bool) {});
        }
      });
    });
}

void
manager::impl::remove_parts(const std::string& id,
                            std::uint64_t part,
                            std::uint64_t parts,
                            std::function<void(bool)> done)
{
  if (part >= parts) {
    done(true);
    return;
  }
  store::call c;
  c.op = store::operation::remove;
  c.kind = part_kind;
  c.name = part_name(id, part);
  deps.store.perform(
    c, [self = shared_from_this(), id, part, parts, done](store::reply&& r) {
      const bool gone = r.result == store::call_result::done ||
                        r.result == store::call_result::missing;
      if (gone) {
        self->remove_parts(id, part + 1, parts, done);
      } else {
        done(false);
      }
    });
}

// Concurrent readers share one read of the store.
void
manager::impl::load_submission(batch_state& b, std::function<void(bool)> done)
{
  if (b.has_submission) {
    done(true);
    return;
  }
  b.submission_waiters.push_back(std::move(done));
  if (b.submission_waiters.size() == 1) {
    read_part(b.stored.id, 0, {});
  }
}

void
manager::impl::read_part(const std::string& id,
                         std::uint64_t part,
                         std::string collected)
{
  store::call c;
  c.op = store::operation::get;
  c.kind = part_kind;
  c.name = part_name(id, part);
  c.is_direct = is_restricted(id);
  deps.store.perform(
    c,
    [self = shared_from_this(), id, part, collected](store::reply&& r) mutable {
      auto* b = self->find_batch(id);
      // A handover brings the submission too. Setting it again would reset the
      // items that are running.
      if (b == nullptr || b->has_submission) {
        return;
      }
      const auto text =
        r.items.empty() ? std::nullopt : decode_part(r.items.front().spec);
      if (r.result != store::call_result::done || !text) {
        self->finish_submission_read(id, false);
        return;
      }
      collected += *text;
      if (part + 1 < b->stored.parts) {
        self->read_part(id, part + 1, std::move(collected));
        return;
      }
      if (!self->take_memory_of_read(*b, collected)) {
        self->finish_submission_read(id, false);
        return;
      }
      auto submission = self->deps.dialect.submission_from(collected);
      if (!submission) {
        store::log_unreadable(part_kind, { id, submission.fault });
        self->finish_submission_read(id, false);
        return;
      }
      b->set(std::move(*submission), self->deps.dialect.version_line);
      self->finish_submission_read(id, true);
    });
}

// Returns false if there is no room for a submission that this instance reads
// only to return the body of an item. It always reads the batches that it owns.
bool
manager::impl::take_memory_of_read(batch_state& b, std::string_view text)
{
  if (room_to_parse(deps.memory.get(), text) == parsing_room::available) {
    auto memory = submission_memory::take(
      deps.memory, kept_bytes(text.size(), b.stored.items));
    if (memory) {
      b.memory = std::move(*memory);
      return true;
    }
  }
  return b.owned;
}

void
manager::impl::finish_submission_read(const std::string& id, bool ok)
{
  auto* b = find_batch(id);
  if (b == nullptr) {
    return;
  }
  const auto waiting = std::move(b->submission_waiters);
  b->submission_waiters.clear();
  for (const auto& done : waiting) {
    done(ok);
  }
}

} // namespace cactusford::batches
