// Reading the file that LogStore::Backup wrote.
#pragma once

#include <filesystem>
#include <string>

#include "common/base/error.h"
#include "common/raft/fsm.h"

namespace juniperway::storage {

// What a backup holds, and whose it is.
struct BackupContent {
  std::string cluster;
  raft::NodeId node = raft::kNoNode;
  raft::InitialState state;
};

// Checks the whole file. @return kNotFound, or kCorrupt when it is damaged or
//   no backup of a consensus store.
Result<BackupContent> ReadBackupFile(const std::filesystem::path& file);

}  // namespace juniperway::storage
