#include "cactusford/batches/keeper_impl.h"
#include "cactusford/batches/parts.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

namespace cactusford::batches {

using detail::acceptance;

namespace {

// What an entry that passes a submission on says beside it.
constexpr std::string_view target_header = "Caller-Target";
constexpr std::string_view workspace_header = "Caller-Workspace";
constexpr std::string_view patience_header = "Caller-Patience-Ms";

// A submission of some hundred kilobytes between two small entries, and the
// store's answers. Without an answer the entry that was asked first accepts it
// itself; the caller still waits.
constexpr std::uint64_t pass_on_ms = 1000;
constexpr std::uint64_t pass_on_connect_ms = 250;

// Nothing of it runs; and: the instance takes no batches, another must accept.
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

// It was accepted before. Under the id of another workspace's batch nothing is
// accepted, nor told.
http::response
answer_again(const stored_batch& b, const std::string& workspace)
{
  return answer(is_of(b, workspace) ? 202 : 404);
}

} // namespace

// A submission goes whole to the entry that is to run it, and that one accepts
// it. Accepted here and given to its owner, it was parsed and sent twice, and
// the owner, whose watch knew of it first, read it back from the store: its
// items began 0.14 to 0.9 s late.
void
keeper::accept(const http::call& caller,
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
keeper::on_passed(const http::call& peer, const std::string& id)
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

// Without an answer the other may have accepted it, or do so later: the head is
// created once, and "not run" can no longer be promised.
void
keeper::impl::pass_on(const std::shared_ptr<acceptance>& a,
                      const membership::member& to)
{
  const auto& request = a->caller.request();
  const auto now = http::now_ms();
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_passed_path } + a->id;
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

// The parts go first and the head last: a batch is there when its head stands.
void
keeper::impl::accept_here(const std::shared_ptr<acceptance>& a)
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

// A part that stands already is that of an earlier try of the same submission.
void
keeper::impl::write_parts(const std::shared_ptr<acceptance>& a)
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
    const bool stands = r.result == store::call_result::done ||
                        r.result == store::call_result::conflict;
    if (!stands) {
      self->accept_again(a, &impl::write_parts);
      return;
    }
    ++a->next_part;
    self->write_parts(a);
  });
}

void
keeper::impl::write_head(const std::shared_ptr<acceptance>& a)
{
  // A leaving instance accepts for the others.
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
keeper::impl::self() const
{
  return { p.instance, p.address, p.capacity };
}

// What is known for the placement of a batch of this route.
placement_view
keeper::impl::view_of(const std::string& host, const std::string& target)
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
keeper::impl::on_head(const std::shared_ptr<acceptance>& a,
                      const store::reply& r)
{
  const bool accepted = r.result == store::call_result::done ||
                        r.result == store::call_result::conflict;
  if (!accepted) {
    a->unknown = a->unknown || r.result == store::call_result::unknown;
    accept_again(a, &impl::write_head);
    return;
  }
  for (const auto& o : r.items) {
    learn(o);
  }
  accepting.erase(a->id);
  const bool created = r.result == store::call_result::done;
  if (auto* b = known(a->id)) {
    own_ours(*b, created && !r.after_unknown && !a->unknown);
  }
  process::log_line(timeline::event{ "batch_accepted" }
                      .with("batch", a->id)
                      .with("workspace", a->head.workspace)
                      .with("verdict", store::name_of(r.result)));
  const auto* b = known(a->id);
  a->caller.respond(b == nullptr ? answer(202)
                                 : answer_again(b->stored, a->head.workspace));
}

// A create that met nobody's batch is made again until the caller's time is
// nearly up: it takes place once, whatever gets lost.
void
keeper::impl::accept_again(
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

// 503 promises that no item runs, which a lost write of the head does not
// allow. Parts alone run nothing.
void
keeper::impl::refuse(const acceptance& a)
{
  process::log_line(timeline::event{ "batch_refused" }
                      .with("batch", a.id)
                      .with("parts", a.next_part)
                      .with("unknown", a.unknown ? 1U : 0U));
  a.caller.respond(a.unknown ? answer(504) : come_back(p.dialect));
  remove_unclaimed(a.id, a.parts.size());
  accepting.erase(a.id);
}

// The caller may have had the same batch accepted elsewhere, with these parts.
// When its batch could no longer be read in any case, the parts are of no use:
// kept for ever, those of refused batches would fill the store.
void
keeper::impl::remove_unclaimed(const std::string& id, std::uint64_t parts)
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
keeper::impl::remove_parts(const std::string& id,
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
      const bool gone = r.result == store::call_result::done ||
                        r.result == store::call_result::missing;
      if (gone) {
        self->remove_parts(id, part + 1, parts, done);
      } else {
        done(false);
      }
    });
}

// Readers that come together share one look.
void
keeper::impl::with_submission(batch_state& b, std::function<void(bool)> done)
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
keeper::impl::read_part(const std::string& id,
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
      if (r.result != store::call_result::done || !text) {
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
keeper::impl::end_read(const std::string& id, bool ok)
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
