#include "sim/control/control_sim.h"

#include <algorithm>
#include <utility>

#include "common/raft/configuration.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::sim {
namespace {

// Clocks start there, so that times before a start can be expressed.
constexpr Duration kStart = seconds(100);
constexpr Duration kStep = milliseconds(20);
constexpr Duration kLongestFreeze = seconds(4);
// Of the faults, where disks can be full at all.
constexpr double kFullDiskShare = 0.2;
constexpr Duration kShortestFullDisk = milliseconds(500);
constexpr Duration kLongestFullDisk = seconds(8);
constexpr Duration kResend = milliseconds(500);
constexpr Duration kRecoveryTime = seconds(30);
// A request id is claimed by several daemons, as a caller's resends would.
constexpr std::uint64_t kOpenRequests = 4;

template <typename Pointers>
auto PointersTo(const Pointers& owners) {
  std::vector<typename Pointers::value_type::element_type*> pointers;
  pointers.reserve(owners.size());
  for (const auto& owner : owners) {
    pointers.push_back(owner.get());
  }
  return pointers;
}

}  // namespace

ControlSim::ControlSim(const ControlSimOptions& options)
    : options_(options),
      surroundings_(options.seed),
      network_(surroundings_, options.network) {
  raft::Configuration initial;
  for (int id = 1; id <= options.machines + options.learners; ++id) {
    auto& members = id <= options.machines ? initial.voters : initial.learners;
    members.push_back(raft::Member{static_cast<raft::NodeId>(id),
                                   "machine-" + std::to_string(id)});
  }
  ProcessNumber number = 0;
  for (const raft::Member& member : raft::AllMembers(initial)) {
    machines_.push_back(std::make_unique<ControlMachine>(
        surroundings_, options_, network_, checker_, member.id, initial));
    number = machines_.back()->number();
  }
  const auto machines = PointersTo(machines_);
  for (const auto& machine : machines_) {
    machine->SetPeers(machines);
  }
  for (int i = 0; i < options.daemons; ++i) {
    daemons_.push_back(std::make_unique<SimDaemon>(
        surroundings_, options_, network_, checker_, ++number, machines));
  }
  for (const auto& daemon : daemons_) {
    daemon->SetPeers(PointersTo(daemons_));
  }
  for (int i = 0; i < options.operators; ++i) {
    operators_.push_back(std::make_unique<SimOperator>(
        surroundings_, options_, network_, checker_, ++number, machines));
  }
}

void ControlSim::Run() {
  RunFor(kStart);
  for (const auto& machine : machines_) {
    machine->Start();
  }
  DeclareResources();
  for (const auto& daemon : daemons_) {
    daemon->Start();
  }
  for (const auto& client : operators_) {
    client->Start();
  }
  RunFaults();
  if (!checker_.violation()) {
    Recover();
  }
}

void ControlSim::RunFor(Duration duration) {
  Timeline& timeline = surroundings_.timeline;
  timeline.RunUntil(timeline.now() + duration);
}

void ControlSim::DeclareResources() {
  protocol::ApplyResourcesT apply;
  apply.change_id = "first";
  const auto add = [&apply](resources::Kind kind, const std::string& name,
                            resources::Specification specification) {
    apply.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
        session::EncodeResource({{kind, name}, 0, std::move(specification)})));
  };
  add(resources::Kind::kService, "search", resources::Service());
  for (int i = 0; i < options_.backends; ++i) {
    resources::Backend backend;
    backend.service = "search";
    backend.address = "10.0.0." + std::to_string(i + 1) + ":80";
    backend.zone = "zone-" + std::to_string(i % options_.zones);
    backend.slots = kBackendSlots;
    backend.maximum_connections = 2 * kBackendSlots;
    backend.shards = ShardsOf(i);
    add(resources::Kind::kBackend, "backend-" + std::to_string(i),
        std::move(backend));
  }
  control::Operations operations;
  operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(apply))));
  Declare(operations);
  while (FindLeader() == nullptr || FindLeader()->state().revision() == 0) {
    RunFor(kStep);
  }
}

