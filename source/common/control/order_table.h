// Numbers the operators' orders that have no version of their own, and keeps
// the latest order on each subject (a zone's evacuation, a service's rollout).
// An order names the number of the newest order that was known when its caller
// was still waiting for it; the table tells whether another order on the same
// subject came later. Part of the replicated state; ControlState owns it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/protocol/command_generated.h"

namespace juniperway::control {

// Numbers start at 1; 0 stands for no order.
using OrderNumber = std::uint64_t;

inline constexpr std::size_t kMaximumOrderSubjects = 10000;

struct AcceptedOrder {
  OrderNumber number = 0;
  // Empty when the table has dropped the order.
  std::string change_id;
};

class OrderTable {
 public:
  // Number of the newest order on any subject.
  OrderNumber latest() const { return latest_; }

  // Records an accepted order, also one that changed nothing. Its number is
  // above `based_on`, the newest order that the leader knew: a node whose table
  // comes from a build without order numbers then counts on like the others.
  void Record(const std::string& subject, const std::string& change_id,
              OrderNumber based_on);

  // Returns the latest order on `subject` if it may be later than `based_on`.
  // An order that the table has dropped counts as one on every subject.
  std::optional<AcceptedOrder> FindLater(const std::string& subject,
                                         OrderNumber based_on) const;

  // Returns the latest order on `subject`, or null.
  const AcceptedOrder* Find(const std::string& subject) const;

  // Skips `count` numbers, so that none is used again that may have been given
  // after the backup from which the table was restored.
  void Skip(OrderNumber count);

  std::size_t size() const { return by_subject_.size(); }

  protocol::OrderTableRecordT Encode() const;
  static OrderTable Decode(const protocol::OrderTableRecordT& record);

 private:
  void EvictOldest();

  OrderNumber latest_ = 0;
  // Highest number of a dropped order.
  OrderNumber dropped_ = 0;
  std::map<std::string, AcceptedOrder> by_subject_;
  std::map<OrderNumber, std::string> subjects_by_number_;
};

}  // namespace juniperway::control
