// backup: the store of a control machine into a file, checked before it gets
// its name. Each machine gives its own store; one that lags is passed over.
#include <fmt/format.h>

#include <filesystem>
#include <optional>
#include <system_error>

#include "common/control/store_restore.h"
#include "common/storage/backup_file.h"
#include "ctl/command.h"
#include "ctl/local_file.h"

namespace juniperway::ctl {
namespace {

namespace fs = std::filesystem;

struct Backup {
  std::string content;
  std::string cluster;
  raft::NodeId node = raft::kNoNode;
  resources::Revision revision = 0;
};

// What the leader has now; nothing while there is no leader.
Outcome<std::optional<resources::Revision>> LeaderRevision(ApiClient& api) {
  const auto status = api.Get("/v1/status");
  if (!status) {
    return tl::unexpected(status.error());
  }
  if (!status->value("leader_reachable", true)) {
    return std::nullopt;
  }
  return status->value("revision", resources::Revision{0});
}

// Reads the store in `content` as a restore would, by way of a file.
Outcome<Backup> Check(std::string content, const fs::path& scratch) {
  if (auto written = WriteLocalFile(scratch, content, /*replace=*/true);
      !written) {
    return tl::unexpected(written.error());
  }
  const auto stored = storage::ReadBackupFile(scratch);
  std::error_code reason;
  fs::remove(scratch, reason);
  if (!stored) {
    return Fail(stored.error());
  }
  const auto state = control::BuildStateFromBackup(stored->state);
  if (!state) {
    return Fail(state.error());
  }
  return Backup{std::move(content), stored->cluster, stored->node,
                state->revision()};
}

Outcome<Backup> Fetch(ApiClient& api, const fs::path& scratch) {
  ApiRequest request;
  request.path = "/v1/backup";
  request.attempt_timeout = api.settings().timeout;
  auto content = api.CallRaw(request);
  if (!content) {
    return tl::unexpected(content.error());
  }
  return Check(std::move(*content), scratch);
}

// A backup with everything up to `revision`, from whichever machine has it.
Outcome<Backup> FetchSince(ApiClient& api, const fs::path& scratch,
                           resources::Revision revision) {
  auto backup = Fetch(api, scratch);
  for (std::size_t i = 1; i < api.settings().servers.size() && backup &&
                          backup->revision < revision;
       ++i) {
    api.UseNextServer();
    backup = Fetch(api, scratch);
  }
  if (backup && backup->revision < revision) {
    return Fail(ExitCode::kUnavailable,
                fmt::format("unavailable: the machines asked lag: at revision "
                            "{}, the leader is at {}",
                            backup->revision, revision));
  }
  return backup;
}

}  // namespace

Outcome<void> RunBackup(CommandContext& context) {
  const fs::path file = context.options.arguments[0];
  std::error_code reason;
  if (!context.options.force && fs::exists(file, reason)) {
    return Fail(ExitCode::kLocalFile,
                file.string() + ": exists; --force replaces it");
  }
  const auto revision = LeaderRevision(*context.api);
  if (!revision) {
    return tl::unexpected(revision.error());
  }
  if (!*revision) {
    context.notes << "there is no leader: the newest changes may be missing\n";
  }
  const auto backup = FetchSince(*context.api, file.string() + ".unchecked",
                                 revision->value_or(0));
  if (!backup) {
    return tl::unexpected(backup.error());
  }
  if (auto written =
          WriteLocalFile(file, backup->content, context.options.force);
      !written) {
    return written;
  }
  context.out << fmt::format(
      "{}: {} bytes, from node {} of cluster {}, revision {}\n", file.string(),
      backup->content.size(), backup->node, backup->cluster, backup->revision);
  return {};
}

}  // namespace juniperway::ctl
