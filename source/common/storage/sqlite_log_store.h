// The SQLite implementation of LogStore. One connection holds the file's
// exclusive lock for its whole life.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "common/storage/log_store.h"
#include "common/storage/sqlite.h"

namespace juniperway::storage {

class SqliteLogStore final : public LogStore {
 public:
  // `database` is open, checked and locked. Prepares the statements.
  static Result<std::unique_ptr<SqliteLogStore>> Make(Database database);

  Result<raft::InitialState> Load() override;
  Result<void> Write(const raft::Ready& ready) override;
  Result<void> Compact(const raft::Snapshot& snapshot,
                       raft::Index kept_entries) override;
  Result<void> Backup(const std::filesystem::path& file) override;

 private:
  struct Statements {
    Statement begin;
    Statement commit;
    Statement put_hard_state;
    Statement put_snapshot;
    Statement put_commit;
    Statement put_entry;
    Statement delete_from;     // entries at an index and after
    Statement delete_through;  // entries at an index and before
  };

  SqliteLogStore(Database database, Statements statements);

  // Runs `change` as one synced transaction. After a failure nothing more is
  // written: what reached the disk is unknown until the store is opened anew.
  template <typename Change>
  Result<void> RunTransaction(Change change);
  Result<void> Run(Statement& statement);
  Result<void> PutSnapshot(const raft::Snapshot& snapshot);
  Result<void> PutReady(const raft::Ready& ready);
  Result<void> PutCommit(raft::Index commit);
  Result<void> PutEntries(const std::vector<raft::Entry>& entries);
  Result<void> CheckReady(const raft::Ready& ready) const;

  Result<raft::HardState> LoadHardState();
  Result<raft::Snapshot> LoadSnapshot();
  Result<std::vector<raft::Entry>> LoadEntries();
  raft::Index LoadCommit() const;
  tl::unexpected<Error> MakeCorruptError(const std::string& what) const;

  Database database_;
  Statements statements_;
  // Positions stored, to refuse writes that would leave a gap.
  raft::Index snapshot_index_ = 0;
  raft::Index last_index_ = 0;
  // As stored.
  raft::Index commit_ = 0;
  std::optional<Error> failure_;
};

}  // namespace juniperway::storage
