#include "cactusford/batches/manager_impl.h"
#include "cactusford/batches/parts.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

namespace cactusford::batches {

using detail::acceptance;

namespace {

// Headers that an entry adds when it forwards a submission.
constexpr std::string_view target_header = "Caller-Target";
constexpr std::string_view workspace_header = "Caller-Workspace";
constexpr std::string_view patience_header = "Caller-Patience-Ms";

// Timeouts for forwarding a submission: they cover a transfer of some hundred
// kilobytes between two small entries, and the store's answers. If there is no
// response, the entry that received the submission accepts it itself while the
// caller is still waiting.
constexpr std::uint64_t pass_on_ms = 1000;
constexpr std::uint64_t pass_on_connect_ms = 250;

// 503: nothing of the batch will run. 421: the instance accepts no batches, so
// another one must.
constexpr int refused = 503;
constexpr int not_here = 421;

std::shared_ptr<acceptance>
begin_acceptance(const http::call& caller,
                 const std::string& id,
                 std::string target,
                 std::string workspace,
                 std::uint64_t until_ms)
{
  const auto& request = caller.request();
  auto a = std::make_shared<acceptance>();
  a->caller = caller;
  a->id = id;
  a->until_ms = until_ms;
  a->head.id = id;
  a->head.host = std::string{ http::find(request.fields, "Host").value_or("") };
  a->head.target = std::move(target);
  a->head.workspace = std::move(workspace);
  a->head.accepted_wall_ms = timeline::wall_ms();
  return a;
}

// Answers a submission that was accepted before. If the id belongs to a batch
// of another workspace, nothing is accepted and its existence is not revealed.
http::response
answer_again(const stored_batch& b, const std::string& workspace)
{
  return answer(is_of(b, workspace) ? 202 : 404);
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
  if (const auto* b = impl_->known(id)) {
    caller.respond(answer_again(b->stored, workspace));
    return;
  }
  auto a = begin_acceptance(
    caller, id, caller.request().target, workspace, give_up_ms);
  const auto to = choose_runner(impl_->view_of(a->head.host, a->head.target));
  if (to.instance == impl_->p.instance) {
    impl_->accept_here(a);
  } else {
    impl_->pass_on(a, to);
  }
}

void
manager::on_submission_forwarded(const http::call& peer, const std::string& id)
{
  const auto& fields = peer.request().fields;
  const auto target = http::find(fields, target_header);
  const auto patience = http::number(fields, patience_header);
  if (!target || !patience) {
    process::log_line(timeline::event{ "passed_unreadable" }.with("batch", id));
    peer.respond(answer(400));
    return;
  }
  if (!can_own()) {
    peer.respond(answer(not_here));
    return;
  }
  const std::string workspace{
    http::find(fields, workspace_header).value_or("")
  };
  if (const auto* b = impl_->known(id)) {
    peer.respond(answer_again(b->stored, workspace));
    return;
  }
  impl_->accept_here(begin_acceptance(
    peer, id, std::string{ *target }, workspace, http::now_ms() + *patience));
}

// Forwards the submission to another entry. If that entry does not respond, it
// may have accepted the batch or may still do so. Accepting the batch here is
// safe because its object is created only once, but "not run" can no longer be
// promised.
void
manager::impl::pass_on(const std::shared_ptr<acceptance>& a,
                       const membership::member& to)
{
  const auto& request = a->caller.request();
  const auto now = http::now_ms();
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_forwarded_path } + a->id;
  r.fields = { { "Host", a->head.host },
               { std::string{ target_header }, a->head.target },
               { std::string{ patience_header },
                 std::to_string(a->until_ms > now ? a->until_ms - now : 0) } };
  if (!a->head.workspace.empty()) {
    r.fields.push_back({ std::string{ workspace_header }, a->head.workspace });
  }
  r.body = request.body;
  http::exchange_options o;
  o.timeout_ms = pass_on_ms;
  o.connect_timeout_ms = pass_on_connect_ms;
  p.http.fetch(
    to.address,
    r,
    o,
    [self = shared_from_this(), a, to](http::end_state end,
                                       http::response&& answered) {
      process::log_line(
        timeline::event{ "batch_passed_on" }
          .with("batch", a->id)
          .with("to", to.instance)
          .with("end", http::name_of(end))
          .with("status", static_cast<std::uint64_t>(answered.status)));
      const bool complete = end == http::end_state::complete;
      if (complete && answered.status != not_here) {
        a->caller.respond(answered.status == refused
                            ? come_back(self->p.dialect)
                            : answer(answered.status));
        return;
      }
      a->unknown = !complete && end != http::end_state::not_sent;
      self->accept_here(a);
    });
}

// Writes the parts first and the batch object last: a batch exists once its
// object is stored.
void
manager::impl::accept_here(const std::shared_ptr<acceptance>& a)
{
  const auto& body = a->caller.request().body;
  auto submission = p.dialect.submission_from(body);
  if (!submission || a->id.empty()) {
    a->caller.respond(answer(400));
    return;
  }
  a->parts = split_parts(body, part_bytes);
  a->head.items = submission->items.size();
  a->head.parts = a->parts.size();
  a->submission = std::move(*submission);
  accepting[a->id] = a;
  write_parts(a);
}

// Writes the next part. A part that already exists was written by an earlier
// attempt at the same submission.
void
manager::impl::write_parts(const std::shared_ptr<acceptance>& a)
{
  if (a->next_part == a->parts.size()) {
    write_head(a);
    return;
  }
  store::call c;
  c.op = store::operation::create;
  c.kind = part_kind;
  c.name = part_name(a->id, a->next_part);
  c.body = encode_part(a->parts[a->next_part]);
  p.store.perform(c, [self = shared_from_this(), a](store::reply&& r) {
    const bool stands =
      r.what == store::verdict::done || r.what == store::verdict::conflict;
    if (!stands) {
      self->accept_again(a, &impl::write_parts);
      return;
    }
    ++a->next_part;
    self->write_parts(a);
  });
}

void
manager::impl::write_head(const std::shared_ptr<acceptance>& a)
{
  // An instance that is shutting down accepts batches for others to run.
  const auto owner = leaving ? membership::member{} : self();
  a->head.owner = owner.instance;
  a->head.owner_address = owner.address;
  a->head.owner_capacity = owner.capacity;
  store::call c;
  c.op = store::operation::create;
  c.kind = batch_kind;
  c.name = a->id;
  c.body = encode_spec(a->head);
  p.store.perform(c, [self = shared_from_this(), a](store::reply&& r) {
    self->on_head(a, r);
  });
}

membership::member
manager::impl::self() const
{
  return { p.instance, p.address, p.capacity };
}

// Collects what is known for the placement of a batch of this route.
placement_view
manager::impl::view_of(const std::string& host, const std::string& target)
{
  placement_view v;
  v.self = self();
  v.known = p.largest_entries();
  v.now_ms = http::now_ms();
  const auto route = route_to(host, target);
  v.trainer = route == nullptr ? target : route->path_prefix;
  for (const auto& [id, b] : batches) {
    const auto& s = b->stored;
    if (!b->is_open() || s.owner.empty()) {
      continue;
    }
    if (route == nullptr || route_to(s.host, s.target) != route) {
      v.busy.insert(s.owner);
      continue;
    }
    const auto seen = b->owned ? v.now_ms : owner_seen[s.owner_address];
    v.of_trainer.push_back({ { s.owner, s.owner_address, s.owner_capacity },
                             s.accepted_wall_ms,
                             seen });
  }
  return v;
}

void
manager::impl::on_head(const std::shared_ptr<acceptance>& a,
                       const store::reply& r)
{
  const bool accepted =
    r.what == store::verdict::done || r.what == store::verdict::conflict;
  if (!accepted) {
    a->unknown = a->unknown || r.what == store::verdict::unknown;
    accept_again(a, &impl::write_head);
    return;
  }
  for (const auto& o : r.items) {
    learn(o);
  }
  accepting.erase(a->id);
  const bool created = r.what == store::verdict::done;
  if (auto* b = known(a->id)) {
    own_ours(*b, created && !r.after_unknown && !a->unknown);
  }
  process::log_line(timeline::event{ "batch_accepted" }
                      .with("batch", a->id)
                      .with("workspace", a->head.workspace)
                      .with("verdict", store::name_of(r.what)));
  const auto* b = known(a->id);
  a->caller.respond(b == nullptr ? answer(202)
                                 : answer_again(b->stored, a->head.workspace));
}

// Retries a step of the acceptance until the caller's time is nearly up. The
// objects are created at most once, even if answers are lost.
void
manager::impl::accept_again(
  const std::shared_ptr<acceptance>& a,
  void (impl::*step)(const std::shared_ptr<acceptance>&))
{
  if (http::now_ms() >= a->until_ms || !a->caller.is_open()) {
    refuse(*a);
    return;
  }
  auto wait = std::make_shared<asio::steady_timer>(
    p.io, std::chrono::milliseconds{ failed_pause_ms });
  wait->async_wait(
    [self = shared_from_this(), a, step, wait](asio::error_code ec) {
      if (!ec) {
        ((*self).*step)(a);
      }
    });
}

// A 503 response promises that no item will run. That is impossible if a write
// of the batch object got no answer; parts alone do not run anything.
void
manager::impl::refuse(const acceptance& a)
{
  process::log_line(timeline::event{ "batch_refused" }
                      .with("batch", a.id)
                      .with("parts", a.next_part)
                      .with("unknown", a.unknown ? 1U : 0U));
  a.caller.respond(a.unknown ? answer(504) : come_back(p.dialect));
  remove_unclaimed(a.id, a.parts.size());
  accepting.erase(a.id);
}

// Removes the parts of a refused batch after the retention time, unless the
// batch exists by then: the caller may have had the same batch accepted
// elsewhere with these parts. If they were kept, the parts of refused batches
// would fill the store.
void
manager::impl::remove_unclaimed(const std::string& id, std::uint64_t parts)
{
  auto wait = std::make_shared<asio::steady_timer>(
    p.io, std::chrono::milliseconds{ p.keep_ms });
  wait->async_wait(
    [self = shared_from_this(), id, parts, wait](asio::error_code ec) {
      if (ec) {
        return;
      }
      self->lookup(id, [self, id, parts](batch_state* b, bool sure) {
        if (b == nullptr && sure) {
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
  p.store.perform(
    c, [self = shared_from_this(), id, part, parts, done](store::reply&& r) {
      const bool gone =
        r.what == store::verdict::done || r.what == store::verdict::missing;
      if (gone) {
        self->remove_parts(id, part + 1, parts, done);
      } else {
        done(false);
      }
    });
}

// Concurrent readers share one read of the store.
void
manager::impl::with_submission(batch_state& b, std::function<void(bool)> done)
{
  if (b.has_submission) {
    done(true);
    return;
  }
  b.want_submission.push_back(std::move(done));
  if (b.want_submission.size() == 1) {
    read_part(b.stored.id, 0, {});
  }
}

void
manager::impl::read_part(const std::string& id,
                         std::uint64_t part,
                         std::string sofar)
{
  store::call c;
  c.op = store::operation::get;
  c.kind = part_kind;
  c.name = part_name(id, part);
  p.store.perform(
    c, [self = shared_from_this(), id, part, sofar](store::reply&& r) mutable {
      auto* b = self->known(id);
      if (b == nullptr) {
        return;
      }
      const auto text =
        r.items.empty() ? std::nullopt : decode_part(r.items.front().spec);
      if (r.what != store::verdict::done || !text) {
        self->end_read(id, false);
        return;
      }
      sofar += *text;
      if (part + 1 < b->stored.parts) {
        self->read_part(id, part + 1, std::move(sofar));
        return;
      }
      auto submission = self->p.dialect.submission_from(sofar);
      if (!submission) {
        store::log_unreadable(part_kind, { id, submission.fault });
        self->end_read(id, false);
        return;
      }
      b->set(std::move(*submission), self->p.dialect.version_line);
      self->end_read(id, true);
    });
}

void
manager::impl::end_read(const std::string& id, bool ok)
{
  auto* b = known(id);
  if (b == nullptr) {
    return;
  }
  const auto waiting = std::move(b->want_submission);
  b->want_submission.clear();
  for (const auto& done : waiting) {
    done(ok);
  }
}

} // namespace cactusford::batches
