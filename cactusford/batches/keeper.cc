#include "cactusford/batches/keeper.h"

#include "cactusford/batches/state.h"
#include "cactusford/http/socket.h"
#include "cactusford/process/line_log.h"
#include "cactusford/timeline/clock.h"

#include <asio/post.hpp>

#include <algorithm>

namespace cactusford::batches {

using detail::batch_state;
using detail::item_stage;
using detail::item_state;

namespace {

// How often runs, owners and writes are looked at, in milliseconds.
constexpr std::uint64_t tick_ms = 100;

// An owner that has not answered for this long is taken to be gone. A process
// that is killed is back within about a second and goes on by itself; a batch
// has seconds to spare, and a takeover by mistake costs double runs only.
constexpr std::uint64_t owner_silence_ms = 2200;
constexpr std::uint64_t owner_ask_ms = 500;

// Spread of the takeovers by several instances, so that one write wins before
// the others are tried.
constexpr std::uint64_t takeover_spread_ms = 300;

// Results gather this long before they are written, unless a group is whole:
// single results are of no use to the trainer yet, and each write is a call.
constexpr std::uint64_t gather_ms = 1500;

// A value of the store is a megabyte at most; JSON escapes and names add to
// the text.
constexpr std::size_t chunk_bytes = 500U << 10;
constexpr std::size_t page_bytes = 900U << 10;

// A run without an event for this long goes on elsewhere: several times the
// usual pause, and longer than a prompt takes to be read.
constexpr std::uint64_t first_event_limit_ms = 1500;
constexpr std::uint64_t event_limit_ms = 700;

// A run is moved off a slow engine at most this often.
constexpr std::uint64_t move_pause_ms = 600;

// Pauses before an item is tried again.
constexpr std::uint64_t refused_pause_ms = 60;
constexpr std::uint64_t failed_pause_ms = 100;

// The longest run of one item, beyond any length that engines allow.
constexpr std::uint64_t run_limit_ms = 60000;

// Clocks of instances differ; an item is given up late rather than early.
constexpr std::uint64_t clock_margin_ms = 8000;

// A read of results from the owner may take this long beyond its wait.
constexpr std::uint64_t peer_read_ms = 400;

// Between two looks of one instance for new chunks of a batch it doesn't own.
constexpr std::uint64_t chunk_look_ms = 300;

// What is remembered of the items of ended batches, which may come again.
constexpr std::size_t carried_limit = 2000;

// A scorer call that got no answer is made again after this pause.
constexpr std::uint64_t scorer_pause_ms = 80;

// When a caller that was refused may come back: the store usually answers
// again within a second.
constexpr std::string_view come_back_s = "0.5";

http::response
answer(int status, std::string body = {})
{
  http::response r;
  r.status = status;
  if (!body.empty()) {
    r.fields.push_back({ "Content-Type", "application/json" });
  }
  r.body = std::move(body);
  return r;
}

http::response
come_back(const edge::dialect& d)
{
  auto r = answer(503);
  r.fields.push_back({ d.headers.retry_after, std::string{ come_back_s } });
  return r;
}

} // namespace

struct keeper::impl : std::enable_shared_from_this<keeper::impl>
{
  explicit impl(keeper_parts parts)
    : p{ std::move(parts) }
    , timer{ p.io }
  {
  }

  // Knowledge
  batch_state* known(const std::string& id);
  batch_state* learn(const store::object& o);
  void update(batch_state& b, stored_batch&& s);
  void forget(const std::string& id);
  void lookup(const std::string& id, std::function<void(batch_state*, bool)>);

  // Ownership
  void own(batch_state& b);
  void disown(batch_state& b, std::string_view why);
  void load_chunks(const std::string& id, std::function<void(bool)> done);
  void ask_owners(std::uint64_t now);
  void take_over(batch_state& b, std::string_view why);
  void write_status(const std::string& id,
                    std::function<void(stored_batch&)> change,
                    std::function<void(store::verdict)> done,
                    int tries);

  // Runs
  void plan_soon();
  void plan();
  bool launch(batch_state& b, item_state& i);
  void on_head(const std::string& id,
               std::size_t at,
               std::uint64_t run,
               const http::head& h);
  void on_body(const std::string& id,
               std::size_t at,
               std::uint64_t run,
               std::string_view data);
  void on_run_end(const std::string& id,
                  std::size_t at,
                  std::uint64_t run,
                  http::end_state end);
  item_state* current_run(const std::string& id,
                          std::size_t at,
                          std::uint64_t run);
  void stop_run(item_state& i);
  void retry_item(batch_state& b,
                  item_state& i,
                  std::uint64_t pause,
                  std::string_view why);
  void on_text(batch_state& b, item_state& i);
  void score(const std::string& id, std::size_t at);
  void on_scored(const std::string& id,
                 std::size_t at,
                 edge::forward_outcome&& o);
  void finish_item(batch_state& b, item_state& i, item_result r);
  void watch_runs(batch_state& b, std::uint64_t now);
  void give_up_late(batch_state& b);
  void reuse_carried(batch_state& b);
  void remember(batch_state& b);

  // Results
  void write_results(batch_state& b);
  void maybe_write(batch_state& b, std::uint64_t now);
  void read_back(const std::string& id, std::uint64_t chunk);
  void on_chunk(const std::string& id, std::vector<item_result> results);
  void answer_readers(batch_state& b, std::uint64_t now);
  void respond_page(const http::call& c, batch_state& b, std::uint64_t after);
  void read_from_owner(const http::call& caller,
                       batch_state& b,
                       const edge::batch_request& r);
  void read_from_store(const http::call& caller, const edge::batch_request& r);

  void tick();

