#include "common/control/revision_log.h"

#include <algorithm>
#include <utility>

namespace juniperway::control {

FleetItem NamedItem(FleetItem::Kind kind, const std::string& name) {
  FleetItem item;
  item.kind = kind;
  item.name = name;
  return item;
}

void RevisionLog::Reset(resources::Revision revision) {
  records_.clear();
  item_count_ = 0;
  floor_ = revision;
}

void RevisionLog::Record(resources::Revision revision,
                         std::vector<FleetItem> items) {
  item_count_ += items.size();
  records_.push_back({revision, std::move(items)});
  while (item_count_ > capacity_ && records_.size() > 1) {
    item_count_ -= records_.front().items.size();
    floor_ = records_.front().revision;
    records_.pop_front();
  }
}

std::optional<std::set<FleetItem>> RevisionLog::ItemsSince(
    resources::Revision from) const {
  if (from < floor_) {
    return std::nullopt;
  }
  auto first =
      std::upper_bound(records_.begin(), records_.end(), from,
                       [](resources::Revision revision, const Change& change) {
                         return revision < change.revision;
                       });
  std::set<FleetItem> items;
  for (auto change = first; change != records_.end(); ++change) {
    items.insert(change->items.begin(), change->items.end());
  }
  return items;
}

}  // namespace juniperway::control
