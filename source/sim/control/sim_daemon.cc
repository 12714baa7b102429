#include "sim/control/sim_daemon.h"

#include <algorithm>
#include <utility>

#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"
#include "common/session/heartbeat_codec.h"

namespace juniperway::sim {
namespace {

constexpr Duration kMaximumKeep = milliseconds(6);
constexpr Duration kCallRetryDelay = milliseconds(50);
constexpr Duration kClaimTimeout = milliseconds(1500);
constexpr Duration kReportTimeout = seconds(5);
constexpr Duration kLeaveTimeout = seconds(2);
constexpr Duration kDrainTime = milliseconds(300);
constexpr Duration kUpdateTimeout = seconds(1);
constexpr Duration kMaximumUpdateTimeout = seconds(8);
// Past the end of every run.
constexpr Duration kNoUpdateTimeout = seconds(3600);
// Unix time; within the service's maximum_expiry of the machines' clocks, and
// past the end of every run.
constexpr Duration kClaimExpiry = seconds(1'700'000'400);

// As that of the product, with every duration halved.
session::SessionTiming Timing(const ControlSimOptions& options) {
  session::SessionTiming timing;
  timing.heartbeat_interval = milliseconds(500);
  timing.unleased_heartbeat_interval = milliseconds(100);
  timing.silence_timeout = milliseconds(750);
  timing.ungranted_timeout = milliseconds(1250);
  timing.update_timeout = kUpdateTimeout;
  timing.update_timeout_maximum = kMaximumUpdateTimeout;
  if (options.Has(ControlDefect::kAwaitsNoUpdates)) {
    timing.update_timeout = kNoUpdateTimeout;
    timing.update_timeout_maximum = kNoUpdateTimeout;
  }
  timing.connect_timeout = milliseconds(500);
  timing.reconnect_minimum = milliseconds(25);
  timing.reconnect_maximum = seconds(1);
  return timing;
}

std::uint64_t HashView(const session::FleetView& view) {
  std::string text;
  for (const auto& [name, backend] : view.backends) {
    text += name + "/" + backend.zone + "/" + std::to_string(backend.slots) +
            (backend.drain ? "d;" : ";");
  }
  for (const auto& [name, member] : view.members) {
    text += name + "/" + std::to_string(member.incarnation) +
            (member.leaving ? "l;" : ";");
  }
  text += std::to_string(view.services.size());
  return std::hash<std::string>()(text);
}

}  // namespace

SimDaemon::SimDaemon(Surroundings& surroundings,
                     const ControlSimOptions& options, Network& network,
                     ControlChecker& checker, ProcessNumber number,
                     std::vector<ControlMachine*> machines)
    : Process(surroundings, number, options.clock_drift),
      options_(options),
      network_(network),
      checker_(checker),
      machines_(std::move(machines)),
      id_("daemon-" + std::to_string(number)),
      zone_("zone-" + std::to_string(number % options.zones)) {}

void SimDaemon::SetPeers(std::vector<SimDaemon*> daemons) {
  daemons_ = std::move(daemons);
}

void SimDaemon::Start() {
  BeginRunning();
  ++incarnation_;
  if (options_.Has(ControlDefect::kForgetsRevision)) {
    kept_revision_ = 0;
  }
  leaving_ = false;
  state_ = std::make_unique<session::SessionState>(
      Timing(options_), machines_.size(), kept_revision_,
      surroundings_.random());
  // One of the machines stands in its zone.
  state_->SetLocality(number() % options_.zones % machines_.size(),
                      Locality::kSameZone, Now());
  operations_ = std::make_unique<session::OperationQueue>();
  tracker_ = std::make_unique<owner::OwnershipTracker>(id_);
  view_ = std::make_shared<session::FleetView>();
  staged_.reset();
  keeping_ = false;
  leased_ = false;
  last_attempt_ = 0;
  owned_.clear();
  letting_go_.clear();
  running_requests_.clear();
  if (work_ != nullptr) {
    work_->OnStart();
  }
  state_->Start(Now());
  Pump();
  PollLease();
  UseBackends();
}

void SimDaemon::Crash() {
  DropConnection();
  running_requests_.clear();
  EndRunning();
  if (work_ != nullptr) {
    work_->OnEnd();
  }
}

void SimDaemon::Leave() {
  leaving_ = true;
  protocol::LeaveMemberT leave;
  leave.daemon_id = id_;
  leave.incarnation = incarnation_;
  operations_->Add(
      session::MakeOperation(std::move(leave)), Now() + kLeaveTimeout,
      [this](const auto&) { After(kDrainTime, [this] { FinishLeaving(); }); });
  Pump();
}

void SimDaemon::FinishLeaving() {
  // Nothing runs any more when the lease is given back.
  running_requests_.clear();
  if (connection_) {
    connection_->to_machine->Send(
        [connection = connection_, machine = connected_to_] {
          machine->OnGoodbye(connection);
        });
  }
  Crash();
}

// --- Event loop --------------------------------------------------------------

void SimDaemon::Pump() {
  state_->Tick(Now());
  for (const session::SessionAction& action : state_->TakeActions()) {
    CarryOut(action);
  }
  operations_->Expire(Now());
  SendCalls();
  tracker_->OnInForce(state_->in_force());
  tracker_->OnZoneReleased(state_->zone_released());
  CheckLease();
  ReportReleased();
  ArmTimer();
}

void SimDaemon::ArmTimer() {
  const bool can_send = connection_ && state_->connected();
  const MonotonicTime deadline = std::max(
      std::min(state_->NextDeadline(), operations_->NextDeadline(can_send)),
      Now() + milliseconds(1));
  if (deadline == MonotonicTime::max()) {
    return;
  }
  At(deadline, [this, number = ++timer_number_] {
    if (number == timer_number_) {
      Pump();
    }
  });
}

void SimDaemon::CarryOut(const session::SessionAction& action) {
  if (const auto* connect = std::get_if<session::ConnectAction>(&action)) {
    Connect(connect->endpoint);
  } else if (const auto* beat =
                 std::get_if<session::HeartbeatAction>(&action)) {
    if (!connection_) {
      return;
    }
    protocol::HeartbeatT heartbeat;
    heartbeat.sequence = beat->heartbeat.sequence;
    heartbeat.confirmed_revision = beat->heartbeat.confirmed;
    heartbeat.released_revision = beat->heartbeat.released;
    heartbeat.term = beat->heartbeat.term;
    heartbeat.holds_lease = beat->heartbeat.holds_lease;
    heartbeat.in_force_revision = beat->heartbeat.in_force;
    heartbeat.zone_released_revision = beat->heartbeat.zone_released;
    connection_->to_machine->Send(
        [connection = connection_, machine = connected_to_, heartbeat] {
          machine->OnHeartbeat(connection, heartbeat);
        });
  } else {
    DropConnection();
  }
}

// --- Connection --------------------------------------------------------------

void SimDaemon::Connect(std::size_t endpoint) {
  DropConnection();
  ControlMachine* machine = machines_.at(endpoint);
  const std::uint64_t attempt = connection_number_;
  After(network_.Delay() * 2, [this, machine, attempt] {
    const bool reachable = !network_.IsCut(number(), machine->number()) &&
                           !network_.IsCut(machine->number(), number());
    if (attempt != connection_number_ || !reachable) {
      return;  // The attempt runs into its time limit.
    }
    if (!machine->running()) {
      state_->OnDisconnected(Now());
      Pump();
      return;
    }
    OnConnected(machine);
  });
}

void SimDaemon::OnConnected(ControlMachine* machine) {
  connection_ = std::make_shared<SessionConnection>();
  connection_->number = surroundings_.MakeNumber();
  connection_->daemon = this;
  connection_->to_machine =
      std::make_shared<Stream>(surroundings_, network_, number(), *machine);
  connection_->to_daemon = std::make_shared<Stream>(surroundings_, network_,
                                                    machine->number(), *this);
  connected_to_ = machine;
  SendHello();
  state_->OnConnected(Now());
  Pump();
}

void SimDaemon::SendHello() {
  protocol::SessionHelloT hello;
  hello.member = std::make_unique<protocol::FleetMemberT>();
  hello.member->daemon_id = id_;
  hello.member->incarnation = incarnation_;
  hello.member->zone = zone_;
  hello.member->gateway = true;
  hello.member->leaving = leaving_;
  hello.view_revision = newest()->revision;
  hello.minimum_revision = state_->minimum_revision();
  const auto shared =
      std::make_shared<protocol::SessionHelloT>(std::move(hello));
  connection_->to_machine->Send(
      [connection = connection_, machine = connected_to_, shared] {
        machine->OnHello(connection, *shared);
      });
}

void SimDaemon::DropConnection() {
  ++connection_number_;
  operations_->OnDisconnected();
  if (connection_) {
    connection_->to_machine->Send(
        [connection = connection_, machine = connected_to_] {
          machine->OnClosed(connection);
        });
    connection_.reset();
  }
}

void SimDaemon::OnConnectionClosed(const ConnectionPointer& connection) {
  if (connection == connection_) {
    DropConnection();
    state_->OnDisconnected(Now());
    Pump();
  }
}

void SimDaemon::SendCalls() {
  while (connection_ && state_->connected()) {
    auto call = operations_->TakeCall(Now());
    if (!call) {
      return;
    }
    const auto shared =
        std::make_shared<protocol::SessionCallT>(std::move(*call));
    connection_->to_machine->Send(
        [connection = connection_, machine = connected_to_, shared] {
          machine->OnCall(connection, *shared);
        });
  }
}

void SimDaemon::OnHeartbeatReply(const ConnectionPointer& connection,
                                 const protocol::HeartbeatReplyT& reply) {
  if (connection != connection_) {
    return;
  }
  state_->OnHeartbeatReply(session::DecodeHeartbeatAnswer(reply), Now());
  Pump();
}

void SimDaemon::OnProgress(const ConnectionPointer& connection,
                           resources::Revision in_force,
                           resources::Revision released) {
  if (connection == connection_) {
    state_->OnProgress(in_force, released);
    Pump();
  }
}

void SimDaemon::OnCallReply(const ConnectionPointer& connection,
                            const protocol::SessionCallReplyT& reply) {
  if (connection == connection_) {
    operations_->OnReply(reply, Now() + kCallRetryDelay);
    Pump();
  }
}

// --- Views -------------------------------------------------------------------

void SimDaemon::OnUpdate(const ConnectionPointer& connection,
                         const protocol::FleetUpdateT& update) {
  if (connection != connection_ ||
      !session::IsApplicable(update, newest()->revision) ||
      !state_->MayTake(update.to_revision)) {
    return;
  }
  state_->OnUpdateReceived(update.to_revision, Now());
  staged_ = session::ApplyUpdate(*newest(), update).value();
  KeepStaged();
}

void SimDaemon::KeepStaged() {
  if (keeping_ || !staged_) {
    return;
  }
  keeping_ = true;
  After(surroundings_.Between(microseconds(50), kMaximumKeep),
        [this, staged = staged_] {
          keeping_ = false;
          kept_revision_ = staged->revision;
          TakeStaged(staged);
          KeepStaged();
        });
}

void SimDaemon::TakeStaged(const session::FleetViewPointer& view) {
  view_ = view;
  if (staged_ == view) {
    staged_.reset();
  }
  checker_.ObserveTaken(id_, view->revision, HashView(*view));
  const owner::OwnershipTracker::Change change = tracker_->OnView(view);
  if (work_ != nullptr) {
    work_->OnView(view);
  }
  owned_.insert(change.gained.begin(), change.gained.end());
  for (const std::string& backend : change.lost) {
    owned_.erase(backend);
    letting_go_.insert(backend);
    LetGo(backend);
  }
  ReportReleased();
  state_->OnTaken(view->revision);
  Pump();
}

// --- Claims ------------------------------------------------------------------

std::string SimDaemon::Claimant() const {
  const std::uint64_t start =
      options_.Has(ControlDefect::kReusesClaimant) ? 0 : incarnation_;
  return id_ + "/" + std::to_string(start);
}

void SimDaemon::Claim(const std::string& request_id,
                      session::OperationQueue::Callback callback) {
  protocol::ClaimRequestT claim;
  claim.service = "search";
  claim.request_id = request_id;
  claim.expiry_us = kClaimExpiry.count();
  claim.claimant = Claimant();
  claim.attempt = ++last_attempt_;
  const std::string attempt = claim.claimant + "#" +
                              std::to_string(claim.attempt) + " of start " +
                              std::to_string(incarnation_);
  operations_->Add(
      session::MakeOperation(std::move(claim)), Now() + kClaimTimeout,
      [this, request_id, attempt, callback = std::move(callback)](
          const Result<protocol::OperationResultT>& result) {
        const bool granted =
            result && result->claim &&
            result->claim->decision == protocol::ClaimDecisionCode::kGranted;
        if (granted) {
          checker_.ObserveGranted(request_id, attempt);
        }
        callback(result);
      });
  Pump();
}

void SimDaemon::RecordOutcome(const std::string& request_id,
                              ExecutionState outcome) {
  protocol::RecordOutcomeT record;
  record.service = "search";
  record.request_id = request_id;
  record.claimant = Claimant();
  record.outcome = static_cast<std::uint8_t>(outcome);
  operations_->Add(session::MakeOperation(std::move(record)),
                   Now() + kReportTimeout, [](const auto&) {});
}

void SimDaemon::ReportBackend(const std::string& backend,
                              const session::BackendReport& report) {
  protocol::ReportBackendsT operation;
  operation.reports.push_back(std::make_unique<protocol::BackendReportRecordT>(
      session::EncodeReport(backend, report)));
  operations_->Add(session::MakeOperation(std::move(operation)),
                   Now() + kReportTimeout, [](const auto&) {});
}

}  // namespace juniperway::sim
