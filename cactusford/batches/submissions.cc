#include "cactusford/batches/keeper_impl.h"
#include "cactusford/batches/parts.h"
#include "cactusford/batches/placement.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <nlohmann/json.hpp>

namespace cactusford::batches {

using detail::acceptance;

// The parts go first and the head last: a batch is there when its head stands.
void
keeper::accept(const http::call& caller,
               const std::string& id,
               std::uint64_t give_up_ms)
{
  const auto& request = caller.request();
  if (impl_->known(id) != nullptr) {
    caller.respond(answer(202));
    return;
  }
  auto submission = impl_->p.dialect.submission_from(request.body);
  if (!submission || id.empty()) {
    caller.respond(answer(400));
    return;
  }
  auto a = std::make_shared<acceptance>();
  a->caller = caller;
  a->id = id;
  a->parts = split_parts(request.body, part_bytes);
  a->until_ms = give_up_ms;
  auto& head = a->head;
  head.id = id;
  head.host = std::string{ http::find(request.fields, "Host").value_or("") };
  head.target = request.target;
  head.accepted_wall_ms = timeline::wall_ms();
  head.items = submission->items.size();
  head.parts = a->parts.size();
  a->submission = std::move(*submission);
  impl_->accepting[id] = a;
  impl_->place(head);
  impl_->offer(a);
  impl_->write_parts(a);
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
keeper::impl::write_head(const std::shared_ptr<acceptance>& a)
{
  a->head_waits = a->offering;
  if (a->head_waits) {
    return;
  }
  store::call c;
  c.op = store::operation::create;
  c.kind = batch_kind;
  c.name = a->id;
  c.body = encode_spec(a->head);
  p.store.perform(c, [self = shared_from_this(), a](store::reply&& r) {
    self->on_head(a, r);
  });
}

// A leaving instance accepts for the others.
void
keeper::impl::keep(stored_batch& head) const
{
  head.owner = leaving ? "" : p.instance;
  head.owner_address = leaving ? "" : p.address;
  head.owner_capacity = leaving ? 0 : p.capacity;
}

void
keeper::impl::place(stored_batch& head)
{
  keep(head);
  const auto now = http::now_ms();
  const auto route = route_to(head.host, head.target);
  std::vector<runner> of_trainer;
  for (const auto& [id, b] : batches) {
    const auto& s = b->stored;
    if (!b->is_open() || s.owner.empty() || route == nullptr ||
        route_to(s.host, s.target) != route) {
      continue;
    }
    const auto seen = b->owned ? now : owner_seen[s.owner_address];
    of_trainer.push_back(
      { s.owner, s.owner_address, s.owner_capacity, s.accepted_wall_ms, seen });
  }
  const auto chosen = choose_runner(of_trainer, p.capacity, now);
  if (chosen && chosen->instance != p.instance) {
    head.owner = chosen->instance;
    head.owner_address = chosen->address;
    head.owner_capacity = chosen->capacity;
  }
}

void
keeper::impl::on_head(const std::shared_ptr<acceptance>& a,
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
  if (created && !r.items.empty()) {
    give(*a, r.items.front());
  }
  process::log_line(timeline::event{ "batch_accepted" }
                      .with("batch", a->id)
                      .with("verdict", store::name_of(r.what)));
  a->caller.respond(answer(202));
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
      const bool gone =
        r.what == store::verdict::done || r.what == store::verdict::missing;
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
