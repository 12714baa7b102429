// The leader's way into the log: operations that arrive in one turn of the
// event loop become one command, and each gets its result when that command was
// applied. Pure but for the callbacks.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/protocol/command_generated.h"
#include "common/raft/fsm.h"

namespace juniperway::control {

using Operations = std::vector<std::unique_ptr<protocol::OperationItemT>>;
using OperationResults =
    std::vector<std::unique_ptr<protocol::OperationResultT>>;

class CommandPipeline {
 public:
  // Runs once: one result for each operation, or kNotLeader (nothing was
  // proposed) or kUnavailable (the outcome is unknown).
  using Callback = std::function<void(Result<OperationResults>)>;
  using Propose =
      std::function<Result<raft::Fsm::Proposal>(std::string command)>;

  void Add(Operations operations, Callback callback);
  bool HasQueued() const { return !queued_.empty(); }

  // Proposes what was added, in commands of bounded size.
  // @param now stamped on the commands: the state's time.
  void Flush(WallTime now, const Propose& propose);

  // The entry at `index` and `term` was applied with these results.
  void OnApplied(raft::Index index, raft::Term term,
                 std::vector<protocol::OperationResultT> results);

  // This node no longer leads: what is under way may or may not be committed.
  void FailAll();

 private:
  struct Batch {
    std::size_t operation_count = 0;
    Callback callback;
  };
  struct Queued {
    Operations operations;
    Callback callback;
  };
  struct Proposed {
    raft::Term term = 0;
    std::vector<Batch> batches;
  };

  std::deque<Queued> queued_;
  std::map<raft::Index, Proposed> proposed_;
};

}  // namespace juniperway::control
