#include "property/control/control_world.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control::testing {
namespace {

constexpr std::size_t kNodes = 3;
constexpr Duration kLease = seconds(4);
constexpr double kDrift = 0.01;
constexpr Duration kLeaderLease = milliseconds(900);
constexpr Duration kElection = milliseconds(1000);
constexpr double kLossProbability = 0.02;
constexpr Duration kMaximumDelay = milliseconds(60);
// Longest time in which a daemon brings a view into use.
constexpr Duration kMaximumApplyDelay = milliseconds(700);
// Time by which a defect extends a lease.
constexpr Duration kDefectLeaseExtension = seconds(3);

raft::Member MemberOf(std::size_t number) { return {number + 1, ""}; }

template <typename Operation>
Operations OneOperation(Operation operation) {
  Operations operations;
  operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  return operations;
}

}  // namespace

struct ControlWorld::Node {
  std::size_t number = 0;
  ControlState state;
  std::size_t applied = 0;
  std::unique_ptr<LeaderRole> role;
  // Role and term as the node knows them; they may be out of date.
  bool leads = false;
  raft::Term term = 0;
  // The node is partitioned or paused: it neither receives nor sends.
  bool unreachable = false;
  bool paused = false;
  MonotonicTime unreachable_since;
  std::vector<std::function<void()>> queued_deliveries;
};

struct ControlWorld::Daemon {
  std::string name;
  std::string zone;
  std::uint64_t incarnation = 0;
  double clock_rate = 1.0;
  std::unique_ptr<session::SessionState> state;
  std::uint64_t session = 0;
  std::size_t node = 0;
  // Revision that the daemon has confirmed. It survives restarts, as in a real
  // daemon, which stores it in the session file.
  resources::Revision persisted = 0;
  // Revision that the daemon uses, and the one up to which it has released
  // backends.
  resources::Revision in_use = 0;
  resources::Revision released_up_to = 0;
  // Highest revision sent to the daemon.
  resources::Revision pending = 0;
  bool had_lease = false;
  bool crashed = false;
  // The daemon neither receives nor sends before this time, and its connection
  // does not close.
  MonotonicTime partitioned_until;
};

ControlWorld::ControlWorld(const WorldOptions& options)
    : options_(options), random_(options.seed) {
  for (std::size_t number = 0; number < kNodes; ++number) {
    MakeNode(number);
  }
  for (std::size_t number = 0; number < options.daemons; ++number) {
    auto daemon = std::make_unique<Daemon>();
    daemon->name = fmt::format("daemon-{}", number);
    daemon->zone = number % 2 == 0 ? "even" : "odd";
    const double drift =
        options.defect == Defect::kExcessiveClockDrift ? 0.4 : kDrift;
    // Every third clock runs at the lower bound, so that a wrong bound violates
    // a guarantee.
    daemon->clock_rate = number % 3 == 0 ? 1.0 - drift : 1.0 + drift / 2;
    daemons_.push_back(std::move(daemon));
  }
}

ControlWorld::~ControlWorld() = default;

WorldReport ControlWorld::Run() {
  Elect();
  for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
    StartDaemon(daemon);
  }
  for (std::size_t node = 0; node < kNodes; ++node) {
    TickNode(node);
  }
  At(now_ + seconds(1), [this] { WriteService(); });
  At(now_ + seconds(5), [this] { PartitionRandomDaemon(); });
  const MonotonicTime end = now_ + options_.duration;
  while (now_ < end && report_.violation.empty()) {
    Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.run();
    Check();
  }
  report_.in_force = announced_in_force_;
  for (const auto& node : nodes_) {
    report_.revision = std::max(report_.revision, node->state.revision());
  }
  return report_;
}

// --- Time and network --------------------------------------------------------

void ControlWorld::At(MonotonicTime time, std::function<void()> run) {
  events_.push({time, ++last_order_, std::move(run)});
}

void ControlWorld::DeliverLater(std::function<void()> run) {
  if (!Chance(kLossProbability)) {
    At(now_ + RandomDuration(microseconds(1), kMaximumDelay), std::move(run));
  }
}

void ControlWorld::ToNode(std::size_t node, std::function<void()> deliver) {
  DeliverLater([this, node, deliver = std::move(deliver)] {
    Node& target = *nodes_[node];
    if (target.paused) {
      // The kernel buffers received messages.
      target.queued_deliveries.push_back(deliver);
    } else if (!target.unreachable) {
      deliver();
    }
  });
}