  keeper_parts p;
  asio::steady_timer timer;
  std::unordered_map<std::string, std::unique_ptr<batch_state>> batches;
  std::unordered_map<std::string, detail::carried_item> carried;
  // When an owner's address last answered, on the steady clock.
  std::map<std::string, std::uint64_t> owner_seen;
  std::map<std::string, bool> owner_asked;
  std::uint64_t last_ask = 0;
  std::uint64_t next_run = 1;
  bool plan_posted = false;
  bool leaving = false;
};

batch_state*
keeper::impl::known(const std::string& id)
{
  const auto found = batches.find(id);
  return found == batches.end() ? nullptr : found->second.get();
}

batch_state*
keeper::impl::learn(const store::object& o)
{
  auto s = decode_batch(o.name, o.revision, o.spec, o.status);
  if (!s) {
    process::log_line(
      timeline::event{ "batch_unreadable" }.with("batch", o.name));
    return nullptr;
  }
  auto* b = known(o.name);
  if (b == nullptr) {
    auto submission = p.dialect.submission_from(s->body);
    if (!submission) {
      process::log_line(
        timeline::event{ "batch_unreadable" }.with("batch", o.name));
      return nullptr;
    }
    auto fresh = std::make_unique<batch_state>();
    fresh->set(std::move(*submission), p.dialect.version_line);
    b = fresh.get();
    batches.emplace(o.name, std::move(fresh));
    s->body.clear();
    b->stored = *s;
    b->owner_since_ms = http::now_ms();
    if (!s->ended && s->owner == p.instance) {
      own(*b);
    }
    return b;
  }
  s->body.clear();
  update(*b, std::move(*s));
  return b;
}

void
keeper::impl::update(batch_state& b, stored_batch&& s)
{
  if (s.revision <= b.stored.revision) {
    return;
  }
  const bool was_ended = b.stored.ended;
  const bool new_owner = s.owner != b.stored.owner;
  b.stored = std::move(s);
  if (new_owner) {
    b.owner_since_ms = http::now_ms();
    process::log_line(timeline::event{ "batch_owner" }
                        .with("batch", b.stored.id)
                        .with("owner", b.stored.owner)
                        .with("revision", b.stored.revision));
  }
  if (b.stored.ended && !was_ended) {
    process::log_line(timeline::event{ "batch_ended" }
                        .with("batch", b.stored.id)
                        .with("listed", b.ledger.listed.size()));
    remember(b);
    disown(b, "ended");
  } else if (b.owned && b.stored.owner != p.instance) {
    disown(b, "other_owner");
  } else if (!b.owned && !b.stored.ended && b.stored.owner == p.instance) {
    own(b);
  }
}

void
keeper::impl::forget(const std::string& id)
{
  if (auto* b = known(id)) {
    disown(*b, "removed");
    batches.erase(id);
  }
}

// Finds a batch that the watch has not shown yet. The second argument is true
// when the store has answered.
void
keeper::impl::lookup(const std::string& id,
                     std::function<void(batch_state*, bool)> done)
{
  if (auto* b = known(id)) {
    done(b, true);
    return;
  }
  store::call c;
  c.op = store::operation::get;
  c.kind = batch_kind;
  c.name = id;
  p.store.perform(c, [self = shared_from_this(), id, done](store::reply&& r) {
    if (r.what == store::verdict::done && !r.items.empty()) {
      done(self->learn(r.items.front()), true);
      return;
    }
    done(self->known(id), r.what == store::verdict::missing);
  });
}

void
keeper::impl::own(batch_state& b)
{
  if (leaving) {
    return;
  }
  b.owned = true;
  process::log_line(timeline::event{ "batch_owned" }
                      .with("batch", b.stored.id)
                      .with("items", b.items.size())
                      .with("min_version", b.submission.min_version)
                      .with("revision", b.stored.revision));
  if (b.loaded) {
    plan_soon();
    return;
  }
  const auto id = b.stored.id;
  load_chunks(id, [self = shared_from_this(), id](bool ok) {
    auto* loaded = self->known(id);
    if (loaded == nullptr || !loaded->owned) {
      return;
    }
    loaded->loaded = ok;
    loaded->load_again = !ok;
    if (ok) {
      loaded->drop_listed();
      self->reuse_carried(*loaded);
      self->plan_soon();
    }
  });
}

void
keeper::impl::disown(batch_state& b, std::string_view why)
{
  if (!b.owned) {
    return;
  }
  b.owned = false;
  b.loaded = false;
  for (auto& i : b.items) {
    if (i.stage == item_stage::running) {
      stop_run(i);
    }
    if (i.stage == item_stage::scoring && i.cancel_score) {
      i.cancel_score();
    }
    i.stage = item_stage::waiting;
  }
  b.recount();
  b.ledger.pending.clear();
  b.ledger.writing = 0;
  b.ledger.ids.clear();
  for (const auto& r : b.ledger.listed) {
    b.ledger.ids.insert(r.id);
  }
  answer_readers(b, http::now_ms());
  process::log_line(timeline::event{ "batch_disowned" }
                      .with("batch", b.stored.id)
                      .with("why", why));
}

// Reads the chunks behind those that are known, until there is none.
void
keeper::impl::load_chunks(const std::string& id, std::function<void(bool)> done)
{
  auto* b = known(id);
  if (b == nullptr) {
    done(false);
    return;
  }
  store::call c;
  c.op = store::operation::get;
  c.kind = chunk_kind;
  c.name = chunk_name(id, b->ledger.chunks);
  p.store.perform(
    c,
    [self = shared_from_this(), id, done, chunk = b->ledger.chunks](
      store::reply&& r) {
      auto* now = self->known(id);
      if (now == nullptr || r.what == store::verdict::missing) {
        done(now != nullptr);
        return;
      }
      if (r.what != store::verdict::done || r.items.empty()) {
        done(false);
        return;
      }
      auto results = decode_chunk(r.items.front().spec);
      if (!results) {
        process::log_line(
          timeline::event{ "chunk_unreadable" }.with("batch", id));
        done(false);
        return;
      }
      if (now->ledger.chunks == chunk) {
        self->on_chunk(id, std::move(*results));
      }
      self->load_chunks(id, done);
    });
}

// Changes the status on the condition that nobody changed it meanwhile; a
// conflict shows the newer one, and the change is made again on that.
void
keeper::impl::write_status(const std::string& id,
                           std::function<void(stored_batch&)> change,
                           std::function<void(store::verdict)> done,
                           int tries)
{
  auto* b = known(id);
  if (b == nullptr) {
    done(store::verdict::missing);
    return;
  }
  auto wanted = b->stored;
  change(wanted);
  if (encode_status(wanted) == encode_status(b->stored)) {
    done(store::verdict::done);
    return;
  }
  store::call c;
  c.op = store::operation::replace_status;
  c.kind = batch_kind;
  c.name = id;
  c.revision = b->stored.revision;
  c.body = encode_status(wanted);
  p.store.perform(
    c, [self = shared_from_this(), id, change, done, tries](store::reply&& r) {
      for (const auto& o : r.items) {
        self->learn(o);
      }
      const bool again = r.what == store::verdict::conflict ||
                         (r.what == store::verdict::unknown && r.items.empty());
      if (!again || tries <= 1) {
        done(r.what);
        return;
      }
      if (!r.items.empty()) {
        self->write_status(id, change, done, tries - 1);
        return;
      }
      // Read back what stands there.
      store::call get;
      get.op = store::operation::get;
      get.kind = batch_kind;
      get.name = id;
      self->p.store.perform(
        get, [self, id, change, done, tries](store::reply&& back) {
          for (const auto& o : back.items) {
            self->learn(o);
          }
          if (back.what == store::verdict::done) {
            self->write_status(id, change, done, tries - 1);
          } else {
            done(back.what);
          }
        });
    });
}

// Asks the owners of open batches whether they live. Their own silence is
// what counts: the store may be away for us alone.
void
keeper::impl::ask_owners(std::uint64_t now)
{
  if (now - last_ask < owner_ask_ms) {
    return;
  }
  last_ask = now;
  std::map<std::string, bool> owners;
  for (const auto& [id, b] : batches) {
    if (b->is_open() && !b->owned && !b->stored.owner_address.empty()) {
      owners[b->stored.owner_address] = true;
    }
  }
  for (const auto& [address, unused] : owners) {
    if (owner_asked[address]) {
      continue;
    }
    owner_asked[address] = true;
    http::request r;
    r.method = "GET";
    r.target = peer_alive_path;
    http::exchange_options o;
    o.timeout_ms = owner_ask_ms * 2;
    p.http.fetch(address,
                 r,
                 o,
                 [self = shared_from_this(), address](http::end_state end,
                                                      http::response&& a) {
                   self->owner_asked[address] = false;
                   if (end == http::end_state::complete && a.status == 200) {
                     self->owner_seen[address] = http::now_ms();
                   }
                 });
  }
}

void
keeper::impl::take_over(batch_state& b, std::string_view why)
{
  if (b.taking_over || leaving) {
    return;
  }
  b.taking_over = true;
  const auto from = b.stored.owner;
  const auto id = b.stored.id;
  process::log_line(timeline::event{ "batch_takeover" }
                      .with("batch", id)
                      .with("from", from)
                      .with("why", why)
                      .with("revision", b.stored.revision));
  write_status(
    id,
    [self = shared_from_this(), from](stored_batch& s) {
      if (s.owner == from && !s.ended) {
        s.owner = self->p.instance;
        s.owner_address = self->p.address;
      }
    },
    [self = shared_from_this(), id](store::verdict) {
      if (auto* now = self->known(id)) {
        now->taking_over = false;
        now->owner_since_ms = http::now_ms();
      }
    },
    2);
}

void
keeper::impl::plan_soon()
{
  if (plan_posted) {
    return;
  }
  plan_posted = true;
  asio::post(p.io, [self = shared_from_this()] {
    self->plan_posted = false;
    self->plan();
  });
}

// Gives waiting items to engines: oldest batch first, and in a batch those
// that are expected to take longest, as they decide when a group is whole.
void
keeper::impl::plan()
{
  std::vector<batch_state*> order;
  for (auto& [id, b] : batches) {
    if (b->owned && b->loaded && !b->stored.ended) {
      order.push_back(b.get());
    }
  }
  std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
    return a->stored.accepted_wall_ms < b->stored.accepted_wall_ms;
  });
  const auto now = http::now_ms();
  for (auto* b : order) {
    for (const auto at : b->order) {
      auto& i = b->items[at];
      if (i.stage == item_stage::waiting && i.not_before_ms <= now &&
          !launch(*b, i)) {
        break;
      }
    }
  }
}

