#include "review/standin/store.h"

#include "cactusford/http/clock.h"

#include <memory>
#include <utility>

namespace review {

namespace {

namespace http = cactusford::http;
using nlohmann::json;

constexpr std::string_view objects_path = "/-/objects/";
constexpr std::string_view status_suffix = "/status";
constexpr std::uint64_t tick_ms = 20;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int conflict = 409;

void
respond(const http::call& c, int status, const json& body)
{
  c.respond(
    { status, { { "Content-Type", "application/json" } }, body.dump() });
}

std::uint64_t
revision_of(const json& object)
{
  return object["Metadata"]["Revision"].get<std::uint64_t>();
}

// Returns the revision that the call carries; 0 if it carries none.
std::uint64_t
expected_revision(const json& body)
{
  return body.contains("Metadata")
           ? body["Metadata"].value("Revision", std::uint64_t{ 0 })
           : 0;
}

} // namespace

platform_store::platform_store(asio::io_context& io)
  : io_{ io }
  , server_{ io, {}, [this](const http::call& c) { serve(c); } }
{
  server_.listen("127.0.0.1:0");
  tick();
}

std::string
platform_store::address() const
{
  return "127.0.0.1:" + std::to_string(server_.port());
}

std::uint64_t
platform_store::put(const std::string& kind,
                    const std::string& name,
                    const json& spec)
{
  auto object = get(kind, name);
  if (object.is_null()) {
    object = { { "Metadata",
                 { { "Name", name },
                   { "Revision", 0 },
                   { "Created", revision_ + 1 },
                   { "Finalizers", json::array() },
                   { "Deleting", false } } },
               { "Status", nullptr } };
  }
  object["Spec"] = spec;
  store_object(kind, std::move(object));
  return revision_;
}

json
platform_store::get(const std::string& kind, const std::string& name) const
{
  const auto k = objects_.find(kind);
  if (k == objects_.end()) {
    return nullptr;
  }
  const auto o = k->second.find(name);
  return o == k->second.end() ? json(nullptr) : o->second;
}

void
platform_store::lose_answer_to_create(const std::string& kind,
                                      const std::string& name)
{
  unanswered_kind_ = kind;
  unanswered_name_ = name;
}

platform_store::target
platform_store::target_of(std::string_view path)
{
  target t;
  path.remove_prefix(objects_path.size());
  if (path.ends_with(status_suffix)) {
    path.remove_suffix(status_suffix.size());
    t.is_status = true;
  }
  const auto slash = path.find('/');
  t.kind = path.substr(0, slash);
  if (slash != std::string_view::npos) {
    t.name = path.substr(slash + 1);
  }
  return t;
}

void
platform_store::serve(const http::call& c)
{
  const auto& r = c.request();
  const auto path = http::path_of(r.target);
  if (!path.starts_with(objects_path)) {
    respond(c, not_found, json::object());
    return;
  }
  const auto t = target_of(path);
  if (r.method == "GET" && t.name.empty()) {
    list(c, t);
  } else if (r.method == "GET") {
    const auto object = get(t.kind, t.name);
    respond(c, object.is_null() ? not_found : ok, object);
  } else if (r.method == "POST") {
    create(c, t);
  } else if (r.method == "PUT") {
    replace(c, t);
  } else if (r.method == "DELETE") {
    remove(c, t);
  } else {
    respond(c, bad_request, json::object());
  }
}

void
platform_store::list(const http::call& c, const target& t)
{
  const auto& wanted = c.request().target;
  const auto number = [&](std::string_view key) {
    return http::parse_number(http::query_value(wanted, key).value_or(""));
  };
  if (const auto since = number("Watch")) {
    watches_.push_back(
      { c, t.kind, *since, http::now_ms() + number("WaitMs").value_or(0) });
    answer_watches();
    return;
  }
  const std::string after{ http::query_value(wanted, "After").value_or("") };
  auto items = json::array();
  const auto& all = objects_[t.kind];
  for (auto at = all.upper_bound(after); at != all.end(); ++at) {
    items.push_back(at->second);
  }
  respond(
    c,
    ok,
    { { "Items", items }, { "MorePages", false }, { "AsOf", revision_ } });
}

void
platform_store::create(const http::call& c, const target& t)
{
  const auto body = json::parse(c.request().body, nullptr, false);
  if (!body.is_object()) {
    respond(c, bad_request, json::object());
    return;
  }
  const auto name = body["Metadata"]["Name"].get<std::string>();
  const auto existing = get(t.kind, name);
  if (!existing.is_null()) {
    respond(c, conflict, existing);
    return;
  }
  put(t.kind, name, body.value("Spec", json()));
  if (t.kind == unanswered_kind_ && name == unanswered_name_) {
    unanswered_name_.clear();
    has_lost_answer_ = true;
    unanswered_.push_back(c);
    return;
  }
  respond(c, ok, get(t.kind, name));
}

void
platform_store::replace(const http::call& c, const target& t)
{
  const auto body = json::parse(c.request().body, nullptr, false);
  auto object = get(t.kind, t.name);
  if (!body.is_object() || object.is_null()) {
    respond(c, body.is_object() ? not_found : bad_request, json::object());
    return;
  }
  const auto expected = expected_revision(body);
  if (expected != 0 && expected != revision_of(object)) {
    respond(c, conflict, object);
    return;
  }
  const auto* field = t.is_status ? "Status" : "Spec";
  const auto wanted = body.value(field, json());
  if (object[field] != wanted) {
    object[field] = wanted;
    store_object(t.kind, object);
  }
  respond(c, ok, get(t.kind, t.name));
}

void
platform_store::remove(const http::call& c, const target& t)
{
  auto object = get(t.kind, t.name);
  if (object.is_null()) {
    respond(c, not_found, json::object());
    return;
  }
  erase(t.kind, t.name);
  object["Metadata"]["Revision"] = revision_;
  respond(c, ok, object);
}

void
platform_store::erase(const std::string& kind, const std::string& name)
{
  auto object = get(kind, name);
  if (object.is_null()) {
    return;
  }
  objects_[kind].erase(name);
  object["Metadata"]["Revision"] = ++revision_;
  record({ revision_, kind, true, object });
}

void
platform_store::store_object(const std::string& kind, json object)
{
  object["Metadata"]["Revision"] = ++revision_;
  objects_[kind][object["Metadata"]["Name"].get<std::string>()] = object;
  record({ revision_, kind, false, std::move(object) });
}

void
platform_store::record(change made)
{
  history_.push_back(std::move(made));
  answer_watches();
}

json
platform_store::changes_since(const std::string& kind,
                              std::uint64_t since) const
{
  auto events = json::array();
  for (const auto& h : history_) {
    if (h.kind == kind && h.revision > since) {
      events.push_back({ { "Deleted", h.deleted }, { "Object", h.object } });
    }
  }
  return events;
}

void
platform_store::answer_watches()
{
  const auto now = http::now_ms();
  auto waiting = std::move(watches_);
  watches_.clear();
  for (auto& w : waiting) {
    const auto events = changes_since(w.kind, w.since);
    if (!events.empty() || now >= w.until_ms) {
      respond(w.caller, ok, { { "events", events }, { "AsOf", revision_ } });
    } else if (w.caller.is_open()) {
      watches_.push_back(std::move(w));
    }
  }
}

void
platform_store::tick()
{
  auto timer =
    std::make_shared<http::timer>(io_, std::chrono::milliseconds{ tick_ms });
  timer->async_wait([this, timer](asio::error_code ec) {
    if (!ec) {
      answer_watches();
      tick();
    }
  });
}

} // namespace review
