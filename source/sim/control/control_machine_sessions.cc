// The session server and the way to the leader; see control_machine.h.
#include <algorithm>
#include <utility>

#include "common/session/control_frames.h"
#include "sim/control/control_machine.h"
#include "sim/control/sim_daemon.h"

namespace juniperway::sim {

void ControlMachine::OnHello(const ConnectionPointer& connection,
                             const protocol::SessionHelloT& hello) {
  std::erase_if(sessions_, [&hello](const auto& item) {
    return item.second.member.daemon_id == hello.member->daemon_id;
  });
  Session& session = sessions_[connection];
  session.member = *hello.member;
  session.sent_revision = hello.view_revision;
  session.minimum_revision = hello.minimum_revision;
  SendUpdates();
}

void ControlMachine::OnHeartbeat(const ConnectionPointer& connection,
                                 const protocol::HeartbeatT& heartbeat) {
  const auto session = sessions_.find(connection);
  if (session == sessions_.end()) {
    return;
  }
  protocol::MemberHeartbeatT item;
  item.daemon_id = session->second.member.daemon_id;
  item.incarnation = session->second.member.incarnation;
  item.heartbeat = std::make_unique<protocol::HeartbeatT>(heartbeat);
  ForwardHeartbeat(item);
}

void ControlMachine::ForwardHeartbeat(
    const protocol::MemberHeartbeatT& heartbeat) {
  auto batch = std::make_shared<control::Heartbeats>();
  batch->push_back(std::make_unique<protocol::MemberHeartbeatT>(heartbeat));
  ControlMachine* leader = KnownLeader();
  const bool serves =
      !suspended_ || options_.Has(ControlDefect::kServesWithFullDisk);
  if (leader == nullptr || !serves) {
    return;  // The daemon finds this machine silent.
  }
  if (leader == this) {
    OnReplies(role_->OnHeartbeats(id_, *batch, Now()));
    return;
  }
  network_.Send(number(), *leader, [this, leader, batch] {
    const raft::NodeId from =
        options_.Has(ControlDefect::kGrantsToOutsiders) ? leader->id_ : id_;
    auto replies = std::make_shared<control::HeartbeatReplies>(
        leader->role_->OnHeartbeats(from, *batch, leader->Now()));
    network_.Send(leader->number(), *this,
                  [this, replies] { OnReplies(*replies); });
  });
}

void ControlMachine::OnReplies(const control::HeartbeatReplies& replies) {
  for (const auto& item : replies) {
    const auto session =
        std::ranges::find_if(sessions_, [&item](const auto& candidate) {
          return candidate.second.member.daemon_id == item->daemon_id &&
                 candidate.second.member.incarnation == item->incarnation;
        });
    if (session == sessions_.end()) {
      continue;
    }
    const ConnectionPointer connection = session->first;
    if (item->reply->outcome == protocol::HeartbeatOutcome::kNotMember) {
      Join(connection);
    }
    connection->to_daemon->Send([connection, reply = *item->reply] {
      connection->daemon->OnHeartbeatReply(connection, reply);
    });
  }
}

void ControlMachine::OnProgress(
    resources::Revision in_force,
    const std::map<std::string, resources::Revision>& zones) {
  for (const auto& [connection, session] : sessions_) {
    const auto zone = zones.find(session.member.zone);
    const resources::Revision released = zone == zones.end() ? 0 : zone->second;
    connection->to_daemon->Send([connection = connection, in_force, released] {
      connection->daemon->OnProgress(connection, in_force, released);
    });
  }
}

void ControlMachine::Announce(
    resources::Revision in_force,
    const std::map<std::string, resources::Revision>& zones) {
  checker_.ObserveInForce(in_force);
  for (const auto& [zone, released] : zones) {
    checker_.ObserveReleased(zone, released);
  }
  for (ControlMachine* machine : machines_) {
    if (machine == this) {
      OnProgress(in_force, zones);
      continue;
    }
    network_.Send(number(), *machine, [machine, in_force, zones] {
      machine->OnProgress(in_force, zones);
    });
  }
}

void ControlMachine::Join(const ConnectionPointer& connection) {
  Session& session = sessions_.at(connection);
  if (session.join_under_way || session.said_goodbye) {
    return;
  }
  session.join_under_way = true;
  protocol::JoinMemberT join;
  join.member = std::make_unique<protocol::FleetMemberT>(session.member);
  control::Operations operations;
  operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(join))));
  const auto done = [this, connection] {
    const auto found = sessions_.find(connection);
    if (found != sessions_.end()) {
      found->second.join_under_way = false;
    }
  };
  Submit(operations, [done](const auto&) { done(); });
  After(options_.lease / 2, done);  // The answer may be lost.
}

