#include "common/session/session_file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <system_error>
#include <utility>

namespace juniperway::session {
namespace {

constexpr int kFormat = 1;
constexpr const char* kFileName = "session.json";
constexpr const char* kTemporaryName = "session.json.new";
constexpr const char* kLockName = "session.lock";

tl::unexpected<Error> SystemError(const std::filesystem::path& path) {
  return MakeError(ErrorCode::kIo, path.string(), std::strerror(errno));
}

// Writes `text` to a new file and syncs it.
Result<void> WriteSynced(const std::filesystem::path& path,
                         const std::string& text) {
  const int file =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) {
    return SystemError(path);
  }
  const ssize_t written = ::write(file, text.data(), text.size());
  const bool synced =
      written == static_cast<ssize_t>(text.size()) && ::fsync(file) == 0;
  Result<void> result;
  if (!synced) {
    result = SystemError(path);
  }
  ::close(file);
  return result;
}

Result<void> SyncFolder(const std::filesystem::path& path) {
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return SystemError(path);
  }
  Result<void> result;
  if (::fsync(folder) != 0) {
    result = SystemError(path);
  }
  ::close(folder);
  return result;
}

}  // namespace

Result<std::unique_ptr<SessionFile>> SessionFile::Open(
    const std::filesystem::path& folder, const std::string& cluster,
    const std::string& daemon_id) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) {
    return MakeError(ErrorCode::kIo, folder.string(), error.message());
  }
  const std::filesystem::path lock_path = folder / kLockName;
  const int lock =
      ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock < 0) {
    return SystemError(lock_path);
  }
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    return MakeError(ErrorCode::kConflict, folder.string(),
                     "the data folder is in use by another process");
  }
  std::unique_ptr<SessionFile> file(
      new SessionFile(folder, cluster, daemon_id, lock));
  if (auto read = file->Read(); !read) {
    return tl::unexpected(read.error());
  }
  return file;
}

SessionFile::SessionFile(std::filesystem::path folder, std::string cluster,
                         std::string daemon_id, int lock)
    : folder_(std::move(folder)),
      cluster_(std::move(cluster)),
      daemon_id_(std::move(daemon_id)),
      lock_(lock) {}

SessionFile::~SessionFile() { ::close(lock_); }

Result<void> SessionFile::Read() {
  const std::filesystem::path path = folder_ / kFileName;
  if (!std::filesystem::exists(path)) {
    return {};
  }
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  const auto json = nlohmann::json::parse(text.str(), nullptr, false);
  const auto corrupt = [&path](std::string message) {
    return MakeError(ErrorCode::kCorrupt, path.string(), std::move(message));
  };
  const bool whole =
      json.is_object() && json.contains("format") &&
      json["format"].is_number_integer() && json["format"] == kFormat &&
      json.contains("cluster") && json.contains("daemon") &&
      json.contains("revision") && json["revision"].is_number_unsigned() &&
      json.contains("incarnation") && json["incarnation"].is_number_unsigned();
  if (!whole) {
    return corrupt("is damaged or of another format");
  }
  if (json["cluster"] != cluster_ || json["daemon"] != daemon_id_) {
    return corrupt("belongs to another cluster or daemon");
  }
  record_.revision = json["revision"].get<resources::Revision>();
  record_.incarnation = json["incarnation"].get<std::uint64_t>();
  return {};
}

Result<void> SessionFile::Write(const SessionRecord& record) const {
  const nlohmann::json json = {{"format", kFormat},
                               {"cluster", cluster_},
                               {"daemon", daemon_id_},
                               {"revision", record.revision},
                               {"incarnation", record.incarnation}};
  const std::filesystem::path temporary = folder_ / kTemporaryName;
  if (auto written = WriteSynced(temporary, json.dump() + "\n"); !written) {
    return written;
  }
  const std::filesystem::path path = folder_ / kFileName;
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    return SystemError(path);
  }
  return SyncFolder(folder_);
}

}  // namespace juniperway::session
