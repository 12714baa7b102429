// Brings calls to the leader, wherever it is: runs them here when this node
// leads, else sends them over the peer connection. A call without an answer is
// sent again when the leader changes or the connection breaks, until its
// deadline; every call is idempotent (change ids, claim attempts,
// incarnations).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <variant>

#include "common/control/api_call.h"
#include "common/control/command_pipeline.h"
#include "common/protocol/control_generated.h"
#include "common/raft/types.h"

namespace juniperway::control {

class LeaderClient {
 public:
  using OperationsCallback = CommandPipeline::Callback;

  struct Ports {
    // The leader, or kNoNode; this node's id only while it leads.
    std::function<raft::NodeId()> leader;
    // Run here. The callback gets kNotLeader or kUnavailable when it must be
    // tried again.
    std::function<void(Operations, OperationsCallback)> run_operations;
    std::function<void(const ApiCall&, ApiCallback)> run_call;
    // @return false when no connection is up.
    std::function<bool(raft::NodeId, protocol::ForwardOperationsT)>
        send_operations;
    std::function<bool(raft::NodeId, protocol::ForwardCallT)> send_call;
  };

  LeaderClient(raft::NodeId self, Ports ports);

  // The callback runs once: with the leader's answer, or at `deadline` with
  // kUnavailable (never sent) or kDeadlineExceeded (the outcome is unknown).
  void Submit(Operations operations, MonotonicTime deadline,
              OperationsCallback callback);
  // Status 503 or 504 stands for the two errors.
  void Call(ApiCall call, MonotonicTime deadline, ApiCallback callback);

  void OnReply(const protocol::ForwardOperationsReplyT& reply);
  void OnReply(const protocol::ForwardCallReplyT& reply);

  // Sends what waits and fails what is late; to be called a few times a second
  // and when the leader changed.
  void Tick(MonotonicTime now);

  // Answers everything with kUnavailable.
  void Stop();

  // Nothing waits for an answer.
  bool idle() const { return pending_.empty(); }

 private:
  struct PendingOperations {
    Operations operations;
    OperationsCallback callback;
  };
  struct PendingCall {
    ApiCall call;
    ApiCallback callback;
  };
  struct Pending {
    std::variant<PendingOperations, PendingCall> content;
    MonotonicTime deadline;
    // Where it is under way; kNoNode: it waits.
    raft::NodeId sent_to = raft::kNoNode;
    MonotonicTime sent_at;
    bool ever_sent = false;
  };

  std::uint64_t Add(std::variant<PendingOperations, PendingCall> content,
                    MonotonicTime deadline);
  void Dispatch(std::uint64_t id, MonotonicTime now);
  void RunLocally(std::uint64_t id, Pending& pending);
  bool SendTo(std::uint64_t id, const Pending& pending, raft::NodeId leader);
  void FinishOperations(std::uint64_t id, Result<OperationResults> result);
  void FinishCall(std::uint64_t id, net::HttpResponse response);
  void FailPending(std::uint64_t id);
  static Operations Copy(const Operations& operations);

  raft::NodeId self_;
  Ports ports_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Pending> pending_;
};

}  // namespace juniperway::control
