// Metrics of a process, collected with prometheus-cpp.
#pragma once

#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cactusford::process {

// Registry of counters, gauges and histograms. docs/METRICS.md describes every
// metric.
class metrics
{
public:
  metrics();

  void add(const std::string& name,
           const std::map<std::string, std::string>& labels = {},
           double value = 1);
  void set(const std::string& name,
           double value,
           const std::map<std::string, std::string>& labels = {});
  // Records a duration in a histogram with buckets from 0.1 ms to 100 s.
  void observe(const std::string& name, double seconds);

  // Returns the response of /metrics in the Prometheus text format.
  std::string text() const;

  // Returns the sums of a counter grouped by the value of one label.
  std::map<std::string, std::uint64_t> totals(const std::string& name,
                                              const std::string& label) const;

private:
  std::shared_ptr<prometheus::Registry> registry_;
  std::mutex mutex_;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters_;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms_;
};

} // namespace cactusford::process
