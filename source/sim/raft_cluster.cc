#include "sim/raft_cluster.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "common/raft/configuration.h"

namespace juniperway::sim {
namespace {

// Clocks start there, so that times before a node's start can be expressed.
constexpr Duration kClockStart = seconds(1000);
constexpr std::size_t kMaximumLostTail = 3;

raft::Member MakeMember(raft::NodeId id) {
  return raft::Member{id, "10.0.0." + std::to_string(id) + ":7100"};
}

}  // namespace

RaftCluster::RaftCluster(const RaftClusterOptions& options, int nodes)
    : options_(options), random_(options.seed) {
  for (int id = 1; id <= nodes; ++id) {
    initial_.voters.push_back(MakeMember(static_cast<raft::NodeId>(id)));
  }
  for (const raft::Member& voter : initial_.voters) {
    nodes_[voter.id].disk.emplace(initial_);
    Start(voter.id);
  }
}

RaftCluster::~RaftCluster() = default;

Duration RaftCluster::RandomDuration(Duration minimum, Duration maximum) {
  std::uniform_int_distribution<Duration::rep> distribution(minimum.count(),
                                                            maximum.count());
  return Duration(distribution(random_));
}

bool RaftCluster::Chance(double probability) {
  return std::bernoulli_distribution(probability)(random_);
}

bool RaftCluster::Has(RaftDefect defect) const {
  return options_.defects.contains(defect);
}

MonotonicTime RaftCluster::LocalTime(raft::NodeId id) const {
  const Node& node = nodes_.at(id);
  const double elapsed = static_cast<double>(now_.count()) * node.clock_rate;
  return MonotonicTime(kClockStart + node.clock_offset +
                       Duration(static_cast<Duration::rep>(elapsed)));
}

Duration RaftCluster::ToTrueTime(const Node& node, MonotonicTime time) const {
  const Duration local =
      time.time_since_epoch() - kClockStart - node.clock_offset;
  const double elapsed = static_cast<double>(local.count()) / node.clock_rate;
  return Duration(static_cast<Duration::rep>(std::ceil(elapsed)));
}

void RaftCluster::Start(raft::NodeId id) {
  Node& node = nodes_[id];
  ++node.incarnation;
  std::uniform_real_distribution<double> rate(1.0 - options_.clock_drift / 2,
                                              1.0 + options_.clock_drift / 2);
  node.clock_rate = rate(random_);
  node.clock_offset = RandomDuration(Duration(0), seconds(100));
  node.frozen_until = Duration(0);
  node.wake_at = Duration::max();
  node.led_term = 0;
  raft::Options options = options_.raft;
  options.id = id;
  options.seed = random_();
  MonotonicTime started = LocalTime(id);
  if (Has(RaftDefect::kSkipsRestartWait)) {
    started -= options.election_timeout;
  }
  const raft::InitialState& state = node.disk->state();
  node.applied = state.snapshot.index;
  node.hash =
      state.snapshot.data.empty() ? 0 : std::stoull(state.snapshot.data);
  node.fsm = std::make_unique<raft::Fsm>(options, state, started);
  AfterInput(id);
}

void RaftCluster::AddNode(raft::NodeId id) {
  nodes_[id].disk.emplace(raft::Configuration{});
  Start(id);
}

void RaftCluster::Crash(raft::NodeId id) {
  Node& node = nodes_.at(id);
  // A write under way may have reached the disk, whole, or not at all.
  if (node.syncing && Chance(0.5)) {
    node.disk->Write(*node.syncing);
  }
  node.syncing.reset();
  node.proposals.clear();
  node.fsm.reset();
  if (Has(RaftDefect::kForgetsVote)) {
    node.disk->ForgetVote();
  }
  if (Has(RaftDefect::kLosesSyncedTail)) {
    node.disk->LoseTail(1 + random_() % kMaximumLostTail);
  }
}

void RaftCluster::Restart(raft::NodeId id) { Start(id); }

void RaftCluster::Destroy(raft::NodeId id) {
  if (IsRunning(id)) {
    Crash(id);
  }
  nodes_.at(id).disk.reset();
}

void RaftCluster::LoseDisk(raft::NodeId id) {
  if (IsRunning(id)) {
    Crash(id);
  }
  const bool founder = raft::IsVoter(initial_, id);
  nodes_.at(id).disk.emplace(founder ? initial_ : raft::Configuration{});
  Start(id);
}

void RaftCluster::Freeze(raft::NodeId id, Duration duration) {
  Node& node = nodes_.at(id);
  const Duration until = now_ + duration;
  if (Has(RaftDefect::kClockStandsWhileSuspended)) {
    node.clock_offset -= until - std::max(now_, node.frozen_until);
  }
  node.frozen_until = until;
}

void RaftCluster::Cut(raft::NodeId from, raft::NodeId to) {
  cuts_.insert({from, to});
}

void RaftCluster::HealNetwork() {
  cuts_.clear();
  SetLoss(0.0, 0.0);
}

void RaftCluster::SetLoss(double loss, double duplication) {
  options_.loss = loss;
  options_.duplication = duplication;
}

bool RaftCluster::IsRunning(raft::NodeId id) const {
  const auto found = nodes_.find(id);
  return found != nodes_.end() && found->second.fsm != nullptr;
}

bool RaftCluster::IsResponsive(raft::NodeId id) const {
  return IsRunning(id) && nodes_.at(id).frozen_until <= now_;
}

std::vector<raft::NodeId> RaftCluster::RunningNodes() const {
  std::vector<raft::NodeId> running;
  for (const auto& [id, node] : nodes_) {
    if (node.fsm) {
      running.push_back(id);
    }
  }
  return running;
}

std::vector<raft::NodeId> RaftCluster::CrashedNodes() const {
  std::vector<raft::NodeId> crashed;
  for (const auto& [id, node] : nodes_) {
    if (!node.fsm && node.disk) {
      crashed.push_back(id);
    }
  }
  return crashed;
}

raft::Status RaftCluster::GetStatus(raft::NodeId id) const {
  return nodes_.at(id).fsm->GetStatus();
}

std::optional<raft::NodeId> RaftCluster::LeaseHolder() const {
  for (const auto& [id, node] : nodes_) {
    if (node.fsm && node.fsm->HasLeaderLease(LocalTime(id))) {
      return id;
    }
  }
  return std::nullopt;
}

bool RaftCluster::Propose(raft::NodeId id) {
  const std::string command = "c" + std::to_string(++commands_made_);
  const auto proposal = Input(id, [&](raft::Fsm& fsm, MonotonicTime now) {
    auto outcome = fsm.Propose(command, now);
    if (outcome) {
      nodes_.at(id).proposals[outcome->index] = outcome->term;
    }
    return outcome;
  });
  return proposal.has_value();
}

void RaftCluster::Schedule(Duration at, Event event) {
  events_.emplace(std::pair{at, ++events_made_}, std::move(event));
}

void RaftCluster::Run(Duration duration) {
  const Duration end = now_ + duration;
  while (!checker_.violation() && !events_.empty()) {
    const auto next = events_.begin();
    if (next->first.first > end) {
      break;
    }
    now_ = std::max(now_, next->first.first);
    Event event = std::move(next->second);
    events_.erase(next);
    Handle(std::move(event));
    ObserveLeases();
  }
  now_ = end;
}

void RaftCluster::Handle(Event event) {
  const raft::NodeId id = event.node;
  Node& node = nodes_.at(id);
  const bool of_process = event.kind != Event::Kind::kDeliver;
  if (!node.fsm || (of_process && event.incarnation != node.incarnation)) {
    return;
  }
  if (node.frozen_until > now_) {
    Schedule(node.frozen_until, std::move(event));
    return;
  }
  switch (event.kind) {
    case Event::Kind::kDeliver:
      node.fsm->Step(event.message, LocalTime(id));
      break;
    case Event::Kind::kWake:
      node.wake_at = Duration::max();
      node.fsm->Tick(LocalTime(id));
      break;
    case Event::Kind::kSynced: {
      raft::Ready ready = std::move(*node.syncing);
      node.syncing.reset();
      FinishReady(id, std::move(ready));
      break;
    }
  }
  AfterInput(id);
}

void RaftCluster::AfterInput(raft::NodeId id) {
  ObserveRole(id);
  Pump(id);
  if (nodes_.at(id).fsm->HasLostData()) {
    Destroy(id);
    return;
  }
  ScheduleWake(id);
}

void RaftCluster::ScheduleWake(raft::NodeId id) {
  Node& node = nodes_.at(id);
  const MonotonicTime deadline = node.fsm->NextDeadline();
  if (deadline == MonotonicTime::max()) {
    return;
  }
  const Duration at =
      std::max(now_ + microseconds(1), ToTrueTime(node, deadline));
  if (at < node.wake_at) {
    node.wake_at = at;
    Schedule(at, {Event::Kind::kWake, id, node.incarnation, {}});
  }
}

void RaftCluster::Pump(raft::NodeId id) {
  Node& node = nodes_.at(id);
  while (!node.syncing) {
    raft::Ready ready = node.fsm->TakeReady();
    if (ready.empty()) {
      return;
    }
    ObserveTaken(id, ready);
    SendAll(std::exchange(ready.appends, {}));
    if (Has(RaftDefect::kSendsBeforeSync)) {
      SendAll(std::exchange(ready.messages, {}));
    }
    const bool to_sync =
        ready.hard_state || ready.snapshot || !ready.entries.empty();
    if (!to_sync) {
      FinishReady(id, std::move(ready));
      continue;
    }
    node.syncing = std::move(ready);
    Schedule(now_ + RandomDuration(Duration(1), options_.maximum_sync),
             {Event::Kind::kSynced, id, node.incarnation, {}});
  }
}

void RaftCluster::ObserveTaken(raft::NodeId id, const raft::Ready& ready) {
  if (ready.entries.empty()) {
    return;
  }
  const raft::InitialState& held = nodes_.at(id).disk->state();
  const raft::Snapshot& snapshot =
      ready.snapshot ? *ready.snapshot : held.snapshot;
  const raft::Index previous = ready.entries.front().index - 1;
  raft::Term previous_term = snapshot.term;
  if (previous > snapshot.index) {
    const raft::Index base = held.entries.front().index;
    previous_term = held.entries.at(previous - base).term;
  }
  for (const raft::Entry& entry : ready.entries) {
    checker_.ObserveAppend(entry, previous_term);
    previous_term = entry.term;
  }
}

void RaftCluster::FinishReady(raft::NodeId id, raft::Ready ready) {
  Node& node = nodes_.at(id);
  node.disk->Write(ready);
  SendAll(ready.messages);
  if (ready.snapshot) {
    RestoreSnapshot(id, *ready.snapshot);
  }
  for (const raft::Entry& entry : ready.committed) {
    Apply(id, entry);
  }
  const raft::Index synced = ready.entries.empty()
                                 ? (ready.snapshot ? ready.snapshot->index : 0)
                                 : ready.entries.back().index;
  if (synced != 0) {
    node.fsm->Persisted(synced, LocalTime(id));
  }
  CompactIfDue(id);
}

void RaftCluster::RestoreSnapshot(raft::NodeId id,
                                  const raft::Snapshot& snapshot) {
  Node& node = nodes_.at(id);
  if (!Has(RaftDefect::kMixesUpSnapshots)) {
    node.hash = std::stoull(snapshot.data);
  }
  node.applied = snapshot.index;
  node.proposals.clear();
  checker_.ObserveRestored(id, node.applied, node.hash);
  node.fsm->Applied(node.applied);
}

void RaftCluster::Apply(raft::NodeId id, const raft::Entry& entry) {
  Node& node = nodes_.at(id);
  node.hash = HashApplied(node.hash, entry);
  node.applied = entry.index;
  checker_.ObserveApplied(id, node.fsm->GetStatus().term, entry);
  node.fsm->Applied(entry.index);
  const auto proposal = node.proposals.find(entry.index);
  if (proposal != node.proposals.end()) {
    if (proposal->second == entry.term) {
      checker_.ObserveAccepted(entry.index);
    }
    node.proposals.erase(proposal);
  }
}

void RaftCluster::CompactIfDue(raft::NodeId id) {
  Node& node = nodes_.at(id);
  const raft::Index compacted = node.disk->state().snapshot.index;
  if (node.applied < compacted + options_.snapshot_interval) {
    return;
  }
  const auto snapshot =
      node.fsm->MakeSnapshot(node.applied, std::to_string(node.hash));
  if (snapshot) {
    node.disk->Compact(*snapshot, options_.raft.kept_entries);
    node.fsm->Compacted(*snapshot);
  }
}

Duration RaftCluster::RandomDelay() {
  const Duration maximum = Chance(options_.late) ? options_.maximum_lateness
                                                 : options_.maximum_delay;
  return RandomDuration(options_.minimum_delay, maximum);
}

void RaftCluster::SendAll(const std::vector<raft::Message>& messages) {
  for (const raft::Message& message : messages) {
    if (!nodes_.contains(message.to) ||
        cuts_.contains({message.from, message.to})) {
      continue;
    }
    const int copies = Chance(options_.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (Chance(options_.loss)) {
        continue;
      }
      Schedule(now_ + RandomDelay(),
               {Event::Kind::kDeliver, message.to, 0, message});
    }
  }
}

void RaftCluster::ObserveRole(raft::NodeId id) {
  Node& node = nodes_.at(id);
  const raft::Status status = node.fsm->GetStatus();
  if (status.role != raft::Role::kLeader || status.term == node.led_term) {
    return;
  }
  node.led_term = status.term;
  RaftDisk log = *node.disk;
  if (node.syncing) {
    log.Write(*node.syncing);
  }
  checker_.ObserveLeader(id, status.term, log.state());
}

void RaftCluster::ObserveLeases() {
  std::vector<std::pair<raft::NodeId, raft::Index>> holders;
  for (const auto& [id, node] : nodes_) {
    if (node.fsm && node.fsm->HasLeaderLease(LocalTime(id))) {
      holders.emplace_back(id, node.applied);
    }
  }
  checker_.ObserveLeases(holders);
}

}  // namespace juniperway::sim
