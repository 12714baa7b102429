// Holds the pending calls of /v1/watch, which wait until a resource changes.
// Every control node answers these calls from its own committed state, whose
// revision never decreases.
#pragma once

#include <functional>
#include <vector>

#include "common/base/time.h"
#include "common/control/api_call.h"
#include "common/control/control_state.h"

namespace juniperway::control {

// Owned by ApiServer.
class WatchList {
 public:
  explicit WatchList(std::function<const ControlState&()> state)
      : state_(std::move(state)) {}

  // Answers at once if a resource has changed after revision `from`. Otherwise
  // answers when a resource changes, or with no items at `deadline`. Answers
  // 410 if the changes since `from` are no longer kept, or if this node has not
  // reached revision `from` by `deadline`.
  void Add(resources::Revision from, MonotonicTime deadline,
           ApiCallback answer);
  // The owner calls this when the state's revision has grown.
  void OnStateChanged();
  // Answers watches whose deadline has passed. The owner calls this a few times
  // a second.
  void Tick(MonotonicTime now);

 private:
  struct Watcher {
    resources::Revision from = 0;
    MonotonicTime deadline;
    ApiCallback answer;
  };

  // Answers `watcher` if a resource has changed or 410 is due.
  // @return whether `watcher` was answered.
  bool TryAnswer(const Watcher& watcher) const;

  std::function<const ControlState&()> state_;
  std::vector<Watcher> watchers_;
};

}  // namespace juniperway::control
