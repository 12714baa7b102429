// First outcomes of changes by change id, so that a change that is sent again
// after its answer was lost gets that outcome and no second effect. Part of the
// replicated state. Bounded by age and by number: a resend later than that is
// still stopped by its resource versions, and only gets 409 in place of its
// first outcome.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "common/base/time.h"
#include "common/protocol/command_generated.h"

namespace juniperway::control {

inline constexpr Duration kChangeMemory = seconds(24 * 3600);
inline constexpr std::size_t kMaximumChanges = 100000;

class ChangeTable {
 public:
  // The record of a change id, or null.
  const protocol::ChangeRecordT* Find(const std::string& change_id) const;

  // Adds the first outcome of a new change id.
  void Insert(protocol::ChangeRecordT&& record);

  // Forgets what is older than kChangeMemory at `now`.
  void Expire(WallTime now);

  std::size_t size() const { return changes_.size(); }

  // All records, oldest first.
  std::vector<const protocol::ChangeRecordT*> Records() const;

 private:
  void DropOldest();

  std::map<std::string, protocol::ChangeRecordT> changes_;
  // Change ids, oldest first.
  std::deque<std::string> order_;
};

}  // namespace juniperway::control