bool
keeper::impl::launch(batch_state& b, item_state& i)
{
  const auto table = p.table();
  const auto* route =
    table ? routes::match(*table, b.stored.host, b.stored.target) : nullptr;
  if (route == nullptr || route->services.empty()) {
    return false;
  }
  const auto& item = b.submission.items[i.index];
  backends::item_needs needs;
  needs.service = route->services.front().service;
  needs.model = b.submission.model;
  needs.min_version = b.submission.min_version;
  needs.only_version =
    route->single_version && i.text.events > 0 ? i.text.version : 0;
  needs.not_on = i.not_on;
  needs.data_centre = p.data_centre;
  if (needs.only_version != 0 && !backends::can_serve(p.registry, needs)) {
    i.text = {};
    needs.only_version = 0;
  }
  const auto now = http::now_ms();
  auto* backend = backends::choose_for_item(p.registry, needs, now);
  if (backend == nullptr) {
    i.not_on.clear();
    return false;
  }
  const auto& names = p.dialect.headers;
  http::request r;
  r.method = "POST";
  r.target = item.path;
  r.body = item.body;
  r.fields.push_back({ "Host", b.stored.host });
  for (const auto& h : item.fields) {
    if (!http::is_hop_by_hop(h.name)) {
      http::set(r.fields, h.name, h.value);
    }
  }
  http::set(r.fields, names.request_id, item.id);
  http::set(r.fields, names.deadline_ms, std::to_string(run_limit_ms));
  http::set(r.fields, names.expected_backend, backend->said.id);
  if (i.text.events > 0) {
    http::set(r.fields, names.last_event, std::to_string(i.text.last_event));
  }
  if (needs.only_version != 0) {
    http::set(
      r.fields, names.expected_version, std::to_string(needs.only_version));
  }
  i.stage = item_stage::running;
  i.run = next_run++;
  i.backend = backend->said.id;
  i.started_ms = now;
  i.last_event_ms = now;
  i.status = 0;
  i.not_run = false;
  i.events_in_run = 0;
  i.reader = event_reader{ p.dialect.version_line };
  ++i.tries;
  ++backend->in_flight;
  http::exchange_options o;
  o.timeout_ms = run_limit_ms;
  o.echo = { names.request_id, item.id };
  http::exchange_events events;
  const auto self = shared_from_this();
  events.on_head = [self, id = b.stored.id, at = i.index, run = i.run](
                     const http::head& h) { self->on_head(id, at, run, h); };
  events.on_body = [self, id = b.stored.id, at = i.index, run = i.run](
                     std::string_view d) { self->on_body(id, at, run, d); };
  events.on_end = [self, id = b.stored.id, at = i.index, run = i.run](
                    http::end_state e) { self->on_run_end(id, at, run, e); };
  i.sent = p.http.send(backend->said.address, r, o, std::move(events));
  return true;
}

