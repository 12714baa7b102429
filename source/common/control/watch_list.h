// Callers of /v1/watch that wait for a change of a resource. Any control
// machine answers from its own committed state, whose revision never goes back.
#pragma once

#include <functional>
#include <vector>

#include "common/base/time.h"
#include "common/control/api_call.h"
#include "common/control/control_state.h"

namespace juniperway::control {

class WatchList {
 public:
  explicit WatchList(std::function<const ControlState&()> state)
      : state_(std::move(state)) {}

  // Answers at once when a resource changed after `from`, else when one does,
  // or with no items at `deadline`. 410 when `from` is too old to know, or of
  // a state that this machine has not reached by `deadline`.
  void Add(resources::Revision from, MonotonicTime deadline,
           ApiCallback answer);
  // The state's revision grew.
  void OnStateChanged();
  // To be called a few times a second.
  void Tick(MonotonicTime now);

 private:
  struct Watcher {
    resources::Revision from = 0;
    MonotonicTime deadline;
    ApiCallback answer;
  };

  // Answers `watcher` if there is something to say.
  bool TryAnswer(const Watcher& watcher) const;

  std::function<const ControlState&()> state_;
  std::vector<Watcher> watchers_;
};

}  // namespace juniperway::control
