#include "review/standin/world.h"

#include "cactusford/http/clock.h"
#include "standins/child.h"

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

namespace http = cactusford::http;
using nlohmann::json;

// Places and bounds of the sheet of the Kingston installation.
constexpr const char* zones[] = { "kgn-a",
                                  "kgn-b",
                                  "spanish-town",
                                  "portmore" };
constexpr std::size_t zone_count = 4;
constexpr std::uint64_t load_ms = 900;
constexpr std::uint64_t service_ms = 30;

// How long a trainer waits for an answer to a call.
constexpr std::uint64_t call_timeout_ms = 3000;
constexpr std::uint64_t ready_limit_ms = 15000;

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int fenced = 412;
constexpr int misdirected = 421;
constexpr int unavailable = 503;

constexpr const char* host = "trainers.example";
constexpr const char* model = "drafter-model";

std::string
local_address(std::uint16_t port)
{
  return "127.0.0.1:" + std::to_string(port);
}

// Returns addresses with ports that are free now. They lie below the range from
// which the system takes the ports of outgoing connections, one of which could
// otherwise get a port before the process that is to listen there has started.
std::vector<std::string>
free_addresses(asio::io_context& io, std::size_t count)
{
  constexpr unsigned first = 15000;
  constexpr unsigned ports = 15000;
  std::vector<asio::ip::tcp::acceptor> held;
  std::vector<std::string> addresses;
  auto next = static_cast<unsigned>(getpid()) * 41U;
  while (addresses.size() < count) {
    const auto port = static_cast<std::uint16_t>(first + next++ % ports);
    asio::ip::tcp::acceptor a{ io };
    a.open(asio::ip::tcp::v4());
    asio::error_code ec;
    a.bind({ asio::ip::make_address_v4("127.0.0.1"), port }, ec);
    if (!ec) {
      addresses.push_back(local_address(port));
      held.push_back(std::move(a));
    }
  }
  return addresses;
}

std::string
field(const http::request& r, std::string_view name)
{
  return std::string{ http::find(r.fields, name).value_or("") };
}

// Returns how long the request keeps a plain service at work.
std::uint64_t
work_of(const http::request& r)
{
  constexpr std::string_view key = "work ";
  const std::string_view body = r.body;
  return body.starts_with(key)
           ? http::parse_number(body.substr(key.size())).value_or(service_ms)
           : service_ms;
}

void
respond_json(const http::call& c, int status, const json& body)
{
  c.respond(
    { status, { { "Content-Type", "application/json" } }, body.dump() });
}

} // namespace

recorder::recorder(const std::string& path)
  : out_{ path }
  , started_ms_{ http::now_ms() }
{
}

void
recorder::line(const std::string& text)
{
  const auto ms = http::now_ms() - started_ms_;
  out_ << ms << " ms  " << text << "\n" << std::flush;
}

std::string
event_data(const std::string& item, std::uint64_t event)
{
  return item + "-token-" + std::to_string(event);
}

std::string
whole_output(const std::string& item, std::uint64_t events)
{
  std::string text;
  for (std::uint64_t n = 1; n <= events; ++n) {
    text += n > 1 ? "\n" : "";
    text += event_data(item, n);
  }
  return text;
}

std::map<std::string, int> model_worker::runs_of_item;

struct model_worker::run
{
  http::call caller;
  std::string item;
  run_plan plan;
  // The last event that was sent.
  std::uint64_t event = 0;
  std::uint64_t version = 0;
  bool ended = false;
};

model_worker::model_worker(asio::io_context& io,
                           platform_store& store,
                           recorder& record,
                           std::string id,
                           std::string zone,
                           planner plan)
  : io_{ io }
  , store_{ store }
  , record_{ record }
  , id_{ std::move(id) }
  , zone_{ std::move(zone) }
  , plan_{ std::move(plan) }
  , server_{ io, {}, [this](const http::call& c) { serve(c); } }
{
  server_.listen("127.0.0.1:0");
  announce();
}

std::string
model_worker::address() const
{
  return local_address(server_.port());
}

void
model_worker::announce()
{
  store_.put("servers",
             id_,
             { { "Service", "drafter" },
               { "Address", address() },
               { "Zone", zone_ },
               { "Version", "v1" },
               { "Slots", slots },
               { "State", "ready" },
               { "ColdLeftMs", 0 },
               { "Stage", "both" },
               { "Models", { { { "Name", model }, { "Version", version_ } } } },
               { "Seq", orders_ } });
}

