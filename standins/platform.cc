#include "standins/platform.h"

#include "cactusford/process/daemon.h"
#include "cactusford/timeline/event.h"

#include <chrono>

namespace cactusford::standins {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Each pending watch occupies a thread.
constexpr std::size_t thread_count = 160;

json
to_json(const std::string& kind,
        const std::string& name,
        std::uint64_t version,
        bool deleted,
        const std::string& spec,
        const std::string& request_id)
{
  return { { "kind", kind },       { "name", name },
           { "version", version }, { "deleted", deleted },
           { "spec", spec },       { "request_id", request_id } };
}

void
respond_json(httplib::Response& response, int status, const json& body)
{
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

std::uint64_t
uint_param(const httplib::Request& request, const char* name)
{
  const auto text = request.get_param_value(name);
  return text.empty() ? 0 : std::stoull(text);
}

} // namespace

platform::platform(platform_settings s)
  : settings_{ std::move(s) }
  , server_{ thread_count }
{
  const auto now = process::steady_ms();
  writes_ = { settings_.writes_per_s, settings_.writes_per_s, now };
  reads_ = { settings_.reads_per_s, settings_.reads_per_s, now };
}

platform::~platform()
{
  {
    const std::lock_guard lock{ mutex_ };
    stopped_ = true;
  }
  changed_.notify_all();
  for (auto& t : list_updates_) {
    t.join();
  }
  server_.stop();
}

int
platform::start()
{
  add_routes();
  return server_.start(settings_.address);
}

void
platform::add_routes()
{
  auto& http = server_.http;
  const auto* object_path = R"(/v1/objects/([a-z_]+)/([^/]+))";
  http.Get(object_path, [this](const auto& request, auto& response) {
    get(request, response);
  });
  http.Put(object_path, [this](const auto& request, auto& response) {
    put(request, response);
  });
  http.Get("/v1/changes", [this](const auto& request, auto& response) {
    changes(request, response);
  });
  http.Post("/control/faults", [this](const auto& request, auto& response) {
    set_faults(request, response);
  });
  http.Post("/control/instances", [this](const auto& request, auto& response) {
    set_instances(request, response);
  });
  http.Get("/control/counts", [this](const auto&, auto& response) {
    const std::lock_guard lock{ mutex_ };
    respond_json(response, 200, counts_);
  });
}

bool
platform::token_bucket::try_take()
{
  const auto now = process::steady_ms();
  tokens = std::min(
    rate, tokens + rate * static_cast<double>(now - refilled_ms) / 1000.0);
  refilled_ms = now;
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

bool
platform::admit(httplib::Response& response,
                token_bucket& limit,
                const char* operation)
{
  std::uint32_t delay_ms = settings_.latency_ms;
  bool is_down = false;
  bool is_limited = false;
  {
    const std::lock_guard lock{ mutex_ };
    ++counts_[operation];
    delay_ms += faults_.slow_ms;
    is_down = faults_.outage;
    is_limited = !is_down && !limit.try_take();
  }
  std::this_thread::sleep_for(milliseconds{ delay_ms });
  if (is_down) {
    respond_json(response, 503, { { "error", "outage" } });
  } else if (is_limited) {
    respond_json(response, 429, { { "error", "rate limit" } });
  }
  return !is_down && !is_limited;
}

void
platform::get(const httplib::Request& request, httplib::Response& response)
{
  if (!admit(response, reads_, "get")) {
    return;
  }
  const std::lock_guard lock{ mutex_ };
  const auto key =
    std::string{ request.matches[1] } + "/" + std::string{ request.matches[2] };
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    respond_json(response, 404, { { "error", "not found" } });
    return;
  }
  const auto* object = &found->second;
  if (faults_.stale_by > 0) {
    const auto max_version =
      revision_ > faults_.stale_by ? revision_ - faults_.stale_by : 0;
    auto& versions = history_[key];
    const auto newer = versions.upper_bound(max_version);
    if (newer != versions.begin()) {
      object = &std::prev(newer)->second;
    }
  }
  respond_json(response,
               200,
               to_json(object->kind,
                       object->name,
                       object->version,
                       object->deleted,
                       object->spec,
                       object->request_id));
}

std::uint64_t
platform::store(stored_object object)
{
  object.version = ++revision_;
  const auto key = object.kind + "/" + object.name;
  timeline::log(timeline::event{ "platform_stored" }
                  .with("kind", object.kind)
                  .with("name", object.name)
                  .with("version", object.version)
                  .with("request", object.request_id));
  history_[key][object.version] = object;
  objects_[key] = std::move(object);
  changed_.notify_all();
  return revision_;
}

void
platform::put(const httplib::Request& request, httplib::Response& response)
{
  if (!admit(response, writes_, "put")) {
    return;
  }
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    respond_json(response, 400, { { "error", "not JSON" } });
    return;
  }
  std::unique_lock lock{ mutex_ };
  stored_object object;
  object.kind = request.matches[1];
  object.name = request.matches[2];
  object.spec = body.value("spec", std::string{});
  object.request_id = body.value("request_id", std::string{});
  object.deleted = body.value("deleted", false);
  const auto found = objects_.find(object.kind + "/" + object.name);
  const auto version = found == objects_.end() ? 0 : found->second.version;
  const bool is_deleted = found != objects_.end() && found->second.deleted;
  const auto expected = body.value("expected_version", std::uint64_t{ 0 });
  if (expected != version && !(is_deleted && expected == 0)) {
    respond_json(response, 409, { { "version", version } });
    return;
  }
  const auto new_version = store(std::move(object));
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    lock.unlock();
    // The write has taken effect, but its response is lost: the client receives
    // a gateway timeout instead.
    response.status = 504;
    std::this_thread::sleep_for(milliseconds{ 50 });
    return;
  }
  respond_json(response, 200, { { "version", new_version } });
}