bool ControlWorld::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

Duration ControlWorld::RandomDuration(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      low.count(), high.count())(random_));
}

// --- Consensus model ---------------------------------------------------------

void ControlWorld::Elect() {
  std::vector<std::size_t> present;
  for (const auto& node : nodes_) {
    if (!node->unreachable) {
      present.push_back(node->number);
    }
  }
  const std::size_t chosen = present[random_() % present.size()];
  ++term_;
  ++report_.leaders;
  leader_ = chosen;
  Node& node = *nodes_[chosen];
  node.leads = true;
  node.term = term_;
  log_.push_back({term_, log_.size() + 1, raft::EntryKind::kNoOperation, ""});
  for (const std::size_t other : present) {
    if (other != chosen) {
      nodes_[other]->leads = false;
      nodes_[other]->term = term_;
    }
  }
  ApplyUpTo(chosen, log_.size());
  At(now_ + RandomDuration(seconds(2), seconds(12)), [this] { FailLeader(); });
}

void ControlWorld::FailLeader() {
  // The group tolerates the failure of one node.
  if (std::ranges::any_of(nodes_,
                          [](const auto& node) { return node->unreachable; })) {
    At(now_ + milliseconds(500), [this] { FailLeader(); });
    return;
  }
  const std::size_t failed = *leader_;
  Node& node = *nodes_[failed];
  node.unreachable = true;
  node.paused = Chance(0.5);
  node.unreachable_since = now_;
  leader_.reset();
  At(now_ + kElection + RandomDuration(microseconds(1), seconds(1)),
     [this] { Elect(); });
  At(now_ + RandomDuration(milliseconds(100), seconds(9)),
     [this, failed] { ReconnectNode(failed); });
}

void ControlWorld::ReconnectNode(std::size_t number) {
  Node& node = *nodes_[number];
  if (!leader_) {
    At(now_ + milliseconds(100), [this, number] { ReconnectNode(number); });
    return;
  }
  node.unreachable = false;
  node.paused = false;
  // The node handles buffered messages before it receives the new term.
  for (const auto& deliver : std::exchange(node.queued_deliveries, {})) {
    deliver();
  }
  node.role->Tick(now_);
  At(now_ + RandomDuration(microseconds(1), milliseconds(100)), [this, number] {
    Node& reconnected = *nodes_[number];
    if (leader_ != number) {
      reconnected.leads = false;
    }
    reconnected.term = term_;
    reconnected.role->Update(StatusOf(number), now_);
  });
}

Result<raft::Fsm::Proposal> ControlWorld::Propose(std::size_t number,
                                                  std::string command) {
  Node& node = *nodes_[number];
  if (!node.leads) {
    return MakeError(ErrorCode::kNotLeader, "", "this node does not lead");
  }
  if (leader_ != number) {
    // The entry of a former leader is never committed.
    return raft::Fsm::Proposal{log_.size() + 1, node.term};
  }
  log_.push_back(
      {term_, log_.size() + 1, raft::EntryKind::kCommand, std::move(command)});
  const std::size_t count = log_.size();
  At(now_ + RandomDuration(milliseconds(1), milliseconds(30)),
     [this, number, count] {
       if (!nodes_[number]->unreachable) {
         ApplyUpTo(number, count);
       }
     });
  return raft::Fsm::Proposal{count, term_};
}

void ControlWorld::ApplyUpTo(std::size_t number, std::size_t count) {
  Node& node = *nodes_[number];
  while (node.applied < count) {
    const raft::Entry& entry = log_[node.applied++];
    AppliedCommand applied;
    if (entry.kind == raft::EntryKind::kCommand) {
      applied = node.state.Apply(entry.data);
    }
    node.role->OnApplied(entry, std::move(applied), now_);
  }
}

raft::Status ControlWorld::StatusOf(std::size_t number) const {
  const Node& node = *nodes_[number];
  raft::Status status;
  status.id = MemberOf(number).id;
  status.term = node.term;
  for (std::size_t member = 0; member < kNodes; ++member) {
    status.configuration.voters.push_back(MemberOf(member));
  }
  status.role = node.leads ? raft::Role::kLeader : raft::Role::kFollower;
  return status;
}

