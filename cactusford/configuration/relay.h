// Distributes the configuration to every process. The first three instances of
// a data centre watch the platform; the others read from them through a tree.
#pragma once

#include "cactusford/configuration/state.h"
#include "cactusford/link/link.h"
#include "cactusford/settings/settings.h"

#include <asio/io_context.hpp>
#include <asio/thread_pool.hpp>

#include <functional>
#include <memory>

namespace cactusford::configuration {

// States that `processes` processes have at least `version`, as far as this
// process knows.
struct coverage
{
  std::uint64_t version = 0;
  std::uint32_t processes = 0;
};

class relay
{
public:
  using change_handler =
    std::function<void(const snapshot_ptr&,
                       const std::vector<platform::object>&)>;

  relay(asio::io_context& io,
        asio::thread_pool& workers,
        link::endpoint& links,
        platform::client& platform,
        const settings::process_settings& s);
  ~relay();

  // Loads the configuration from the platform or, while the platform is down,
  // from the peers. `on_change` runs on the io thread after each change.
  void start(change_handler on_change);

  // Serves a "/configuration" stream that another process opened.
  void serve(const link::stream_ptr& s);

  // Returns false until the state holds the newest version that the platform
  // or the peers have.
  bool is_ready() const;

  snapshot_ptr current() const;

  // Returns the coverage of this process and of all that read from it, directly
  // or indirectly.
  coverage subtree_coverage() const;

  // Merges objects that did not come through the relay, such as those that this
  // process wrote itself.
  void apply_objects(const std::vector<platform::object>& objects);

  // Returns the milliseconds since the platform last confirmed this state, or
  // UINT64_MAX if it never has.
  std::uint64_t confirmed_age_ms() const;

  void stop();

private:
  class impl;
  std::shared_ptr<impl> impl_;
};

} // namespace cactusford::configuration
