// backup: the store of a control machine into a file, checked before it gets
// its name.
#include <filesystem>
#include <system_error>

#include "common/storage/backup_file.h"
#include "ctl/command.h"
#include "ctl/local_file.h"

namespace juniperway::ctl {

namespace fs = std::filesystem;

Outcome<void> RunBackup(CommandContext& context) {
  const fs::path file = context.options.arguments[0];
  std::error_code reason;
  if (!context.options.force && fs::exists(file, reason)) {
    return Fail(ExitCode::kLocalFile,
                file.string() + ": exists; --force replaces it");
  }
  ApiRequest request;
  request.path = "/v1/backup";
  request.attempt_timeout = context.api->settings().timeout;
  const auto content = context.api->CallRaw(request);
  if (!content) {
    return tl::unexpected(content.error());
  }
  const fs::path unchecked = file.string() + ".unchecked";
  if (auto written = WriteLocalFile(unchecked, *content, /*replace=*/true);
      !written) {
    return written;
  }
  const auto backup = storage::ReadBackupFile(unchecked);
  fs::remove(unchecked, reason);
  if (!backup) {
    return Fail(backup.error());
  }
  if (auto written = WriteLocalFile(file, *content, context.options.force);
      !written) {
    return written;
  }
  context.out << file.string() << ": " << content->size() << " bytes, node "
              << backup->node << " of cluster " << backup->cluster << '\n';
  return {};
}

}  // namespace juniperway::ctl
