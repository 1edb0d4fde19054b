// Watches all objects of a kind: lists them once, then waits for changes.
#pragma once

#include "cactusford/http/clock.h"
#include "cactusford/store/shown_revisions.h"
#include "cactusford/store/store.h"

namespace cactusford::store {

struct watch_events
{
  // Receives the whole kind, after the first list and whenever history was
  // lost.
  std::function<void(std::vector<object>&&)> on_list;
  std::function<void(change&&)> on_change;
  // Called after each answer of the store, with or without changes.
  std::function<void()> on_current;
  // Receives an object that could not be decoded. Default: it is logged.
  std::function<void(const unreadable_object&)> on_unreadable = {};
};

struct watch_settings
{
  std::string kind;
  // How long the store may hold a watch. A connection that lost the answer
  // stays silent, so this bounds how stale the view can become unnoticed.
  std::uint64_t wait_ms = 5000;
  // Pause after an answer with changes, so that further changes arrive
  // together: each watch is a billed call. The pause counts towards `wait_ms`.
  std::uint64_t gather_ms = 0;
  // The watch may be joined with those of other instances. It is then as fresh
  // as that of the relay that makes it; a relay that falls silent is detected
  // after `wait_ms`.
  bool shared = false;
  // Changes must be known within the time that the deployment guarantees. If an
  // answer leaves the view stale, it is confirmed at once, before the next long
  // watch.
  bool is_urgent = false;
};

class watcher
{
public:
  watcher(asio::io_context& io,
          client& store,
          watch_settings s,
          watch_events events);

  void start();
  void stop();

  // Asks the store again at once, such as when it is reachable again.
  void refresh();

  // Returns true once the kind has been listed.
  bool is_current() const { return listed_; }

  // The view includes everything that the store had confirmed before this time
  // on the `boot_ms` clock.
  std::uint64_t confirmed_ms() const { return confirmed_ms_; }

  std::uint64_t as_of() const { return as_of_; }

  // Changes that were not shown, because a newer state of their object had been
  // shown before.
  std::uint64_t outdated_changes() const { return outdated_changes_; }

private:
  // The pages of a list read so far.
  struct listing
  {
    std::string after;
    std::vector<object> objects;
    std::vector<unreadable_object> unreadable_objects;
    std::uint64_t first_as_of = 0;
    std::uint64_t confirmed_ms = 0;
  };

  void list(listing partial);
  bool is_older_than_shown(const listing& l) const;
  void end_list(listing&& l, std::uint64_t round);
  void watch();
  void watch_after(std::uint64_t ms);
  void perform(const call& c, client::handler done);
  std::uint64_t pause_left() const;
  std::uint64_t hold_ms() const;
  void schedule_check();
  void on_reply(reply&& r, std::uint64_t round);
  bool accept(const std::string& name, std::uint64_t revision, bool is_removed);
  void show_changes(std::vector<change>&& changes);
  void show_unreadable(std::vector<unreadable_object>&& unreadable_objects);
  void record_list(const listing& l);
  void report_unreadable(const unreadable_object& u);
  void record_confirmation(std::uint64_t at_ms);
  void record_failed_call(operation op, call_result v);

  http::timer timer_;
  client& store_;
  watch_settings settings_;
  watch_events events_;
  std::uint64_t as_of_ = 0;
  shown_revisions shown_;
  std::uint64_t outdated_changes_ = 0;
  std::uint64_t confirmed_ms_ = 0;
  // When the last call was made.
  std::uint64_t asked_ms_ = 0;
  // The next watch only checks whether the last answer is still valid.
  bool is_check_ = false;
  // Changes may have accumulated during the pause since the last answer.
  bool has_gathered_ = false;
  // Incremented when the watcher asks again at once. Answers to calls of an
  // earlier round are still used, but only the newest round makes further
  // calls.
  std::uint64_t round_ = 0;
  std::uint32_t failures_ = 0;
  bool listed_ = false;
  bool needs_list_ = true;
  bool running_ = false;
};

} // namespace cactusford::store
