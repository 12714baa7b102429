// Stores the first outcome of each change by change id, so that a change that
// is resent after its answer was lost gets the same outcome and has no second
// effect. Part of the replicated state; ControlState owns it. The age and the
// number of the records are bounded. When the record of a change is gone, the
// resource versions still stop a resend, which then gets 409 instead of the
// first outcome.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "common/base/time.h"
#include "common/protocol/command_generated.h"

namespace juniperway::control {

// Time to live of a record.
inline constexpr Duration kChangeTimeToLive = seconds(24 * 3600);
inline constexpr std::size_t kMaximumChanges = 100000;

// Change records, in the order of their insertion.
class ChangeTable {
 public:
  // Returns the record of the change with this id, or null.
  const protocol::ChangeRecordT* Find(const std::string& change_id) const;

  // Adds the first outcome of the change with this id. Keeps an existing
  // record.
  void Insert(protocol::ChangeRecordT&& record);

  // Drops records that are kChangeTimeToLive old or older at `now`.
  void Expire(WallTime now);

  std::size_t size() const { return changes_.size(); }

  // Returns all records, oldest first.
  std::vector<const protocol::ChangeRecordT*> Records() const;

 private:
  void EvictOldest();

  std::map<std::string, protocol::ChangeRecordT> changes_;
  // Change ids, oldest first.
  std::deque<std::string> order_;
};

}  // namespace juniperway::control
