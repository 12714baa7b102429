#include "common/storage/node_id_file.h"

#include <cerrno>
#include <fstream>
#include <string>
#include <system_error>

#include "common/storage/file_sync.h"

namespace juniperway::storage {
namespace {

namespace fs = std::filesystem;

constexpr const char* kFileName = "node_id";

}  // namespace

Result<std::optional<raft::NodeId>> ReadNodeIdFile(const fs::path& folder) {
  const fs::path file = folder / kFileName;
  std::error_code reason;
  if (!fs::exists(file, reason)) {
    return std::nullopt;
  }
  std::ifstream stream(file);
  raft::NodeId id = raft::kNoNode;
  stream >> id;
  if (!stream || id == raft::kNoNode) {
    return MakeError(ErrorCode::kCorrupt, file.string(),
                     "must hold this node's number");
  }
  return id;
}

Result<void> WriteNodeIdFile(const fs::path& folder, raft::NodeId id) {
  std::error_code reason;
  fs::create_directories(folder, reason);
  if (reason) {
    return MakeError(ErrorCode::kIo, folder.string(), reason.message());
  }
  const fs::path partial = folder / (std::string(kFileName) + ".new");
  {
    std::ofstream stream(partial, std::ios::trunc);
    stream << id << '\n';
    stream.flush();
    if (!stream) {
      const bool full = errno == ENOSPC;
      return MakeError(full ? ErrorCode::kNoSpace : ErrorCode::kIo,
                       partial.string(), "cannot be written");
    }
  }
  if (auto kept = PublishFile(partial, folder / kFileName); !kept) {
    return kept;
  }
  return SyncPath(fs::absolute(folder).parent_path());
}

}  // namespace juniperway::storage
