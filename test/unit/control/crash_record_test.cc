// Tests the crash records in the replicated state.
#include "common/control/crash_record.h"

#include <doctest/doctest.h>

#include "common/control/control_state.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

constexpr RequestFingerprint kRequest{7};

template <typename Operation>
void Apply(ControlState& state, Operation operation, Duration at) {
  protocol::CommandT command;
  command.wall_time_us = at.count();
  command.operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  const AppliedCommand applied = state.Apply(EncodeCommand(command));
  CHECK_FALSE(applied.results.front().error);
}

void Report(ControlState& state, RequestFingerprint request,
            std::vector<std::string> ended, Duration at = seconds(1)) {
  protocol::ReportCrashT report;
  report.fingerprint = request.value;
  report.ended_backends = std::move(ended);
  Apply(state, std::move(report), at);
}

void ReportSurvival(ControlState& state, RequestFingerprint request) {
  protocol::ReportCrashT report;
  report.fingerprint = request.value;
  report.survived = true;
  Apply(state, std::move(report), seconds(1));
}

void Quarantine(ControlState& state, RequestFingerprint request,
                Duration at = seconds(1)) {
  protocol::JudgeCrashesT judgement;
  judgement.quarantine = {request.value};
  Apply(state, std::move(judgement), at);
}

session::FleetViewPointer ViewOf(const ControlState& state,
                                 const session::FleetViewPointer& base) {
  auto view = session::ApplyUpdate(*base, state.UpdateSince(base->revision));
  REQUIRE(view);
  return *view;
}

TEST_CASE("reports of several routers add up, and a second copy adds nothing") {
  ControlState state;
  Report(state, kRequest, {"a", "b"});
  Report(state, kRequest, {"b", "c"});
  const auto revision = state.revision();
  Report(state, kRequest, {"b", "c"});
  CHECK(state.revision() == revision);
  CHECK(state.fleet().crashes.at(kRequest).ended_backends ==
        std::set<std::string>{"a", "b", "c"});
  ReportSurvival(state, kRequest);
  CHECK(state.fleet().crashes.empty());
}

TEST_CASE("daemons get suspicions, quarantines and releases in updates") {
  ControlState state;
  Report(state, kRequest, {"a", "b", "c"}, seconds(5));
  auto view = ViewOf(state, std::make_shared<session::FleetView>());
  const auto suspected = view->crashing_requests.find(kRequest);
  REQUIRE(suspected != view->crashing_requests.end());
  CHECK(suspected->second ==
        session::CrashingRequest{.quarantined = false,
                                 .ended_backends = 3,
                                 .since = WallTime{seconds(5)}});
  Quarantine(state, kRequest, seconds(6));
  view = ViewOf(state, view);
  CHECK(view->crashing_requests.find(kRequest)->second.quarantined);
  // A daemon that starts now gets the quarantine with its first view.
  const auto first = ViewOf(state, std::make_shared<session::FleetView>());
  CHECK(first->crashing_requests.find(kRequest)->second.quarantined);
  protocol::JudgeCrashesT judgement;
  judgement.release = {kRequest.value};
  Apply(state, std::move(judgement), seconds(7));
  view = ViewOf(state, view);
  CHECK(view->crashing_requests.find(kRequest) ==
        view->crashing_requests.end());
}

TEST_CASE("a second copy of a release does not end a later quarantine") {
  ControlState state;
  protocol::JudgeCrashesT order;
  order.change_id = "r1";
  order.release = {kRequest.value};
  Report(state, kRequest, {"a", "b", "c"});
  Quarantine(state, kRequest);
  Apply(state, order, seconds(2));
  CHECK(state.fleet().crashes.empty());
  Report(state, kRequest, {"d", "e", "f"}, seconds(3));
  Quarantine(state, kRequest, seconds(4));
  Apply(state, order, seconds(5));
  CHECK(state.fleet().crashes.at(kRequest).quarantined);
}

TEST_CASE("a snapshot contains crash records") {
  ControlState state;
  Report(state, kRequest, {"a", "b", "c"});
  Quarantine(state, kRequest);
  Report(state, {8}, {"d"});
  auto restored = ControlState::DecodeSnapshot(state.EncodeSnapshot());
  REQUIRE(restored);
  CHECK(restored->fleet().crashes.at(kRequest).quarantined);
  CHECK(restored->fleet().crashes.at({8}).ended_backends ==
        std::set<std::string>{"d"});
}

TEST_CASE("a suspicion and a quarantine expire without further reports") {
  ControlState state;
  Report(state, kRequest, {"a", "b", "c"});
  Quarantine(state, kRequest);
  Report(state, {8}, {"d"});
  Report(state, {9}, {"e"}, seconds(1) + kSuspicionTimeToLive);
  CHECK(state.fleet().crashes.contains(kRequest));
  CHECK_FALSE(state.fleet().crashes.contains({8}));
  Report(state, {9}, {"e"}, seconds(1) + kQuarantineTimeToLive);
  CHECK_FALSE(state.fleet().crashes.contains(kRequest));
}

TEST_CASE(
    "the records are bounded, and quarantined requests are evicted last") {
  ControlState state;
  Report(state, kRequest, {"a"});
  Quarantine(state, kRequest);
  std::vector<std::string> many;
  for (std::size_t i = 0; i < 2 * kMaximumEndedBackends; ++i) {
    many.push_back("b" + std::to_string(i));
  }
  for (std::uint64_t value = 1000; value < 1000 + kMaximumCrashRecords;
       ++value) {
    Report(state, {value}, many, seconds(2) + milliseconds(value));
  }
  CHECK(state.fleet().crashes.size() == kMaximumCrashRecords);
  CHECK(state.fleet().crashes.contains(kRequest));
  CHECK_FALSE(state.fleet().crashes.contains({1000}));
  CHECK(state.fleet().crashes.at({1001}).ended_backends.size() ==
        kMaximumEndedBackends);
}

}  // namespace
}  // namespace juniperway::control