item_state*
keeper::impl::current_run(const std::string& id,
                          std::size_t at,
                          std::uint64_t run)
{
  auto* b = known(id);
  if (b == nullptr || at >= b->items.size()) {
    return nullptr;
  }
  auto& i = b->items[at];
  const bool current = i.stage == item_stage::running && i.run == run;
  return current ? &i : nullptr;
}

void
keeper::impl::on_head(const std::string& id,
                      std::size_t at,
                      std::uint64_t run,
                      const http::head& h)
{
  auto* i = current_run(id, at, run);
  if (i == nullptr) {
    return;
  }
  auto& b = *known(id);
  const auto& names = p.dialect.headers;
  constexpr int misdirected = 421;
  i->status = h.status;
  i->not_run =
    h.status == misdirected || http::find(h.fields, names.not_run).has_value();
  auto* backend = backends::find(p.registry, i->backend);
  const auto version = http::number(h.fields, names.weight_version);
  if (backend != nullptr && version) {
    backend->said.versions[b.submission.model] = *version;
  }
  if (backend != nullptr) {
    if (const auto text = http::find(h.fields, names.load)) {
      if (const auto load = p.dialect.load_from(*text)) {
        backends::note_load(*backend, *load, http::now_ms());
      }
    }
  }
  constexpr int ok = 200;
  if (h.status != ok) {
    return;
  }
  const auto* table_route = [&]() -> const routes::route* {
    const auto table = p.table();
    return table ? routes::match(*table, b.stored.host, b.stored.target)
                 : nullptr;
  }();
  const bool single = table_route != nullptr && table_route->single_version;
  const bool too_old = version && *version < b.submission.min_version;
  const bool mixed =
    single && i->text.events > 0 && version && *version != i->text.version;
  if (too_old || !version || mixed) {
    // Text of these weights must not enter the result.
    stop_run(*i);
    if (mixed) {
      i->text = {};
    }
    retry_item(b, *i, failed_pause_ms, "old_weights");
    return;
  }
  i->text.version = *version;
}

void
keeper::impl::on_body(const std::string& id,
                      std::size_t at,
                      std::uint64_t run,
                      std::string_view data)
{
  auto* i = current_run(id, at, run);
  constexpr int ok = 200;
  if (i == nullptr || i->status != ok) {
    return;
  }
  auto& b = *known(id);
  const auto now = http::now_ms();
  const auto events = i->reader.feed(data);
  if (events.empty()) {
    return;
  }
  for (const auto& e : events) {
    if (i->reader.is_malformed() || !append(i->text, e)) {
      process::log_line(timeline::event{ "item_events_broken" }
                          .with("request", b.submission.items[at].id)
                          .with("batch", id)
                          .with("expected", i->text.last_event + 1)
                          .with("got", e.id));
      stop_run(*i);
      i->not_on = i->backend;
      retry_item(b, *i, failed_pause_ms, "broken_events");
      return;
    }
  }
  if (i->text.version < b.submission.min_version) {
    i->text = {};
    stop_run(*i);
    retry_item(b, *i, failed_pause_ms, "old_weights");
    return;
  }
  if (auto* backend = backends::find(p.registry, i->backend)) {
    if (i->events_in_run > 0) {
      const auto gap = static_cast<double>(now - i->last_event_ms) /
                       static_cast<double>(events.size());
      backends::note_pace(*backend, gap, now);
    }
    auto& said = backend->said.versions[b.submission.model];
    said = std::max(said, i->text.version);
  }
  i->events_in_run += events.size();
  i->last_event_ms = now;
}

