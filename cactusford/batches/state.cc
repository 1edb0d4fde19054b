#include "cactusford/batches/state.h"

#include <algorithm>

namespace cactusford::batches::detail {

void
batch_state::set(batches::submission s, const std::string& version_line)
{
  has_submission = true;
  submission = std::move(s);
  items.clear();
  index_of.clear();
  items.resize(submission.items.size());
  for (std::size_t at = 0; at < items.size(); ++at) {
    items[at].index = at;
    items[at].reader = event_reader{ version_line };
    index_of[submission.items[at].id] = at;
  }
  recount_unfinished();
}

void
batch_state::drop_submission()
{
  has_submission = false;
  memory = {};
  submission = {};
  items.clear();
  index_of.clear();
  unfinished_by_group.clear();
}

void
batch_state::recount_unfinished()
{
  unfinished_by_group.clear();
  for (const auto& i : items) {
    auto& left = unfinished_by_group[submission.items[i.index].group];
    left += i.stage == item_stage::finished ? 0 : 1;
  }
}

std::size_t
batch_state::complete_groups() const
{
  return static_cast<std::size_t>(std::count_if(
    unfinished_by_group.begin(), unfinished_by_group.end(), [](const auto& g) {
      return g.second == 0;
    }));
}

bool
batch_state::is_open() const
{
  return !stored.ended;
}

void
batch_state::mark_listed_finished()
{
  for (const auto& r : ledger.listed) {
    const auto found = index_of.find(r.id);
    if (found == index_of.end()) {
      continue;
    }
    auto& i = items[found->second];
    if (i.stage == item_stage::waiting) {
      i.stage = item_stage::finished;
      on_item_finished(i.index, 0);
    }
  }
  group_completed = false;
}

void
batch_state::on_item_finished(std::size_t index, std::uint64_t now_ms)
{
  auto& left = unfinished_by_group[submission.items[index].group];
  if (left > 0 && --left == 0) {
    group_completed_ms = group_completed ? group_completed_ms : now_ms;
    group_completed = true;
  }
}

const item*
batch_state::find_item(const std::string& id) const
{
  const auto found = index_of.find(id);
  return found == index_of.end() ? nullptr : &submission.items[found->second];
}

} // namespace cactusford::batches::detail
