// The entries are stopped and started in turn while a batch runs, one item of
// which can never be done. Checks that this item reaches no server again after
// three answers of 422.
#include "../world-2/world.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace review_2;

constexpr int engines = 8;
constexpr int groups = 7;
constexpr int group_size = 8;

// A long text: events and the time between two of them.
constexpr int events = 120;
constexpr std::uint64_t event_ms = 40;

// The site has four entries and three spare ones.
constexpr int entries_in_use = 6;

constexpr std::size_t stops = 3;

// Time between two stops, as on the site.
constexpr std::uint64_t gap_ms = 1000;

// An entry is in touch if it was not disturbed for this long.
constexpr std::uint64_t contact_ms = 3000;

// After three answers of 422 an item must not reach a server again.
constexpr int max_answers = 3;

struct run_record
{
  std::mutex mutex;
  // Answers of 422 by item, and runs after the limit that an entry in touch has
  // sent.
  std::map<std::string, int> failed;
  int beyond = 0;
  // The entry that works on the current batch, as the store says.
  std::function<std::string()> owner;
  // When each entry was last stopped or started.
  std::map<std::string, std::uint64_t> disturbed_ms;

  // The caller holds the mutex.
  bool is_in_touch(const std::string& entry)
  {
    const auto found = disturbed_ms.find(entry);
    return found != disturbed_ms.end() && now_ms() > found->second + contact_ms;
  }
};

bool
is_impossible(const std::string& body)
{
  return body == "impossible";
}

// A model server: streams texts, and answers 422 to an item that can never be
// done.
class engine
{
public:
  engine(object_store& store, std::string id, run_record& runs)
    : id_{ std::move(id) }
    , runs_{ runs }
    , server_{ free_address(),
               [this](peer& p, const message& r) { return handle(p, r); } }
  {
    store.put("servers",
              id_,
              { { "Service", "planner" },
                { "Address", server_.address() },
                { "Zone", "hall-a" },
                { "Version", "7" },
                { "Slots", 8 },
                { "State", "ready" },
                { "ColdLeftMs", 0 },
                { "Seq", 1 },
                { "Stage", "both" },
                { "Models",
                  { { { "Name", "plan" },
                      { "Version", 1 },
                      { "Loras", json::array() } } } } });
  }

private:
  bool handle(peer& p, const message& r)
  {
    if (r.target == "/healthz") {
      p.respond(200, { { "Instance-Id", id_ } }, "");
      return true;
    }
    const auto item = r.field("Request-Id");
    const auto expected = r.field("Expect-Instance");
    if (!expected.empty() && expected != id_) {
      p.respond(421, { { "Request-Id", item } }, "");
      return true;
    }
    if (is_impossible(r.body)) {
      count_impossible(item);
      p.respond(422,
                { { "Request-Id", item },
                  { "Server-Signature", id_ + "." + item },
                  { "Weight-Versions", "1" } },
                "impossible");
      return true;
    }
    return stream(p, r);
  }

  void count_impossible(const std::string& item)
  {
    const std::lock_guard lock{ runs_.mutex };
    const auto answers = ++runs_.failed[item];
    const auto sender = runs_.owner();
    const bool is_in_touch = runs_.is_in_touch(sender);
    const bool is_beyond = answers > max_answers && is_in_touch;
    runs_.beyond += is_beyond ? 1 : 0;
    note("engine " + id_ + " gets item " + item + " from " + sender +
         (is_in_touch ? ", in touch" : ", not in touch") +
         ", answer 422, number " + std::to_string(answers) +
         (is_beyond ? ", BEYOND THE LIMIT" : ""));
  }

  // Goes on after the event that the request names.
  bool stream(peer& p, const message& r)
  {
    const auto item = r.field("Request-Id");
    auto event = std::atoi(r.field("Last-Event-Id").c_str());
    note("engine " + id_ + " runs item " + item + " after event " +
         std::to_string(event));
    if (!p.write("HTTP/1.1 200 OK\r\nRequest-Id: " + item +
                 "\r\nServer-Signature: " + id_ + "." + item +
                 "\r\nWeight-Versions: 1\r\nContent-Type: "
                 "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    while (event < events) {
      sleep_ms(event_ms);
      ++event;
      const auto text = "id: " + std::to_string(event) + "\ndata: piece " +
                        std::to_string(event) + " of " + item + "\n\n";
      std::array<char, 20> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
      if (p.is_closed() || !p.write(size.data() + text + "\r\n")) {
        return false;
      }
    }
    return p.write("0\r\n\r\n");
  }

  std::string id_;
  run_record& runs_;
  http_server server_;
};

// The application service that scores texts.
class scorer
{
public:
  explicit scorer(object_store& store)
    : server_{ free_address(),
               [](peer& p, const message& r) { return handle(p, r); } }
  {
    store.put("servers",
              "i-score",
              { { "Service", "orders" },
                { "Address", server_.address() },
                { "Zone", "hall-a" },
                { "Version", "3" },
                { "Slots", 6 },
                { "State", "ready" },
                { "ColdLeftMs", 0 },
                { "Seq", 1 } });
  }

private:
  static bool handle(peer& p, const message& r)
  {
    const auto id = r.field("Request-Id");
    sleep_ms(20);
    p.respond(200,
              { { "Request-Id", id },
                { "Server-Signature", "score." + id },
                { "Instance-Id", "i-score" },
                { "Server-Load", "1,0,6" } },
              "1");
    return true;
  }