void
model_worker::serve(const http::call& c)
{
  const auto& r = c.request();
  const auto expected = field(r, "Expect-Instance");
  if (!expected.empty() && expected != id_) {
    c.respond({ misdirected, { { "Instance-Id", id_ } }, "" });
    return;
  }
  const auto path = http::path_of(r.target);
  if (path == "/-/report") {
    report(c);
  } else if (path == "/-/order") {
    take_order(c);
  } else if (path == "/healthz") {
    c.respond({ ok, { { "Instance-Id", id_ } }, "" });
  } else {
    start_run(c, field(r, "Request-Id"));
  }
}

void
model_worker::report(const http::call& c)
{
  respond_json(c,
               ok,
               { { "Stage", "both" },
                 { "Models",
                   { { { "Name", model },
                       { "Version", version_ },
                       { "Loras", json::array() } } } },
                 { "Busy", is_loading_ },
                 { "Seq", orders_ },
                 { "NumWaiting", 0 },
                 { "NumRunning", runs_ },
                 { "KvUsed", 0 },
                 { "KvTotal", 90091 },
                 { "Handles", 0 } });
}

void
model_worker::take_order(const http::call& c)
{
  const auto order = json::parse(c.request().body, nullptr, false);
  const auto version = order.value("Version", std::uint64_t{ 0 });
  const auto named = store_.get("versions", model);
  const auto newest =
    named.is_null() ? 1 : named["Spec"]["Version"].get<std::uint64_t>();
  const auto fence = order.value("Fence", std::uint64_t{ 0 });
  int status = accepted;
  if (order.value("Op", "") != "Version" || version > newest || fence == 0) {
    status = bad_request;
  } else if (fence < fence_) {
    status = fenced;
  } else if (version == version_) {
    status = ok;
  } else if (is_loading_ || order.value("Expected", orders_) != orders_) {
    status = conflict;
  }
  record_.line("worker " + id_ + " is ordered version " +
               std::to_string(version) + " mode " + order.value("Mode", "") +
               " with " + std::to_string(runs_) +
               " runs: " + std::to_string(status));
  c.respond({ status, {}, "" });
  if (status != accepted) {
    return;
  }
  fence_ = fence;
  ++orders_;
  is_loading_ = true;
  later(load_ms, [this, version] { finish_load(version); });
}

void
model_worker::finish_load(std::uint64_t version)
{
  is_loading_ = false;
  version_ = version;
  announce();
}

void
model_worker::start_run(const http::call& c, const std::string& item)
{
  const auto& r = c.request();
  const auto wanted = http::find_number(r.fields, "Expect-Version");
  if (wanted && *wanted != version_) {
    c.respond({ misdirected, { { "Instance-Id", id_ } }, "" });
    return;
  }
  if (is_loading_ || runs_ >= slots) {
    c.respond(
      { unavailable, { { "Not-Executed", "1" }, { "Request-Id", item } }, "" });
    return;
  }
  const auto after = http::find_number(r.fields, "Last-Event-Id").value_or(0);
  auto started = std::make_shared<run>();
  started->caller = c;
  started->item = item;
  started->plan = plan_(item, runs_of_item[item]++, after);
  started->event = after;
  started->version = version_;
  record_.line("worker " + id_ + " runs item " + item + " after event " +
               std::to_string(after) + " under version " +
               std::to_string(version_) +
               (started->plan.status != 0
                  ? ": answers " + std::to_string(started->plan.status)
                  : std::string{}));
  http::headers fields{ { "Request-Id", item },
                        { "Server-Signature", "receipt-" + item },
                        { "Weight-Versions", std::to_string(version_) } };
  if (started->plan.status != 0) {
    c.respond({ started->plan.status, fields, "failed" });
    return;
  }
  ++runs_;
  c.on_disconnect([this, started] {
    if (!started->ended) {
      started->ended = true;
      --runs_;
      record_.line("worker " + id_ + " drops item " + started->item);
    }
  });
  fields.push_back({ "Content-Type", "text/event-stream" });
  c.begin(ok, fields);
  later(started->plan.gap_ms, [this, started] { send_event(started); });
}

