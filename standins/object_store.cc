#include "standins/object_store.h"

#include "cactusford/http/clock.h"

#include <nlohmann/json.hpp>

namespace cactusford::standins {

namespace {

using nlohmann::json;

constexpr std::uint64_t tick_ms = 20;

json
to_json(const store::object& o)
{
  return { { "name", o.name },
           { "revision", o.revision },
           { "spec", o.spec },
           { "status", o.status } };
}

store::object
object_from(const json& j)
{
  store::object o;
  o.name = store::string_field(j, "name");
  o.revision = store::uint_field(j, "revision");
  o.spec = store::field(j, "spec");
  o.status = store::field(j, "status");
  if (store::contains_unreadable(o.spec)) {
    throw store::field_error{ { "spec", "bytes that are not valid UTF-8" } };
  }
  return o;
}

// Decodes an object of a reply. An object that cannot be decoded is added to
// `unreadable_objects` of the reply.
store::decoded<store::object>
read_object(const json& j, store::reply& r, bool deleted = false)
{
  auto o = store::try_decode([&] { return object_from(j); });
  const auto name =
    store::try_decode([&] { return store::string_field(j, "name"); });
  if (!o) {
    const auto revision =
      store::try_decode([&] { return store::uint_field(j, "revision"); });
    r.unreadable_objects.push_back(
      { name.value_or(""), o.fault, revision.value_or(0), deleted });
  }
  r.last_name = name.value_or(r.last_name);
  return o;
}

json
to_json(const store::call& c)
{
  return { { "op", static_cast<int>(c.op) },
           { "kind", c.kind },
           { "name", c.name },
           { "revision", c.revision },
           { "after", c.after },
           { "since", c.since },
           { "wait_ms", c.wait_ms },
           { "body", c.body } };
}

store::call
call_from(const json& j)
{
  store::call c;
  c.op = static_cast<store::operation>(j.at("op").get<int>());
  c.kind = j.at("kind").get<std::string>();
  c.name = j.at("name").get<std::string>();
  c.revision = j.at("revision").get<std::uint64_t>();
  c.after = j.at("after").get<std::string>();
  c.since = j.at("since").get<std::uint64_t>();
  c.wait_ms = j.at("wait_ms").get<std::uint64_t>();
  c.body = j.at("body");
  return c;
}

std::string
encode_reply(const store::reply& r, const std::set<std::string>& sent_as_text)
{
  const auto encode_object = [&](const store::object& o) {
    return sent_as_text.contains(o.name) ? json(o.name) : to_json(o);
  };
  json j{ { "what", static_cast<int>(r.result) },
          { "more", r.more },
          { "as_of", r.as_of },
          { "items", json::array() },
          { "changes", json::array() } };
  for (const auto& o : r.items) {
    j["items"].push_back(encode_object(o));
  }
  for (const auto& c : r.changes) {
    j["changes"].push_back(
      { { "object", encode_object(c.value) }, { "deleted", c.deleted } });
  }
  auto text = j.dump();
  for (auto at = text.find(object_store::invalid_byte_marker);
       at != std::string::npos;
       at = text.find(object_store::invalid_byte_marker, at)) {
    text.replace(at, object_store::invalid_byte_marker.size(), "\xff");
  }
  return text;
}

store::reply
decode_reply(const store::call&, const http::response& response)
{
  store::reply r;
  const auto j = store::parse_leniently(response.body).value;
  if (response.status == 503) {
    r.result = store::call_result::refused;
    return r;
  }
  if (!j.is_object()) {
    return r;
  }
  r.result = static_cast<store::call_result>(j.at("what").get<int>());
  r.more = j.at("more").get<bool>();
  r.as_of = j.at("as_of").get<std::uint64_t>();
  for (const auto& o : j.at("items")) {
    if (auto read = read_object(o, r)) {
      r.items.push_back(std::move(*read));
    }
  }
  for (const auto& c : j.at("changes")) {
    const auto deleted = c.at("deleted").get<bool>();
    if (auto read = read_object(c.at("object"), r, deleted)) {
      r.changes.push_back({ std::move(*read), deleted });
    }
  }
  return r;
}

batches::submission
submission_from(const json& j)
{
  batches::submission s;
  s.model = j.at("model").get<std::string>();
  s.min_version = j.at("min_version").get<std::uint64_t>();
  s.desired_groups = j.value("desired", std::uint64_t{ 0 });
  for (const auto& i : j.at("items")) {
    batches::item item;
    item.id = i.at("id").get<std::string>();
    item.path = i.value("path", "/run/");
    const auto fields = i.value("fields", json::object());
    for (const auto& [name, value] : fields.items()) {
      item.fields.push_back({ name, value.get<std::string>() });
    }
    item.body = i.value("body", "b");
    item.group = i.at("group").get<std::string>();
    item.length_hint = i.value("hint", std::uint64_t{ 0 });
    if (i.contains("scorer")) {
      item.scorer = batches::scorer_call{ i.at("scorer").get<std::string>(),
                                          i.value("scorer_host", "h"),
                                          i.value("scorer_path", "/score/"),
                                          i.value("scorer_body", "s") };
    }
    s.items.push_back(std::move(item));
  }
  return s;
}

std::string
encode_page(const batches::result_page& p)
{
  json j{ { "total", p.total },
          { "next", p.next },
          { "results", json::array() } };
  for (const auto& r : p.results) {
    j["results"].push_back({ { "id", r.id },
                             { "done", r.done },
                             { "text", r.text },
                             { "versions", r.versions },
                             { "score", r.score } });
  }
  return j.dump();
}

routes::route
route_from(const json& j)
{
  routes::route r;
  r.name = j.at("name").get<std::string>();
  r.host = "h";
  r.path_prefix = j.at("prefix").get<std::string>();
  r.kind = static_cast<routes::call_kind>(j.at("kind").get<int>());
  r.services = { { j.at("service").get<std::string>(), 1 } };
  r.max_attempts = j.at("attempts").get<std::uint32_t>();
  r.timeout_ms = j.value("timeout_ms", r.timeout_ms);
  r.due_ms = j.value("due_ms", r.due_ms);
  r.give_up_ms = j.value("give_up_ms", r.give_up_ms);
  r.is_public = j.value("public", r.is_public);
  r.single_version = j.value("single_version", r.single_version);
  r.homes =
    data_centres::homes_from(j.value("homes", std::vector<std::string>{}));
  return r;
}

routes::service
service_from(const json& j)
{
  routes::service s;
  s.name = j.at("name").get<std::string>();
  s.cold_ms = j.value("cold_ms", s.cold_ms);
  s.cold_per_second = j.value("cold_per_second", s.cold_per_second);
  return s;
}

// Format: {"NAME": ["KEY", ...], ...}
workspaces::directory
workspaces_from(const json& j)
{
  workspaces::directory::builder b;
  for (const auto& [name, keys] : j.items()) {
    b.workspace(name, std::nullopt);
    for (const auto& key : keys) {
      b.key(key.get<std::string>());
    }
  }
  return b.build();
}

store::decoded<routes::table>
table_from(const store::object& o)
{
  return store::try_decode([&] {
    routes::table table;
    table.version = store::uint_field(o.spec, "version");
    for (const auto& r : store::array_field(o.spec, "routes")) {
      table.routes.push_back(route_from(r));
    }
    if (o.spec.contains("services")) {
      for (const auto& s : store::array_field(o.spec, "services")) {
        const auto service = service_from(s);
        table.services[service.name] = service;
      }
    }
    if (o.spec.contains("workspaces")) {
      table.workspaces = workspaces_from(o.spec.at("workspaces"));
    }
    return table;
  });
}

store::decoded<backends::announcement>
announcement_from(const store::object& o)
{
  return store::try_decode([&] {
    backends::announcement a;
    a.id = o.name;
    a.started_ms = store::uint_field_or(o.spec, "started_ms", 0);
    a.service = store::string_field(o.spec, "service");
    a.address = store::string_field(o.spec, "address");
    a.data_centre = store::string_field_or(o.spec, "data_centre", "");
    a.cold_left_ms = store::uint_field_or(o.spec, "cold_left_ms", 0);
    a.slots = static_cast<std::uint32_t>(store::uint_field(o.spec, "slots"));
    a.data_centre = store::string_field_or(o.spec, "data_centre", "");
    a.versions["m"] = store::uint_field_or(o.spec, "version", 0);
    return a;
  });
}

// Decodes GET /batches/ID?after=N&wait=MS and DELETE /batches/ID.
edge::batch_request
batch_request_from(const http::request& r)
{
  constexpr std::string_view prefix = "/batches/";
  edge::batch_request b;
  const auto path = http::path_of(r.target);
  if (!path.starts_with(prefix)) {
    return b;
  }
  b.id = path.substr(prefix.size());
  b.what = r.method == "DELETE" ? edge::batch_operation::end
                                : edge::batch_operation::read_results;
  const auto value = [&](std::string_view key) {
    const auto text = http::query_value(r.target, key).value_or("0");
    return http::parse_number(text).value_or(0);
  };
  b.after = value("after");
  b.wait_ms = value("wait");
  return b;
}

} // namespace

edge::dialect
json_dialect()
{
  edge::dialect d;
  d.headers = { "Id",        "Wait",         "Signature",   "Expect",
                "Backend",   "Load",         "Not-Run",     "Last",
                "Version",   "Only-Version", "Reader-Wait", "Retry-After",
                "Workspace", "Urgency",      "Cold-Ms" };
  d.kinds = { "configuration", "main",    "backends",
              "versions",      "retired", "drains" };
  d.version_line = "version";
  d.store.encode = [](const store::call& c) {
    // Identical watches of several instances are joined by their target, so the
    // target contains the kind and the revision.
    const auto target = "/" + c.kind + "?since=" + std::to_string(c.since);
    return http::request{
      "POST", target, { { "Host", "s" } }, to_json(c).dump()
    };
  };
  d.store.decode = decode_reply;
  d.submission_from = [](std::string_view body) {
    return store::try_decode(
      [&] { return submission_from(json::parse(body)); });
  };
  d.encode_page = encode_page;
  d.table_from = table_from;
  d.announcement_from = announcement_from;
  d.batch_request_from = batch_request_from;
  d.load_from = [](std::string_view) {
    return std::optional<backends::reported_load>{};
  };
  return d;
}

object_store::object_store(asio::io_context& io)
  : io_{ io }
  , server_{ io, {}, [this](const http::call& c) { serve(c); } }
{
  server_.listen("127.0.0.1:0");
  tick();
}

std::string
object_store::address() const
{
  return "127.0.0.1:" + std::to_string(server_.port());
}

std::uint64_t
object_store::put(const std::string& kind,
                  const std::string& name,
                  const json& spec)
{
  auto& o = objects_[kind][name];
  o.name = name;
  o.spec = spec;
  o.revision = ++revision_;
  record_change(kind, o, false);
  return revision_;
}

std::uint64_t
object_store::recreate(const std::string& kind,
                       const std::string& name,
                       const json& spec)
{
  auto& all = objects_[kind];
  const auto found = all.find(name);
  if (found != all.end()) {
    auto removed = found->second;
    removed.revision = ++revision_;
    all.erase(found);
    history_[kind].push_back({ std::move(removed), true });
  }
  return put(kind, name, spec);
}

const store::object*
object_store::find(const std::string& kind, const std::string& name) const
{
  const auto k = objects_.find(kind);
  if (k == objects_.end()) {
    return nullptr;
  }
  const auto o = k->second.find(name);
  return o == k->second.end() ? nullptr : &o->second;
}

std::vector<store::object>
object_store::all(const std::string& kind) const
{
  std::vector<store::object> list;
  const auto k = objects_.find(kind);
  if (k != objects_.end()) {
    for (const auto& [name, o] : k->second) {
      list.push_back(o);
    }
  }
  return list;
}

void
object_store::compact()
{
  history_.clear();
  history_from_ = revision_;
  auto aborted = std::move(watches_);
  watches_.clear();
  for (const auto& w : aborted) {
    w.caller.abort();
  }
}

void
object_store::record_change(const std::string& kind,
                            store::object o,
                            bool deleted)
{
  history_[kind].push_back({ std::move(o), deleted });
  respond_to_watches();
}

void
object_store::respond_to_watches()
{
  auto waiting = std::move(watches_);
  watches_.clear();
  for (auto& w : waiting) {
    const auto r = perform(w.call);
    const bool is_expired = http::now_ms() >= w.deadline_ms;
    if (!r.changes.empty() || r.result != store::call_result::done ||
        is_expired) {
      w.caller.respond({ 200, {}, encode_reply(r, objects_sent_as_text) });
    } else if (w.caller.is_open()) {
      watches_.push_back(std::move(w));
    }
  }
}

void
object_store::tick()
{
  auto timer =
    std::make_shared<http::timer>(io_, std::chrono::milliseconds{ tick_ms });
  timer->async_wait([this, timer](asio::error_code ec) {
    if (!ec) {
      respond_to_watches();
      tick();
    }
  });
}

void
object_store::serve(const http::call& c)
{
  const auto j = json::parse(c.request().body, nullptr, false);
  if (!j.is_object() || !j.contains("op")) {
    c.respond({ 400, {}, "" });
    return;
  }
  const auto call = call_from(j);
  ++calls_;
  const auto chosen = inject_fault ? inject_fault(call) : fault::none;
  if (chosen == fault::refuse) {
    c.respond({ 503, {}, "" });
    return;
  }
  if (chosen == fault::drop_request) {
    unanswered_.push_back(c);
    return;
  }
  if (call.op == store::operation::watch && chosen == fault::none) {
    watches_.push_back({ c, call, http::now_ms() + call.wait_ms });
    respond_to_watches();
    return;
  }
  const auto r = perform(call);
  if (chosen == fault::drop_response) {
    unanswered_.push_back(c);
    return;
  }
  c.respond({ 200, {}, encode_reply(r, objects_sent_as_text) });
}

store::reply
object_store::perform(const store::call& c)
{
  using store::call_result;
  using store::operation;
  store::reply r;
  r.result = call_result::done;
  r.as_of = revision_;
  auto& kind = objects_[c.kind];
  const auto found = kind.find(c.name);
  const bool exists = found != kind.end();
  switch (c.op) {
    case operation::list:
      for (auto at = kind.upper_bound(c.after); at != kind.end(); ++at) {
        r.more = r.items.size() == page_size;
        if (r.more) {
          return r;
        }
        r.items.push_back(at->second);
      }
      return r;
    case operation::watch:
      if (c.since < history_from_) {
        r.result = call_result::history_gone;
        return r;
      }
      for (const auto& change : history_[c.kind]) {
        if (change.value.revision > c.since) {
          r.changes.push_back(change);
        }
      }
      return r;
    case operation::get:
      r.result = exists ? call_result::done : call_result::missing;
      if (exists) {
        r.items.push_back(found->second);
      }
      return r;
    case operation::create: {
      if (exists) {
        r.result = call_result::conflict;
        r.items.push_back(found->second);
        return r;
      }
      store::object o;
      o.name = c.name;
      o.spec = c.body;
      o.revision = ++revision_;
      kind[c.name] = o;
      r.items.push_back(o);
      record_change(c.kind, o, false);
      return r;
    }
    case operation::replace:
    case operation::replace_status:
      if (!exists) {
        r.result = call_result::missing;
        return r;
      }
      if (c.revision != 0 && c.revision != found->second.revision) {
        r.result = call_result::conflict;
        r.items.push_back(found->second);
        return r;
      }
      (c.op == operation::replace ? found->second.spec : found->second.status) =
        c.body;
      found->second.revision = ++revision_;
      r.items.push_back(found->second);
      record_change(c.kind, found->second, false);
      return r;
    case operation::remove:
      r.result = exists ? call_result::done : call_result::missing;
      if (exists) {
        auto removed = found->second;
        removed.revision = ++revision_;
        kind.erase(found);
        record_change(c.kind, removed, true);
      }
      return r;
  }
  return r;
}

} // namespace cactusford::standins
