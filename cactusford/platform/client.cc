#include "cactusford/platform/client.h"

#include "cactusford/http/blocking_exchange.h"
#include "cactusford/store/fields.h"
#include "cactusford/timeline/event.h"

#include <nlohmann/json.hpp>

#include <atomic>

namespace cactusford::platform {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr std::uint32_t watch_margin_ms = 2000;
// A list of all objects may take longer than one answer is waited for, as long
// as its bytes arrive.
constexpr std::uint64_t transfer_ms = 30000;
constexpr std::size_t max_list_bytes = 64U << 20;

object
object_from(const json& j)
{
  object o;
  o.kind = store::string_field(j, "kind");
  o.name = store::string_field(j, "name");
  o.version = store::uint_field(j, "version");
  o.deleted = store::bool_field_or(j, "deleted", false);
  o.spec = store::string_field_or(j, "spec", "");
  o.request_id = store::string_field_or(j, "request_id", "");
  return o;
}

// Leaves out an object of a list that cannot be read, so that the others are
// not lost.
store::decoded<object>
read_object(const json& item)
{
  auto o = store::try_decode([&] {
    if (store::contains_unreadable(item)) {
      throw store::field_error{ { "", "not valid JSON" } };
    }
    return object_from(item);
  });
  if (!o) {
    const auto name = store::try_decode([&] {
      return store::string_field(item, "kind") + "/" +
             store::string_field(item, "name");
    });
    timeline::log(timeline::event{ "object_unreadable" }
                    .with("name", name.value_or(""))
                    .with("field", o.fault.field)
                    .with("why", o.fault.what));
  }
  return o;
}

failure
unavailable(const std::string& what)
{
  return { error_kind::platform_unavailable, what, 1000 };
}

std::string
object_path(const std::string& kind, const std::string& name)
{
  return "/v1/objects/" + kind + "/" + name;
}

} // namespace

struct client::state
{
  std::string address;
  std::uint32_t timeout_ms = 0;
  std::atomic<std::uint64_t> calls{ 0 };
  // Highest version of each object that this client has read by name.
  std::mutex mutex;
  std::map<std::string, std::uint64_t> newest_versions;

  // Returns the answer, or one with status 0 if none has arrived.
  http::response send(http::request r, std::uint64_t wait_ms) const
  {
    http::blocking_options options;
    options.max_silence_ms = timeout_ms + wait_ms;
    options.exchange.timeout_ms = options.max_silence_ms + transfer_ms;
    options.exchange.connect_timeout_ms = timeout_ms;
    options.exchange.max_body_bytes = max_list_bytes;
    auto answer = http::fetch_and_wait(address, std::move(r), options);
    return answer.outcome == http::exchange_outcome::complete
             ? std::move(answer.value)
             : http::response{};
  }

  // Returns true if the object is older than one read before. A lagging replica
  // of the store can return an older version, which would revert the
  // configuration, so the read fails instead.
  bool is_stale(const object& o)
  {
    const std::lock_guard lock{ mutex };
    auto& newest = newest_versions[o.kind + "/" + o.name];
    if (o.version < newest) {
      return true;
    }
    newest = o.version;
    return false;
  }
};

client::client(std::string address, std::uint32_t timeout_ms)
  : state_{ std::make_unique<state>() }
{
  state_->address = std::move(address);
  state_->timeout_ms = timeout_ms;
}

client::~client() = default;

result<object>
client::get(const std::string& kind, const std::string& name)
{
  ++state_->calls;
  const auto response =
    state_->send({ "GET", object_path(kind, name), {}, "" }, 0);
  if (response.status != ok && response.status != not_found) {
    return { {}, unavailable("get " + kind + "/" + name) };
  }
  if (response.status == not_found) {
    return { {}, { error_kind::not_found, kind + "/" + name } };
  }
  auto o = store::try_decode(
    [&] { return object_from(store::parse_message(response.body)); });
  if (!o) {
    return { {}, unavailable("the answer is not an object: " + o.fault.what) };
  }
  if (state_->is_stale(*o)) {
    timeline::log(timeline::event{ "platform_stale" }
                    .with("kind", o->kind)
                    .with("name", o->name)
                    .with("version", o->version));
    return { {}, { error_kind::platform_stale, kind + "/" + name, 1000 } };
  }
  return { std::move(*o), {} };
}

result<change_list>
client::changes(std::uint64_t since, std::uint32_t wait_ms)
{
  ++state_->calls;
  const auto path = "/v1/changes?since=" + std::to_string(since) +
                    "&wait_ms=" + std::to_string(wait_ms) +
                    "&exclude=lease,ledger";
  const auto response = state_->send(
    { "GET", path, {}, "" }, wait_ms + (wait_ms > 0 ? watch_margin_ms : 0));
  if (response.status != ok) {
    return { {}, unavailable("changes") };
  }
  auto list = store::try_decode([&] {
    const auto body = store::parse_leniently(response.body).value;
    change_list decoded;
    decoded.revision = store::uint_field(body, "revision");
    for (const auto& item : store::array_field(body, "objects")) {
      // What is no object at all is the answer of something else.
      if (!item.is_object() && !store::contains_unreadable(item)) {
        throw store::field_error{ { "objects", "not an array of objects" } };
      }
      if (auto o = read_object(item)) {
        decoded.objects.push_back(std::move(*o));
      }
    }
    return decoded;
  });
  if (!list) {
    return { {}, unavailable("the answer is not a list: " + list.fault.what) };
  }
  if (list->revision < since) {
    timeline::log(timeline::event{ "platform_stale" }
                    .with("revision", list->revision)
                    .with("since", since));
    return { {}, { error_kind::platform_stale, "changes", 1000 } };
  }
  return { std::move(*list), {} };
}

result<std::uint64_t>
client::put(const write& w)
{
  ++state_->calls;
  const json body{ { "expected_version", w.expected_version },
                   { "spec", w.spec },
                   { "request_id", w.request_id },
                   { "deleted", w.remove } };
  const auto response =
    state_->send({ "PUT",
                   object_path(w.kind, w.name),
                   { { "Content-Type", "application/json" } },
                   body.dump() },
                 0);
  if (response.status == ok) {
    const auto version = store::try_decode([&] {
      return store::uint_field(store::parse_message(response.body), "version");
    });
    if (version) {
      return { *version, {} };
    }
  }
  // The write may have been applied although its response was lost, and a retry
  // then conflicts with its own earlier write. The request id in the object
  // distinguishes this from a conflict with another writer.
  const bool is_conflict = response.status == conflict;
  const auto current = get(w.kind, w.name);
  if (current && current.value.request_id == w.request_id) {
    return { current.value.version, {} };
  }
  if (is_conflict) {
    const auto newer =
      current ? std::to_string(current.value.version) : "unknown";
    return { current.value.version,
             { error_kind::conflict,
               w.kind + "/" + w.name + " is at version " + newer +
                 ", expected " + std::to_string(w.expected_version) } };
  }
  return { {}, unavailable("put " + w.kind + "/" + w.name) };
}

std::uint64_t
client::calls() const
{
  return state_->calls;
}

} // namespace cactusford::platform
