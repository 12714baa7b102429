// Batches the leader's operations into log commands: operations that arrive in
// one turn of the event loop become one command, and each callback gets its
// results when the command is applied. Does no I/O apart from the callbacks.
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

// Owned by the leader role of a control node.
class CommandPipeline {
 public:
  // Runs once, with one result for each operation, or with an error: kNotLeader
  // when the operations will not be applied, kUnavailable when their outcome is
  // unknown, or the error of `Propose`.
  using Callback = std::function<void(Result<OperationResults>)>;
  using Propose =
      std::function<Result<raft::Fsm::Proposal>(std::string command)>;

  // Queues operations for the next Flush().
  void Add(Operations operations, Callback callback);
  bool HasQueued() const { return !queued_.empty(); }

  // Proposes the queued operations, in commands of bounded size.
  // @param now wall time of the commands; becomes the state's time.
  void Flush(WallTime now, const Propose& propose);

  // Runs the callbacks of the command at `index`, which was applied in `term`
  // with these results.
  void OnApplied(raft::Index index, raft::Term term,
                 std::vector<protocol::OperationResultT> results);

  // Fails every operation because this node no longer leads. Proposed commands
  // may still be committed.
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
