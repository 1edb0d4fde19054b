// Follows all objects of a kind: lists them once, then waits for changes.
#pragma once

#include "cactusford/http/clock.h"
#include "cactusford/store/store.h"

namespace cactusford::store {

struct watch_events
{
  // The whole kind, at the first list and whenever history was lost.
  std::function<void(std::vector<object>&&)> on_list;
  std::function<void(change&&)> on_change;
  // After each answer of the store, changed or not.
  std::function<void()> on_current;
  // An object whose frame could not be read. Default: it is logged.
  std::function<void(const unreadable&)> on_unreadable = {};
};

struct watch_settings
{
  std::string kind;
  // How long the store may hold a watch. A connection on which the answer was
  // lost stays silent, so this bounds how old our view can become unnoticed.
  std::uint64_t wait_ms = 5000;
  // Pause after each answer, in which changes gather: each watch is a call. It
  // counts as part of `wait_ms`.
  std::uint64_t gather_ms = 0;
  // The watch may be joined with those of other instances. It is then as
  // fresh as the relay that makes it, or found to be silent after `wait_ms`.
  bool shared = false;
  // Changes must be known within the time that the deployment promises. A view
  // that an answer leaves old is confirmed at once, before the next long watch.
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

  // Asks again at once, such as when the store is back.
  void refresh();

  // The kind has been listed at least once.
  bool is_current() const { return listed_; }

  // All that the store had confirmed before this moment of `boot_ms` is in the
  // view.
  std::uint64_t confirmed_ms() const { return confirmed_ms_; }

  std::uint64_t as_of() const { return as_of_; }

private:
  // What the pages of a list have shown so far.
  struct listing
  {
    std::string after;
    std::vector<object> objects;
    std::vector<unreadable> broken;
    std::uint64_t first_as_of = 0;
    std::uint64_t confirmed_ms = 0;
  };

  void list(listing sofar);
  bool is_older_than_shown(const listing& l) const;
  void end_list(listing&& l, std::uint64_t round);
  void watch();
  void wait_and_watch(std::uint64_t ms);
  void ask(const call& c, client::handler done);
  std::uint64_t pause_left() const;
  std::uint64_t hold_ms() const;
  void decide_check();
  void on_reply(reply&& r, std::uint64_t round);
  void tell_unreadable(const std::vector<unreadable>& broken);
  void note_confirmed(std::uint64_t at_ms);
  void note_failed(operation op, verdict v);

  http::timer timer_;
  client& store_;
  watch_settings settings_;
  watch_events events_;
  std::uint64_t as_of_ = 0;
  std::uint64_t confirmed_ms_ = 0;
  // When the last call was made.
  std::uint64_t asked_ms_ = 0;
  // The next watch only asks whether the last answer still holds.
  bool is_check_ = false;
  // Changes have gathered since the last answer.
  bool has_gathered_ = false;
  // Grows when the view is asked for again at once. Answers of an older round
  // are true as well, but only the newest goes on asking.
  std::uint64_t round_ = 0;
  std::uint32_t failures_ = 0;
  bool listed_ = false;
  bool needs_list_ = true;
  bool running_ = false;
};

} // namespace cactusford::store