void ControlSim::Declare(const control::Operations& operations) {
  const auto copy = std::make_shared<control::Operations>();
  for (const auto& item : operations) {
    copy->push_back(std::make_unique<protocol::OperationItemT>(*item));
  }
  const auto declared = std::make_shared<bool>(false);
  const auto send = std::make_shared<std::function<void()>>();
  // Holds itself only through the timeline, until it is answered.
  *send = [this, copy, declared, weak = std::weak_ptr(send)] {
    if (*declared) {
      return;
    }
    ControlMachine& machine =
        *machines_.at(surroundings_.Pick(machines_.size()));
    machine.Deliver([&machine, copy, declared] {
      machine.Submit(*copy,
                     [declared](const Result<control::OperationResults>& done) {
                       *declared = *declared || (done && !done->front()->error);
                     });
    });
    surroundings_.timeline.After(kResend,
                                 [again = weak.lock()] { (*again)(); });
  };
  (*send)();
}

std::vector<SimDaemon*> ControlSim::daemons() { return PointersTo(daemons_); }

const ControlMachine* ControlSim::FindLeader() const {
  for (const auto& machine : machines_) {
    if (machine->IsLeading()) {
      return machine.get();
    }
  }
  return nullptr;
}

std::uint64_t ControlSim::terms() const {
  std::uint64_t terms = 0;
  for (const auto& machine : machines_) {
    if (machine->running()) {
      terms = std::max(terms, machine->GetStatus().term);
    }
  }
  return terms;
}

std::string ShardName(int layout, int part) {
  return std::to_string(layout) + "-" + std::to_string(part);
}

std::set<std::string> ShardsOf(int backend) {
  std::set<std::string> shards;
  for (int layout = kSmallestLayout; layout <= kLargestLayout; ++layout) {
    for (int copy = 0; copy < 2; ++copy) {
      shards.insert(ShardName(layout, (backend + copy) % layout));
    }
  }
  return shards;
}

// --- Faults ------------------------------------------------------------------

void ControlSim::RunFaults() {
  const MonotonicTime end = surroundings_.timeline.now() + options_.duration;
  const double faults_per_step =
      static_cast<double>(kStep.count()) /
      static_cast<double>(options_.fault_interval.count());
  while (surroundings_.timeline.now() < end && !checker_.violation()) {
    RunFor(kStep);
    if (surroundings_.Chance(faults_per_step)) {
      InjectFault();
      ++faults_;
    }
    if (surroundings_.Chance(0.1)) {
      ClaimSomething();
    }
  }
}

void ControlSim::InjectFault() {
  if (options_.learners > 0 && surroundings_.Chance(kFullDiskShare)) {
    machines_.at(surroundings_.Pick(machines_.size()))
        ->FillDisk(surroundings_.Between(kShortestFullDisk, kLongestFullDisk));
    return;
  }
  switch (surroundings_.Pick(8)) {
    case 0:
    case 1:
      CrashOrRestartMachine();
      break;
    case 2:
      FreezeSome();
      break;
    case 3:
      CutSome();
      break;
    case 4:
      network_.SetLoss(0.3 * surroundings_.Chance(0.5),
                       0.1 * surroundings_.Chance(0.5));
      break;
    case 5:
    case 6:
      CrashOrRestartDaemon();
      break;
    default:
      network_.Heal();
      break;
  }
}

void ControlSim::CrashOrRestartMachine() {
  ControlMachine& machine = *machines_.at(surroundings_.Pick(machines_.size()));
  if (!machine.running()) {
    machine.Start();
    return;
  }
  machine.Crash();
}

void ControlSim::FreezeSome() {
  const std::uint64_t pick =
      surroundings_.Pick(machines_.size() + daemons_.size());
  Process& process =
      pick < machines_.size()
          ? static_cast<Process&>(*machines_.at(pick))
          : static_cast<Process&>(*daemons_.at(pick - machines_.size()));
  if (process.IsResponsive()) {
    process.Freeze(surroundings_.Between(milliseconds(50), kLongestFreeze));
  }
}