json
platform::changed_since(std::uint64_t since, const std::string& exclude)
{
  auto items = json::array();
  for (const auto& [key, object] : objects_) {
    if (object.version > since &&
        exclude.find(object.kind) == std::string::npos) {
      items.push_back(to_json(object.kind,
                              object.name,
                              object.version,
                              object.deleted,
                              object.spec,
                              object.request_id));
    }
  }
  return items;
}

void
platform::changes(const httplib::Request& request, httplib::Response& response)
{
  const auto wait_ms = uint_param(request, "wait_ms");
  if (!admit(response, reads_, wait_ms > 0 ? "watch" : "list")) {
    return;
  }
  const auto since = uint_param(request, "since");
  const auto exclude = request.get_param_value("exclude");
  std::unique_lock lock{ mutex_ };
  auto items = changed_since(since, exclude);
  changed_.wait_for(lock, milliseconds{ wait_ms }, [&] {
    items = changed_since(since, exclude);
    return wait_ms == 0 || !items.empty() || faults_.outage || stopped_;
  });
  if (faults_.outage) {
    respond_json(response, 503, { { "error", "outage" } });
    return;
  }
  respond_json(
    response, 200, { { "revision", revision_ }, { "objects", items } });
}

void
platform::set_faults(const httplib::Request& request,
                     httplib::Response& response)
{
  const auto body = json::parse(request.body, nullptr, false);
  const std::lock_guard lock{ mutex_ };
  faults_.outage = body.value("outage", faults_.outage);
  faults_.slow_ms = body.value("slow_ms", faults_.slow_ms);
  faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
  faults_.stale_by = body.value("stale_by", faults_.stale_by);
  timeline::log(timeline::event{ "fault" }
                  .with("target", "platform")
                  .with("what", body.dump()));
  changed_.notify_all();
  respond_json(response, 200, json::object());
}

// Applies the new list after `list_lag_ms`, because a platform notices changes
// of its instances late.
void
platform::set_instances(const httplib::Request& request,
                        httplib::Response& response)
{
  auto body = json::parse(request.body, nullptr, false);
  const std::lock_guard lock{ mutex_ };
  list_updates_.emplace_back([this, body = std::move(body)] {
    std::unique_lock update_lock{ mutex_ };
    changed_.wait_for(update_lock,
                      milliseconds{ settings_.list_lag_ms },
                      [this] { return stopped_; });
    for (const auto& item : body) {
      stored_object object;
      object.kind = "instance";
      object.name = item.at("id");
      object.deleted = item.value("gone", false);
      auto spec = item;
      spec.erase("id");
      object.spec = spec.dump();
      object.request_id = "list";
      const auto current = objects_.find("instance/" + object.name);
      const bool is_unchanged = current != objects_.end() &&
                                current->second.spec == object.spec &&
                                current->second.deleted == object.deleted;
      if (!is_unchanged) {
        store(std::move(object));
      }
    }
  });
  respond_json(response, 200, json::object());
}

} // namespace cactusford::standins
