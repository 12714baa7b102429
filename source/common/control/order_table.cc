#include "common/control/order_table.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace juniperway::control {

void OrderTable::Record(const std::string& subject,
                        const std::string& change_id, OrderNumber based_on) {
  AcceptedOrder& order = by_subject_[subject];
  subjects_by_number_.erase(order.number);
  latest_ = std::max(latest_, based_on) + 1;
  order = {.number = latest_, .change_id = change_id};
  subjects_by_number_[order.number] = subject;
  if (by_subject_.size() > kMaximumOrderSubjects) {
    EvictOldest();
  }
}

std::optional<AcceptedOrder> OrderTable::FindLater(const std::string& subject,
                                                   OrderNumber based_on) const {
  if (const AcceptedOrder* order = Find(subject)) {
    return order->number > based_on ? std::optional(*order) : std::nullopt;
  }
  return dropped_ > based_on
             ? std::optional(AcceptedOrder{.number = dropped_, .change_id = ""})
             : std::nullopt;
}

const AcceptedOrder* OrderTable::Find(const std::string& subject) const {
  const auto order = by_subject_.find(subject);
  return order == by_subject_.end() ? nullptr : &order->second;
}

void OrderTable::Skip(OrderNumber count) {
  latest_ += count;
  // Orders after the backup are unknown: each subject may have had one.
  dropped_ = latest_;
  by_subject_.clear();
  subjects_by_number_.clear();
}

protocol::OrderTableRecordT OrderTable::Encode() const {
  protocol::OrderTableRecordT record;
  record.latest = latest_;
  record.dropped = dropped_;
  for (const auto& [subject, order] : by_subject_) {
    auto& item = record.orders.emplace_back(
        std::make_unique<protocol::AcceptedOrderRecordT>());
    item->subject = subject;
    item->number = order.number;
    item->change_id = order.change_id;
  }
  return record;
}

OrderTable OrderTable::Decode(const protocol::OrderTableRecordT& record) {
  OrderTable table;
  table.latest_ = record.latest;
  table.dropped_ = record.dropped;
  for (const auto& item : record.orders) {
    table.by_subject_[item->subject] = {.number = item->number,
                                        .change_id = item->change_id};
    table.subjects_by_number_[item->number] = item->subject;
  }
  return table;
}

void OrderTable::EvictOldest() {
  const auto oldest = subjects_by_number_.begin();
  dropped_ = oldest->first;
  by_subject_.erase(oldest->second);
  subjects_by_number_.erase(oldest);
}

}  // namespace juniperway::control
