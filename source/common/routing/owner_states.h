// Which owners this front cannot reach right now. Their back ends are asked
// last until a connection stands again or the memory lapses.
#pragma once

#include <vector>

#include "common/base/time.h"
#include "common/routing/name_table.h"

namespace juniperway::routing {

class OwnerStates {
 public:
  static constexpr Duration kDownMemory = seconds(1);

  void OnLost(OwnerId owner, MonotonicTime now) {
    if (owner >= down_until_.size()) {
      down_until_.resize(owner + 1);
    }
    down_until_[owner] = now + kDownMemory;
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
