// A lease object in the platform that determines which instance owns a trainer
// or holds a duty. It carries a fencing token. Pure functions; times are
// milliseconds of a steady clock. See docs/OWNERSHIP.md.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cactusford::ownership {

// The lease object as last read. The fencing token is the version of the write
// that acquired the lease, so it grows with every change of owner.
struct lease
{
  std::uint64_t version = 0;
  // Empty if the lease was released.
  std::string holder;
  std::uint64_t fence = 0;

  friend bool operator==(const lease&, const lease&) = default;
};

struct lease_client
{
  std::string self;
  std::uint32_t duration_ms = 10000;
  // Position among the entries that may own this trainer.
  std::uint32_t rank = 0;
  lease seen;
  // When `seen.version` was first read, by this process's own clock: clocks of
  // different processes are never compared.
  std::uint64_t seen_since_ms = 0;
  std::uint64_t renewed_ms = 0;
  // When the write in flight was sent, and when the last successful write was
  // sent.
  std::uint64_t write_sent_ms = 0;
  std::uint64_t confirmed_ms = 0;
  std::uint64_t polled_ms = 0;
  bool has_seen = false;
  bool held = false;
  bool busy = false;
  bool releasing = false;

  friend bool operator==(const lease_client&, const lease_client&) = default;
};

enum class action
{
  none,
  read,
  acquire,
  renew,
  release,
};

// Returns the next action and records that it has started. `holder_listed`: the
// platform's list still contains the current holder.
action
next_action(lease_client& client, bool holder_listed, std::uint64_t now_ms);

// Returns true while nobody else can have taken over. A candidate waits for the
// whole lease duration after it has seen the last write, which is later than
// the time at which this client sent that write.
bool
may_act(const lease_client& client, std::uint64_t now_ms);

// The platform answered a read.
void
on_read(lease_client& client, const lease& l, std::uint64_t now_ms);

// A write took effect at this version.
void
on_written(lease_client& client,
           action a,
           std::uint64_t version,
           std::uint64_t now_ms);

// The platform does not answer. Nobody can take over either, so a holder keeps
// the lease.
void
on_unavailable(lease_client& client, std::uint64_t now_ms);

// Another client wrote the lease.
void
on_conflict(lease_client& client);

std::string
to_spec(const lease& l);

// The holder of a lease object that cannot be read. It is no valid name of an
// instance, and such a lease is taken over only after its whole duration: who
// held it before may still act.
constexpr std::string_view unreadable_holder = "?";

lease
lease_from(std::uint64_t version, const std::string& spec);
lease
lease_from(std::uint64_t version, const nlohmann::json& spec);

} // namespace cactusford::ownership
