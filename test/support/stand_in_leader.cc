#include "support/stand_in_leader.h"

#include <utility>

#include "common/control/consensus_codec.h"
#include "common/net/address.h"
#include "support/event_loop.h"

namespace juniperway::test {
namespace {

constexpr int kOk = 200;
constexpr Duration kHeartbeatInterval = milliseconds(100);

}  // namespace

StandInLeader::StandInLeader(asio::io_context& context, raft::NodeId self,
                             std::string cluster)
    : context_(context),
      self_(self),
      cluster_(std::move(cluster)),
      heartbeat_timer_(context) {}

StandInLeader::~StandInLeader() {
  if (connection_) {
    connection_->Discard();
  }
}

bool StandInLeader::Connect(raft::NodeId follower, const std::string& address) {
  StopLeading();
  if (connection_) {
    connection_->Discard();
    connection_.reset();
  }
  follower_ = follower;
  net::FrameConnection::Connect(
      context_, net::ParseEndpoint(address, "address").value(), kConditionLimit,
      [this](Result<std::shared_ptr<net::FrameConnection>> result) {
        if (!result) {
          return;
        }
        connection_ = std::move(*result);
        connection_->Start([this](net::FrameBytes bytes) { OnFrame(bytes); },
                           [] {});
      });
  if (!RunUntil(context_, [this] { return connection_ != nullptr; })) {
    return false;
  }
  protocol::PeerHelloT hello;
  hello.cluster = cluster_;
  hello.node_id = self_;
  hello.receiver_id = follower_;
  Send(std::move(hello));
  return true;
}

bool StandInLeader::Lead(raft::Term term) {
  heartbeat_answered_ = false;
  SendConsensusHeartbeat(term);
  RepeatHeartbeat(term);
  return RunUntil(context_, [this] { return heartbeat_answered_; });
}

void StandInLeader::RepeatHeartbeat(raft::Term term) {
  heartbeat_timer_.expires_after(kHeartbeatInterval);
  heartbeat_timer_.async_wait([this, term](const asio::error_code& error) {
    if (!error && connection_) {
      SendConsensusHeartbeat(term);
      RepeatHeartbeat(term);
    }
  });
}

void StandInLeader::SendConsensusHeartbeat(raft::Term term) {
  raft::Message heartbeat;
  heartbeat.kind = raft::MessageKind::kAppend;
  heartbeat.from = self_;
  heartbeat.to = follower_;
  heartbeat.term = term;
  protocol::ConsensusMessagesT messages;
  messages.messages.push_back(control::EncodeMessage(heartbeat));
  Send(std::move(messages));
}

void StandInLeader::AnswerCall(std::uint64_t call_id, const std::string& body) {
  protocol::ForwardCallReplyT reply;
  reply.call_id = call_id;
  reply.status = kOk;
  reply.body = body;
  Send(std::move(reply));
}

void StandInLeader::OnFrame(net::FrameBytes bytes) {
  const auto frame = session::DecodeFrame(bytes);
  if (!frame) {
    return;
  }
  const auto& message = frame->message;
  if (const auto* consensus = message.AsConsensusMessages()) {
    heartbeat_answered_ |= !consensus->messages.empty();
  } else if (const auto* call = message.AsForwardCall()) {
    calls_.push_back(*call);
  } else if (const auto* operations = message.AsForwardOperations()) {
    operations_.push_back(*operations);
  } else if (const auto* forwarded = message.AsForwardHeartbeats()) {
    for (const auto& heartbeat : forwarded->heartbeats) {
      heartbeats_.push_back(*heartbeat);
    }
  } else if (const auto* answered = message.AsForwardHeartbeatsReply()) {
    for (const auto& item : answered->replies) {
      heartbeat_replies_.push_back(*item->reply);
    }
  }
}

}  // namespace juniperway::test
