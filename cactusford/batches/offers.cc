// The entry that accepts a batch and the one that runs it differ: how the
// submission gets from one to the other.
//
// Pattern: a step of 112 items is accepted at one entry and runs at another.
// Its watch shows the owner the new batch before any message of the accepting
// entry, and the owner then read the submission, the chunks, the kept text and
// wrote a fence, all from the store: 0.15 to 0.9 s on a day without trouble, of
// the 0.5 s that a step has to spare. So the submission is offered while the
// store still writes it, and the owner begins when it hears of the head.
#include "cactusford/batches/keeper_impl.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"

#include <nlohmann/json.hpp>

namespace cactusford::batches {

using detail::acceptance;

namespace {

// Some hundred kilobytes between two small entries take a tenth of a second.
// Without an answer the accepting entry runs the batch itself; its caller still
// waits, so it must not take longer.
constexpr std::uint64_t offer_ms = 400;

// The head follows within the time of one store call and its tries.
constexpr std::uint64_t offer_age_ms = 5000;

// Submissions of some hundred kilobytes; more trainers than that would not ask
// one entry within these seconds.
constexpr std::size_t most_offers = 16;

// The message that the head stands is small.
constexpr std::uint64_t give_ms = 1000;

} // namespace

void
keeper::impl::offer(const std::shared_ptr<acceptance>& a)
{
  const auto& to = a->head.owner_address;
  if (to.empty() || to == p.address) {
    return;
  }
  a->offering = true;
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_offered_path } + a->id;
  r.body = a->caller.request().body;
  http::exchange_options o;
  o.timeout_ms = offer_ms;
  o.connect_timeout_ms = offer_ms;
  p.http.fetch(to,
               r,
               o,
               [self = shared_from_this(), a](http::end_state end,
                                              http::response&& answer) {
                 const bool taken =
                   end == http::end_state::complete && answer.status == 200;
                 process::log_line(timeline::event{ "batch_offered" }
                                     .with("batch", a->id)
                                     .with("to", a->head.owner)
                                     .with("end", http::name_of(end))
                                     .with("taken", taken ? 1U : 0U));
                 self->on_offer_end(a, taken);
               });
}

void
keeper::impl::on_offer_end(const std::shared_ptr<acceptance>& a, bool taken)
{
  a->offering = false;
  if (!taken) {
    keep(a->head);
  }
  if (a->head_waits) {
    write_head(a);
  }
}

bool
keeper::on_offered(const std::string& id, const std::string& body)
{
  if (!can_own() || impl_->offered.size() >= most_offers) {
    return false;
  }
  if (impl_->known(id) != nullptr) {
    return true;
  }
  auto submission = impl_->p.dialect.submission_from(body);
  if (!submission) {
    process::log_line(timeline::event{ "offer_unreadable" }
                        .with("batch", id)
                        .with("field", submission.fault.field)
                        .with("why", submission.fault.what));
    return false;
  }
  impl_->offered[id] = { std::move(*submission), http::now_ms() };
  return true;
}

// False: nothing was offered of this batch, or it runs elsewhere after all.
bool
keeper::impl::take_offered(batch_state& b)
{
  auto found = offered.extract(b.stored.id);
  if (found.empty() || b.stored.owner != p.instance) {
    return false;
  }
  b.set(std::move(found.mapped().submission), p.dialect.version_line);
  return true;
}

void
keeper::impl::drop_old_offers(std::uint64_t now)
{
  std::erase_if(offered, [now](const auto& o) {
    return now - o.second.at_ms > offer_age_ms;
  });
}

// Tells the instance that the store names as the owner: it need not wait for
// its watch. A message that is lost costs just that.
void
keeper::impl::give(const acceptance& a, const store::object& o)
{
  const auto& to = a.head.owner_address;
  if (to.empty() || to == p.address) {
    return;
  }
  const nlohmann::json body{ { "revision", o.revision }, { "head", o.spec } };
  http::request r;
  r.method = "POST";
  r.target = std::string{ peer_given_path } + a.id;
  r.body = body.dump();
  http::exchange_options options;
  options.timeout_ms = give_ms;
  process::log_line(timeline::event{ "batch_given" }
                      .with("batch", a.id)
                      .with("to", a.head.owner));
  p.http.fetch(
    to, r, options, [id = a.id](http::end_state end, http::response&&) {
      if (end != http::end_state::complete) {
        process::log_line(timeline::event{ "batch_not_given" }
                            .with("batch", id)
                            .with("end", http::name_of(end)));
      }
    });
}

void
keeper::on_given(const std::string& id, const std::string& body)
{
  const auto j = store::parse_message(body);
  const auto head = store::read_shape([&] {
    store::object o;
    o.name = id;
    o.revision = store::whole_field(j, "revision");
    o.spec = store::field(j, "head");
    return o;
  });
  if (!head) {
    process::log_line(timeline::event{ "given_unreadable" }
                        .with("batch", id)
                        .with("field", head.fault.field)
                        .with("why", head.fault.what));
    return;
  }
  if (impl_->known(id) == nullptr) {
    impl_->learn(*head);
  }
}

} // namespace cactusford::batches
