// Simulates instances that share backend servers and open connections to them:
// many entries with few calls each, and owners with bursts of items.
#include "cactusford/backends/registry.h"

#include "cactusford/testing/section.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <queue>
#include <random>

using namespace cactusford::backends;

namespace {

constexpr std::uint64_t start_ms = 100'000;
constexpr std::uint64_t day_ms = 30'000;
constexpr std::size_t data_centres = 6;
constexpr std::size_t slots = 6;

// How long a server keeps an idle connection open.
constexpr std::uint64_t keep_alive_ms = 8000;

struct fleet_size
{
  std::size_t entries = 0;
  std::size_t servers = 0;
  double calls_per_entry_s = 0.65;
};

struct spread
{
  double connections_per_call = 0;
  double busiest_to_mean = 0;
  double mean_ms = 0;
};

std::string
data_centre_name(std::size_t i)
{
  return "dc-" + std::to_string(i % data_centres);
}

struct finished_call
{
  std::uint64_t at_ms = 0;
  std::size_t entry = 0;
  std::size_t server = 0;
  std::uint64_t took_ms = 0;

  friend bool operator>(const finished_call& a, const finished_call& b)
  {
    return a.at_ms > b.at_ms;
  }
};

class simulation
{
public:
  simulation(fleet_size size, std::uint64_t seed)
    : size_{ size }
    , random_{ seed }
    , entries_(size.entries)
    , servers_(size.servers)
  {
    std::uniform_real_distribution<> speed{ 0.8, 1.3 };
    for (auto& s : servers_) {
      s.speed = speed(random_);
    }
    for (auto& e : entries_) {
      for (std::size_t s = 0; s < size.servers; ++s) {
        announcement a;
        a.id = "server-" + std::to_string(s);
        a.service = "quotes";
        a.address = a.id;
        a.data_centre = data_centre_name(s);
        a.slots = slots;
        announce(e.known, a);
      }
    }
  }

  spread play()
  {
    const auto calls_per_ms =
      size_.calls_per_entry_s * static_cast<double>(size_.entries) / 1000;
    std::exponential_distribution<> gap{ calls_per_ms };
    double at = 0;
    while (at < day_ms) {
      const auto now = start_ms + static_cast<std::uint64_t>(at);
      finish_calls(now);
      call_from(random_() % entries_.size(), now);
      at += gap(random_);
    }
    return result();
  }

private:
  struct entry
  {
    registry known;
    // By address: when each idle connection is closed.
    std::map<std::string, std::vector<std::uint64_t>> idle_until;
  };

  struct server
  {
    double speed = 1;
    std::size_t running = 0;
    std::size_t arrivals = 0;
  };

  static bool has_idle(entry& e, const std::string& address, std::uint64_t now)
  {
    auto& open = e.idle_until[address];
    std::erase_if(open, [now](std::uint64_t until) { return until <= now; });
    return !open.empty();
  }

  void call_from(std::size_t index, std::uint64_t now)
  {
    auto& e = entries_[index];
    const auto dc = data_centre_name(index);
    const call_needs needs{ "quotes", dc, {}, [&](const std::string& address) {
                             return has_idle(e, address, now);
                           } };
    const auto random = std::uniform_real_distribution<>{ 0, 1 }(random_);
    auto* b = choose_for_call(e.known, needs, now, random);
    cr_assert(b != nullptr);
    if (has_idle(e, b->info.address, now)) {
      e.idle_until[b->info.address].pop_back();
    } else {
      ++opened_;
    }
    ++b->in_flight;
    const auto at = static_cast<std::size_t>(std::stoul(b->info.id.substr(7)));
    auto& s = servers_[at];
    ++s.arrivals;
    ++s.running;
    ++calls_;
    std::lognormal_distribution<> work{ 0, 0.5 };
    constexpr double typical_work_ms = 22;
    const auto queued = std::max(1.0, static_cast<double>(s.running) / slots);
    const auto took = static_cast<std::uint64_t>(2 + typical_work_ms * s.speed *
                                                       work(random_) * queued);
    total_ms_ += static_cast<double>(took);
    running_.push({ now + took, index, at, took });
  }

  void finish_calls(std::uint64_t now)
  {
    while (!running_.empty() && running_.top().at_ms <= now) {
      const auto c = running_.top();
      running_.pop();
      auto& e = entries_[c.entry];
      auto& s = servers_[c.server];
      auto* b = find(e.known, "server-" + std::to_string(c.server));
      --b->in_flight;
      --s.running;
      note_load(
        *b, { static_cast<std::uint32_t>(s.running), 0, slots }, c.at_ms);
      note_success(*b, c.took_ms);
      e.idle_until[b->info.address].push_back(c.at_ms + keep_alive_ms);
    }
  }

  spread result() const
  {
    std::size_t busiest = 0;
    for (const auto& s : servers_) {
      busiest = std::max(busiest, s.arrivals);
    }
    const auto calls = static_cast<double>(calls_);
    const auto mean = calls / static_cast<double>(servers_.size());
    return { static_cast<double>(opened_) / calls,
             static_cast<double>(busiest) / mean,
             total_ms_ / calls };
  }

