// A control node that leads a term as far as another control node can tell: it
// connects to that node, sends heartbeats of its term, and keeps the calls that
// the node forwards. The test decides which of them it answers, and when.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/net/frame_connection.h"
#include "common/protocol/control_generated.h"
#include "common/raft/types.h"
#include "common/session/control_frames.h"

namespace juniperway::test {

// Owned by a test, which also owns the io_context; that must outlive the
// object.
class StandInLeader {
 public:
  // @param self id under which the leader joins.
  // @param cluster the cluster of the node that it connects to.
  StandInLeader(asio::io_context& context, raft::NodeId self,
                std::string cluster);
  ~StandInLeader();
  StandInLeader(const StandInLeader&) = delete;
  StandInLeader& operator=(const StandInLeader&) = delete;

  // Connects to the node `follower` at `address` ("ip:port") in place of any
  // earlier connection. @return false when the node does not accept in time.
  bool Connect(raft::NodeId follower, const std::string& address);
  // Sends a heartbeat without entries and waits for the follower's answer. Then
  // repeats the heartbeat until StopLeading() or the next Connect().
  // @return false when the follower does not answer in time.
  bool Lead(raft::Term term);
  // Falls silent; the connection stays open.
  void StopLeading() { heartbeat_timer_.cancel(); }

  // Forwarded calls that have arrived, oldest first.
  const std::vector<protocol::ForwardCallT>& calls() const { return calls_; }
  const std::vector<protocol::ForwardOperationsT>& operations() const {
    return operations_;
  }
  // Forwarded heartbeats of daemons, oldest first.
  const std::vector<protocol::MemberHeartbeatT>& heartbeats() const {
    return heartbeats_;
  }

  // Replies to heartbeats that the test sent, oldest first.
  const std::vector<protocol::HeartbeatReplyT>& heartbeat_replies() const {
    return heartbeat_replies_;
  }

  template <typename Message>
  void Send(Message message) {
    session::SendMessage(*connection_, std::move(message));
  }
  // Answers the API call with status 200 and `body`.
  void AnswerCall(std::uint64_t call_id, const std::string& body);

 private:
  void OnFrame(net::FrameBytes bytes);
  void SendConsensusHeartbeat(raft::Term term);
  void RepeatHeartbeat(raft::Term term);

  asio::io_context& context_;
  raft::NodeId self_;
  std::string cluster_;
  raft::NodeId follower_ = raft::kNoNode;
  std::shared_ptr<net::FrameConnection> connection_;
  asio::steady_timer heartbeat_timer_;
  bool heartbeat_answered_ = false;
  std::vector<protocol::ForwardCallT> calls_;
  std::vector<protocol::ForwardOperationsT> operations_;
  std::vector<protocol::MemberHeartbeatT> heartbeats_;
  std::vector<protocol::HeartbeatReplyT> heartbeat_replies_;
};

}  // namespace juniperway::test