void
model_worker::send_event(const std::shared_ptr<run>& r)
{
  if (r->ended) {
    return;
  }
  const auto end = [&] {
    r->ended = true;
    --runs_;
  };
  if (r->plan.reset_after != 0 && r->event >= r->plan.reset_after) {
    end();
    record_.line("worker " + id_ + " resets the stream of item " + r->item +
                 " after event " + std::to_string(r->event));
    r->caller.abort();
    return;
  }
  if (r->event >= r->plan.events) {
    end();
    record_.line("worker " + id_ + " completes item " + r->item);
    r->caller.finish();
    return;
  }
  ++r->event;
  std::string text;
  if (r->version != version_) {
    r->version = version_;
    text += "weight-versions: " + std::to_string(version_) + "\n";
    record_.line("worker " + id_ + " continues item " + r->item + " at event " +
                 std::to_string(r->event) + " under version " +
                 std::to_string(version_));
  }
  text += "id: " + std::to_string(r->event) + "\n";
  text += "data: " + event_data(r->item, r->event) + "\n\n";
  r->caller.write(text);
  later(r->plan.gap_ms, [this, r] { send_event(r); });
}

void
model_worker::later(std::uint64_t ms, std::function<void()> action)
{
  auto timer =
    std::make_shared<http::timer>(io_, std::chrono::milliseconds{ ms });
  timer->async_wait([timer, action = std::move(action)](asio::error_code ec) {
    if (!ec) {
      action();
    }
  });
}

plain_service::plain_service(asio::io_context& io,
                             platform_store& store,
                             recorder& record,
                             std::string id,
                             std::string zone)
  : io_{ io }
  , store_{ store }
  , record_{ record }
  , id_{ std::move(id) }
  , zone_{ std::move(zone) }
  , server_{ io, {}, [this](const http::call& c) { serve(c); } }
{
  server_.listen("127.0.0.1:0");
  announce();
}

void
plain_service::announce()
{
  constexpr int service_slots = 6;
  store_.put("servers",
             id_,
             { { "Service", "quote-api" },
               { "Address", local_address(server_.port()) },
               { "Zone", zone_ },
               { "Version", "v1" },
               { "Slots", service_slots },
               { "State", "ready" },
               { "ColdLeftMs", 0 },
               { "Seq", 1 } });
}

void
plain_service::serve(const http::call& c)
{
  const auto& r = c.request();
  const auto expected = field(r, "Expect-Instance");
  if (!expected.empty() && expected != id_) {
    c.respond({ misdirected, { { "Instance-Id", id_ } }, "" });
    return;
  }
  const auto id = field(r, "Request-Id");
  record_.line("service " + id_ + " runs request " + id);
  c.on_disconnect([this, id] {
    record_.line("service " + id_ + " drops request " + id +
                 ": its channel was closed");
  });
  auto timer =
    std::make_shared<http::timer>(io_, std::chrono::milliseconds{ work_of(r) });
  timer->async_wait([this, timer, c, id](asio::error_code ec) {
    if (!ec && c.is_open()) {
      record_.line("service " + id_ + " answers request " + id);
      c.respond(
        { ok,
          { { "Request-Id", id }, { "Server-Signature", "receipt-" + id } },
          "scored" });
    }
  });
}

world::world(std::string programs, std::string folder, std::string record_path)
  : programs_{ std::move(programs) }
  , folder_{ std::move(folder) }
  , record_{ record_path }
  , store_{ io_ }
  , client_{ io_ }
{
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(folder_);
}

