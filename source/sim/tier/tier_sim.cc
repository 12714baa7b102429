#include "sim/tier/tier_sim.h"

#include <algorithm>
#include <utility>

#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::sim {
namespace {

// The control simulation starts there and has declared its resources soon
// after.
constexpr Duration kFirstVersion = seconds(102);
constexpr Duration kFirstCall = seconds(104);
constexpr Duration kShortestVersion = seconds(2);
constexpr Duration kLongestVersion = seconds(5);
constexpr Duration kLongestLoad = seconds(1);
constexpr Duration kShortestRetirement = milliseconds(500);
constexpr Duration kLongestRetirement = seconds(3);
constexpr Duration kShortestDeadline = milliseconds(50);
constexpr Duration kLongestDeadline = milliseconds(1500);
// A caller that waits longer submits again.
constexpr Duration kPatience = seconds(2);
constexpr int kMaximumSubmissions = 3;

resources::IndexSnapshot MakeSnapshot(resources::IndexVersion version,
                                      int layout) {
  resources::IndexSnapshot snapshot;
  snapshot.service = "search";
  snapshot.index_version = version;
  const Key width = kKeySpaceEnd / static_cast<Key>(layout);
  for (int part = 0; part < layout; ++part) {
    const Key begin = width * static_cast<Key>(part);
    const Key end = part + 1 == layout ? kKeySpaceEnd : begin + width;
    snapshot.partitions.push_back({{begin, end}, ShardName(layout, part)});
  }
  return snapshot;
}

}  // namespace

TierSim::TierSim(TierSimOptions options) : options_(std::move(options)) {
  options_.control.seed = options_.seed;
  options_.control.change_slots = false;
  options_.control.backends = 8;
  options_.control.fault_interval = options_.fault_interval;
  control_ = std::make_unique<ControlSim>(options_.control);
  Surroundings& surroundings = control_->surroundings();
  for (int i = 0; i < options_.control.backends; ++i) {
    const std::string name = "backend-" + std::to_string(i);
    backends_[name] = std::make_unique<SimBackend>(surroundings, checker_, name,
                                                   kBackendSlots);
  }
  std::map<std::string, SimGateway*> by_name;
  for (SimDaemon* daemon : control_->daemons()) {
    gateways_.push_back(std::make_unique<SimGateway>(
        surroundings, *daemon, checker_, backends_, options_.defect));
    daemon->SetWork(gateways_.back().get());
    by_name[daemon->id()] = gateways_.back().get();
  }
  for (const auto& gateway : gateways_) {
    gateway->SetPeers(by_name);
  }
}

void TierSim::Run() {
  Timeline& timeline = control_->surroundings().timeline;
  timeline.After(kFirstVersion, [this] { Publish(); });
  timeline.After(kFirstCall, [this] { Arrive(); });
  control_->Run();
}

std::optional<std::string> TierSim::Failure() const {
  if (const auto& violation = checker_.violation()) {
    return std::string(TierPromiseName(violation->promise)) + ": " +
           violation->detail;
  }
  if (const auto& violation = control_->checker().violation()) {
    return std::string(ControlPromiseName(violation->promise)) + ": " +
           violation->detail;
  }
  return control_->unrecovered();
}

// --- Callers -----------------------------------------------------------------

void TierSim::Arrive() {
  Surroundings& surroundings = control_->surroundings();
  const auto call = std::make_shared<Call>();
  call->request.id = "call-" + std::to_string(++calls_);
  call->request.repeatable = surroundings.Chance(0.7);
  const Key begin =
      surroundings.Chance(0.5) ? 0 : surroundings.Pick(kKeySpaceEnd / 2);
  const Key end = surroundings.Chance(0.5)
                      ? kKeySpaceEnd
                      : begin + 1 + surroundings.Pick(kKeySpaceEnd - begin);
  call->request.asked = {begin, end};
  call->deadline = surroundings.Between(kShortestDeadline, kLongestDeadline);
  Submit(call);
  surroundings.timeline.After(
      surroundings.Between(Duration(1), 2 * options_.mean_query_gap),
      [this] { Arrive(); });
}

// Only the outcome of the latest submission reaches the caller. A repeatable
// request gets a new id each time.
void TierSim::Submit(const CallPointer& call) {
  Surroundings& surroundings = control_->surroundings();
  const int number = ++call->submissions;
  SimGateway& gateway = *gateways_.at(surroundings.Pick(gateways_.size()));
  CallerRequest request = call->request;
  if (request.repeatable) {
    request.id += "/" + std::to_string(number);
  }
  const auto on_answer = [this, call, number,
                          request](const routing::QueryOutcome& outcome) {
    if (number == call->submissions && !call->ended) {
      call->ended = true;
      checker_.ObserveOutcome(request, outcome);
    }
  };
  gateway.daemon().Deliver([&gateway, request, call, number, on_answer] {
    gateway.Submit(request, call->deadline, number > 1, on_answer);
  });
  surroundings.timeline.After(kPatience, [this, call, number] {
    if (!call->ended && number == call->submissions &&
        number < kMaximumSubmissions) {
      Submit(call);
    }
  });
}

// --- Index versions ----------------------------------------------------------

void TierSim::PublishLater() {
  Surroundings& surroundings = control_->surroundings();
  surroundings.timeline.After(
      surroundings.Between(kShortestVersion, kLongestVersion),
      [this] { Publish(); });
}

void TierSim::Publish() {
  Surroundings& surroundings = control_->surroundings();
  const resources::IndexVersion version = ++newest_;
  const int layout =
      kSmallestLayout +
      static_cast<int>(surroundings.Pick(kLargestLayout - kSmallestLayout + 1));
  protocol::ApplyResourcesT apply;
  apply.change_id = "version-" + std::to_string(version);
  apply.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
      session::EncodeResource({{resources::Kind::kIndexSnapshot,
                                "index-" + std::to_string(version)},
                               0,
                               MakeSnapshot(version, layout)})));
  control::Operations operations;
  operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(apply))));
  control_->Declare(operations);
  for (const auto& [name, backend] : backends_) {
    LoadVersion(*backend, version);
  }
  PublishLater();
}

// Older versions but the last go, some of them while they are still in use.
void TierSim::LoadVersion(SimBackend& backend,
                          resources::IndexVersion version) {
  Surroundings& surroundings = control_->surroundings();
  surroundings.timeline.After(
      surroundings.Between(milliseconds(1), kLongestLoad),
      [this, &backend, version] {
        Surroundings& later = control_->surroundings();
        backend.held().insert(version);
        later.timeline.After(
            later.Between(kShortestRetirement, kLongestRetirement),
            [&backend, version] {
              std::erase_if(backend.held(),
                            [version](resources::IndexVersion held) {
                              return held < version;
                            });
            });
      });
}

}  // namespace juniperway::sim