  fleet_size size_;
  std::mt19937_64 random_;
  std::vector<entry> entries_;
  std::vector<server> servers_;
  std::priority_queue<finished_call, std::vector<finished_call>, std::greater<>>
    running_;
  std::size_t opened_ = 0;
  std::size_t calls_ = 0;
  double total_ms_ = 0;
};

} // namespace

// A thousand entries make few calls each. Each of them tried every server once
// before it used one again, which opened a connection for most calls, and half
// of the entries of a data centre began with the same server: it received five
// times as many calls as the others.
Test(backends, many_entries_with_few_calls_share_the_servers)
{
  for (const auto& size : { fleet_size{ 30, 6 },
                            fleet_size{ 300, 60 },
                            fleet_size{ 1000, 200 } }) {
    const auto s = simulation{ size, 1 }.play();
    std::printf(
      "    %zu entries, %zu servers: %.2f connections a call, busiest "
      "%.1f times the mean, %.1f ms\n",
      size.entries,
      size.servers,
      s.connections_per_call,
      s.busiest_to_mean,
      s.mean_ms);
    cr_expect_lt(s.connections_per_call, 0.1);
    // A service that is a third full then has free slots on each server.
    cr_expect_lt(s.busiest_to_mean, 3.0);
  }
}

namespace {

// Owners that each start a burst of items every four seconds. They tell each
// other their runs.
double
connections_per_item(std::size_t owners, std::size_t engines)
{
  constexpr std::size_t items_per_burst = 144;
  constexpr std::uint64_t burst_every_ms = 4000;
  constexpr int bursts = 10;
  std::mt19937_64 random{ 1 };
  struct run
  {
    std::uint64_t ends_at_ms = 0;
    std::size_t owner = 0;
    std::string engine;
  };
  std::vector<run> running;
  std::vector<registry> known(owners);
  std::vector<std::map<std::string, std::vector<std::uint64_t>>> idle(owners);
  for (auto& r : known) {
    for (std::size_t i = 0; i < engines; ++i) {
      announcement a;
      a.id = "engine-" + std::to_string(i);
      a.address = a.id;
      a.service = "drafts";
      a.data_centre = data_centre_name(i);
      a.slots = slots;
      a.versions["m"] = 1;
      announce(r, a);
    }
  }
  const auto finish = [&](std::uint64_t now) {
    std::erase_if(running, [&](const run& r) {
      if (r.ends_at_ms > now) {
        return false;
      }
      --find(known[r.owner], r.engine)->in_flight;
      idle[r.owner][r.engine].push_back(r.ends_at_ms + keep_alive_ms);
      return true;
    });
    for (std::size_t o = 0; o < owners; ++o) {
      std::map<std::string, std::uint32_t> of_others;
      for (const auto& r : running) {
        of_others[r.engine] += r.owner != o ? 1 : 0;
      }
      set_peer_runs(known[o], of_others, now);
    }
  };
  std::size_t opened = 0;
  std::size_t items = 0;
  for (int burst = 0; burst < bursts; ++burst) {
    for (std::size_t o = 0; o < owners; ++o) {
      const auto now = start_ms + burst * burst_every_ms + o * 150;
      finish(now);
      const item_needs needs{ "drafts",
                              "m",
                              1,
                              0,
                              {},
                              data_centre_name(o),
                              [&](const std::string& address) {
                                auto& open = idle[o][address];
                                std::erase_if(open, [now](std::uint64_t until) {
                                  return until <= now;
                                });
                                return !open.empty();
                              } };
      for (std::size_t i = 0; i < items_per_burst; ++i) {
        auto* b = choose_for_item(known[o], needs, now);
        if (b == nullptr) {
          break;
        }
        auto& open = idle[o][b->info.id];
        if (open.empty()) {
          ++opened;
        } else {
          open.pop_back();
        }
        ++items;
        ++b->in_flight;
        const auto lasts =
          std::uniform_int_distribution<std::uint64_t>{ 1000, 5000 }(random);
        running.push_back({ now + lasts, o, b->info.id });
      }
    }
  }
  return static_cast<double>(opened) / static_cast<double>(items);
}

} // namespace

// Each burst of items goes to the least loaded engines. With far more engines
// than items these were other ones each time, and most items opened a
// connection.
Test(backends, bursts_of_items_reuse_connections)
{
  struct fleet
  {
    std::size_t owners = 0;
    std::size_t engines = 0;
  };
  for (const auto& f : { fleet{ 2, 40 }, fleet{ 6, 372 }, fleet{ 12, 1000 } }) {
    const auto opened = connections_per_item(f.owners, f.engines);
    std::printf("    %zu owners, %zu engines: %.2f connections an item\n",
                f.owners,
                f.engines,
                opened);
    cr_expect_lt(opened, 0.2);
  }
}
