#include "cactusford/process/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace cactusford::process {

namespace {

const prometheus::Histogram::BucketBoundaries buckets{
  0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10, 30, 100
};

} // namespace

metrics::metrics()
  : registry_{ std::make_shared<prometheus::Registry>() }
{
}

void
metrics::add(const std::string& name,
             const std::map<std::string, std::string>& labels,
             double value)
{
  const std::lock_guard lock{ mutex_ };
  auto& family = counters_[name];
  if (family == nullptr) {
    family = &prometheus::BuildCounter()
                .Name("cactusford_" + name)
                .Register(*registry_);
  }
  family->Add(labels).Increment(value);
}

void
metrics::set(const std::string& name,
             double value,
             const std::map<std::string, std::string>& labels)
{
  const std::lock_guard lock{ mutex_ };
  auto& family = gauges_[name];
  if (family == nullptr) {
    family =
      &prometheus::BuildGauge().Name("cactusford_" + name).Register(*registry_);
  }
  family->Add(labels).Set(value);
}

void
metrics::observe(const std::string& name, double seconds)
{
  const std::lock_guard lock{ mutex_ };
  auto& family = histograms_[name];
  if (family == nullptr) {
    family = &prometheus::BuildHistogram()
                .Name("cactusford_" + name)
                .Register(*registry_);
  }
  family->Add({}, buckets).Observe(seconds);
}

std::string
metrics::text() const
{
  return prometheus::TextSerializer{}.Serialize(registry_->Collect());
}

std::map<std::string, std::uint64_t>
metrics::totals(const std::string& name, const std::string& label) const
{
  std::map<std::string, std::uint64_t> sums;
  for (const auto& family : registry_->Collect()) {
    if (family.name != "cactusford_" + name) {
      continue;
    }
    for (const auto& metric : family.metric) {
      for (const auto& l : metric.label) {
        if (l.name == label) {
          sums[l.value] += static_cast<std::uint64_t>(metric.counter.value);
        }
      }
    }
  }
  return sums;
}

} // namespace cactusford::process