  http_server server_;
};

json
manifest()
{
  return { { "Version", 1 },
           { "Routes",
             { { { "Name", "rollout" },
                 { "Host", "plans.example" },
                 { "PathPrefix", "/plan/" },
                 { "Type", "rollout" },
                 { "TimeoutMs", 10000 },
                 { "SloMs", 400 },
                 { "DueMs", 7500 },
                 { "QueueTtlS", 60 },
                 { "Priority", 0 },
                 { "Service", "planner" },
                 { "Attempts", 3 } },
               { { "Name", "score" },
                 { "Host", "plans.example" },
                 { "PathPrefix", "/score/" },
                 { "Type", "idempotent" },
                 { "TimeoutMs", 1500 },
                 { "SloMs", 150 },
                 { "Priority", 2 },
                 { "Service", "orders" },
                 { "Attempts", 4 } } } },
           { "Services",
             { { { "Name", "planner" },
                 { "HealthPath", "/healthz" },
                 { "MaxConns", 140 } },
               { { "Name", "orders" },
                 { "HealthPath", "/healthz" },
                 { "MaxConns", 110 } } } },
           { "Limits",
             { { "MaxHeaderBytes", 16384 },
               { "MaxBodyBytes", 33554432 },
               { "HeaderTimeoutMs", 3000 },
               { "IdleTimeoutMs", 15000 } } } };
}

std::string
name_of(int round, int item)
{
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%04x%012x", 0xe000 + round, item);
  return text.data();
}

// A batch whose first item can never be done.
std::string
submission(int round)
{
  auto items = json::array();
  for (int i = 0; i < groups * group_size; ++i) {
    const auto id = name_of(round, i);
    const std::string body = i == 0 ? "impossible" : "prompt " + id;
    items.push_back(
      { { "Id", id },
        { "Path", "/plan/" + id },
        { "Headers",
          { { "Model", "plan" },
            { "Token-Count", "1016,7080" },
            { "Prompt-Prefix", "9c2e41:1000,5d07b8:16" } } },
        { "Body", encode_base64(body) },
        { "Tokens", 8096 },
        { "Group", "g" + std::to_string(i / group_size) },
        { "ScorerUrl",
          { { "Id", "5c0e" + id.substr(4) + std::to_string(round) },
            { "Host", "plans.example" },
            { "Path", "/score/" + id },
            { "Body", encode_base64(id) } } } });
  }
  return json{
    { "Step", round },
    { "Model", "plan" },
    { "MinVersion", 1 },
    { "Desired", 6 },
    { "Items", items }
  }.dump();
}

struct deployment
{
  std::vector<std::unique_ptr<process>> entries;
  run_record& runs;

  void note_disturbance(const process& e)
  {
    const std::lock_guard lock{ runs.mutex };
    runs.disturbed_ms[e.name()] = now_ms();
  }

  // Starts again what has ended, as the platform does.
  void start_ended()
  {
    for (auto& e : entries) {
      if (!e->is_running()) {
        e->start();
        note_disturbance(*e);
      }
    }
  }

  void wait(std::uint64_t ms)
  {
    wait_for(ms, [this] {
      start_ended();
      return false;
    });
  }

  process* running(const std::string& name)
  {
    for (auto& e : entries) {
      if (e->name() == name && e->is_running()) {
        return e.get();
      }
    }
    return nullptr;
  }

  // Sends a request to one entry after the other until one answers as wanted.
  bool send(const std::string& method,
            const std::string& target,
            const std::string& id,
            const std::string& body,
            int wanted)
  {
    for (int attempt = 0; attempt < 8; ++attempt) {
      auto& e = entries[static_cast<std::size_t>(attempt) % entries.size()];
      if (!e->is_running()) {
        continue;
      }
      const auto answer = call(e->settings()["callers"],
                               method,
                               target,
                               { { "Host", "plans.example" },
                                 { "Request-Id", id },
                                 { "Deadline-Ms", "3000" },
                                 { "Connection", "close" } },
                               body,
                               3500);
      auto line = method;
      line.append(" ").append(target).append(" to ").append(e->name());
      note(line + ", answer " + std::to_string(answer.status));
      if (answer.status == wanted) {
        return true;
      }
    }
    return false;
  }

