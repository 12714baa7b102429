// Routes calls to the leader: runs a call locally when this node leads, and
// otherwise sends it over the peer connection. Until its deadline, a call
// without an answer is sent again when the leader changes and at a fixed
// interval. Every call is idempotent through its change id, claim attempt or
// incarnation.
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

// Owned by ControlNode. Holds each call until its callback has run.
class LeaderClient {
 public:
  using OperationsCallback = CommandPipeline::Callback;

  struct Ports {
    // Returns the leader's id, or kNoNode when none is known. Returns this
    // node's id only while this node leads.
    std::function<raft::NodeId()> leader;
    // Runs a call on this node. The callback gets kNotLeader or kUnavailable,
    // or status 503 for an API call, when the call must be sent again.
    std::function<void(Operations, OperationsCallback)> run_operations;
    std::function<void(const ApiCall&, ApiCallback)> run_call;
    // Sends a call to another node, or returns false when no connection is
    // open.
    std::function<bool(raft::NodeId, protocol::ForwardOperationsT)>
        send_operations;
    std::function<bool(raft::NodeId, protocol::ForwardCallT)> send_call;
  };

  // @param self the id of this node.
  LeaderClient(raft::NodeId self, Ports ports);

  // Runs operations on the leader. The callback runs once: with the leader's
  // answer, or at `deadline` with kUnavailable (the operations were never sent)
  // or kDeadlineExceeded (their outcome is unknown).
  void Submit(Operations operations, MonotonicTime deadline,
              OperationsCallback callback);
  // Runs an API call on the leader. The callback gets status 503 or 504 where
  // Submit() gives kUnavailable or kDeadlineExceeded.
  void Call(ApiCall call, MonotonicTime deadline, ApiCallback callback);

  // Handles the leader's answer to a forwarded call.
  void OnReply(const protocol::ForwardOperationsReplyT& reply);
  void OnReply(const protocol::ForwardCallReplyT& reply);

  // Sends pending calls to the leader and fails calls whose deadline has
  // passed. The caller calls this several times a second and when the leader
  // has changed.
  void Tick(MonotonicTime now);

  // Fails every pending call at once, with the errors of Submit() and Call().
  void Stop();

  // Whether no call is pending.
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
    // The node that runs the call; kNoNode: the call waits to be sent.
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
