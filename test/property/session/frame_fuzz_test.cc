// Frames of control.fbs that are cut off, changed or garbage, or that lack a
// part: refused by the decoder, or harmless to what takes them in.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "common/control/control_state.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"
#include "support/api_fixture.h"
#include "support/frame_mutation.h"
#include "support/property.h"

namespace juniperway::test {
namespace {

using Frame = std::vector<std::uint8_t>;

constexpr std::uint64_t kSeed = 20261;
constexpr int kRuns = 20000;

template <typename Message>
Frame FrameOf(Message message) {
  const auto builder = session::EncodeFrame(std::move(message));
  return WithoutPrefix(builder);
}

std::unique_ptr<protocol::FleetMemberT> MemberRecord() {
  auto member = std::make_unique<protocol::FleetMemberT>();
  member->daemon_id = "g-1";
  member->incarnation = 3;
  member->zone = "a";
  member->peer_address = "10.0.0.1:1";
  member->gateway = true;
  return member;
}

resources::Resource BackendResource() {
  resources::Resource resource;
  resource.id = {resources::Kind::kBackend, "b"};
  resource.specification = resources::Backend{
      .service = "s", .address = "10.0.0.2:1", .zone = "a", .shards = {"x"}};
  return resource;
}

template <typename Operation>
void AddOperation(protocol::SessionCallT& call, Operation operation) {
  call.operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
}

// A call with one operation of each kind.
protocol::SessionCallT WholeCall() {
  protocol::SessionCallT call;
  call.call_id = 7;
  protocol::ApplyResourcesT apply;
  apply.change_id = "c";
  resources::Resource service;
  service.id = {resources::Kind::kService, "s"};
  for (const auto& resource : {service, BackendResource()}) {
    apply.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
        session::EncodeResource(resource)));
  }
  AddOperation(call, std::move(apply));
  protocol::DeleteResourceT erase;
  erase.change_id = "d";
  erase.key = std::make_unique<protocol::ResourceKeyT>(
      session::EncodeResourceId(BackendResource().id));
  erase.version = 1;
  AddOperation(call, std::move(erase));
  protocol::JoinMemberT join;
  join.member = MemberRecord();
  AddOperation(call, std::move(join));
  protocol::LeaveMemberT leave;
  leave.daemon_id = "g-1";
  AddOperation(call, std::move(leave));
  protocol::ClaimRequestT claim;
  claim.service = "s";
  claim.request_id = "r";
  claim.claimant = "g-1";
  claim.expiry_us = 1000;
  AddOperation(call, std::move(claim));
  protocol::RecordOutcomeT outcome;
  outcome.service = "s";
  outcome.request_id = "r";
  outcome.claimant = "g-1";
  AddOperation(call, std::move(outcome));
  protocol::ReportBackendsT report;
  report.reports.push_back(std::make_unique<protocol::BackendReportRecordT>(
      session::EncodeReport("b", {.held_versions = {7}})));
  AddOperation(call, std::move(report));
  protocol::SetPlatformLeavingT leaving;
  leaving.names = {"b"};
  AddOperation(call, std::move(leaving));
  return call;
}

protocol::FleetUpdateT WholeUpdate() {
  protocol::FleetUpdateT update;
  update.to_revision = 5;
  update.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
      session::EncodeResource(BackendResource())));
  update.removed_resources.push_back(std::make_unique<protocol::ResourceKeyT>(
      session::EncodeResourceId({resources::Kind::kService, "s"})));
  update.members.push_back(MemberRecord());
  update.reports.push_back(std::make_unique<protocol::BackendReportRecordT>(
      session::EncodeReport("b", {.held_versions = {7}})));
  return update;
}

protocol::SessionHelloT WholeHello() {
  protocol::SessionHelloT hello;
  hello.cluster = "lin";
  hello.member = MemberRecord();
  return hello;
}

// Every read of the API; names from frames need not be text.
void ReadEverything(ApiFixture& fixture) {
  const auto read = [&](const std::string& path) {
    const auto response = fixture.Call({"GET", path, {}, "", ""});
    RC_ASSERT(response.status == 200);
    RC_ASSERT(nlohmann::json::accept(response.body));
  };
  read("/v1/status");
  for (const char* kind : {"Service", "Backend", "IndexSnapshot", "Machine"}) {
    read(std::string("/v1/resources/") + kind);
  }
}

