// Tracks which owners one front has lost its connection to. The replica
// selector avoids their backends until the connection is established again or
// kDownTimeToLive has passed.
#pragma once

#include <vector>

#include "common/base/time.h"
#include "common/routing/name_table.h"

namespace juniperway::routing {

// State of all owners that a front knows, owned by its FrontState and shared by
// all queries of the front. Callers pass the time.
class OwnerStates {
 public:
  // How long a lost connection counts against its owner.
  static constexpr Duration kDownTimeToLive = seconds(1);

  void OnLost(OwnerId owner, MonotonicTime now) {
    if (owner >= down_until_.size()) {
      down_until_.resize(owner + 1);
    }
    down_until_[owner] = now + kDownTimeToLive;
  }
  void OnConnected(OwnerId owner) {
    if (owner < down_until_.size()) {
      down_until_[owner] = MonotonicTime{};
    }
  }
  bool IsDown(OwnerId owner, MonotonicTime now) const {
    return owner < down_until_.size() && now < down_until_[owner];
  }

 private:
  std::vector<MonotonicTime> down_until_;
};

}  // namespace juniperway::routing
