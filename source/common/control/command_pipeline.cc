#include "common/control/command_pipeline.h"

#include <iterator>
#include <utility>

#include "common/control/control_state.h"

namespace juniperway::control {
namespace {

constexpr std::size_t kMaximumOperationsPerCommand = 2000;

}  // namespace

void CommandPipeline::Add(Operations operations, Callback callback) {
  queued_.push_back({std::move(operations), std::move(callback)});
}

void CommandPipeline::Flush(WallTime now, const Propose& propose) {
  while (!queued_.empty()) {
    protocol::CommandT command;
    command.wall_time_us = now.time_since_epoch().count();
    std::vector<Batch> batches;
    while (!queued_.empty() &&
           command.operations.size() < kMaximumOperationsPerCommand) {
      Queued& next = queued_.front();
      batches.push_back({next.operations.size(), std::move(next.callback)});
      std::ranges::move(next.operations,
                        std::back_inserter(command.operations));
      queued_.pop_front();
    }
    const auto proposal = propose(EncodeCommand(command));
    if (proposal) {
      proposed_[proposal->index] = {proposal->term, std::move(batches)};
      continue;
    }
    for (const Batch& batch : batches) {
      batch.callback(tl::unexpected(proposal.error()));
    }
  }
}

void CommandPipeline::OnApplied(
    raft::Index index, raft::Term term,
    std::vector<protocol::OperationResultT> results) {
  auto found = proposed_.find(index);
  if (found == proposed_.end()) {
    return;
  }
  const Proposed proposed = std::move(found->second);
  proposed_.erase(found);
  std::size_t next = 0;
  for (const Batch& batch : proposed.batches) {
    if (proposed.term != term) {
      // Another leader's entry has this index, so the proposed command will
      // never be committed.
      batch.callback(
          MakeError(ErrorCode::kNotLeader, "",
                    "leadership was lost before the change was committed"));
      continue;
    }
    OperationResults batch_results;
    for (std::size_t i = 0; i < batch.operation_count; ++i) {
      batch_results.push_back(std::make_unique<protocol::OperationResultT>(
          std::move(results.at(next++))));
    }
    batch.callback(std::move(batch_results));
  }
}

void CommandPipeline::FailAll() {
  for (const Queued& queued : std::exchange(queued_, {})) {
    queued.callback(
        MakeError(ErrorCode::kNotLeader, "", "this node does not lead"));
  }
  for (const auto& [index, proposed] : std::exchange(proposed_, {})) {
    for (const Batch& batch : proposed.batches) {
      batch.callback(MakeError(ErrorCode::kUnavailable, "",
                               "leadership was lost while the change was being "
                               "committed; the outcome is unknown"));
    }
  }
}

}  // namespace juniperway::control