void
keeper::impl::on_run_end(const std::string& id,
                         std::size_t at,
                         std::uint64_t run,
                         http::end_state end)
{
  auto* i = current_run(id, at, run);
  if (i == nullptr) {
    return;
  }
  auto& b = *known(id);
  auto* backend = backends::find(p.registry, i->backend);
  if (backend != nullptr) {
    --backend->in_flight;
  }
  i->sent = {};
  const bool complete = end == http::end_state::complete;
  constexpr int ok = 200;
  constexpr int unprocessable = 422;
  constexpr int server_error = 500;
  if (complete && i->status == ok && !i->reader.has_partial() &&
      i->text.events > 0) {
    if (backend != nullptr) {
      backend->failures = 0;
    }
    on_text(b, *i);
    return;
  }
  if (complete && i->not_run) {
    i->not_on = i->backend;
    retry_item(b, *i, refused_pause_ms, "not_run");
    return;
  }
  if (complete && i->status == unprocessable) {
    finish_item(b, *i, { b.submission.items[at].id, false, "", {}, "" });
    return;
  }
  i->not_on = i->backend;
  if (complete && i->status == server_error) {
    ++i->failed_runs;
    const auto table = p.table();
    const auto* route =
      table ? routes::match(*table, b.stored.host, b.stored.target) : nullptr;
    if (route != nullptr && i->failed_runs >= route->max_attempts) {
      finish_item(b, *i, { b.submission.items[at].id, false, "", {}, "" });
      return;
    }
  } else if (backend != nullptr) {
    backends::note_failure(*backend, http::now_ms());
  }
  retry_item(b, *i, complete ? failed_pause_ms : 0, http::name_of(end));
}

void
keeper::impl::stop_run(item_state& i)
{
  i.sent.cancel();
  i.sent = {};
  if (auto* backend = backends::find(p.registry, i.backend)) {
    --backend->in_flight;
  }
  i.stage = item_stage::waiting;
}

void
keeper::impl::retry_item(batch_state& b,
                         item_state& i,
                         std::uint64_t pause,
                         std::string_view why)
{
  const auto& item = b.submission.items[i.index];
  process::log_line(timeline::event{ "item_retried" }
                      .with("request", item.id)
                      .with("batch", b.stored.id)
                      .with("backend", i.backend)
                      .with("why", why)
                      .with("status", static_cast<std::uint64_t>(i.status))
                      .with("events", i.text.events)
                      .with("tries", i.tries));
  i.stage = item_stage::waiting;
  i.not_before_ms = http::now_ms() + pause;
  if (pause == 0) {
    plan_soon();
  }
}

// The whole text is there; the scorer's verdict makes it a result.
void
keeper::impl::on_text(batch_state& b, item_state& i)
{
  const auto& item = b.submission.items[i.index];
  if (!item.scorer) {
    finish_item(b, i, { item.id, true, i.text.text, i.text.versions, "" });
    return;
  }
  i.stage = item_stage::scoring;
  i.score_tries = 0;
  score(b.stored.id, i.index);
  plan_soon();
}

void
keeper::impl::score(const std::string& id, std::size_t at)
{
  auto* b = known(id);
  if (b == nullptr || !b->owned || b->items[at].stage != item_stage::scoring) {
    return;
  }
  auto& i = b->items[at];
  const auto& call = *b->submission.items[at].scorer;
  const auto table = p.table();
  const auto* route =
    table ? routes::match(*table, call.host, call.path) : nullptr;
  if (route == nullptr) {
    i.score_again_ms = http::now_ms() + scorer_pause_ms;
    return;
  }
  edge::forward_request f;
  f.id = call.id;
  f.route = *route;
  // May be repeated, whatever the route allows to callers.
  f.route.kind = routes::call_kind::idempotent;
  f.request.method = "POST";
  f.request.target = call.path;
  f.request.body = call.body;
  f.request.fields.push_back({ "Host", call.host });
  f.request.fields.push_back({ p.dialect.headers.request_id, call.id });
  f.give_up_ms = http::now_ms() + route->timeout_ms;
  i.score_again_ms = 0;
  ++i.score_tries;
  i.cancel_score = p.forwarder.start(
    std::move(f),
    [self = shared_from_this(), id, at](edge::forward_outcome&& o) {
      self->on_scored(id, at, std::move(o));
    });
}

void
keeper::impl::on_scored(const std::string& id,
                        std::size_t at,
                        edge::forward_outcome&& o)
{
  auto* b = known(id);
  if (b == nullptr || !b->owned || b->items[at].stage != item_stage::scoring) {
    return;
  }
  auto& i = b->items[at];
  i.cancel_score = nullptr;
  const auto& item = b->submission.items[at];
  const bool answered = o.what == edge::forward_end::answered;
  const bool success =
    answered && o.answer.status >= 200 && o.answer.status < 300;
  const auto signature =
    http::find(o.answer.fields, p.dialect.headers.signature);
  if (success && signature) {
    finish_item(*b,
                i,
                { item.id,
                  true,
                  i.text.text,
                  i.text.versions,
                  std::string{ *signature } });
    return;
  }
  i.failed_scores += o.failed_runs;
  const auto table = p.table();
  const auto* route =
    table ? routes::match(*table, item.scorer->host, item.scorer->path)
          : nullptr;
  if (route != nullptr && i.failed_scores >= route->max_attempts) {
    process::log_line(timeline::event{ "item_score_failed" }
                        .with("request", item.id)
                        .with("scorer_request", item.scorer->id)
                        .with("failures", i.failed_scores));
    finish_item(*b, i, { item.id, false, "", {}, "" });
    return;
  }
  i.score_again_ms = http::now_ms() + scorer_pause_ms;
}

void
keeper::impl::finish_item(batch_state& b, item_state& i, item_result r)
{
  i.stage = item_stage::finished;
  const auto now = http::now_ms();
  process::log_line(timeline::event{ "item_finished" }
                      .with("request", r.id)
                      .with("batch", b.stored.id)
                      .with("done", r.done ? 1U : 0U)
                      .with("events", i.text.events)
                      .with("tries", i.tries));
  add_result(b.ledger, std::move(r), now);
  b.note_finished(i.index);
  maybe_write(b, now);
  plan_soon();
}

