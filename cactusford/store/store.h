// The platform's object store: typed calls, and a client that reaches it
// directly or through another instance.
#pragma once

#include "cactusford/http/client.h"
#include "cactusford/http/server.h"
#include "cactusford/store/fields.h"
#include "cactusford/store/packing.h"
#include "cactusford/store/paths.h"
#include "cactusford/store/relay_wire.h"
#include "cactusford/store/shared_watches.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cactusford::store {

// Objects are named within a kind. The revision is global to the store and
// grows with each change, so revisions of different objects can be compared.
struct object
{
  std::string name;
  std::uint64_t revision = 0;
  bool deleting = false;
  nlohmann::json spec;
  nlohmann::json status;

  friend bool operator==(const object&, const object&) = default;
};

struct change
{
  object value;
  bool deleted = false;

  friend bool operator==(const change&, const change&) = default;
};

// An object that could not be decoded, as anyone may write to the store. Its
// previous value is no longer valid; the other objects in the same answer are
// not affected.
struct unreadable_object
{
  // Empty if not even the name could be read.
  std::string name;
  decode_error fault;
  // 0 if it could not be read.
  std::uint64_t revision = 0;
  // The change in which the object arrived is its removal.
  bool deleted = false;

  friend bool operator==(const unreadable_object&,
                         const unreadable_object&) = default;
};

// Logs an object that could not be decoded: its name, the field and the reason.
// The log limits the number of such lines.
void
log_unreadable(std::string_view kind, const unreadable_object& u);

enum class operation
{
  list,
  watch,
  get,
  create,
  replace,
  replace_status,
  remove,
};

// The shortest wait time of a watch, which only checks for changes.
constexpr std::uint64_t min_hold_ms = 1;

struct call
{
  operation op = operation::get;
  std::string kind;
  std::string name;
  // Precondition: the object still has this revision; 0 for any revision.
  std::uint64_t revision = 0;
  // For `list`: returns names after this one. For `watch`: returns changes
  // after `since`; the store holds the call for at most `wait_ms` until there
  // is one.
  std::string after;
  std::uint64_t since = 0;
  std::uint64_t wait_ms = 0;
  // A watch or list that may be joined with those of other instances.
  bool shared = false;
  // The specification for `create` and `replace`, the status for
  // `replace_status`.
  nlohmann::json body;
  // The call must not pass through another instance, which may stand in a
  // region that must not get what it carries.
  bool is_direct = false;

  friend bool operator==(const call&, const call&) = default;
};

enum class call_result
{
  done,
  // The object already exists, or has another revision. `items` contains it if
  // the store returned it.
  conflict,
  missing,
  // The store has dropped the watched history: list again.
  history_gone,
  // The call has not been executed.
  refused,
  // No answer: the call may have been executed, or may be executed later.
  unknown,
};

std::string_view
name_of(call_result v) noexcept;

std::string_view
name_of(operation op) noexcept;

struct reply
{
  call_result result = call_result::unknown;
  std::vector<object> items;
  std::vector<change> changes;
  std::vector<unreadable_object> unreadable_objects;
  bool more = false;
  // If there are more pages: the name after which the next page starts.
  std::string last_name;
  std::uint64_t as_of = 0;
  // The time as of which this answer is known to be valid, on this instance's
  // `boot_ms` clock: it includes everything that the store had confirmed
  // before.
  std::uint64_t confirmed_ms = 0;
  // An earlier attempt of the same call got no answer, so a conflict may be
  // with this client's own write.
  bool after_unknown = false;

  friend bool operator==(const reply&, const reply&) = default;
};

// Encodes calls to HTTP requests and decodes the responses.
struct dialect
{
  std::function<http::request(const call&)> encode;
  std::function<reply(const call&, const http::response&)> decode;
};

struct client_settings
{
  std::string address;
  // Instances that make calls for others, as "ip:port".
  std::vector<std::string> relays;
  // Calls go through a relay as long as one answers. Relays join identical
  // watches of many instances into one call.
  bool prefer_relays = false;
  // Watches that may be shared go through a relay; other calls go directly.
  bool share_watches = false;
  // Position of this instance in the list of relays, if it is one. The first
  // relay makes the watches of all; the other relays join theirs through it.
  std::optional<std::size_t> rank = {};
  // As a relay, reports a silent first relay before the instances behind this
  // one presume that this one is silent too.
  bool reports_silent_relay = false;
  answer_limits limits = {};
};

