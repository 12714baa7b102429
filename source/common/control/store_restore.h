// Creates the consensus store of a control node from a backup, for a fleet that
// has permanently lost its quorum. Runs offline: no other process may use the
// data folder meanwhile.
#pragma once

#include <cstddef>
#include <filesystem>
#include <string>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/control/control_state.h"
#include "common/raft/fsm.h"
#include "common/resources/resource.h"

namespace juniperway::control {

// Number of revisions that a restored store skips. Daemons may have confirmed
// revisions that the old group created after the backup and that the restored
// store lacks. Daemons refuse older configurations, so these revisions must not
// be used again for other changes. At 3,400 changes a day this covers several
// months.
inline constexpr resources::Revision kSkippedRevisions = 1'000'000;

// Returns the state after applying every entry of a backup, including entries
// that were not committed yet: the group may have committed them later.
Result<ControlState> BuildStateFromBackup(const raft::InitialState& stored);

// Input of RestoreStore.
struct RestoreOptions {
  std::filesystem::path backup;
  // The daemon's data folder; it must not hold a consensus store yet.
  std::filesystem::path data_folder;
  // Cluster of the restored store. If empty, the store gets the cluster of the
  // backup.
  std::string cluster;
  // The only voter of the restored store, with a node id that the backup does
  // not contain. Other members join it as learners, with empty data folders.
  raft::Member member;
  resources::Revision skipped_revisions = kSkippedRevisions;
  // The current time by the operator's clock.
  WallTime now{};
};

// Summary of a restored store, for the operator.
struct RestoredStore {
  std::string cluster;
  resources::Revision backup_revision = 0;
  resources::Revision revision = 0;
  std::size_t resources = 0;
  // Requests of non-repeatable classes that expire by this time are refused as
  // expired: such a request may have run after the backup, and would run a
  // second time.
  WallTime claims_refused_until{};
};

// Creates the store with the state that BuildStateFromBackup returns.
// @return kInvalidArgument with the option's name; kNotFound or kCorrupt for
//   the backup; kConflict or kIo for the folder.
Result<RestoredStore> RestoreStore(const RestoreOptions& options);

}  // namespace juniperway::control
