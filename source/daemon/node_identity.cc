#include "daemon/node_identity.h"

#include <random>
#include <utility>

#include "common/net/address.h"
#include "common/storage/log_store.h"
#include "common/storage/node_id_file.h"
#include "daemon/events.h"

namespace juniperway::daemon {
namespace {

namespace fs = std::filesystem;

// Drawn numbers lie above every founder's.
constexpr raft::NodeId kFirstDrawnId = raft::NodeId{1} << 48;
constexpr raft::NodeId kLastDrawnId = (raft::NodeId{1} << 62) - 1;

raft::NodeId DrawId() {
  std::random_device device;
  std::uniform_int_distribution<raft::NodeId> numbers(kFirstDrawnId,
                                                      kLastDrawnId);
  return numbers(device);
}

// Keeps the number of a node that has no store yet.
Result<NodeIdentity> KeepFirstStart(const fs::path& folder, raft::NodeId id,
                                    std::vector<raft::Member> first_voters) {
  if (auto kept = storage::WriteNodeIdFile(
          folder,
          {.id = id, .first_start = true, .first_voters = first_voters});
      !kept) {
    return tl::unexpected(kept.error());
  }
  return NodeIdentity{.id = id,
                      .is_new = true,
                      .is_marked = true,
                      .first_voters = std::move(first_voters)};
}

}  // namespace

raft::NodeId FounderId(const asio::ip::tcp::endpoint& peer_endpoint) {
  // An address is 32 bits, a port 16: below the drawn numbers.
  return (raft::NodeId{peer_endpoint.address().to_v4().to_uint()} << 16) +
         peer_endpoint.port();
}

std::vector<raft::Member> Founders(const std::vector<std::string>& peers) {
  std::vector<raft::Member> members;
  for (const std::string& peer : peers) {
    if (const auto endpoint = net::ParseEndpoint(peer, "control_seeds")) {
      members.push_back({FounderId(*endpoint), peer});
    }
  }
  return members;
}

Result<NodeIdentity> FindNodeIdentity(const fs::path& folder,
                                      const FirstStart& first_start) {
  const auto has_store = storage::HasStore(folder);
  if (!has_store) {
    return tl::unexpected(has_store.error());
  }
  const auto kept = storage::ReadNodeIdFile(folder);
  if (!kept) {
    return tl::unexpected(kept.error());
  }
  if (!*kept && *has_store) {
    return MakeError(ErrorCode::kCorrupt, folder.string(),
                     "holds a consensus store but no node_id: whose store it "
                     "is cannot be told");
  }
  if (!*kept) {
    return KeepFirstStart(
        folder, first_start.founder_id ? *first_start.founder_id : DrawId(),
        first_start.first_voters);
  }
  const storage::NodeIdRecord& record = **kept;
  if (*has_store || record.first_start) {
    return NodeIdentity{.id = record.id,
                        .is_new = !*has_store,
                        .is_marked = record.first_start,
                        .first_voters = record.first_voters};
  }
  auto drawn = KeepFirstStart(folder, DrawId(), {});
  if (drawn) {
    logging::LogEvent(kNodeIdReplaced, {{"folder", folder.string()},
                                        {"former", record.id},
                                        {"node", drawn->id}});
  }
  return drawn;
}

Result<void> ConfirmNodeIdentity(const fs::path& folder,
                                 const NodeIdentity& identity) {
  if (!identity.is_marked) {
    return {};
  }
  return storage::WriteNodeIdFile(folder, {.id = identity.id});
}

}  // namespace juniperway::daemon
