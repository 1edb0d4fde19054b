// The platform's object store: typed calls, and a client that reaches it
// directly or through another instance.
#pragma once

#include "cactusford/http/client.h"
#include "cactusford/http/server.h"
#include "cactusford/store/fields.h"
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

// Objects are named within a kind. A revision grows with each change in the
// whole store, so revisions of different objects can be compared.
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

// An object that could not be read, as another writer's may be. What it held
// before stands no longer; the others that came with it hold.
struct unreadable
{
  // Empty when not even the name could be read.
  std::string name;
  shape_fault fault;

  friend bool operator==(const unreadable&, const unreadable&) = default;
};

// One line for an object that could not be read: its name, the field, the
// fault. The log bounds how many there are.
void
log_unreadable(std::string_view kind, const unreadable& u);

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

// The shortest wait of a watch: it only asks whether there are changes.
constexpr std::uint64_t least_hold_ms = 1;

struct call
{
  operation op = operation::get;
  std::string kind;
  std::string name;
  // Only if the object still has this revision; 0: whatever it has.
  std::uint64_t revision = 0;
  // For `list`: names behind this one. For `watch`: changes behind `since`,
  // held back for at most `wait_ms` until there is one.
  std::string after;
  std::uint64_t since = 0;
  std::uint64_t wait_ms = 0;
  // A watch or list that may be joined with those of other instances.
  bool shared = false;
  // For `create` and `replace` the specification, for `replace_status` the
  // status.
  nlohmann::json body;

  friend bool operator==(const call&, const call&) = default;
};

enum class verdict
{
  done,
  // The object exists already, or has another revision: `items` holds it if
  // the store showed it.
  conflict,
  missing,
  // The watched history has been dropped: list again.
  history_gone,
  // Nothing was done.
  refused,
  // No answer: it may have been done, or may be done later.
  unknown,
};

std::string_view
name_of(verdict v) noexcept;

std::string_view
name_of(operation op) noexcept;

struct reply
{
  verdict what = verdict::unknown;
  std::vector<object> items;
  std::vector<change> changes;
  std::vector<unreadable> broken;
  bool more = false;
  // For a list with more to come: the name to go on behind.
  std::string last_name;
  std::uint64_t as_of = 0;
  // When the store surely stood as this says, on this instance's `boot_ms`: all
  // that it had confirmed before is in it.
  std::uint64_t confirmed_ms = 0;
  // An earlier attempt of the same call had no answer: a conflict may be with
  // our own write.
  bool after_unknown = false;

  friend bool operator==(const reply&, const reply&) = default;
};

// How calls look on the wire.
struct dialect
{
  std::function<http::request(const call&)> encode;
  std::function<reply(const call&, const http::response&)> decode;
};

struct client_settings
{
  std::string address;
  // Instances that make calls for others, "ip:port".
  std::vector<std::string> relays;
  // Calls go through a relay as long as one answers. Relays join equal watches
  // of many instances into one call.
  bool prefer_relays = false;
  // Watches that may be shared go through a relay; other calls directly.
  bool share_watches = false;
  // Where this instance stands in the list of relays, if it is one. The first
  // makes the watches of all; the others join theirs through it.
  std::optional<std::size_t> rank = {};
  answer_limits limits = {};
};

// Small messages that ride along with the watches that one instance makes for
// another. What they hold is no matter of the store.
struct piggyback
{
  // What this instance sends with its next watch; null: nothing for now.
  std::function<nlohmann::json()> outgoing;
  // What it answers, as a relay, to what another instance sent.
  std::function<nlohmann::json(const nlohmann::json&)> answer;
  // Takes in what a relay has answered.
  std::function<void(const nlohmann::json&)> incoming;
};

// Relays between an instance and the store, for a watch. Lists of relays may
// differ, and two that each take the other for the first would go on for ever.
constexpr std::uint64_t most_hops = 2;

// Instances and the store are near; a connection that takes longer is not to
// be had.
constexpr std::uint64_t connect_ms = 250;

class client
{
public:
  using handler = std::function<void(reply&&)>;

  client(asio::io_context& io,
         http::client& http,
         const dialect& d,
         client_settings s);

  // Tries up to three paths; a list on two at a time if the first is slow.
  void perform(const call& c, handler done);

  // Other instances that make calls for this one from now on, and where this
  // one stands among them.
  void use_relays(std::vector<std::string> relays,
                  std::optional<std::size_t> rank);

  // One more instance that may make calls for this one, beside those of the
  // settings: they may all be cut off with it.
  void learn_relay(const std::string& address);

  // Makes the call of another instance and answers with what the store said.
  void relay(const http::call& caller);

  // Sends those whose calls this instance relays elsewhere.
  void stop_relaying();

  // The last answer of the store, on the steady clock; 0 before the first.
  std::uint64_t last_answer_ms() const { return last_answer_ms_; }

  // No path has reached the store for a while.
  bool is_cut_off(std::uint64_t now_ms) const;

  std::uint64_t calls() const { return calls_; }
  std::uint64_t relayed() const { return relayed_; }
  // Tries that the store or a relay did not answer, or refused.
  std::uint64_t failed_tries() const { return failed_tries_; }

  // Called when the store answers again after a failure, with how long it had
  // not answered on any path, in milliseconds.
  std::function<void(std::uint64_t)> on_regained;
  std::function<void(std::string_view)> on_lost;

  store::piggyback piggyback;

private:
  struct attempt;
  // One path on which a call has been sent, and when, on `boot_ms`.
  struct path_try
  {
    std::size_t path = direct_path;
    std::uint64_t at_ms = 0;
  };
  void try_next(const std::shared_ptr<attempt>& a);
  void try_second_path_later(const std::shared_ptr<attempt>& a);
  void try_path(const std::shared_ptr<attempt>& a, std::size_t path);
  std::size_t first_path_of(const store::call& c) const;
  std::uint64_t hops_to(const store::call& c, std::size_t path) const;
  void settle(const std::shared_ptr<attempt>& a, reply&& r);
  void take(const std::shared_ptr<attempt>& a,
            path_try sent,
            http::end_state end,
            http::response&& r,
            std::uint64_t confirmed_ms);
  std::string name_of_path(std::size_t path) const;
  void log_failure(const attempt& a,
                   path_try sent,
                   http::end_state end,
                   verdict v);
  void give_up(const std::shared_ptr<attempt>& a);
  void hear(const http::response& r) const;
  nlohmann::json next_message() const;
  void relay_watch(const http::call& caller, const relayed_call& asked);
  void join_watch(const held_call& inner,
                  shared_watches::origin from,
                  shared_watches::handler done);
  void join_upstream(const held_call& inner,
                     std::uint64_t hops,
                     shared_watches::handler done);
  void take_upstream(const held_call& inner,
                     std::uint64_t asked_ms,
                     http::end_state end,
                     const http::response& r);
  bool asks_upstream(std::uint64_t hops);
  bool has_changes(const http::response& r) const;
  void note_answer();
  void note_failure(std::string_view why);

  asio::io_context& io_;
  http::client& http_;
  const dialect& dialect_;
  client_settings settings_;
  path_table paths_;
  std::uint64_t last_answer_ms_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t relayed_ = 0;
  std::uint64_t failed_tries_ = 0;
  bool lost_ = false;
  bool relaying_ = true;
  std::size_t first_watch_path_ = direct_path;
  // Watches that are made here, for this instance and others; and those that
  // are joined through the first relay.
  shared_watches direct_;
  shared_watches upstream_;
};

} // namespace cactusford::store
