// Makes the store of a control machine from a backup, for a fleet that lost its
// quorum for good. Offline: no process may use the folder.
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

// Daemons keep what they confirmed, and refuse older configurations. Changes
// made after the backup are lost, so that their revisions must not come again
// with another meaning. At 3,400 changes a day these last for months.
inline constexpr resources::Revision kSkippedRevisions = 1'000'000;

// The state after everything in a backup; also what was not committed yet,
// whose outcome was still open.
Result<ControlState> StateOfBackup(const raft::InitialState& stored);

struct RestoreOptions {
  std::filesystem::path backup;
  // The daemon's; it must not hold a consensus store yet.
  std::filesystem::path data_folder;
  // Empty: the backup's.
  std::string cluster;
  // The only voter of the restored store, under an id that the backup does not
  // know; others join it as learners, with empty folders.
  raft::Member member;
  resources::Revision skipped_revisions = kSkippedRevisions;
  // Now, by the operator's clock.
  WallTime now{};
};

struct RestoredStore {
  std::string cluster;
  resources::Revision backup_revision = 0;
  resources::Revision revision = 0;
  std::size_t resources = 0;
  // Until then, requests of non-repeatable classes are refused as expired: one
  // of them may have run after the backup, and would run a second time.
  WallTime claims_from{};
};

// Makes the store; see StateOfBackup for what it holds.
// @return kInvalidArgument with the option's name, kNotFound or kCorrupt for
//   the backup, kConflict or kIo for the folder.
Result<RestoredStore> RestoreStore(const RestoreOptions& options);

}  // namespace juniperway::control
