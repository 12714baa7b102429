// restore: a new data folder from a backup, offline.

#include <fmt/format.h>

#include <cstdint>

#include "common/control/store_restore.h"
#include "common/net/address.h"
#include "ctl/command.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {
namespace {

constexpr std::int64_t kMillisecondsInSecond = 1000;

Outcome<control::RestoreOptions> ParseRestore(const Options& options) {
  if (options.data_folder.empty()) {
    return Fail(ExitCode::kUsage, "--data-folder: is required");
  }
  if (!options.node_id || *options.node_id == raft::kNoNode) {
    return Fail(ExitCode::kUsage, "--node-id: is required, above 0");
  }
  if (auto address = net::ParseRemoteEndpoint(options.address, "--address");
      !address) {
    return Fail(ExitCode::kUsage, FormatError(address.error()));
  }
  control::RestoreOptions restore;
  restore.backup = options.arguments[0];
  restore.data_folder = options.data_folder;
  restore.cluster = options.cluster;
  restore.member = {*options.node_id, options.address};
  restore.skipped_revisions =
      options.skip_revisions.value_or(restore.skipped_revisions);
  restore.now = ReadWallClock();
  return restore;
}

}  // namespace

Outcome<void> RunRestore(CommandContext& context) {
  const auto options = ParseRestore(context.options);
  if (!options) {
    return tl::unexpected(options.error());
  }
  const auto restored = control::RestoreStore(*options);
  if (!restored) {
    return Fail(restored.error());
  }
  if (context.json()) {
    PrintJson({{"cluster", restored->cluster},
               {"node_id", options->member.id},
               {"backup_revision", restored->backup_revision},
               {"revision", restored->revision},
               {"resources", restored->resources}},
              context.out);
  } else {
    context.out << fmt::format(
        "{}: node {} of cluster {}, {} resources, revision {} (backup: {})\n",
        options->data_folder.string(), options->member.id, restored->cluster,
        restored->resources, restored->revision, restored->backup_revision);
  }
  const Duration wait = restored->claims_refused_until - options->now;
  context.notes << fmt::format(
      "Requests of non-repeatable classes are refused as expired for the next "
      "{} s: which of them ran after the backup is not known.\n",
      ToMilliseconds(wait) / kMillisecondsInSecond);
  return {};
}

}  // namespace juniperway::ctl
