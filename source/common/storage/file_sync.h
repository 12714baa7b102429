// Making files and their names durable.
#pragma once

#include <filesystem>

#include "common/base/error.h"

namespace juniperway::storage {

// Syncs a file's contents or, for a folder, the names in it.
Result<void> SyncPath(const std::filesystem::path& path);

// Syncs `partial`, renames it to `file` (replacing it) and syncs the folder.
Result<void> PublishFile(const std::filesystem::path& partial,
                         const std::filesystem::path& file);

// As PublishFile, but kConflict if `file` exists.
Result<void> PublishNewFile(const std::filesystem::path& partial,
                            const std::filesystem::path& file);

}  // namespace juniperway::storage
