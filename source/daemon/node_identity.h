// Who a control node is, where the group forms itself: a number that the node
// takes at its first start and keeps beside its store. A node without its store
// takes another one, so that nobody counts on what it has forgotten.
//
// The number is synced before the store exists, so that a folder whose store
// was lost is told from a new one. A node that is killed in between leaves a
// number without a store, and takes another number at its next start.
#pragma once

#include <asio/ip/tcp.hpp>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/raft/types.h"

namespace juniperway::daemon {

struct NodeIdentity {
  raft::NodeId id = raft::kNoNode;
  // The node took the number in this start: the store may be created.
  bool is_new = false;
};

// The number of a founder: the same wherever it is worked out.
raft::NodeId FounderId(const asio::ip::tcp::endpoint& peer_endpoint);

// The group's first voters, from the seeds' peer addresses ("ip:port").
std::vector<raft::Member> Founders(const std::vector<std::string>& peers);

// Reads the number kept in `folder`, or takes one and keeps it.
// @param founder_id for the first start of the whole fleet; nothing: drawn.
// @return kIo or kCorrupt when the file cannot be used.
Result<NodeIdentity> LoadNodeIdentity(const std::filesystem::path& folder,
                                      std::optional<raft::NodeId> founder_id);

// As LoadNodeIdentity, but takes another number where the folder has one and no
// store.
// @return also kCorrupt when the folder has a store and no number; nothing is
//   written then.
Result<NodeIdentity> FindNodeIdentity(const std::filesystem::path& folder,
                                      std::optional<raft::NodeId> founder_id);

}  // namespace juniperway::daemon
