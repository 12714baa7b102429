// Routes calls to the leader: runs a call locally when this node leads, and
// otherwise sends it over the peer connection. Until its deadline, a call
// without an answer is sent again when the leader changes and at a fixed
// interval. Every call is idempotent through its change id, claim attempt or
// incarnation.
//
// A reply ends a call only if this process sent the call to the node that
// replies. Nodes reply to a node id over whatever connection is open, so a
// reply to an earlier process of this node can arrive here. Call ids therefore
// start at a random number in each process.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
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
  // @param first_call_id drawn at random for each process; see above.
  LeaderClient(raft::NodeId self, std::uint64_t first_call_id, Ports ports);

  // Runs operations on the leader. The callback runs once: with the leader's
  // answer, or at `deadline` with kUnavailable (the operations were never sent)
  // or kDeadlineExceeded (their outcome is unknown).
  void Submit(Operations operations, MonotonicTime deadline,
              OperationsCallback callback);
  // Runs an API call on the leader. The callback gets status 503 or 504 where
  // Submit() gives kUnavailable or kDeadlineExceeded.
  void Call(ApiCall call, MonotonicTime deadline, ApiCallback callback);

  // Handles the reply of the node `from` to a forwarded call. Ignores and logs
  // a reply that ends no call.
  void OnReply(raft::NodeId from,
               const protocol::ForwardOperationsReplyT& reply);
  void OnReply(raft::NodeId from, const protocol::ForwardCallReplyT& reply);

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
    // Every node that the call was sent to. An earlier leader may have run the
    // call and may still report its result.
    std::set<raft::NodeId> asked;
  };
  using PendingMap = std::map<std::uint64_t, Pending>;

  std::uint64_t Add(std::variant<PendingOperations, PendingCall> content,
                    MonotonicTime deadline);
  void Dispatch(std::uint64_t id, MonotonicTime now);
  void RunLocally(std::uint64_t id, Pending& pending);
  bool SendTo(std::uint64_t id, const Pending& pending, raft::NodeId leader);
  // @return the pending call `id` with this type of content, if it was sent to
  //   `from`; otherwise the end of the map.
  template <typename Content>
  PendingMap::iterator FindAsked(raft::NodeId from, std::uint64_t id);
  // Makes Tick() send the call again, unless another node has it by now.
  static void OnRetryableFailure(raft::NodeId from, Pending& pending);
  void FinishOperations(raft::NodeId from, std::uint64_t id,
                        Result<OperationResults> result);
  void FinishCall(raft::NodeId from, std::uint64_t id,
                  net::HttpResponse response);
  void FailPending(std::uint64_t id);
  static Operations Copy(const Operations& operations);

  raft::NodeId self_;
  Ports ports_;
  std::uint64_t next_id_;
  PendingMap pending_;
};

}  // namespace juniperway::control
