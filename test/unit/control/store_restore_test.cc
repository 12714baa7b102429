// Tests that a store restored from a backup holds the backup's resources.
// Guards against using revisions, request ids or node ids again that the old
// group may have used after the backup.
#include "common/control/store_restore.h"

#include <doctest/doctest.h>

#include "common/resources/resource_json.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"
#include "common/storage/backup_file.h"
#include "common/storage/log_store.h"
#include "support/api_fixture.h"
#include "support/temporary_folder.h"

namespace juniperway::control {
namespace {

namespace fs = std::filesystem;

constexpr raft::NodeId kOldNode = 1;
constexpr raft::NodeId kNewNode = 7;
const WallTime kNow{seconds(1'700'000'000)};

protocol::CommandT ApplyCommand(const std::string& change_id,
                                const std::string& text) {
  protocol::ApplyResourcesT operation;
  operation.change_id = change_id;
  auto set = resources::ParseResources(text);
  REQUIRE(set.has_value());
  for (const auto& resource : *set) {
    operation.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
        session::EncodeResource(resource)));
  }
  protocol::CommandT command;
  command.wall_time_us = kNow.time_since_epoch().count();
  command.operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  return command;
}

// A folder with a backup of a store that holds two services: one in its
// snapshot, one in its log.
struct Fixture {
  Fixture() {
    ControlState state;
    const raft::Configuration group{{{kOldNode, "10.0.0.1:7100"}}, {{3, "x"}}};
    raft::Ready ready;
    ready.hard_state = raft::HardState{4, kOldNode};
    state.Apply(ApplyCommand(
        "first", R"({"kind": "Service", "name": "a", "spec": {}})"));
    ready.snapshot = raft::Snapshot{20, 3, group, state.EncodeSnapshot()};
    const auto second =
        ApplyCommand("second", R"({"kind": "Service", "name": "b",
                      "spec": {"maximum_expiry_ms": 900000}})");
    ready.entries = {{4, 21, raft::EntryKind::kNoOperation, ""},
                     {4, 22, raft::EntryKind::kCommand, EncodeCommand(second)}};
    auto store = storage::OpenSqliteLogStore(
        {folder.path() / "old/control", "lin", kOldNode, true});
    REQUIRE(store.has_value());
    REQUIRE((*store)->Write(ready).has_value());
    REQUIRE((*store)->Backup(backup).has_value());
  }

  RestoreOptions Options() const {
    RestoreOptions options;
    options.backup = backup;
    options.data_folder = folder.path() / "new";
    options.member = {kNewNode, "10.0.0.7:7100"};
    options.now = kNow + seconds(5);
    return options;
  }

  test::TemporaryFolder folder;
  fs::path backup = folder.path() / "backup.db";
};

}  // namespace

TEST_CASE("a restored store holds the backup's resources for a new group") {
  const Fixture fixture;
  const auto restored = RestoreStore(fixture.Options());
  REQUIRE(restored.has_value());
  CHECK(restored->cluster == "lin");
  CHECK(restored->backup_revision == 2);
  CHECK(restored->resources == 2);
  auto store = storage::OpenSqliteLogStore(
      {fixture.folder.path() / "new/control", "lin", kNewNode, false});
  REQUIRE(store.has_value());
  const auto stored = (*store)->Load();
  REQUIRE(stored.has_value());
  CHECK(stored->hard_state == raft::HardState{4, raft::kNoNode});
  CHECK(stored->snapshot.index == 22);
  CHECK(stored->snapshot.configuration ==
        raft::Configuration{{{kNewNode, "10.0.0.7:7100"}}, {}});
  const auto state = BuildStateFromBackup(*stored);
  REQUIRE(state.has_value());
  CHECK(state->fleet().FindService("a") != nullptr);
  CHECK(state->fleet().FindService("b") != nullptr);
  CHECK(state->FindChange("second") != nullptr);
}

TEST_CASE("revisions and request ids used after the backup are not reused") {
  const Fixture fixture;
  const auto restored = RestoreStore(fixture.Options());
  REQUIRE(restored.has_value());
  CHECK(restored->revision == 2 + kSkippedRevisions);
  const auto backup = storage::ReadBackupFile(fixture.folder.path() /
                                              "new/control/consensus.db");
  REQUIRE(backup.has_value());
  auto state = BuildStateFromBackup(backup->state);
  REQUIRE(state.has_value());
  // A daemon that confirmed a lost revision gets a full update.
  CHECK(state->UpdateSince(3).from_revision == 0);
  CHECK(state->UpdateSince(3).to_revision == restored->revision);
  // The claim with the latest expiry that the old group can have granted.
  protocol::ClaimRequestT claim;
  claim.service = "b";
  claim.request_id = "id";
  claim.claimant = "g";
  claim.attempt = 1;
  claim.expiry_us =
      (fixture.Options().now + milliseconds(900'000) + kClaimClockAllowance)
          .time_since_epoch()
          .count();
  const auto decide = [&] {
    protocol::CommandT command;
    command.operations.push_back(std::make_unique<protocol::OperationItemT>(
        session::MakeOperation(protocol::ClaimRequestT(claim))));
    const auto applied = state->Apply(command);
    REQUIRE(applied.results.at(0).claim != nullptr);
    return applied.results.at(0).claim->decision;
  };
  CHECK(decide() == protocol::ClaimDecisionCode::kExpired);
  claim.expiry_us += 1;
  CHECK(decide() == protocol::ClaimDecisionCode::kGranted);
}

TEST_CASE("an id of the old group, a used folder or a bad file is refused") {
  const Fixture fixture;
  const auto code_of = [](const RestoreOptions& options) {
    const auto restored = RestoreStore(options);
    REQUIRE_FALSE(restored.has_value());
    return restored.error().code;
  };
  RestoreOptions options = fixture.Options();
  for (const raft::NodeId id : {kOldNode, raft::NodeId{3}}) {
    options.member.id = id;
    CHECK(code_of(options) == ErrorCode::kInvalidArgument);
  }
  options = fixture.Options();
  options.backup = fixture.folder.path() / "none.db";
  CHECK(code_of(options) == ErrorCode::kNotFound);
  options.backup = fixture.folder.Write("text.db", "not a database");
  CHECK(code_of(options) == ErrorCode::kCorrupt);
  CHECK_FALSE(fs::exists(options.data_folder));
  options = fixture.Options();
  options.data_folder = fixture.folder.path() / "old";
  CHECK(code_of(options) == ErrorCode::kConflict);
  // A folder that an interrupted restore left behind is not overwritten.
  options = fixture.Options();
  fs::create_directories(fixture.folder.path() / "new/control.partial");
  CHECK(code_of(options) == ErrorCode::kConflict);
}

}  // namespace juniperway::control