void ControlMachine::OnCall(const ConnectionPointer& connection,
                            const protocol::SessionCallT& call) {
  const auto session = sessions_.find(connection);
  if (session == sessions_.end()) {
    return;
  }
  for (const auto& item : call.operations) {
    if (item->operation.type == protocol::Operation::LeaveMember) {
      session->second.member.leaving = true;
    }
  }
  Submit(call.operations, [connection, call_id = call.call_id](
                              Result<control::OperationResults> result) {
    auto reply = std::make_shared<protocol::SessionCallReplyT>();
    reply->call_id = call_id;
    if (result) {
      reply->results = std::move(*result);
    } else {
      reply->error = session::EncodeError(result.error());
    }
    connection->to_daemon->Send([connection, reply] {
      connection->daemon->OnCallReply(connection, *reply);
    });
  });
}

void ControlMachine::OnGoodbye(const ConnectionPointer& connection) {
  const auto session = sessions_.find(connection);
  ControlMachine* leader = KnownLeader();
  if (session == sessions_.end() || leader == nullptr) {
    return;
  }
  session->second.said_goodbye = true;
  const control::DaemonKey daemon{session->second.member.daemon_id,
                                  session->second.member.incarnation};
  if (leader == this) {
    role_->OnGoodbye(daemon);
    return;
  }
  network_.Send(number(), *leader,
                [leader, daemon] { leader->role_->OnGoodbye(daemon); });
}

void ControlMachine::OnClosed(const ConnectionPointer& connection) {
  sessions_.erase(connection);
}

void ControlMachine::SendUpdates() {
  for (auto& [connection, session] : sessions_) {
    if (session.sent_revision >= state_.revision() ||
        session.minimum_revision > state_.revision()) {
      continue;
    }
    const auto update = std::make_shared<protocol::FleetUpdateT>(
        state_.UpdateSince(session.sent_revision));
    session.sent_revision = state_.revision();
    connection->to_daemon->Send([connection = connection, update] {
      connection->daemon->OnUpdate(connection, *update);
    });
  }
}

void ControlMachine::Submit(const control::Operations& operations,
                            Callback callback) {
  ControlMachine* leader = KnownLeader();
  if (leader == nullptr) {
    callback(MakeError(ErrorCode::kNotLeader, "", "no leader is known"));
    return;
  }
  auto copy = std::make_shared<control::Operations>();
  for (const auto& item : operations) {
    copy->push_back(std::make_unique<protocol::OperationItemT>(*item));
  }
  if (leader == this) {
    role_->Submit(std::move(*copy), std::move(callback));
    return;
  }
  // Twice delivered, twice proposed: every operation is idempotent.
  network_.Send(number(), *leader, [this, leader, copy, callback] {
    control::Operations again;
    for (const auto& item : *copy) {
      again.push_back(std::make_unique<protocol::OperationItemT>(*item));
    }
    leader->role_->Submit(
        std::move(again),
        [this, leader, callback](Result<control::OperationResults> result) {
          auto shared = std::make_shared<Result<control::OperationResults>>(
              std::move(result));
          network_.Send(leader->number(), *this, [callback, shared] {
            if (*shared) {
              control::OperationResults results;
              for (const auto& item : **shared) {
                results.push_back(
                    std::make_unique<protocol::OperationResultT>(*item));
              }
              callback(std::move(results));
            } else {
              callback(tl::unexpected(shared->error()));
            }
          });
        });
  });
}

}  // namespace juniperway::sim
