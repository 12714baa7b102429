#include "common/control/change_table.h"

#include <utility>

namespace juniperway::control {

const protocol::ChangeRecordT* ChangeTable::Find(
    const std::string& change_id) const {
  auto change = changes_.find(change_id);
  return change == changes_.end() ? nullptr : &change->second;
}

void ChangeTable::Insert(protocol::ChangeRecordT&& record) {
  const std::string change_id = record.change_id;
  if (changes_.try_emplace(change_id, std::move(record)).second) {
    order_.push_back(change_id);
  }
  if (order_.size() > kMaximumChanges) {
    EvictOldest();
  }
}

void ChangeTable::Expire(WallTime now) {
  const std::int64_t limit =
      (now - kChangeTimeToLive).time_since_epoch().count();
  while (!order_.empty() && changes_.at(order_.front()).wall_time_us <= limit) {
    EvictOldest();
  }
}

std::vector<const protocol::ChangeRecordT*> ChangeTable::Records() const {
  std::vector<const protocol::ChangeRecordT*> records;
  records.reserve(order_.size());
  for (const std::string& change_id : order_) {
    records.push_back(&changes_.at(change_id));
  }
  return records;
}

void ChangeTable::EvictOldest() {
  changes_.erase(order_.front());
  order_.pop_front();
}

}  // namespace juniperway::control
