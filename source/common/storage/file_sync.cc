#include "common/storage/file_sync.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace juniperway::storage {
namespace {

namespace fs = std::filesystem;

tl::unexpected<Error> MakeIoError(const fs::path& path,
                                  const std::error_code& reason) {
  const bool full = reason == std::errc::no_space_on_device;
  return MakeError(full ? ErrorCode::kNoSpace : ErrorCode::kIo, path.string(),
                   reason.message());
}

std::error_code LastSystemError() { return {errno, std::generic_category()}; }

fs::path FolderOf(const fs::path& file) {
  return file.has_parent_path() ? file.parent_path() : fs::path(".");
}

// On file systems without hard links. Between the check and the rename another
// process could make the file; the callers' folders belong to one process.
Result<void> PublishWithoutLinks(const fs::path& partial,
                                 const fs::path& file) {
  std::error_code reason;
  if (fs::exists(file, reason)) {
    return MakeError(ErrorCode::kConflict, file.string(), "exists already");
  }
  return PublishFile(partial, file);
}

}  // namespace

Result<void> SyncPath(const fs::path& path) {
  const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return MakeIoError(path, LastSystemError());
  }
  const bool synced = fsync(descriptor) == 0;
  const std::error_code reason = LastSystemError();
  close(descriptor);
  if (!synced) {
    return MakeIoError(path, reason);
  }
  return {};
}

Result<void> PublishFile(const fs::path& partial, const fs::path& file) {
  if (auto synced = SyncPath(partial); !synced) {
    return synced;
  }
  std::error_code reason;
  fs::rename(partial, file, reason);
  if (reason) {
    return MakeIoError(file, reason);
  }
  return SyncPath(FolderOf(file));
}

Result<void> PublishNewFile(const fs::path& partial, const fs::path& file) {
  if (auto synced = SyncPath(partial); !synced) {
    return synced;
  }
  std::error_code reason;
  // Unlike a rename, a link never replaces a file.
  fs::create_hard_link(partial, file, reason);
  if (reason == std::errc::file_exists) {
    return MakeError(ErrorCode::kConflict, file.string(), "exists already");
  }
  if (reason == std::errc::function_not_supported ||
      reason == std::errc::operation_not_permitted ||
      reason == std::errc::operation_not_supported) {
    return PublishWithoutLinks(partial, file);
  }
  if (reason) {
    return MakeIoError(file, reason);
  }
  fs::remove(partial, reason);
  return SyncPath(FolderOf(file));
}

}  // namespace juniperway::storage