// Writes when a group has become whole, when nothing else is to come, or when
// results have waited long enough.
void
keeper::impl::maybe_write(batch_state& b, std::uint64_t now)
{
  if (!b.owned || !b.loaded || b.ledger.writing != 0 ||
      b.ledger.pending.empty() || now < b.write_again_ms) {
    return;
  }
  const bool old = now - b.ledger.pending_since_ms >= gather_ms;
  const bool all = b.ledger.pending.size() + b.ledger.listed.size() ==
                   b.submission.items.size();
  if (b.group_became_whole || old || all) {
    write_results(b);
  }
}

void
keeper::impl::write_results(batch_state& b)
{
  b.group_became_whole = false;
  const auto results = begin_chunk(b.ledger, chunk_bytes);
  const auto id = b.stored.id;
  const auto chunk = b.ledger.chunks;
  store::call c;
  c.op = store::operation::create;
  c.kind = chunk_kind;
  c.name = chunk_name(id, chunk);
  c.body = encode_chunk(results);
  p.store.perform(
    c,
    [self = shared_from_this(), id, chunk, results](store::reply&& r) mutable {
      auto* now = self->known(id);
      if (now == nullptr || !now->owned || now->ledger.chunks != chunk) {
        return;
      }
      if (r.what == store::verdict::done) {
        self->on_chunk(id, std::move(results));
        self->maybe_write(*now, http::now_ms());
        return;
      }
      if (r.what == store::verdict::conflict ||
          r.what == store::verdict::unknown) {
        self->read_back(id, chunk);
        return;
      }
      abandon_chunk(now->ledger);
      now->group_became_whole = true;
      now->write_again_ms = http::now_ms() + failed_pause_ms;
    });
}

// What stands at this chunk decides. If nothing does yet, a lost write may
// still land: the next create meets it as a conflict.
void
keeper::impl::read_back(const std::string& id, std::uint64_t chunk)
{
  load_chunks(id, [self = shared_from_this(), id, chunk](bool) {
    auto* b = self->known(id);
    if (b == nullptr || !b->owned) {
      return;
    }
    abandon_chunk(b->ledger);
    b->drop_listed();
    b->group_became_whole = true;
    if (b->ledger.chunks == chunk) {
      b->write_again_ms = http::now_ms() + failed_pause_ms;
    }
    self->maybe_write(*b, http::now_ms());
  });
}

void
keeper::impl::on_chunk(const std::string& id, std::vector<item_result> results)
{
  auto* b = known(id);
  if (b == nullptr) {
    return;
  }
  adopt_chunk(b->ledger, std::move(results));
  process::log_line(timeline::event{ "results_listed" }
                      .with("batch", id)
                      .with("chunk", b->ledger.chunks - 1)
                      .with("listed", b->ledger.listed.size())
                      .with("total", b->submission.items.size()));
  answer_readers(*b, http::now_ms());
}

void
keeper::impl::respond_page(const http::call& c,
                           batch_state& b,
                           std::uint64_t after)
{
  const auto page =
    page_of(b.ledger, b.submission.items.size(), after, page_bytes);
  c.respond(answer(200, p.dialect.encode_page(page)));
}

void
keeper::impl::answer_readers(batch_state& b, std::uint64_t now)
{
  auto readers = std::move(b.readers);
  b.readers.clear();
  for (auto& r : readers) {
    const bool more = b.ledger.listed.size() > r.after;
    if (more || !b.owned || now >= r.until_ms || leaving) {
      respond_page(r.caller, b, r.after);
    } else if (r.caller.is_open()) {
      b.readers.push_back(std::move(r));
    }
  }
}

void
keeper::impl::read_from_owner(const http::call& caller,
                              batch_state& b,
                              const edge::batch_request& r)
{
  http::request ask;
  ask.method = "GET";
  ask.target = std::string{ peer_results_path } + r.id +
               "?after=" + std::to_string(r.after) +
               "&wait=" + std::to_string(r.wait_ms);
  http::exchange_options o;
  o.timeout_ms = r.wait_ms + peer_read_ms;
  o.connect_timeout_ms = peer_read_ms / 2;
  auto sent = std::make_shared<http::pending>();
  *sent =
    p.http.fetch(b.stored.owner_address,
                 ask,
                 o,
                 [self = shared_from_this(), caller, r](http::end_state end,
                                                        http::response&& a) {
                   if (end == http::end_state::complete && a.status == 200) {
                     caller.respond(answer(200, std::move(a.body)));
                     return;
                   }
                   self->read_from_store(caller, r);
                 });
  caller.on_gone([sent] { sent->cancel(); });
}

void
keeper::impl::read_from_store(const http::call& caller,
                              const edge::batch_request& r)
{
  auto* b = known(r.id);
  const auto now = http::now_ms();
  if (b == nullptr) {
    caller.respond(come_back(p.dialect));
    return;
  }
  if (now - b->looked_ms < chunk_look_ms &&
      b->ledger.listed.size() >= r.after) {
    respond_page(caller, *b, r.after);
    return;
  }
  load_chunks(r.id, [self = shared_from_this(), caller, r](bool ok) {
    auto* found = self->known(r.id);
    if (found != nullptr && ok) {
      found->looked_ms = http::now_ms();
    }
    // Without the store nothing is known of the positions behind ours.
    if (found == nullptr || (!ok && found->ledger.listed.size() <= r.after)) {
      caller.respond(come_back(self->p.dialect));
      return;
    }
    self->respond_page(caller, *found, r.after);
  });
}

