// Metrics of a process, by prometheus-cpp.
#pragma once

#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cactusford::process {

// Every metric with its help text stands in docs/METRICS.md.
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
  // Seconds, into buckets from 0.1 ms to 100 s.
  void observe(const std::string& name, double seconds);

  // The text that /metrics answers.
  std::string text() const;

  // Sums of a counter by the value of one label.
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