bool ControlWorld::HasLeaderLease(std::size_t number) const {
  const Node& node = *nodes_[number];
  if (!node.leads) {
    return false;
  }
  const Duration extension = options_.defect == Defect::kLeaderLeaseTooLong
                                 ? 4 * kDefectLeaseExtension
                                 : Duration(0);
  if (leader_ == number) {
    return node.applied == log_.size() || node.role->leases().active();
  }
  return node.role->leases().active() &&
         now_ < node.unreachable_since + kLeaderLease + extension;
}

// --- Control nodes -----------------------------------------------------------

void ControlWorld::MakeNode(std::size_t number) {
  auto node = std::make_unique<Node>();
  node->number = number;
  LeaderRole::Options options;
  options.leases.lease = kLease;
  options.leases.maximum_clock_drift = kDrift;
  Node* raw = node.get();
  node->role = std::make_unique<LeaderRole>(
      options,
      LeaderRole::Ports{
          .state = [raw]() -> const ControlState& { return raw->state; },
          .raft_status = [this, number] { return StatusOf(number); },
          .has_leader_lease =
              [this, number](MonotonicTime) { return HasLeaderLease(number); },
          .propose =
              [this, number](std::string command) {
                return Propose(number, std::move(command));
              },
          .promote_learner = [](raft::NodeId) -> Result<raft::Fsm::Proposal> {
            return MakeError(ErrorCode::kNotFound, "", "none");
          },
          .remove_member = [](raft::NodeId) -> Result<raft::Fsm::Proposal> {
            return MakeError(ErrorCode::kNotFound, "", "none");
          },
          .announce =
              [this](resources::Revision in_force,
                     const std::map<std::string, resources::Revision>& zones) {
                announced_in_force_ = std::max(announced_in_force_, in_force);
                for (const auto& [zone, released] : zones) {
                  auto& known = announced_zones_[zone];
                  known = std::max(known, released);
                }
              },
          .on_queued =
              [this, number] {
                At(now_, [this, number] {
                  nodes_[number]->role->FlushOperations(
                      WallTime(now_.time_since_epoch()));
                });
              },
          .on_watermark_change =
              [this, number] {
                At(now_ + milliseconds(5), [this, number] {
                  if (!nodes_[number]->paused) {
                    nodes_[number]->role->Advance(now_);
                  }
                });
              }});
  nodes_.push_back(std::move(node));
}

void ControlWorld::TickNode(std::size_t number) {
  Node& node = *nodes_[number];
  if (!node.paused) {
    // A follower applies committed entries later than the leader.
    if (leader_ && leader_ != number && !node.unreachable) {
      ApplyUpTo(number, nodes_[*leader_]->applied);
    }
    const bool drops_leases = options_.defect == Defect::kDropsLeases;
    if (drops_leases && node.leads && !node.role->leases().active()) {
      node.role->Tick(now_);
      if (node.role->leases().active()) {
        for (const auto& daemon : daemons_) {
          // Leaves the lease table as if it had started without the leases of
          // the members.
          const_cast<LeaseTable&>(node.role->leases())
              .OnGoodbye({daemon->name, daemon->incarnation});
        }
      }
    }
    node.role->Tick(now_);
  }
  At(now_ + milliseconds(50), [this, number] { TickNode(number); });
}

void ControlWorld::Forward(std::size_t number, std::uint64_t session,
                           session::HeartbeatContent content) {
  // The control node of the session forwards the heartbeat to the leader.
  if (!leader_ && !nodes_[daemons_[number]->node]->leads) {
    return;
  }
  const Daemon& daemon = *daemons_[number];
  const std::size_t target =
      nodes_[daemon.node]->leads ? daemon.node : *leader_;
  Heartbeats heartbeats;
  auto item = std::make_unique<protocol::MemberHeartbeatT>();
  item->daemon_id = daemon.name;
  item->incarnation = daemon.incarnation;
  item->heartbeat = std::make_unique<protocol::HeartbeatT>();
  item->heartbeat->sequence = content.sequence;
  item->heartbeat->confirmed_revision = content.confirmed;
  item->heartbeat->released_revision = content.released;
  item->heartbeat->term = content.term;
  item->heartbeat->holds_lease = content.holds_lease;
  item->heartbeat->in_force_revision = content.in_force;
  item->heartbeat->zone_released_revision = content.zone_released;
  auto shared = std::make_shared<Heartbeats>();
  shared->push_back(std::move(item));
  const raft::NodeId from = MemberOf(daemon.node).id;
  ToNode(target, [this, number, session, target, from, shared] {
    HeartbeatReplies replies =
        nodes_[target]->role->OnHeartbeats(from, *shared, now_);
    const protocol::HeartbeatReplyT reply = *replies.front()->reply;
    DeliverLater([this, number, session, reply] {
      AnswerHeartbeat(number, session, reply);
    });
  });
}