void ControlSim::CutSome() {
  const std::size_t processes =
      machines_.size() + daemons_.size() + operators_.size();
  // Process numbers begin at 1. One machine is cut off from all others, from
  // all machines, or from one process.
  const auto machine =
      static_cast<ProcessNumber>(1 + surroundings_.Pick(machines_.size()));
  const std::uint64_t shape = surroundings_.Pick(3);
  const bool both_ways = surroundings_.Chance(0.7);
  const auto only =
      static_cast<ProcessNumber>(1 + surroundings_.Pick(processes));
  for (std::size_t i = 1; i <= processes; ++i) {
    const auto other = static_cast<ProcessNumber>(i);
    const bool chosen = shape == 0 || (shape == 1 && i <= machines_.size()) ||
                        (shape == 2 && other == only);
    if (!chosen || other == machine) {
      continue;
    }
    network_.Cut(machine, other);
    if (both_ways) {
      network_.Cut(other, machine);
    }
  }
}

void ControlSim::CrashOrRestartDaemon() {
  SimDaemon& daemon = *daemons_.at(surroundings_.Pick(daemons_.size()));
  if (!daemon.running()) {
    daemon.Start();
  } else if (surroundings_.Chance(0.5)) {
    daemon.Crash();
  } else if (daemon.IsResponsive()) {
    daemon.Leave();
  }
}

void ControlSim::ClaimSomething() {
  SimDaemon& daemon = *daemons_.at(surroundings_.Pick(daemons_.size()));
  if (!daemon.IsResponsive()) {
    return;
  }
  requests_ += surroundings_.Chance(0.3) ? 1 : 0;
  daemon.Claim("request-" +
               std::to_string(requests_ + surroundings_.Pick(kOpenRequests)));
}

// --- Recovery ----------------------------------------------------------------

void ControlSim::Recover() {
  network_.Heal();
  network_.SetLoss(0.0, 0.0);
  for (const auto& client : operators_) {
    client->Stop();
  }
  const MonotonicTime end = surroundings_.timeline.now() + kRecoveryTime;
  do {
    for (const auto& machine : machines_) {
      if (!machine->running()) {
        machine->Start();
      }
    }
    for (const auto& daemon : daemons_) {
      if (!daemon->running()) {
        daemon->Start();
      }
    }
    RunFor(milliseconds(200));
    unrecovered_ = FindUnrest();
  } while (unrecovered_ && !checker_.violation() &&
           surroundings_.timeline.now() < end);
  if (!unrecovered_) {
    CheckAccepted();
  }
}

std::optional<std::string> ControlSim::FindUnrest() const {
  const ControlMachine* leader = FindLeader();
  if (leader == nullptr) {
    return "no leader";
  }
  const resources::Revision revision = leader->state().revision();
  for (const auto& client : operators_) {
    if (!client->idle()) {
      return "an operator waits for an answer";
    }
  }
  for (const auto& machine : machines_) {
    if (!leader->HasMember(machine->id())) {
      return "machine " + std::to_string(machine->id()) + " is no member";
    }
  }
  for (const auto& daemon : daemons_) {
    if (!daemon->running() || !daemon->HasLease()) {
      return daemon->id() + " has no lease";
    }
    if (daemon->taken() != revision) {
      return daemon->id() + " is behind";
    }
  }
  if (leader->leases().in_force() != revision) {
    return "the newest revision is not in force";
  }
  for (int i = 0; i < options_.backends; ++i) {
    const std::string backend = "backend-" + std::to_string(i);
    const auto users = std::ranges::count_if(
        daemons_, [&backend](const std::unique_ptr<SimDaemon>& daemon) {
          return daemon->OpenBackends().contains(backend);
        });
    if (users != 1) {
      return backend + " has " + std::to_string(users) + " gateways";
    }
  }
  return std::nullopt;
}

void ControlSim::CheckAccepted() {
  const ControlMachine* leader = FindLeader();
  for (const auto& [id, resource] : leader->state().fleet().resources()) {
    checker_.ObserveFinal(id, resource.version);
  }
}

}  // namespace juniperway::sim