// Ends all processes that were started, by their ids.
world::~world()
{
  auto pids = sidecars_;
  for (const auto& e : entries_) {
    pids.push_back(e.pid);
  }
  for (const auto pid : pids) {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
}

void
world::add_model_workers(std::size_t count, model_worker::planner plan)
{
  for (std::size_t i = 0; i < count; ++i) {
    workers_.push_back(
      std::make_unique<model_worker>(io_,
                                     store_,
                                     record_,
                                     "i-model-" + std::to_string(i),
                                     zones[i % zone_count],
                                     plan));
  }
}

void
world::add_services(std::size_t count)
{
  for (std::size_t i = 0; i < count; ++i) {
    services_.push_back(
      std::make_unique<plain_service>(io_,
                                      store_,
                                      record_,
                                      "i-plain-" + std::to_string(i),
                                      zones[i % zone_count]));
  }
}

pid_t
world::start(const std::string& program,
             const std::string& name,
             const json& settings)
{
  const auto path = folder_ + "/" + name + ".json";
  std::ofstream{ path } << settings.dump(2) << "\n";
  const auto pid = cactusford::standins::spawn_program(
    { programs_ + "/" + program, "--settings", path },
    folder_ + "/" + name + ".log");
  // For the script that started the case, if the case itself is ended.
  std::ofstream{ folder_ + "/pids", std::ios::app } << pid << "\n";
  return pid;
}

bool
world::start_entries(std::size_t count)
{
  constexpr std::size_t seeds = 3;
  json regions;
  for (const auto* z : zones) {
    regions[z] = "jm-south";
  }
  std::vector<json> all;
  constexpr std::size_t ports_of_entry = 4;
  const auto addresses = free_addresses(io_, ports_of_entry * count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto* own = &addresses[ports_of_entry * i];
    const auto& peer = own[0];
    if (peers_.size() < seeds) {
      peers_.push_back(peer);
    }
    all.push_back({ { "instance", "edge-" + std::to_string(i) },
                    { "data_centre", zones[i % zone_count] },
                    { "callers", own[1] },
                    { "ready", own[2] },
                    { "peer", peer },
                    { "metrics", own[3] },
                    { "store", store_.address() },
                    { "capacity", 0.19 },
                    { "memory_mb", 260 },
                    { "keep_batches_s", 120 },
                    { "in_force_ms", 2000 },
                    { "usage_reports", "" },
                    { "regions", regions },
                    { "grace_s", 8 } });
  }
  for (auto& settings : all) {
    settings["peers"] = peers_;
    const auto pid = start(
      "cactusford-edge", settings["instance"].get<std::string>(), settings);
    entries_.push_back({ pid,
                         settings["ready"].get<std::string>(),
                         settings["callers"].get<std::string>() });
  }
  const auto until = http::now_ms() + ready_limit_ms;
  for (const auto& e : entries_) {
    while (!is_ready(e)) {
      if (http::now_ms() > until) {
        return false;
      }
      run_for(100);
    }
  }
  return true;
}

void
world::signal_entry(std::size_t entry, int number)
{
  kill(entries_.at(entry).pid, number);
}

const std::string&
world::callers_of(std::size_t entry) const
{
  return entries_.at(entry).callers;
}

void
world::start_sidecars()
{
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    const auto name = "side-" + std::to_string(i);
    sidecars_.push_back(start("cactusford-side",
                              name,
                              { { "instance", name },
                                { "data_centre", zones[i % zone_count] },
                                { "engine", workers_[i]->address() },
                                { "store", store_.address() },
                                { "peers", peers_ } }));
  }
}

bool
world::is_ready(const process& p)
{
  bool answered = false;
  int status = 0;
  http::exchange_options o;
  o.timeout_ms = 1000;
  client_.fetch(p.ready,
                { "GET", "/-/readyz", { { "Host", "ready" } }, "" },
                o,
                [&](http::exchange_outcome, http::response&& r) {
                  status = r.status;
                  answered = true;
                });
  run_until([&] { return answered; }, 2 * o.timeout_ms);
  return status == ok;
}

bool
world::run_until(const std::function<bool()>& done, std::uint64_t limit_ms)
{
  const auto until = http::now_ms() + limit_ms;
  while (!done()) {
    if (http::now_ms() > until) {
      return false;
    }
    io_.run_one_for(std::chrono::milliseconds{ 5 });
  }
  return true;
}

void
world::run_for(std::uint64_t ms)
{
  run_until([] { return false; }, ms);
}

world::answer
world::call(std::size_t entry,
            const std::string& method,
            const std::string& target,
            http::headers fields,
            const std::string& body)
{
  struct outcome
  {
    bool ended = false;
    answer value;
  };
  const auto seen = std::make_shared<outcome>();
  fields.insert(fields.begin(), { "Host", host });
  fields.push_back({ "Connection", "close" });
  http::exchange_options o;
  o.timeout_ms = call_timeout_ms;
  client_.fetch(entries_.at(entry).callers,
                { method, target, fields, body },
                o,
                [seen](http::exchange_outcome end, http::response&& r) {
                  if (end == http::exchange_outcome::complete) {
                    seen->value = { r.status, std::move(r.body) };
                  }
                  seen->ended = true;
                });
  run_until([&] { return seen->ended; }, 2 * call_timeout_ms);
  record_.line("entry " + std::to_string(entry) + " " + method + " " + target +
               ": " + std::to_string(seen->value.status));
  return seen->value;
}

