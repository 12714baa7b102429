#include "common/owner/deadline_queue.h"

namespace juniperway::owner {

void DeadlineQueue::Insert(SubqueryId id, MonotonicTime deadline) {
  entries_.insert({deadline, id});
  deadlines_.emplace(id, deadline);
}

bool DeadlineQueue::Remove(SubqueryId id) {
  const auto found = deadlines_.find(id);
  if (found == deadlines_.end()) {
    return false;
  }
  entries_.erase({found->second, id});
  deadlines_.erase(found);
  return true;
}

}  // namespace juniperway::owner
