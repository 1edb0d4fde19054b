// Keeps this home's tenure: hears the other homes, hands over, confirms.
#pragma once

#include "cactusford/calls/calls.pb.h"
#include "cactusford/calls/record.h"
#include "cactusford/calls/tenure.h"
#include "cactusford/process/daemon.h"

#include <functional>
#include <set>
#include <string>

namespace cactusford::sidecar {

class home_guard
{
public:
  // `is_running` says whether a call under the key runs now.
  home_guard(process::daemon& d,
             const settings::sidecar_settings& s,
             calls::record& r,
             std::function<bool(const std::string&)> is_running);

  void on_configuration(const configuration::snapshot_ptr& view);
  void tick();
  // Serves a "/calls/handover" or "/calls/confirm" stream.
  void serve(const link::stream_ptr& s);

  // Whether a call under the key may be looked up and run here. On success
  // the record's tenure is set for the key.
  failure judge(const std::string& key);

  // Tells the entries that this home leaves.
  void leave();

  // True when the new homes have all that this one knows, or there are none.
  bool is_handed_over() const;

private:
  bool is_member() const;
  std::string link_of(const std::string& instance) const;
  void ask_handover(const std::string& from);
  void take_handover(const std::string& from,
                     const calls::handover_reply& reply);
  calls::handover_reply hand_over(const calls::handover_request& r);
  void confirm();
  void announce_state();
  void announce(const std::string& path, const std::string& number);

  process::daemon& daemon_;
  settings::sidecar_settings settings_;
  calls::record& record_;
  std::function<bool(const std::string&)> is_running_;
  calls::tenure tenure_;
  std::set<std::string> asked_;
  // Members of the present map that have taken this home's keys.
  std::set<std::string> served_;
  std::uint64_t next_ask_ms_ = 0;
  std::uint64_t next_confirm_ms_ = 0;
  std::uint64_t next_announce_ms_ = 0;
  std::uint64_t last_keyed_ms_ = 0;
  bool leaving_ = false;
};

} // namespace cactusford::sidecar
