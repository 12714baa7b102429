#include "sim/control/control_machine.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "common/session/control_frames.h"
#include "sim/control/sim_daemon.h"

namespace juniperway::sim {
namespace {

constexpr Duration kMaximumSync = milliseconds(8);
constexpr Duration kRoleTick = milliseconds(50);
constexpr Duration kAdvanceDelay = milliseconds(5);
constexpr Duration kUpdateDelay = milliseconds(10);
constexpr Duration kMaximumWallSkew = seconds(2);
constexpr Duration kWallStart = seconds(1'700'000'000);
// Snapshots are taken at every such index, by all machines alike.
constexpr raft::Index kSnapshotInterval = 40;
constexpr raft::Index kKeptEntries = 10;
constexpr std::size_t kLostTail = 2;

std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  constexpr std::uint64_t kPrime = 0x9E3779B97F4A7C15;
  return (hash ^ value) * kPrime + (hash >> 29U);
}

std::uint64_t HashText(std::string_view text) {
  return std::hash<std::string_view>()(text);
}

std::uint64_t HashResults(std::uint64_t hash, const raft::Entry& entry,
                          const control::AppliedCommand& applied) {
  hash = Mix(Mix(hash, entry.term), HashText(entry.data));
  for (const protocol::OperationResultT& result : applied.results) {
    hash = Mix(hash, result.revision);
    hash = Mix(hash, result.error ? 1 + result.error->code : 0);
    hash = Mix(hash, result.resources.size());
    if (result.claim) {
      hash = Mix(hash, static_cast<std::uint64_t>(result.claim->decision));
    }
  }
  return hash;
}

// A snapshot's data: the hash of all results before it, then the state's.
std::string JoinSnapshot(std::uint64_t hash, const std::string& state) {
  std::string data(sizeof hash, '\0');
  std::memcpy(data.data(), &hash, sizeof hash);
  return data + state;
}

}  // namespace

ControlMachine::ControlMachine(Surroundings& surroundings,
                               const ControlSimOptions& options,
                               Network& network, ControlChecker& checker,
                               raft::NodeId id,
                               const raft::Configuration& initial)
    : Process(surroundings, static_cast<ProcessNumber>(id),
              options.clock_drift),
      options_(options),
      network_(network),
      checker_(checker),
      id_(id),
      disk_(initial),
      wall_skew_(surroundings.Between(-kMaximumWallSkew, kMaximumWallSkew)) {}

void ControlMachine::SetPeers(std::vector<ControlMachine*> machines) {
  machines_ = std::move(machines);
}

// --- Consensus ---------------------------------------------------------------

control::LeaderRole::Ports ControlMachine::MakePorts() {
  control::LeaderRole::Ports ports;
  ports.state = [this]() -> const control::ControlState& { return state_; };
  ports.raft_status = [this] { return fsm_->GetStatus(); };
  ports.has_leader_lease = [this](MonotonicTime now) {
    return options_.Has(ControlDefect::kGrantsWithoutLeaderLease)
               ? fsm_->GetStatus().role == raft::Role::kLeader
               : fsm_->HasLeaderLease(now);
  };
  ports.propose = [this](std::string command) {
    auto proposal = fsm_->Propose(std::move(command), Now());
    After(Duration(0), [this] { AfterInput(); });
    return proposal;
  };
  ports.promote_learner = [](raft::NodeId) -> Result<raft::Fsm::Proposal> {
    return MakeError(ErrorCode::kUnavailable, "", "no learners here");
  };
  ports.announce = [this](const auto& in_force, const auto& zones) {
    Announce(in_force, zones);
  };
  ports.on_queued = [this] {
    After(Duration(0), [this] { role_->FlushOperations(WallNow()); });
  };
  ports.on_confirmed = [this] {
    After(kAdvanceDelay, [this] { role_->Advance(Now()); });
  };
  return ports;
}

void ControlMachine::Start() {
  BeginRunning();
  wake_at_ = MonotonicTime::max();
  syncing_.reset();
  sessions_.clear();
  update_scheduled_ = false;
  raft::Options raft_options;
  raft_options.id = id_;
  raft_options.heartbeat_interval = options_.raft_heartbeat;
  raft_options.election_timeout = options_.raft_election_timeout;
  raft_options.kept_entries = kKeptEntries;
  raft_options.seed = surroundings_.random();
  applied_ = 0;
  hash_ = 0;
  state_ = control::ControlState();
  fsm_ = std::make_unique<raft::Fsm>(raft_options, disk_.state(), Now());
  if (!disk_.state().snapshot.data.empty()) {
    Restore(disk_.state().snapshot);
  }
  control::LeaseTable::Options lease_options;
  lease_options.lease = options_.lease;
  lease_options.removal_delay = options_.lease / 2;
  role_ = std::make_unique<control::LeaderRole>(lease_options, MakePorts());
  AfterInput();
  TickRole();
}

void ControlMachine::Crash() {
  EndRunning();
  if (syncing_ && surroundings_.Chance(0.5)) {
    disk_.Write(*syncing_);
  }
  if (options_.Has(ControlDefect::kLosesSyncedTail)) {
    disk_.LoseTail(kLostTail);
  }
  for (const auto& [connection, session] : sessions_) {
    connection->to_daemon->Send(
        [connection] { connection->daemon->OnConnectionClosed(connection); });
  }
  sessions_.clear();
  role_.reset();
  fsm_.reset();
}

void ControlMachine::AfterInput() {
  role_->Update(fsm_->GetStatus(), Now());
  Pump();
  ScheduleWake();
}

void ControlMachine::ScheduleWake() {
  const MonotonicTime deadline =
      std::max(fsm_->NextDeadline(), Now() + microseconds(1));
  if (deadline >= wake_at_) {
    return;
  }
  wake_at_ = deadline;
  At(deadline, [this, deadline] {
    if (wake_at_ == deadline) {
      wake_at_ = MonotonicTime::max();
      fsm_->Tick(Now());
      AfterInput();
    }
  });
}

void ControlMachine::Pump() {
  while (!syncing_) {
    raft::Ready ready = fsm_->TakeReady();
    if (ready.empty()) {
      return;
    }
    const bool to_sync =
        ready.hard_state || ready.snapshot || !ready.entries.empty();
    if (!to_sync) {
      FinishReady(ready);
      continue;
    }
    syncing_ = std::move(ready);
    After(surroundings_.Between(microseconds(50), kMaximumSync), [this] {
      const raft::Ready synced = std::move(*syncing_);
      syncing_.reset();
      FinishReady(synced);
      AfterInput();
    });
  }
}

void ControlMachine::FinishReady(const raft::Ready& ready) {
  disk_.Write(ready);
  SendConsensus(ready.messages);
  if (ready.snapshot) {
    Restore(*ready.snapshot);
  }
  for (const raft::Entry& entry : ready.committed) {
    Apply(entry);
  }
  if (!ready.entries.empty()) {
    fsm_->Persisted(ready.entries.back().index, Now());
  } else if (ready.snapshot) {
    fsm_->Persisted(ready.snapshot->index, Now());
  }
}

void ControlMachine::Apply(const raft::Entry& entry) {
  control::AppliedCommand applied;
  if (entry.kind == raft::EntryKind::kCommand) {
    applied = state_.Apply(entry.data);
  }
  applied_ = entry.index;
  hash_ = HashResults(hash_, entry, applied);
  checker_.ObserveApplied(applied_, hash_);
  fsm_->Applied(applied_);
  role_->OnApplied(entry, std::move(applied), Now());
  if (!update_scheduled_) {
    update_scheduled_ = true;
    After(kUpdateDelay, [this] {
      update_scheduled_ = false;
      SendUpdates();
    });
  }
  CompactAt(entry.index);
}

void ControlMachine::CompactAt(raft::Index index) {
  if (index % kSnapshotInterval != 0) {
    return;
  }
  const std::string state = state_.EncodeSnapshot();
  checker_.ObserveSnapshot(index, HashText(state));
  const auto snapshot = fsm_->MakeSnapshot(index, JoinSnapshot(hash_, state));
  if (snapshot) {
    disk_.Compact(*snapshot, kKeptEntries);
    fsm_->Compacted(*snapshot);
  }
}

void ControlMachine::Restore(const raft::Snapshot& snapshot) {
  std::memcpy(&hash_, snapshot.data.data(), sizeof hash_);
  state_ = control::ControlState::DecodeSnapshot(
               std::string_view(snapshot.data).substr(sizeof hash_))
               .value();
  applied_ = snapshot.index;
  checker_.ObserveApplied(applied_, hash_);
  checker_.ObserveSnapshot(applied_, HashText(state_.EncodeSnapshot()));
  fsm_->Applied(applied_);
}

void ControlMachine::SendConsensus(const std::vector<raft::Message>& messages) {
  for (const raft::Message& message : messages) {
    ControlMachine& peer = *machines_.at(message.to - 1);
    network_.Send(number(), peer, [&peer, message] {
      peer.fsm_->Step(message, peer.Now());
      peer.AfterInput();
    });
  }
}

void ControlMachine::TickRole() {
  role_->Tick(Now());
  AfterInput();
  SendUpdates();
  After(kRoleTick, [this] { TickRole(); });
}

WallTime ControlMachine::WallNow() const {
  return WallTime(kWallStart + wall_skew_ +
                  surroundings_.timeline.now().time_since_epoch());
}

ControlMachine* ControlMachine::KnownLeader() {
  const raft::NodeId leader = fsm_->GetStatus().leader;
  return leader == raft::kNoNode ? nullptr : machines_.at(leader - 1);
}

// --- Sessions ----------------------------------------------------------------

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
  if (leader == nullptr) {
    return;  // The daemon finds this machine silent.
  }
  if (leader == this) {
    OnReplies(role_->OnHeartbeats(*batch, Now()));
    return;
  }
  network_.Send(number(), *leader, [this, leader, batch] {
    auto replies = std::make_shared<control::HeartbeatReplies>(
        leader->role_->OnHeartbeats(*batch, leader->Now()));
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