bool
world::submit(const std::string& id, const json& batch)
{
  for (std::size_t i = 0; i < 2 * entries_.size(); ++i) {
    const auto a = call(i % entries_.size(),
                        "POST",
                        "/rollouts/" + id,
                        { { "Request-Id", id },
                          { "Content-Type", "application/json" },
                          { "Deadline-Ms", "12000" } },
                        batch.dump());
    if (a.status == accepted) {
      return true;
    }
  }
  return false;
}

std::optional<json>
world::read(std::size_t entry, const std::string& id, std::size_t after)
{
  const auto a = call(entry,
                      "GET",
                      "/-/lots/" + id + "?After=" + std::to_string(after),
                      { { "Wait-Ms", "1000" } });
  if (a.status != ok) {
    return std::nullopt;
  }
  auto page = json::parse(a.body, nullptr, false);
  for (const auto& r : page["Results"]) {
    const auto text = r["Output"].get<std::string>();
    const auto events = text.empty() ? 0 : 1 + std::ranges::count(text, '\n');
    record_.line("batch " + id + " lists item " + r["Id"].get<std::string>() +
                 ": " + r["State"].get<std::string>() + ", text of " +
                 std::to_string(events) + " events, versions " +
                 r["Versions"].dump() + ", score " + r.value("Score", "none"));
  }
  return page;
}

bool
world::end(std::size_t entry, const std::string& id)
{
  return call(entry, "DELETE", "/-/lots/" + id).status == ok;
}

json
item(const std::string& id, const std::string& group)
{
  return { { "Id", id },
           { "Path", "/rollouts/1/" + id },
           { "Headers",
             { { "Model", model },
               { "Token-Count", "1016,400" },
               { "Prompt-Prefix", "9c2e41:1000,5d07b8:16" } } },
           { "Body", "q83vEjRWeJA=" },
           { "Tokens", 1416 },
           { "Group", group },
           { "ScorerUrl",
             { { "Id", "score-" + id },
               { "Host", host },
               { "Path", "/score/" + id },
               { "Body", "3q2+7w==" } } } };
}

json
batch(std::uint64_t step,
      std::uint64_t min_version,
      std::uint64_t desired,
      const json& items)
{
  return { { "Step", step },
           { "Model", model },
           { "MinVersion", min_version },
           { "Desired", desired },
           { "Items", items } };
}

json
manifest(bool single_version)
{
  json rollouts{ { "Name", "r-rollouts" },
                 { "Host", host },
                 { "PathPrefix", "/rollouts/" },
                 { "Type", "rollout" },
                 { "TimeoutMs", 10000 },
                 { "SloMs", 400 },
                 { "Priority", 0 },
                 { "Service", "drafter" },
                 { "Attempts", 3 },
                 { "DueMs", 7500 },
                 { "QueueTtlS", 40 } };
  if (single_version) {
    rollouts["SingleVersion"] = true;
  }
  const json scores{ { "Name", "r-score" },
                     { "Host", host },
                     { "PathPrefix", "/score/" },
                     { "Type", "idempotent" },
                     { "TimeoutMs", 1500 },
                     { "SloMs", 150 },
                     { "Priority", 2 },
                     { "Service", "quote-api" },
                     { "Attempts", 4 } };
  const json bookings{ { "Name", "r-booking" },
                       { "Host", host },
                       { "PathPrefix", "/bookings/" },
                       { "Type", "mutating" },
                       { "TimeoutMs", 4000 },
                       { "SloMs", 2500 },
                       { "Priority", 1 },
                       { "Service", "quote-api" },
                       { "Attempts", 2 } };
  return { { "Version", 1 },
           { "Routes", { rollouts, scores, bookings } },
           { "Services",
             { { { "Name", "drafter" },
                 { "HealthPath", "/healthz" },
                 { "MaxConns", 130 },
                 { "Engine",
                   { { "Slots", model_worker::slots },
                     { "KvCapacity", 90091 },
                     { "Models", { { { "Name", model } } } } } } },
               { { "Name", "quote-api" },
                 { "HealthPath", "/healthz" },
                 { "MaxConns", 96 } } } },
           { "Limits",
             { { "MaxHeaderBytes", 16384 },
               { "MaxBodyBytes", 33554432 },
               { "HeaderTimeoutMs", 3000 },
               { "IdleTimeoutMs", 15000 } } } };
}

} // namespace review
