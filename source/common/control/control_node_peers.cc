// Exchanges messages between control nodes: consensus, forwarded calls and
// heartbeats, watermarks and observations. See control_node.h.
#include <utility>

#include "common/base/compression.h"
#include "common/control/consensus_codec.h"
#include "common/control/control_node.h"
#include "common/raft/configuration.h"
#include "common/session/control_frames.h"
#include "common/session/observation_codec.h"

namespace juniperway::control {

void ControlNode::SendConsensus(const std::vector<raft::Message>& messages) {
  std::map<raft::NodeId, protocol::ConsensusMessagesT> by_receiver;
  for (const raft::Message& message : messages) {
    if (message.snapshot) {
      SendSnapshot(message);
      continue;
    }
    by_receiver[message.to].messages.push_back(EncodeMessage(message));
  }
  for (auto& [to, batch] : by_receiver) {
    peers_->Send(to, std::move(batch));
  }
}

void ControlNode::SendSnapshot(const raft::Message& message) {
  // Consensus sends the snapshot again when no answer arrives in time. While
  // parts of the previous transfer are still queued, the transfer is only slow
  // and needs no second copy.
  if (peers_->QueuedBytes(message.to) > options_.snapshot_part_bytes) {
    return;
  }
  ForEachSnapshotPart(message, options_.snapshot_part_bytes,
                      [this, to = message.to](protocol::SnapshotPartT part) {
                        peers_->Send(to, std::move(part));
                      });
}

void ControlNode::OnSnapshotPart(raft::NodeId from,
                                 const protocol::SnapshotPartT& part) {
  // The empty answer confirms that this node received the part. Without
  // answers, the sender would close the connection during a long transfer.
  peers_->Send(from, protocol::ConsensusMessagesT{});
  const auto complete = snapshot_assembler_.Add(from, part);
  if (complete && complete->from == from) {
    driver_->Step(*complete);
  }
}

void ControlNode::OnPeerFrame(raft::NodeId from,
                              const protocol::ControlFrameT& frame) {
  const auto& message = frame.message;
  if (const auto* consensus = message.AsConsensusMessages()) {
    for (const auto& record : consensus->messages) {
      const auto decoded = DecodeMessage(*record);
      if (decoded && decoded->from == from && decoded->to == options_.node_id) {
        driver_->Step(*decoded);
      }
    }
  } else if (const auto* part = message.AsSnapshotPart()) {
    OnSnapshotPart(from, *part);
  } else if (const auto* heartbeats = message.AsForwardHeartbeats()) {
    OnForwardedHeartbeats(from, *heartbeats);
  } else if (const auto* replies = message.AsForwardHeartbeatsReply()) {
    sessions_->OnReplies(replies->replies);
  } else if (const auto* progress = message.AsProgressUpdate()) {
    OnProgressUpdate(*progress);
  } else if (const auto* observed = message.AsBackendObservations()) {
    observations_->OnDigest(session::DecodeObservations(*observed));
    // The empty answer shows the sender that the connection works: followers
    // exchange few other messages.
    peers_->SendOneWay(from, protocol::ConsensusMessagesT{});
  } else if (const auto* operations = message.AsForwardOperations()) {
    OnForwardedOperations(from, *operations);
  } else if (const auto* results = message.AsForwardOperationsReply()) {
    leader_client_->OnReply(from, *results);
  } else if (const auto* call = message.AsForwardCall()) {
    OnForwardedCall(from, *call);
  } else if (const auto* answer = message.AsForwardCallReply()) {
    leader_client_->OnReply(from, *answer);
  }
}

void ControlNode::OnForwardedOperations(
    raft::NodeId from, const protocol::ForwardOperationsT& forwarded) {
  Operations operations;
  for (const auto& item : forwarded.operations) {
    operations.push_back(std::make_unique<protocol::OperationItemT>(*item));
  }
  role_->Submit(std::move(operations),
                [this, alive = alive_, from,
                 id = forwarded.call_id](Result<OperationResults> result) {
                  if (!*alive) {
                    return;
                  }
                  protocol::ForwardOperationsReplyT reply;
                  reply.call_id = id;
                  if (result) {
                    reply.results = std::move(*result);
                  } else {
                    reply.error = session::EncodeError(result.error());
                  }
                  peers_->Send(from, std::move(reply));
                });
}

void ControlNode::OnForwardedCall(raft::NodeId from,
                                  const protocol::ForwardCallT& forwarded) {
  ApiCall call;
  call.method = forwarded.method;
  call.path = forwarded.path;
  call.change_id = forwarded.change_id;
  auto body = Decompress(forwarded.body);
  if (!body) {
    return;  // Handled like a lost frame: the sender sends the call again.
  }
  call.body = std::move(*body);
  for (const auto& parameter : forwarded.parameters) {
    call.parameters[parameter->key] = parameter->value;
  }
  resource_api_->Handle(
      call, [this, alive = alive_, from,
             id = forwarded.call_id](const net::HttpResponse& response) {
        if (!*alive) {
          return;
        }
        protocol::ForwardCallReplyT reply;
        reply.call_id = id;
        reply.status = static_cast<std::uint16_t>(response.status);
        reply.body = response.body;
        for (const auto& [name, value] : response.headers) {
          auto& header = reply.headers.emplace_back(
              std::make_unique<protocol::TextPairT>());
          header->key = name;
          header->value = value;
        }
        peers_->Send(from, std::move(reply));
      });
}

void ControlNode::OnForwardedHeartbeats(
    raft::NodeId from, const protocol::ForwardHeartbeatsT& forwarded) {
  for (const auto& goodbye : forwarded.goodbyes) {
    role_->OnGoodbye({goodbye->daemon_id, goodbye->incarnation});
  }
  if (forwarded.heartbeats.empty()) {
    return;
  }
  protocol::ForwardHeartbeatsReplyT reply;
  reply.replies =
      role_->OnHeartbeats(from, forwarded.heartbeats, ReadMonotonicClock());
  peers_->Send(from, std::move(reply));
}

void ControlNode::OnProgressUpdate(const protocol::ProgressUpdateT& progress) {
  // Watermarks never decrease and remain valid after a leader change, so the
  // term of the announcing leader is not checked.
  std::map<std::string, resources::Revision> zones;
  for (const auto& zone : progress.zones) {
    zones[zone->zone] = zone->released_revision;
  }
  role_->OnAnnounced(progress.in_force_revision, zones);
  sessions_->OnProgress(progress.in_force_revision, zones);
}

void ControlNode::SendObservations(
    const observation::BackendObservations& observations) {
  for (const raft::Member& member :
       raft::AllMembers(known_status_.configuration)) {
    if (member.id != options_.node_id) {
      peers_->Send(member.id, session::EncodeObservations(observations));
    }
  }
}

bool ControlNode::ForwardHeartbeats(Heartbeats heartbeats) {
  const raft::NodeId leader = KnownLeader();
  // A suspended node receives no changes, so its daemons must not stay with it.
  if (leader == raft::kNoNode || driver_->suspended()) {
    return false;
  }
  if (leader == options_.node_id) {
    sessions_->OnReplies(
        role_->OnHeartbeats(leader, heartbeats, ReadMonotonicClock()));
    return true;
  }
  protocol::ForwardHeartbeatsT message;
  message.heartbeats = std::move(heartbeats);
  return peers_->Send(leader, std::move(message));
}

void ControlNode::ForwardGoodbye(const DaemonKey& daemon) {
  const raft::NodeId leader = KnownLeader();
  if (leader == options_.node_id) {
    role_->OnGoodbye(daemon);
    return;
  }
  protocol::ForwardHeartbeatsT message;
  auto& goodbye = message.goodbyes.emplace_back(
      std::make_unique<protocol::MemberGoodbyeT>());
  goodbye->daemon_id = daemon.daemon_id;
  goodbye->incarnation = daemon.incarnation;
  peers_->Send(leader, std::move(message));
}

void ControlNode::AnnounceProgress(
    resources::Revision in_force,
    const std::map<std::string, resources::Revision>& zones) {
  sessions_->OnProgress(in_force, zones);
  for (const raft::Member& member :
       raft::AllMembers(known_status_.configuration)) {
    if (member.id == options_.node_id) {
      continue;
    }
    protocol::ProgressUpdateT progress;
    progress.term = known_status_.term;
    progress.in_force_revision = in_force;
    for (const auto& [zone, released] : zones) {
      auto& item = progress.zones.emplace_back(
          std::make_unique<protocol::ZoneProgressT>());
      item->zone = zone;
      item->released_revision = released;
    }
    peers_->Send(member.id, std::move(progress));
  }
}

}  // namespace juniperway::control
