#include "common/control/store_restore.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "common/control/control_server.h"
#include "common/storage/backup_file.h"
#include "common/storage/file_sync.h"
#include "common/storage/log_store.h"
#include "common/storage/node_id_file.h"

namespace juniperway::control {
namespace {

namespace fs = std::filesystem;

bool HasMember(const raft::Configuration& configuration, raft::NodeId id) {
  const auto has_id = [id](const raft::Member& member) {
    return member.id == id;
  };
  return std::any_of(configuration.voters.begin(), configuration.voters.end(),
                     has_id) ||
         std::any_of(configuration.learners.begin(),
                     configuration.learners.end(), has_id);
}

// Refuses an id that the old group used: a node of the old group that returns
// must not be mistaken for a member of the new group.
Result<void> CheckUnusedNodeId(const storage::BackupContent& backup,
                               raft::NodeId id) {
  bool is_known =
      id == backup.node || HasMember(backup.state.snapshot.configuration, id);
  for (const raft::Entry& entry : backup.state.entries) {
    if (entry.kind != raft::EntryKind::kConfiguration) {
      continue;
    }
    auto configuration = raft::DecodeConfiguration(entry.data);
    if (!configuration) {
      return tl::unexpected(configuration.error());
    }
    is_known = is_known || HasMember(*configuration, id);
  }
  if (is_known) {
    return MakeError(ErrorCode::kInvalidArgument, "--node-id",
                     std::to_string(id) +
                         " was a control node in the backup's fleet; node "
                         "ids cannot be reused");
  }
  return {};
}

// Every claim that the old group granted expires by this time; see
// kClaimClockAllowance.
WallTime ClaimsRefusedUntil(const ControlState& state, WallTime now) {
  Duration maximum_claim_duration{0};
  for (const auto& [id, resource] : state.fleet().resources()) {
    if (const auto* service =
            std::get_if<resources::Service>(&resource.specification)) {
      maximum_claim_duration =
          std::max(maximum_claim_duration, service->maximum_expiry);
    }
  }
  return std::max(now, state.wall_time()) + maximum_claim_duration +
         kClaimClockAllowance;
}

fs::path StoreFolder(const RestoreOptions& options) {
  return fs::absolute(options.data_folder) / kControlFolderName;
}

Result<void> CheckFolder(const fs::path& folder) {
  std::error_code reason;
  if (!fs::exists(folder, reason)) {
    return {};
  }
  if (!fs::is_directory(folder, reason) || !fs::is_empty(folder, reason)) {
    return MakeError(ErrorCode::kConflict, folder.string(),
                     "exists and is not an empty folder");
  }
  return {};
}

Result<void> WriteStore(const fs::path& folder, const std::string& cluster,
                        raft::NodeId node, const raft::Ready& ready) {
  auto store = storage::OpenSqliteLogStore(
      {.folder = folder, .cluster = cluster, .node = node, .create = true});
  if (!store) {
    return tl::unexpected(store.error());
  }
  if (auto written = (*store)->Write(ready); !written) {
    return written;
  }
  // For a group that forms itself: the settings of its nodes give no number.
  return storage::WriteNodeIdFile(folder, {.id = node});
}

// Writes the store into a temporary folder and renames the folder when the
// store is complete, so that a control node never starts on a partly written
// store.
Result<void> PublishStore(const RestoreOptions& options,
                          const std::string& cluster,
                          const raft::Ready& ready) {
  const fs::path folder = StoreFolder(options);
  const fs::path partial = folder.string() + ".partial";
  std::error_code reason;
  if (fs::exists(partial, reason)) {
    return MakeError(ErrorCode::kConflict, partial.string(),
                     "is left over from an interrupted restore; remove it");
  }
  if (auto written = WriteStore(partial, cluster, options.member.id, ready);
      !written) {
    return written;
  }
  if (auto synced = storage::SyncPath(partial); !synced) {
    return synced;
  }
  fs::rename(partial, folder, reason);
  if (reason) {
    return MakeError(ErrorCode::kIo, folder.string(), reason.message());
  }
  return storage::SyncPath(folder.parent_path());
}

raft::Ready MakeInitialReady(const raft::InitialState& stored,
                             const raft::Member& member, std::string data) {
  raft::Ready ready;
  raft::Snapshot snapshot = stored.snapshot;
  if (!stored.entries.empty()) {
    snapshot.index = stored.entries.back().index;
    snapshot.term = stored.entries.back().term;
  }
  // The store needs an index and a term above 0, also when the backup holds no
  // entries.
  snapshot.index = std::max<raft::Index>(snapshot.index, 1);
  snapshot.term = std::max<raft::Term>(snapshot.term, 1);
  snapshot.configuration = {{member}, {}};
  snapshot.data = std::move(data);
  ready.hard_state = raft::HardState{
      std::max(stored.hard_state.term, snapshot.term), raft::kNoNode};
  ready.snapshot = std::move(snapshot);
  return ready;
}

}  // namespace

Result<ControlState> BuildStateFromBackup(const raft::InitialState& stored) {
  ControlState state;
  if (!stored.snapshot.data.empty()) {
    auto decoded = ControlState::DecodeSnapshot(stored.snapshot.data);
    if (!decoded) {
      return decoded;
    }
    state = std::move(*decoded);
  }
  for (const raft::Entry& entry : stored.entries) {
    const bool applies = entry.index > stored.snapshot.index &&
                         entry.kind == raft::EntryKind::kCommand;
    if (applies) {
      state.Apply(entry.data);
    }
  }
  return state;
}

Result<RestoredStore> RestoreStore(const RestoreOptions& options) {
  if (auto checked = CheckFolder(StoreFolder(options)); !checked) {
    return tl::unexpected(checked.error());
  }
  auto backup = storage::ReadBackupFile(options.backup);
  if (!backup) {
    return tl::unexpected(backup.error());
  }
  if (auto unused = CheckUnusedNodeId(*backup, options.member.id); !unused) {
    return tl::unexpected(unused.error());
  }
  auto state = BuildStateFromBackup(backup->state);
  if (!state) {
    return tl::unexpected(state.error());
  }
  RestoredStore restored;
  restored.cluster =
      options.cluster.empty() ? backup->cluster : options.cluster;
  restored.backup_revision = state->revision();
  restored.claims_refused_until = ClaimsRefusedUntil(*state, options.now);
  state->SkipRevisions(options.skipped_revisions,
                       restored.claims_refused_until);
  restored.revision = state->revision();
  restored.resources = state->fleet().resources().size();
  const raft::Ready ready =
      MakeInitialReady(backup->state, options.member, state->EncodeSnapshot());
  if (auto published = PublishStore(options, restored.cluster, ready);
      !published) {
    return tl::unexpected(published.error());
  }
  return restored;
}

}  // namespace juniperway::control
