// The file `node_id` beside a consensus store: the number of the control node,
// where the group forms itself and the settings give no number.
#pragma once

#include <filesystem>
#include <optional>

#include "common/base/error.h"
#include "common/raft/types.h"

namespace juniperway::storage {

// @return the number in `folder`; nothing when the folder has no such file;
//   kCorrupt when the file holds no number.
Result<std::optional<raft::NodeId>> ReadNodeIdFile(
    const std::filesystem::path& folder);

// Writes the file, in place of an earlier one. Creates the folder. When this
// returns, the file and the folder's name are synced.
// @return kNoSpace or kIo when the file cannot be written.
Result<void> WriteNodeIdFile(const std::filesystem::path& folder,
                             raft::NodeId id);

}  // namespace juniperway::storage