void ControlWorld::AnswerHeartbeat(std::size_t number, std::uint64_t session,
                                   const protocol::HeartbeatReplyT& reply) {
  Daemon& daemon = *daemons_[number];
  if (daemon.crashed || daemon.session != session ||
      now_ < daemon.partitioned_until) {
    return;
  }
  session::HeartbeatAnswer answer;
  answer.sequence = reply.sequence;
  answer.granted = reply.outcome == protocol::HeartbeatOutcome::kGranted;
  answer.new_term = reply.outcome == protocol::HeartbeatOutcome::kNewTerm;
  answer.lease = Duration(reply.granted_us);
  if (options_.defect == Defect::kLeaseFromAnswer) {
    answer.lease += kDefectLeaseExtension;
  }
  answer.term = reply.term;
  answer.in_force = reply.in_force_revision;
  answer.zone_released = reply.zone_released_revision;
  answer.leader_revision = reply.leader_revision;
  report_.grants += answer.granted ? 1 : 0;
  daemon.state->OnHeartbeatReply(answer, DaemonTime(daemon));
  if (reply.outcome == protocol::HeartbeatOutcome::kNotMember) {
    Join(number);
  }
}

void ControlWorld::Join(std::size_t number) {
  if (!leader_) {
    return;
  }
  const Daemon& daemon = *daemons_[number];
  protocol::JoinMemberT join;
  join.member = std::make_unique<protocol::FleetMemberT>();
  join.member->daemon_id = daemon.name;
  join.member->incarnation = daemon.incarnation;
  join.member->zone = daemon.zone;
  join.member->region = "region";
  join.member->peer_address = "127.0.0.1:1";
  join.member->gateway = true;
  nodes_[*leader_]->role->Submit(OneOperation(std::move(join)),
                                 [](const Result<OperationResults>&) {});
}

// --- Daemons -----------------------------------------------------------------

MonotonicTime ControlWorld::DaemonTime(const Daemon& daemon) const {
  const auto elapsed = static_cast<double>(now_.time_since_epoch().count());
  return MonotonicTime(
      Duration(static_cast<Duration::rep>(elapsed * daemon.clock_rate)));
}

void ControlWorld::StartDaemon(std::size_t number) {
  Daemon& daemon = *daemons_[number];
  daemon.crashed = false;
  ++daemon.incarnation;
  ++daemon.session;
  daemon.in_use = 0;
  daemon.released_up_to = 0;
  daemon.pending = 0;
  daemon.had_lease = false;
  daemon.state = std::make_unique<session::SessionState>(
      session::SessionTiming{}, kNodes, daemon.persisted, random_());
  daemon.state->Start(DaemonTime(daemon));
  const std::uint64_t start = daemon.incarnation;
  TickDaemon(number, start);
  At(now_ + RandomDuration(seconds(5), seconds(60)), [this, number, start] {
    Daemon& crashing = *daemons_[number];
    if (crashing.incarnation == start) {
      crashing.crashed = true;
      At(now_ + RandomDuration(milliseconds(50), seconds(9)),
         [this, number] { StartDaemon(number); });
    }
  });
}

void ControlWorld::TickDaemon(std::size_t number, std::uint64_t start) {
  Daemon& daemon = *daemons_[number];
  if (daemon.crashed || daemon.incarnation != start) {
    return;
  }
  const MonotonicTime now = DaemonTime(daemon);
  daemon.state->Tick(now);
  for (const session::SessionAction& action : daemon.state->TakeActions()) {
    if (const auto* connect = std::get_if<session::ConnectAction>(&action)) {
      ++daemon.session;
      daemon.node = connect->endpoint;
      if (!nodes_[daemon.node]->unreachable &&
          now_ >= daemon.partitioned_until) {
        daemon.state->OnConnected(now);
      }
    } else if (const auto* heartbeat_action =
                   std::get_if<session::HeartbeatAction>(&action)) {
      DeliverLater([this, number, session = daemon.session,
                    content = heartbeat_action->heartbeat] {
        const Daemon& sender = *daemons_[number];
        if (!nodes_[sender.node]->unreachable &&
            now_ >= sender.partitioned_until) {
          Forward(number, session, content);
        }
      });
    } else {
      ++daemon.session;
    }
  }
  const Node& node = *nodes_[daemon.node];
  const resources::Revision offered = node.state.revision();
  if (!node.unreachable && daemon.state->connected() &&
      offered > daemon.pending && daemon.state->MayTake(offered)) {
    daemon.pending = offered;
    DeliverLater([this, number, session = daemon.session, offered] {
      OnView(number, session, offered);
    });
  }
  const bool has_lease = daemon.state->HasLease(now);
  report_.lost_leases += daemon.had_lease && !has_lease ? 1 : 0;
  daemon.had_lease = has_lease;
  At(now_ + milliseconds(20),
     [this, number, start] { TickDaemon(number, start); });
}