// Small messages that are piggybacked on the watches that one instance makes
// for another. The store client does not interpret them.
struct piggyback
{
  // Returns the message to send with the next watch; null for none.
  std::function<nlohmann::json()> outgoing;
  // As a relay, returns the reply to another instance's message.
  std::function<nlohmann::json(const nlohmann::json&)> answer;
  // Handles the reply of a relay.
  std::function<void(const nlohmann::json&)> incoming;
};

// Maximum number of relays between an instance and the store, for a watch.
// Lists of relays may differ between instances, and two relays that each take
// the other for the first one would forward a watch forever.
constexpr std::uint64_t max_hops = 2;

// Instances and the store are close to each other; a connection that takes
// longer is not going to succeed.
constexpr std::uint64_t connect_ms = 250;

class client
{
public:
  using handler = std::function<void(reply&&)>;

  client(asio::io_context& io,
         http::client& http,
         const dialect& d,
         client_settings s);

  // Tries up to three paths. A list goes out on two paths at a time if the
  // first one is slow.
  void perform(const call& c, handler done);

  // Replaces the list of relays, and this instance's position among them.
  void use_relays(std::vector<std::string> relays,
                  std::optional<std::size_t> rank);

  // Adds a relay to those of the settings, which may all be cut off together
  // with this instance.
  void learn_relay(const std::string& address);

  // Makes the call of another instance and returns the store's answer.
  void relay(const http::call& caller);

  // Refuses the calls of other instances, which then use another relay.
  void stop_relaying();

  // Time of the store's last answer on the steady clock; 0 before the first.
  std::uint64_t last_answer_ms() const { return last_answer_ms_; }

  // Returns true if no path has reached the store for a while.
  bool is_disconnected(std::uint64_t now_ms) const;

  std::uint64_t calls() const { return calls_; }
  std::uint64_t relayed() const { return relayed_; }
  // Tries that the store or a relay did not answer, or refused.
  std::uint64_t failed_tries() const { return failed_tries_; }

  // Called when the store answers again after a failure, with the time without
  // an answer on any path, in milliseconds.
  std::function<void(std::uint64_t)> on_regained;
  std::function<void(std::string_view)> on_lost;

  store::piggyback piggyback;

private:
  struct attempt;
  // One path on which a call was sent, and when, on the `boot_ms` clock.
  struct path_try
  {
    std::size_t path = direct_path;
    std::uint64_t at_ms = 0;
  };
  void try_next(const std::shared_ptr<attempt>& a);
  void try_second_path_later(const std::shared_ptr<attempt>& a);
  void try_path(const std::shared_ptr<attempt>& a, std::size_t path);
  std::size_t first_path_of(const store::call& c) const;
  std::optional<std::size_t> next_path(const attempt& a);
  std::uint64_t hops_to(const store::call& c, std::size_t path) const;
  static joinable_call joinable(const attempt& a, std::uint64_t timeout_ms);
  void finish(const std::shared_ptr<attempt>& a, reply&& r);
  void handle_response(const std::shared_ptr<attempt>& a,
                       path_try sent,
                       http::exchange_outcome end,
                       http::response&& r,
                       std::uint64_t confirmed_ms);
  std::string name_of_path(std::size_t path) const;
  void log_failure(const attempt& a,
                   path_try sent,
                   http::exchange_outcome end,
                   call_result v);
  void fail(const std::shared_ptr<attempt>& a);
  void handle_piggyback(const http::response& r) const;
  nlohmann::json next_piggyback() const;
  void relay_watch(const http::call& caller, const relayed_call& relayed);
  void join_watch(const joinable_call& inner,
                  shared_watches::origin from,
                  shared_watches::handler done);
  void join_upstream(const joinable_call& inner,
                     std::uint64_t hops,
                     shared_watches::handler done);
  void handle_upstream_response(const joinable_call& inner,
                                std::uint64_t asked_ms,
                                http::exchange_outcome end,
                                http::response&& r);
  bool should_join_upstream(std::uint64_t hops);
  answer_contents contents_of(const http::response& r) const;
  void record_answer();
  void record_failure(std::string_view why);

  asio::io_context& io_;
  http::client& http_;
  const dialect& dialect_;
  client_settings settings_;
  path_table paths_;
  std::uint64_t last_answer_ms_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t relayed_ = 0;
  std::uint64_t failed_tries_ = 0;
  bool is_lost_ = false;
  bool relaying_ = true;
  std::size_t first_watch_path_ = direct_path;
  // Watches made directly, for this instance and others, and watches joined
  // through the first relay.
  packer packer_;
  shared_watches direct_watches_;
  shared_watches upstream_watches_;
};

} // namespace cactusford::store