  bool start_all()
  {
    start_ended();
    for (auto& e : entries) {
      const bool is_ready = wait_for(10000, [&] {
        return call(e->settings()["ready"], "GET", "/-/readyz", {}, "", 500)
                 .status == 200;
      });
      if (!is_ready) {
        note(e->name() + " is not ready");
        return false;
      }
    }
    return true;
  }
};

std::string
owner_of(object_store& store, const std::string& batch)
{
  const auto object = store.get("batches", batch);
  if (!object.is_object()) {
    return {};
  }
  const auto& status = object["Status"];
  return status.is_object() && status.contains("owner")
           ? status["owner"].get<std::string>()
           : object["Spec"].value("first_owner", "");
}

// Stops entries one by one, each time the one that works on the batch, and
// starts each again when it has ended.
void
restart_in_turn(deployment& d, object_store& store, const std::string& batch)
{
  std::vector<process*> stopped;
  const auto begin = now_ms();
  while (stopped.size() < stops) {
    const auto owner = owner_of(store, batch);
    auto* e = d.running(owner);
    if (e != nullptr &&
        std::find(stopped.begin(), stopped.end(), e) == stopped.end()) {
      note("entry " + owner + " works on the batch and is stopped");
      e->signal(SIGTERM);
      d.note_disturbance(*e);
      stopped.push_back(e);
    }
    const auto next = begin + stopped.size() * gap_ms;
    while (now_ms() < next) {
      d.start_ended();
      sleep_ms(5);
    }
    if (now_ms() > begin + 8000) {
      break;
    }
  }
  note("the batch is worked on by " + owner_of(store, batch));
}

int
run(const std::string& programs)
{
  const temporary_folder folder;
  object_store store;
  run_record runs;
  store.put("config", "main", manifest());
  store.put("versions", "plan", { { "Model", "plan" }, { "Version", 1 } });
  std::vector<std::unique_ptr<engine>> all;
  for (int i = 0; i < engines; ++i) {
    all.push_back(
      std::make_unique<engine>(store, "i-" + std::to_string(i), runs));
  }
  const scorer s{ store };

  deployment d{ {}, runs };
  std::string current;
  runs.owner = [&] { return owner_of(store, current); };
  std::vector<json> settings;
  auto peers = json::array();
  for (int i = 0; i < entries_in_use; ++i) {
    settings.push_back(
      entry_settings("edge-" + std::to_string(i), "hall-a", store.address()));
    if (i < 3) {
      peers.push_back(settings.back()["peer"]);
    }
  }
  for (auto& each : settings) {
    each["peers"] = peers;
    d.entries.push_back(std::make_unique<process>(
      programs + "/cactusford-edge", each, folder.path()));
  }

  int rounds = 0;
  int broken_rounds = 0;
  constexpr std::uint64_t last_round_ms = 95000;
  while (now_ms() < last_round_ms) {
    ++rounds;
    if (!d.start_all()) {
      return 2;
    }
    // Calm for longer than ContactMs before the first stop.
    d.wait(contact_ms + 1000);
    const int before = runs.beyond;
    std::array<char, 40> batch{};
    std::snprintf(batch.data(), batch.size(), "%016x", 0xba7c0 + rounds);
    {
      const std::lock_guard lock{ runs.mutex };
      current = batch.data();
    }
    note("round " + std::to_string(rounds) + ", batch " + current);
    if (!d.send("POST", "/plan/go", current, submission(rounds), 202)) {
      note("the batch was not accepted");
      return 2;
    }
    d.wait(600);
    if (has_trouble()) {
      restart_in_turn(d, store, current);
    }
    d.wait(2500);
    d.send("DELETE", "/-/lots/" + current, "end", "", 200);
    broken_rounds += runs.beyond > before ? 1 : 0;
    // Lets the stopped entries end.
    d.wait(has_trouble() ? 3000 : 0);
  }
  const auto result =
    "rounds " + std::to_string(rounds) + ", broken in " +
    std::to_string(broken_rounds) +
    "; runs after three answers of 422, sent by entries in touch: " +
    std::to_string(runs.beyond);
  note(result);
  std::printf("%s\n", result.c_str());
  return runs.beyond > 0 ? 1 : 0;
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 3) {
    std::fprintf(stderr, "usage: case PROGRAMS RECORD\n");
    return 2;
  }
  open_record(argv[2]);
  return run(argv[1]);
}