void ControlWorld::OnView(std::size_t number, std::uint64_t session,
                          resources::Revision revision) {
  Daemon& daemon = *daemons_[number];
  if (daemon.crashed || daemon.session != session ||
      now_ < daemon.partitioned_until || !daemon.state->MayTake(revision)) {
    daemon.pending = daemon.state->taken();
    return;
  }
  const std::uint64_t start = daemon.incarnation;
  if (options_.defect == Defect::kEarlyConfirmation) {
    daemon.state->OnTaken(revision);
  }
  At(now_ + RandomDuration(milliseconds(1), kMaximumApplyDelay),
     [this, number, start, revision] {
       Daemon& receiver = *daemons_[number];
       if (receiver.crashed || receiver.incarnation != start ||
           revision < receiver.in_use) {
         return;
       }
       receiver.in_use = revision;
       receiver.persisted = std::max(receiver.persisted, revision);
       receiver.state->OnTaken(revision);
       if (options_.defect == Defect::kEarlyRelease) {
         receiver.state->OnReleased(revision);
       }
       // The daemon reports the release when requests on backends that it no
       // longer owns have ended.
       At(now_ + RandomDuration(milliseconds(1), seconds(1)),
          [this, number, start, revision] {
            Daemon& releaser = *daemons_[number];
            if (!releaser.crashed && releaser.incarnation == start) {
              releaser.released_up_to =
                  std::max(releaser.released_up_to, revision);
              releaser.state->OnReleased(revision);
            }
          });
     });
}

// --- Changes and checks ------------------------------------------------------

void ControlWorld::PartitionRandomDaemon() {
  Daemon& daemon = *daemons_[random_() % daemons_.size()];
  daemon.partitioned_until = std::max(
      daemon.partitioned_until, now_ + RandomDuration(seconds(1), seconds(9)));
  At(now_ + RandomDuration(seconds(1), seconds(8)),
     [this] { PartitionRandomDaemon(); });
}

void ControlWorld::WriteService() {
  At(now_ + RandomDuration(milliseconds(50), seconds(4)),
     [this] { WriteService(); });
  if (!leader_) {
    return;
  }
  const resources::ResourceId id{resources::Kind::kService, "search"};
  Node& node = *nodes_[*leader_];
  const resources::Resource* current = node.state.fleet().Find(id);
  resources::Resource resource;
  resource.id = id;
  resource.version = current == nullptr ? 0 : current->version;
  resource.specification = resources::Service{};
  protocol::ApplyResourcesT apply;
  apply.change_id = fmt::format("change-{}", ++changes_);
  apply.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
      session::EncodeResource(resource)));
  node.role->Submit(OneOperation(std::move(apply)),
                    [](const Result<OperationResults>&) {});
}

void ControlWorld::Check() {
  for (const auto& daemon : daemons_) {
    if (daemon->crashed || !daemon->state ||
        !daemon->state->HasLease(DaemonTime(*daemon))) {
      continue;
    }
    if (daemon->in_use < announced_in_force_) {
      report_.violation = fmt::format(
          "{} holds a lease and uses revision {}, but {} was announced in "
          "force",
          daemon->name, daemon->in_use, announced_in_force_);
    }
    const resources::Revision announced = announced_zones_[daemon->zone];
    if (daemon->released_up_to < announced) {
      report_.violation = fmt::format(
          "{} holds a lease and released up to {}, but {} was announced "
          "released",
          daemon->name, daemon->released_up_to, announced);
    }
  }
}

}  // namespace juniperway::control::testing
