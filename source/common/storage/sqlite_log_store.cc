#include "common/storage/sqlite_log_store.h"

#include <algorithm>
#include <utility>

#include "common/storage/checksum.h"
#include "common/storage/events.h"
#include "common/storage/file_sync.h"
#include "common/storage/schema.h"

namespace juniperway::storage {
namespace {

constexpr int kPagesInOneBackupStep = -1;  // all of them

std::string EntryName(raft::Index index) {
  return "entry " + std::to_string(index);
}

}  // namespace

SqliteLogStore::SqliteLogStore(Database database, Statements statements)
    : database_(std::move(database)), statements_(std::move(statements)) {}

Result<std::unique_ptr<SqliteLogStore>> SqliteLogStore::Make(
    Database database) {
  if (auto made = database.Execute(kCommitSchema); !made) {
    return tl::unexpected(made.error());
  }
  const auto prepare = [&](std::string_view sql) {
    return database.Prepare(sql);
  };
  auto begin = prepare("BEGIN IMMEDIATE");
  auto commit = prepare("COMMIT");
  auto put_hard_state =
      prepare("REPLACE INTO hard_state VALUES (1, ?1, ?2, ?3)");
  auto put_snapshot =
      prepare("REPLACE INTO snapshot VALUES (1, ?1, ?2, ?3, ?4, ?5)");
  auto put_commit = prepare("REPLACE INTO commit_index VALUES (1, ?1)");
  auto put_entry = prepare("INSERT INTO entries VALUES (?1, ?2, ?3, ?4, ?5)");
  auto delete_from = prepare("DELETE FROM entries WHERE log_index >= ?1");
  auto delete_through = prepare("DELETE FROM entries WHERE log_index <= ?1");
  for (const auto* statement :
       {&begin, &commit, &put_hard_state, &put_snapshot, &put_commit,
        &put_entry, &delete_from, &delete_through}) {
    if (!*statement) {
      return tl::unexpected(statement->error());
    }
  }
  Statements statements{std::move(*begin),          std::move(*commit),
                        std::move(*put_hard_state), std::move(*put_snapshot),
                        std::move(*put_commit),     std::move(*put_entry),
                        std::move(*delete_from),    std::move(*delete_through)};
  std::unique_ptr<SqliteLogStore> store(
      new SqliteLogStore(std::move(database), std::move(statements)));
  // Reads every row once, so that damage is met now.
  if (auto state = store->Load(); !state) {
    return tl::unexpected(state.error());
  }
  return store;
}

tl::unexpected<Error> SqliteLogStore::MakeCorruptError(
    const std::string& what) const {
  return MakeError(ErrorCode::kCorrupt, database_.file().string(),
                   "is damaged: " + what);
}

Result<raft::InitialState> SqliteLogStore::Load() {
  auto hard_state = LoadHardState();
  if (!hard_state) {
    return tl::unexpected(hard_state.error());
  }
  auto snapshot = LoadSnapshot();
  if (!snapshot) {
    return tl::unexpected(snapshot.error());
  }
  auto entries = LoadEntries();
  if (!entries) {
    return tl::unexpected(entries.error());
  }
  const raft::Index last =
      entries->empty() ? snapshot->index : entries->back().index;
  const bool gap =
      !entries->empty() && entries->front().index > snapshot->index + 1;
  if (gap || last < snapshot->index) {
    return MakeCorruptError("the log does not reach the snapshot at " +
                            EntryName(snapshot->index));
  }
  const bool newer_term =
      !entries->empty() && entries->back().term > hard_state->term;
  if (newer_term || snapshot->term > hard_state->term) {
    return MakeCorruptError("the log is of a later term than the stored vote");
  }
  snapshot_index_ = snapshot->index;
  last_index_ = last;
  commit_ = LoadCommit();
  return raft::InitialState{*hard_state, std::move(*snapshot),
                            std::move(*entries), commit_};
}

// Nothing rests on it: without it the node waits for a leader to tell.
raft::Index SqliteLogStore::LoadCommit() const {
  auto query = database_.Prepare("SELECT log_index FROM commit_index");
  return query && query->Step() == SQLITE_ROW ? query->Integer(0) : 0;
}

Result<raft::HardState> SqliteLogStore::LoadHardState() {
  auto query =
      database_.Prepare("SELECT term, voted_for, checksum FROM hard_state");
  if (!query) {
    return tl::unexpected(query.error());
  }
  const int code = query->Step();
  if (code == SQLITE_DONE) {
    return raft::HardState{};
  }
  if (code != SQLITE_ROW) {
    return database_.MakeSqliteError(code);
  }
  const raft::HardState hard_state{query->Integer(0), query->Integer(1)};
  if (query->Integer(2) != Checksum(hard_state)) {
    return MakeCorruptError("the term and vote");
  }
  return hard_state;
}

Result<raft::Snapshot> SqliteLogStore::LoadSnapshot() {
  auto query = database_.Prepare(
      "SELECT log_index, term, configuration, data, checksum FROM snapshot");
  if (!query) {
    return tl::unexpected(query.error());
  }
  const int code = query->Step();
  if (code == SQLITE_DONE) {
    return raft::Snapshot{};
  }
  if (code != SQLITE_ROW) {
    return database_.MakeSqliteError(code);
  }
  auto configuration = raft::DecodeConfiguration(query->Bytes(2));
  if (!configuration) {
    return MakeCorruptError("the snapshot's configuration");
  }
  raft::Snapshot snapshot{query->Integer(0), query->Integer(1),
                          std::move(*configuration), query->Bytes(3)};
  if (query->Integer(4) != Checksum(snapshot)) {
    return MakeCorruptError("the snapshot");
  }
  return snapshot;
}

Result<std::vector<raft::Entry>> SqliteLogStore::LoadEntries() {
  auto query = database_.Prepare(
      "SELECT log_index, term, kind, data, checksum FROM entries "
      "ORDER BY log_index");
  if (!query) {
    return tl::unexpected(query.error());
  }
  std::vector<raft::Entry> entries;
  int code = query->Step();
  for (; code == SQLITE_ROW; code = query->Step()) {
    raft::Entry entry{query->Integer(1), query->Integer(0),
                      static_cast<raft::EntryKind>(query->Integer(2)),
                      query->Bytes(3)};
    if (query->Integer(4) != Checksum(entry)) {
      return MakeCorruptError(EntryName(entry.index));
    }
    if (!entries.empty() && entry.index != entries.back().index + 1) {
      return MakeCorruptError("no " + EntryName(entries.back().index + 1));
    }
    entries.push_back(std::move(entry));
  }
  if (code != SQLITE_DONE) {
    return database_.MakeSqliteError(code);
  }
  return entries;
}

Result<void> SqliteLogStore::Run(Statement& statement) {
  const int code = statement.Step();
  statement.Reset();
  if (code != SQLITE_DONE) {
    return database_.MakeSqliteError(code);
  }
  return {};
}

template <typename Change>
Result<void> SqliteLogStore::RunTransaction(Change change) {
  if (failure_) {
    return tl::unexpected(*failure_);
  }
  Result<void> outcome = Run(statements_.begin);
  if (outcome) {
    outcome = change();
  }
  if (outcome) {
    outcome = Run(statements_.commit);
  }
  if (!outcome) {
    // A full disk took nothing of the transaction: it may be tried again.
    if (outcome.error().code != ErrorCode::kNoSpace) {
      failure_ = outcome.error();
    }
    logging::LogEvent(kStoreWriteFailed,
                      {{"file", database_.file().string()},
                       {"error", FormatError(outcome.error())}});
    static_cast<void>(database_.Execute("ROLLBACK"));
  }
  return outcome;
}

Result<void> SqliteLogStore::CheckReady(const raft::Ready& ready) const {
  const bool fresh = last_index_ == 0;
  if (ready.snapshot && !fresh && ready.snapshot->index <= snapshot_index_) {
    return MakeError(ErrorCode::kInvalidArgument, "snapshot",
                     "is not newer than the stored one");
  }
  if (ready.entries.empty()) {
    return {};
  }
  const raft::Index first = ready.entries.front().index;
  const raft::Index snapshot =
      ready.snapshot ? ready.snapshot->index : snapshot_index_;
  const raft::Index last = ready.snapshot ? snapshot : last_index_;
  if (first <= snapshot || first > last + 1) {
    return MakeError(ErrorCode::kInvalidArgument, "entries",
                     EntryName(first) + " does not follow the stored log");
  }
  for (std::size_t i = 0; i < ready.entries.size(); ++i) {
    if (ready.entries[i].index != first + i) {
      return MakeError(ErrorCode::kInvalidArgument, "entries",
                       "are not contiguous");
    }
  }
  return {};
}

Result<void> SqliteLogStore::Write(const raft::Ready& ready) {
  if (auto valid = CheckReady(ready); !valid) {
    return valid;
  }
  const bool empty =
      !ready.hard_state && !ready.snapshot && ready.entries.empty();
  if (empty && ready.commit <= commit_) {
    return {};
  }
  auto written = RunTransaction([&] { return PutReady(ready); });
  if (!written) {
    return written;
  }
  commit_ = std::max(commit_, ready.commit);
  if (ready.snapshot) {
    snapshot_index_ = ready.snapshot->index;
    last_index_ = snapshot_index_;
  }
  if (!ready.entries.empty()) {
    last_index_ = ready.entries.back().index;
  }
  return {};
}

Result<void> SqliteLogStore::PutReady(const raft::Ready& ready) {
  if (ready.hard_state) {
    statements_.put_hard_state.Bind(1, ready.hard_state->term)
        .Bind(2, ready.hard_state->voted_for)
        .Bind(3, Checksum(*ready.hard_state));
    if (auto put = Run(statements_.put_hard_state); !put) {
      return put;
    }
  }
  if (ready.snapshot) {
    statements_.delete_from.Bind(1, 0);
    if (auto deleted = Run(statements_.delete_from); !deleted) {
      return deleted;
    }
    if (auto put = PutSnapshot(*ready.snapshot); !put) {
      return put;
    }
  }
  if (auto put = PutCommit(ready.commit); !put) {
    return put;
  }
  return PutEntries(ready.entries);
}

Result<void> SqliteLogStore::PutCommit(raft::Index commit) {
  if (commit <= commit_) {
    return {};
  }
  statements_.put_commit.Bind(1, commit);
  return Run(statements_.put_commit);
}

Result<void> SqliteLogStore::PutSnapshot(const raft::Snapshot& snapshot) {
  const std::string configuration =
      raft::EncodeConfiguration(snapshot.configuration);
  statements_.put_snapshot.Bind(1, snapshot.index)
      .Bind(2, snapshot.term)
      .BindBlob(3, configuration)
      .BindBlob(4, snapshot.data)
      .Bind(5, Checksum(snapshot));
  return Run(statements_.put_snapshot);
}

Result<void> SqliteLogStore::PutEntries(
    const std::vector<raft::Entry>& entries) {
  if (entries.empty()) {
    return {};
  }
  if (entries.front().index <= last_index_) {
    statements_.delete_from.Bind(1, entries.front().index);
    if (auto deleted = Run(statements_.delete_from); !deleted) {
      return deleted;
    }
  }
  for (const raft::Entry& entry : entries) {
    statements_.put_entry.Bind(1, entry.index)
        .Bind(2, entry.term)
        .Bind(3, static_cast<std::uint64_t>(entry.kind))
        .BindBlob(4, entry.data)
        .Bind(5, Checksum(entry));
    if (auto put = Run(statements_.put_entry); !put) {
      return put;
    }
  }
  return {};
}

Result<void> SqliteLogStore::Compact(const raft::Snapshot& snapshot,
                                     raft::Index kept_entries) {
  if (snapshot.index < snapshot_index_ || snapshot.index > last_index_) {
    return MakeError(ErrorCode::kInvalidArgument, "snapshot",
                     "is not within the stored log");
  }
  const raft::Index kept = std::min(kept_entries, snapshot.index);
  auto compacted = RunTransaction([&]() -> Result<void> {
    if (auto put = PutSnapshot(snapshot); !put) {
      return put;
    }
    statements_.delete_through.Bind(1, snapshot.index - kept);
    return Run(statements_.delete_through);
  });
  if (compacted) {
    snapshot_index_ = snapshot.index;
  }
  return compacted;
}

Result<void> SqliteLogStore::Backup(const std::filesystem::path& file) {
  const std::filesystem::path partial = file.string() + ".partial";
  std::error_code ignored;
  std::filesystem::remove(partial, ignored);
  {
    auto target = Database::Open(partial, /*create=*/true);
    if (!target) {
      return tl::unexpected(target.error());
    }
    sqlite3_backup* backup = sqlite3_backup_init(target->handle(), "main",
                                                 database_.handle(), "main");
    if (backup == nullptr) {
      return target->MakeSqliteError(sqlite3_errcode(target->handle()));
    }
    sqlite3_backup_step(backup, kPagesInOneBackupStep);
    const int code = sqlite3_backup_finish(backup);
    if (code != SQLITE_OK) {
      return target->MakeSqliteError(code);
    }
  }
  return PublishFile(partial, file);
}

}  // namespace juniperway::storage