void
keeper::impl::watch_runs(batch_state& b, std::uint64_t now)
{
  for (auto& i : b.items) {
    if (i.stage == item_stage::scoring && i.score_again_ms != 0 &&
        i.score_again_ms <= now) {
      score(b.stored.id, i.index);
    }
    if (i.stage != item_stage::running) {
      continue;
    }
    auto* backend = backends::find(p.registry, i.backend);
    const auto limit =
      i.events_in_run > 0 ? event_limit_ms : first_event_limit_ms;
    if (now - i.last_event_ms > limit) {
      if (backend != nullptr) {
        backends::note_failure(*backend, now);
      }
      stop_run(i);
      i.not_on = i.backend;
      retry_item(b, i, 0, "silent");
      continue;
    }
    const bool leaving_backend = backend == nullptr || backend->said.leaving;
    const auto service = backend ? backend->said.service : std::string{};
    const bool slow =
      backend != nullptr &&
      backends::is_slow(
        *backend, backends::usual_pace_ms(p.registry, service, now), now) &&
      now - i.started_ms > move_pause_ms;
    if (!leaving_backend && !slow) {
      continue;
    }
    backends::item_needs needs;
    needs.service = service;
    needs.model = b.submission.model;
    needs.min_version = b.submission.min_version;
    needs.not_on = i.backend;
    needs.data_centre = p.data_centre;
    auto* other = backend == nullptr
                    ? nullptr
                    : backends::choose_for_item(p.registry, needs, now);
    const bool better =
      other != nullptr &&
      !backends::is_slow(
        *other, backends::usual_pace_ms(p.registry, service, now), now);
    if (backend == nullptr || better) {
      stop_run(i);
      i.not_on = i.backend;
      retry_item(b, i, 0, leaving_backend ? "leaving" : "slow");
      plan();
    }
  }
}

void
keeper::impl::give_up_late(batch_state& b)
{
  const auto table = p.table();
  const auto* route =
    table ? routes::match(*table, b.stored.host, b.stored.target) : nullptr;
  const auto wall = timeline::wall_ms();
  if (route == nullptr || route->give_up_ms == 0 ||
      wall < b.stored.accepted_wall_ms + route->give_up_ms + clock_margin_ms) {
    return;
  }
  for (auto& i : b.items) {
    if (i.stage == item_stage::finished) {
      continue;
    }
    if (i.stage == item_stage::running) {
      stop_run(i);
    } else if (i.stage == item_stage::scoring && i.cancel_score) {
      i.cancel_score();
    }
    finish_item(b, i, { b.submission.items[i.index].id, false, "", {}, "" });
  }
}

// Items of groups that were not complete come again in a later batch. What is
// known of their text is used if its weights are new enough.
void
keeper::impl::reuse_carried(batch_state& b)
{
  for (auto& i : b.items) {
    const auto& item = b.submission.items[i.index];
    const auto found = carried.find(item.id);
    if (found == carried.end() || i.stage != item_stage::waiting) {
      continue;
    }
    const auto& text = found->second.text;
    const bool fresh = std::all_of(
      text.versions.begin(), text.versions.end(), [&](std::uint64_t v) {
        return v >= b.submission.min_version;
      });
    if (!fresh || text.events == 0) {
      continue;
    }
    i.text = text;
    if (found->second.whole) {
      on_text(b, i);
    }
  }
}

void
keeper::impl::remember(batch_state& b)
{
  if (!b.owned) {
    return;
  }
  if (carried.size() > carried_limit) {
    carried.clear();
  }
  for (const auto& i : b.items) {
    const bool whole =
      i.stage == item_stage::scoring || i.stage == item_stage::finished;
    if (i.text.events > 0) {
      carried[b.submission.items[i.index].id] = { i.text, whole };
    }
  }
}

void
keeper::impl::tick()
{
  timer.expires_after(std::chrono::milliseconds{ tick_ms });
  timer.async_wait([self = shared_from_this()](asio::error_code ec) {
    if (!ec) {
      self->tick();
    }
  });
  const auto now = http::now_ms();
  ask_owners(now);
  bool waiting = false;
  for (auto& [id, b] : batches) {
    if (!b->readers.empty()) {
      answer_readers(*b, now);
    }
    if (b->owned && b->load_again) {
      b->load_again = false;
      own(*b);
    }
    if (b->owned && b->loaded) {
      give_up_late(*b);
      watch_runs(*b, now);
      maybe_write(*b, now);
      waiting = true;
      continue;
    }
    if (b->owned || !b->is_open() || leaving) {
      continue;
    }
    const auto spread =
      std::hash<std::string>{}(p.instance + id) % takeover_spread_ms;
    const auto seen =
      std::max(owner_seen[b->stored.owner_address], b->owner_since_ms);
    const bool released = b->stored.owner.empty();
    const auto limit = (released ? 0 : owner_silence_ms) + spread;
    if (now - (released ? b->owner_since_ms : seen) > limit) {
      take_over(*b, released ? "released" : "owner_silent");
    }
  }
  if (waiting) {
    plan();
  }
}

keeper::keeper(keeper_parts parts)
  : impl_{ std::make_shared<impl>(std::move(parts)) }
{
}

keeper::~keeper()
{
  impl_->timer.cancel();
}

