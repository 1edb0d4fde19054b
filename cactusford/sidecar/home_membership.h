// Tracks whether this sidecar is a home of its service: requests and serves
// handovers of keys, and confirms the home map with the other homes.
#pragma once

#include "cactusford/calls/calls.pb.h"
#include "cactusford/calls/key_ownership.h"
#include "cactusford/calls/record.h"
#include "cactusford/process/daemon.h"

#include <functional>
#include <set>
#include <string>

namespace cactusford::sidecar {

class home_membership
{
public:
  // `is_running` returns whether a call with the key is running.
  home_membership(process::daemon& d,
                  const settings::sidecar_settings& s,
                  calls::idempotency_record& r,
                  std::function<bool(const std::string&)> is_running);

  void on_configuration(const configuration::snapshot_ptr& view);
  void tick();
  // Serves a "/calls/handover" or "/calls/confirm" stream.
  void serve(const link::stream_ptr& s);

  // Checks whether a call with the key may be looked up and run here. On
  // success the record's ownership time is set for the key.
  failure check_key(const std::string& key);

  // Starts leaving: the next tick announces it to the entries.
  void leave();

  // True when all new homes have taken over this home's keys, or there are none
  // to hand over.
  bool is_handed_over() const;

private:
  bool is_member() const;
  std::string link_address_of(const std::string& instance) const;
  void request_handover(const std::string& from);
  void on_handover_reply(const std::string& from,
                         const calls::handover_reply& reply);
  calls::handover_reply make_handover_reply(const calls::handover_request& r);
  void request_confirmations();
  void announce_state();
  void announce(const std::string& path, const std::string& number);

  process::daemon& daemon_;
  settings::sidecar_settings settings_;
  calls::idempotency_record& record_;
  std::function<bool(const std::string&)> is_running_;
  calls::key_ownership ownership_;
  std::set<std::string> open_requests_;
  // Members of the current map that have taken over this home's keys.
  std::set<std::string> handed_over_to_;
  std::uint64_t next_handover_ms_ = 0;
  std::uint64_t next_confirm_ms_ = 0;
  std::uint64_t next_announce_ms_ = 0;
  std::uint64_t last_keyed_call_ms_ = 0;
  bool leaving_ = false;
};

} // namespace cactusford::sidecar
