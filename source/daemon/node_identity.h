// Who a control node is, where the group forms itself: a number that the node
// takes at its first start and keeps beside its store.
//
// The number is synced before the store exists, marked as that of a first
// start; the mark goes once the store exists, before the node takes part in
// anything. So a node that is killed in between goes on with its first start,
// also without `bootstrap`, and a founder stays one. A node without a store
// whose mark is gone has lost its store: it takes another number, so that the
// group does not count on what the node has forgotten.
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
  // The node has no store yet: the store may be created.
  bool is_new = false;
  // The file still has the mark of the first start; see ConfirmNodeIdentity.
  bool is_marked = false;
  // What a new store holds: the group's first voters, where this node is one.
  std::vector<raft::Member> first_voters = {};
};

// The number of a founder: the same wherever it is worked out.
raft::NodeId FounderId(const asio::ip::tcp::endpoint& peer_endpoint);

// The group's first voters, from the seeds' peer addresses ("ip:port").
std::vector<raft::Member> Founders(const std::vector<std::string>& peers);

// What a node that has neither number nor store begins with.
struct FirstStart {
  // Nothing: the number is drawn.
  std::optional<raft::NodeId> founder_id;
  std::vector<raft::Member> first_voters = {};
};

// Reads the number kept in `folder`, or takes one and keeps it, by the rules
// above.
// @return kIo, kNoSpace or kCorrupt when the file cannot be used; kCorrupt when
//   the folder has a store and no number. Nothing is written then.
Result<NodeIdentity> FindNodeIdentity(const std::filesystem::path& folder,
                                      const FirstStart& first_start);

// Removes the mark of the first start. The store exists, and the node has taken
// part in nothing yet.
Result<void> ConfirmNodeIdentity(const std::filesystem::path& folder,
                                 const NodeIdentity& identity);

}  // namespace juniperway::daemon
