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
// Follows the number while NodeIdRecord::first_start is set; the first voters
// follow, an id and an address a line.
constexpr const char* kFirstStart = "first_start";

std::optional<NodeIdRecord> Parse(std::istream& stream) {
  NodeIdRecord record;
  if (!(stream >> record.id) || record.id == raft::kNoNode) {
    return std::nullopt;
  }
  std::string word;
  if (!(stream >> word)) {
    return record;
  }
  if (word != kFirstStart) {
    return std::nullopt;
  }
  record.first_start = true;
  raft::Member voter;
  while (stream >> voter.id >> voter.address) {
    record.first_voters.push_back(voter);
  }
  return stream.eof() ? std::optional(record) : std::nullopt;
}

std::string Format(const NodeIdRecord& record) {
  std::string text = std::to_string(record.id) + "\n";
  if (!record.first_start) {
    return text;
  }
  text += std::string(kFirstStart) + "\n";
  for (const raft::Member& voter : record.first_voters) {
    text += std::to_string(voter.id) + " " + voter.address + "\n";
  }
  return text;
}

}  // namespace

Result<std::optional<NodeIdRecord>> ReadNodeIdFile(const fs::path& folder) {
  const fs::path file = folder / kFileName;
  std::error_code reason;
  if (!fs::exists(file, reason)) {
    return std::nullopt;
  }
  std::ifstream stream(file);
  auto record = Parse(stream);
  if (!record) {
    return MakeError(ErrorCode::kCorrupt, file.string(),
                     "must hold this node's number");
  }
  return record;
}

Result<void> WriteNodeIdFile(const fs::path& folder,
                             const NodeIdRecord& record) {
  std::error_code reason;
  fs::create_directories(folder, reason);
  if (reason) {
    return MakeError(ErrorCode::kIo, folder.string(), reason.message());
  }
  const fs::path partial = folder / (std::string(kFileName) + ".new");
  {
    std::ofstream stream(partial, std::ios::trunc);
    stream << Format(record);
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
