// The file `node_id` beside a consensus store: the number of the control node,
// where the group forms itself and the settings give no number. Until the store
// exists, the file also says what a store is to be created with.
#pragma once

#include <filesystem>
#include <optional>
#include <vector>

#include "common/base/error.h"
#include "common/raft/types.h"

namespace juniperway::storage {

// Content of the file.
struct NodeIdRecord {
  raft::NodeId id = raft::kNoNode;
  // The node has taken part in nothing yet, and its store may not exist. The
  // node clears this once the store exists, before it takes part.
  bool first_start = false;
  // At the first start: the group's first voters, where this node is one.
  std::vector<raft::Member> first_voters = {};
};

// @return the record in `folder`; nothing when the folder has no such file;
//   kCorrupt when the file is damaged.
Result<std::optional<NodeIdRecord>> ReadNodeIdFile(
    const std::filesystem::path& folder);

// Writes the file, in place of an earlier one. Creates the folder. When this
// returns, the file and the folder's name are synced.
// @return kNoSpace or kIo when the file cannot be written.
Result<void> WriteNodeIdFile(const std::filesystem::path& folder,
                             const NodeIdRecord& record);

}  // namespace juniperway::storage