// Does with a decoded frame what a control machine or a daemon does.
void TakeIn(const protocol::ControlFrameT& frame) {
  if (const auto* call = frame.message.AsSessionCall()) {
    ApiFixture fixture;
    control::ControlState& state = fixture.state;
    protocol::CommandT command;
    for (const auto& operation : call->operations) {
      command.operations.push_back(
          std::make_unique<protocol::OperationItemT>(*operation));
    }
    // Through the log and a snapshot, as on every control machine.
    static_cast<void>(state.Apply(control::EncodeCommand(command)));
    RC_ASSERT(control::ControlState::DecodeSnapshot(state.EncodeSnapshot())
                  .has_value());
    static_cast<void>(state.UpdateSince(0));
    for (const auto& [name, member] : state.fleet().members) {
      fixture.leases.SetMember(name, &member, MonotonicTime(seconds(1000)));
    }
    ReadEverything(fixture);
  }
  if (const auto* update = frame.message.AsFleetUpdate()) {
    static_cast<void>(session::ApplyUpdate(session::FleetView(), *update));
  }
}

}  // namespace

TEST_CASE("whole frames decode, cut ones and garbage are refused") {
  for (const Frame& whole :
       {FrameOf(WholeCall()), FrameOf(WholeUpdate()), FrameOf(WholeHello())}) {
    REQUIRE(session::DecodeFrame(whole).has_value());
    for (std::size_t size = 0; size < whole.size(); ++size) {
      const Frame cut(whole.begin(),
                      whole.begin() + static_cast<std::ptrdiff_t>(size));
      const auto frame = session::DecodeFrame(cut);
      if (frame) {
        TakeIn(*frame);
      }
    }
  }
  CheckProperty("garbage", kSeed, kRuns, [] {
    const auto garbage = *rc::gen::arbitrary<Frame>();
    if (const auto frame = session::DecodeFrame(garbage)) {
      TakeIn(*frame);
    }
  });
}

TEST_CASE("changed frames are refused or harmless") {
  const std::vector<Frame> whole = {
      FrameOf(WholeCall()), FrameOf(WholeUpdate()), FrameOf(WholeHello())};
  int decoded = 0;
  CheckProperty("changed bytes", kSeed + 1, kRuns, [&] {
    const Frame changed = MutateBytes(*rc::gen::elementOf(whole));
    if (const auto frame = session::DecodeFrame(changed)) {
      ++decoded;
      TakeIn(*frame);
    }
  });
  CHECK(decoded > kRuns / 50);
}

TEST_CASE("frames without a part that they need are refused") {
  using protocol::Operation;
  // Written by hand: the generated code does not write them.
  const auto is_refused = [](Operation type, bool has_value) {
    flatbuffers::FlatBufferBuilder builder;
    const auto empty = builder.EndTable(builder.StartTable());
    const auto start = builder.StartTable();
    builder.AddElement(protocol::OperationItem::VT_OPERATION_TYPE,
                       static_cast<std::uint8_t>(type), std::uint8_t{0});
    if (has_value) {
      builder.AddOffset(protocol::OperationItem::VT_OPERATION,
                        flatbuffers::Offset<void>(empty));
    }
    const std::vector<flatbuffers::Offset<protocol::OperationItem>> items = {
        builder.EndTable(start)};
    const auto call = protocol::CreateSessionCallDirect(builder, 1, &items);
    builder.FinishSizePrefixed(protocol::CreateControlFrame(
        builder, protocol::ControlMessage::SessionCall, call.Union()));
    return !session::DecodeFrame(WithoutPrefix(builder)).has_value();
  };
  CHECK(is_refused(Operation::DeleteResource, true));
  CHECK(is_refused(Operation::JoinMember, true));
  CHECK(is_refused(Operation::ApplyResources, false));
  CHECK(is_refused(Operation::ClaimRequest, false));
  // Every field of this one has a default.
  CHECK_FALSE(is_refused(Operation::LeaveMember, true));
}

}  // namespace juniperway::test
