// Opening and creating the store: everything that may be wrong with a data
// folder is found here, before the node takes part in anything.
#include "common/storage/log_store.h"

#include <cstdlib>
#include <string>
#include <system_error>
#include <utility>

#include "common/storage/backup_file.h"
#include "common/storage/events.h"
#include "common/storage/file_sync.h"
#include "common/storage/schema.h"
#include "common/storage/sqlite.h"
#include "common/storage/sqlite_log_store.h"

namespace juniperway::storage {
namespace {

namespace fs = std::filesystem;

tl::unexpected<Error> MakeCorruptError(const fs::path& file,
                                       std::string message) {
  return MakeError(ErrorCode::kCorrupt, file.string(), std::move(message));
}

Result<void> InsertIdentity(const Database& database,
                            const OpenOptions& options) {
  auto insert = database.Prepare("INSERT INTO identity VALUES (?1, ?2)");
  if (!insert) {
    return tl::unexpected(insert.error());
  }
  const int code =
      insert->BindText(1, options.cluster).Bind(2, options.node).Step();
  if (code != SQLITE_DONE) {
    return database.MakeSqliteError(code);
  }
  return {};
}

Result<void> WriteNewDatabase(const fs::path& file,
                              const OpenOptions& options) {
  auto database = Database::Open(file, /*create=*/true);
  if (!database) {
    return tl::unexpected(database.error());
  }
  const std::string marks =
      "PRAGMA application_id = " + std::to_string(kApplicationId) +
      "; PRAGMA user_version = " + std::to_string(kSchemaVersion) + ";";
  if (auto made = database->Execute("PRAGMA synchronous = FULL; BEGIN;" +
                                    marks + kSchema);
      !made) {
    return made;
  }
  if (auto inserted = InsertIdentity(*database, options); !inserted) {
    return inserted;
  }
  if (auto committed = database->Execute("COMMIT"); !committed) {
    return committed;
  }
  if (!options.first_snapshot) {
    return {};
  }
  auto store = SqliteLogStore::Make(std::move(*database));
  if (!store) {
    return tl::unexpected(store.error());
  }
  raft::Ready ready;
  ready.snapshot = options.first_snapshot;
  return (*store)->Write(ready);
}

// Builds the database under another name first, so that a crash leaves either
// no store or a whole one.
Result<void> CreateStore(const fs::path& file, const OpenOptions& options) {
  std::error_code reason;
  fs::create_directories(options.folder, reason);
  if (reason) {
    return MakeError(ErrorCode::kIo, options.folder.string(), reason.message());
  }
  const fs::path partial = file.string() + ".new";
  fs::remove(partial, reason);
  fs::remove(partial.string() + "-journal", reason);
  if (auto written = WriteNewDatabase(partial, options); !written) {
    return written;
  }
  if (auto published = PublishNewFile(partial, file); !published) {
    return published;
  }
  const fs::path parent = fs::absolute(options.folder).parent_path();
  return SyncPath(parent);
}

// What is in the folder under the store's name: a file, nothing, or an error.
Result<bool> FindStore(const fs::path& file) {
  std::error_code reason;
  const fs::file_status status = fs::status(file, reason);
  if (fs::exists(status)) {
    if (!fs::is_regular_file(status)) {
      return MakeCorruptError(file, "is not a file");
    }
    if (fs::file_size(file, reason) == 0) {
      // SQLite would take it for a new database.
      return MakeCorruptError(file, "is empty");
    }
    return true;
  }
  if (status.type() != fs::file_type::not_found) {
    return MakeError(ErrorCode::kIo, file.string(), reason.message());
  }
  if (fs::exists(file.string() + "-wal", reason)) {
    return MakeCorruptError(file, "is missing, but its -wal file is there");
  }
  return false;
}

// Locks are kept for the connection's life from the first access on. In this
// mode SQLite keeps the WAL index in its own memory, not in memory shared
// between processes; so it is set before anything is read.
Result<void> KeepLocks(const Database& database) {
  return database.Execute("PRAGMA locking_mode = EXCLUSIVE");
}

Result<void> PrepareForWriting(const Database& database) {
  return database.Execute(
      "PRAGMA journal_mode = WAL; PRAGMA synchronous = FULL;"
      "BEGIN IMMEDIATE; COMMIT;");
}

Result<void> CheckKind(const Database& database) {
  auto application = database.QueryText("PRAGMA application_id");
  if (!application) {
    return tl::unexpected(application.error());
  }
  if (*application != std::to_string(kApplicationId)) {
    return MakeCorruptError(database.file(), "is not a consensus store");
  }
  auto version = database.QueryText("PRAGMA user_version");
  if (!version) {
    return tl::unexpected(version.error());
  }
  if (*version != std::to_string(kSchemaVersion)) {
    return MakeCorruptError(database.file(),
                            "has schema version " + *version + ", not " +
                                std::to_string(kSchemaVersion));
  }
  return {};
}

Result<void> CheckIntegrity(const Database& database) {
  auto verdict = database.QueryText("PRAGMA integrity_check(1)");
  if (!verdict) {
    return tl::unexpected(verdict.error());
  }
  if (*verdict != "ok") {
    return MakeCorruptError(database.file(), "is damaged: " + *verdict);
  }
  return {};
}

Result<void> CheckIdentity(const Database& database,
                           const OpenOptions& options) {
  auto cluster = database.QueryText("SELECT cluster FROM identity");
  if (!cluster) {
    return tl::unexpected(cluster.error());
  }
  auto node = database.QueryText("SELECT node FROM identity");
  if (!node) {
    return tl::unexpected(node.error());
  }
  if (*cluster != options.cluster || *node != std::to_string(options.node)) {
    return MakeCorruptError(database.file(),
                            "belongs to node " + *node + " of cluster \"" +
                                *cluster + "\", not to node " +
                                std::to_string(options.node) + " of \"" +
                                options.cluster + "\"");
  }
  return {};
}

// The checks that a file must pass before what it holds is believed.
Result<void> CheckWhole(const Database& database) {
  return KeepLocks(database)
      .and_then([&] { return CheckKind(database); })
      .and_then([&] { return CheckIntegrity(database); });
}

// Opens the store, creating it first where that is asked for.
Result<std::unique_ptr<LogStore>> OpenStore(const fs::path& file,
                                            const OpenOptions& options) {
  const auto found = FindStore(file);
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (!*found && !options.create) {
    return MakeError(ErrorCode::kNotFound, file.string(), "does not exist");
  }
  if (!*found) {
    if (auto created = CreateStore(file, options); !created) {
      return tl::unexpected(created.error());
    }
    logging::LogEvent(kStoreCreated, {{"file", file.string()},
                                      {"cluster", options.cluster},
                                      {"node", options.node}});
  }
  auto database = Database::Open(file, /*create=*/false);
  if (!database) {
    return tl::unexpected(database.error());
  }
  const Result<void> usable =
      KeepLocks(*database)
          .and_then([&] { return CheckKind(*database); })
          .and_then([&] { return PrepareForWriting(*database); })
          .and_then([&] { return CheckIntegrity(*database); })
          .and_then([&] { return CheckIdentity(*database, options); });
  if (!usable) {
    return tl::unexpected(usable.error());
  }
  auto store = SqliteLogStore::Make(std::move(*database));
  if (!store) {
    return tl::unexpected(store.error());
  }
  return std::move(*store);
}

}  // namespace

Result<bool> HasStore(const fs::path& folder) {
  return FindStore(folder / kStoreFileName);
}

Result<BackupContent> ReadBackupFile(const fs::path& file) {
  const auto found = FindStore(file);
  if (!found) {
    return tl::unexpected(found.error());
  }
  if (!*found) {
    return MakeError(ErrorCode::kNotFound, file.string(), "does not exist");
  }
  auto database = Database::Open(file, /*create=*/false);
  if (!database) {
    return tl::unexpected(database.error());
  }
  if (const auto whole = CheckWhole(*database); !whole) {
    return tl::unexpected(whole.error());
  }
  const auto cluster = database->QueryText("SELECT cluster FROM identity");
  const auto node = database->QueryText("SELECT node FROM identity");
  if (!cluster || !node) {
    return tl::unexpected((cluster ? node : cluster).error());
  }
  auto store = SqliteLogStore::Make(std::move(*database));
  if (!store) {
    return tl::unexpected(store.error());
  }
  auto state = (*store)->Load();
  if (!state) {
    return tl::unexpected(state.error());
  }
  return BackupContent{*cluster, std::strtoull(node->c_str(), nullptr, 10),
                       std::move(*state)};
}

Result<std::unique_ptr<LogStore>> OpenSqliteLogStore(
    const OpenOptions& options) {
  const fs::path file = options.folder / kStoreFileName;
  auto store = OpenStore(file, options);
  if (!store) {
    logging::LogEvent(kStoreRefused, {{"file", file.string()},
                                      {"error", FormatError(store.error())}});
    return store;
  }
  std::error_code ignored;
  logging::LogEvent(kStoreOpened, {{"file", file.string()},
                                   {"node", options.node},
                                   {"bytes", fs::file_size(file, ignored)}});
  return store;
}

}  // namespace juniperway::storage