void
keeper::start()
{
  impl_->tick();
}

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
  stored_batch s;
  s.id = id;
  s.host = std::string{ http::find(request.fields, "Host").value_or("") };
  s.target = request.target;
  s.accepted_wall_ms = timeline::wall_ms();
  s.body = request.body;
  // A leaving instance accepts for the others.
  if (!impl_->leaving) {
    s.owner = impl_->p.instance;
    s.owner_address = impl_->p.address;
  }
  store::call c;
  c.op = store::operation::create;
  c.kind = batch_kind;
  c.name = id;
  c.body = encode_spec(s);
  // A create that met nobody's batch is made again until the caller's time is
  // nearly up: it takes place once, whatever gets lost.
  struct creator : std::enable_shared_from_this<creator>
  {
    std::shared_ptr<impl> self;
    store::call c;
    http::call caller;
    std::string id;
    std::uint64_t until_ms = 0;
    bool unknown = false;

    void go()
    {
      self->p.store.perform(
        c, [me = shared_from_this()](store::reply&& r) { me->on(r); });
    }

    void on(const store::reply& r)
    {
      const bool accepted =
        r.what == store::verdict::done || r.what == store::verdict::conflict;
      if (accepted) {
        for (const auto& o : r.items) {
          auto* b = self->learn(o);
          if (b != nullptr && r.what == store::verdict::done &&
              !r.after_unknown) {
            b->loaded = true;
          }
        }
        process::log_line(timeline::event{ "batch_accepted" }
                            .with("batch", id)
                            .with("verdict", store::name_of(r.what)));
        caller.respond(answer(202));
        return;
      }
      unknown = unknown || r.what == store::verdict::unknown;
      if (http::now_ms() < until_ms && caller.is_open()) {
        auto wait = std::make_shared<asio::steady_timer>(
          self->p.io, std::chrono::milliseconds{ failed_pause_ms });
        wait->async_wait(
          [me = shared_from_this(), wait](asio::error_code) { me->go(); });
        return;
      }
      process::log_line(timeline::event{ "batch_refused" }
                          .with("batch", id)
                          .with("unknown", unknown ? 1U : 0U));
      // 503 promises that no item runs, which a lost write does not allow.
      caller.respond(unknown ? answer(504) : come_back(self->p.dialect));
    }
  };
  auto create = std::make_shared<creator>();
  create->self = impl_;
  create->c = std::move(c);
  create->caller = caller;
  create->id = id;
  create->until_ms = give_up_ms;
  create->go();
}

void
keeper::read(const http::call& caller,
             const edge::batch_request& r,
             bool from_peer)
{
  impl_->lookup(
    r.id, [self = impl_, caller, r, from_peer](batch_state* b, bool sure) {
      if (b == nullptr) {
        caller.respond(sure && !from_peer ? answer(404)
                                          : come_back(self->p.dialect));
        return;
      }
      const auto now = http::now_ms();
      if (b->owned && b->loaded) {
        b->readers.push_back({ caller, r.after, now + r.wait_ms });
        self->answer_readers(*b, now);
        return;
      }
      if (from_peer) {
        caller.respond(come_back(self->p.dialect));
      } else if (b->ledger.listed.size() > r.after) {
        self->respond_page(caller, *b, r.after);
      } else if (b->is_open() && b->stored.owner != self->p.instance &&
                 !b->stored.owner_address.empty()) {
        self->read_from_owner(caller, *b, r);
      } else {
        self->read_from_store(caller, r);
      }
    });
}

void
keeper::read_item(const http::call& caller, const edge::batch_request& r)
{
  impl_->lookup(r.id, [self = impl_, caller, r](batch_state* b, bool sure) {
    if (b == nullptr) {
      caller.respond(sure ? answer(404) : come_back(self->p.dialect));
      return;
    }
    const auto* item = b->find_item(r.item);
    if (item == nullptr) {
      caller.respond(answer(404));
      return;
    }
    http::response a;
    a.status = 200;
    a.fields.push_back({ "Content-Type", "application/octet-stream" });
    a.body = item->body;
    caller.respond(std::move(a));
  });
}

void
keeper::end(const http::call& caller, const std::string& id)
{
  impl_->lookup(id, [self = impl_, caller, id](batch_state* b, bool sure) {
    if (b == nullptr) {
      caller.respond(sure ? answer(404) : come_back(self->p.dialect));
      return;
    }
    self->write_status(
      id,
      [](stored_batch& s) { s.ended = true; },
      [self, caller](store::verdict v) {
        const bool done = v == store::verdict::done;
        caller.respond(done ? answer(200) : come_back(self->p.dialect));
      },
      4);
  });
}

void
keeper::on_list(std::vector<store::object>&& all)
{
  std::vector<std::string> gone;
  for (const auto& [id, b] : impl_->batches) {
    const bool listed = std::any_of(
      all.begin(), all.end(), [&](const auto& o) { return o.name == id; });
    if (!listed && !b->owned) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    impl_->forget(id);
  }
  for (const auto& o : all) {
    impl_->learn(o);
  }
}

void
keeper::on_change(store::change&& c)
{
  if (c.deleted) {
    impl_->forget(c.value.name);
  } else {
    impl_->learn(c.value);
  }
}

void
keeper::on_backends()
{
  impl_->plan_soon();
}

std::size_t
keeper::owned() const
{
  return static_cast<std::size_t>(std::count_if(
    impl_->batches.begin(), impl_->batches.end(), [](const auto& e) {
      return e.second->owned;
    }));
}

void
keeper::leave(std::function<void()> done)
{
  impl_->leaving = true;
  auto left = std::make_shared<std::size_t>(1);
  const auto one_done = [left, done] {
    if (--*left == 0) {
      done();
    }
  };
  std::vector<std::string> ids;
  for (auto& [id, b] : impl_->batches) {
    impl_->answer_readers(*b, http::now_ms());
    if (b->owned && b->is_open()) {
      ids.push_back(id);
    }
  }
  *left += ids.size();
  for (const auto& id : ids) {
    impl_->write_status(
      id,
      [](stored_batch& s) {
        s.owner.clear();
        s.owner_address.clear();
      },
      [one_done](store::verdict) { one_done(); },
      2);
  }
  one_done();
}

} // namespace cactusford::batches
