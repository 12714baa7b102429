// Durable storage of the consensus log. Nothing is acknowledged before it is
// synced. A damaged or foreign data folder is an error, never a fresh start.
#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <vector>

#include "common/base/error.h"
#include "common/raft/fsm.h"

namespace juniperway::storage {

class LogStore {
 public:
  virtual ~LogStore() = default;

  // Everything stored, for the start of the process.
  virtual Result<raft::InitialState> Load() = 0;

  // Writes and syncs all of it as one transaction: a snapshot replaces older
  // state, entries truncate conflicting ones.
  // What is committed is noted with it; a Ready that holds nothing else is
  // written where that grew.
  // @return kNoSpace when the disk is full: nothing was written, and the same
  //   may be tried again. After any other fault nothing more is written.
  virtual Result<void> Write(const raft::Ready& ready) = 0;

  // Stores a snapshot taken locally and drops entries up to its index, except
  // the last `kept_entries` (which serve slow followers).
  virtual Result<void> Compact(const raft::Snapshot& snapshot,
                               raft::Index kept_entries) = 0;

  // Writes a consistent copy of the database to `file`.
  virtual Result<void> Backup(const std::filesystem::path& file) = 0;
};

struct OpenOptions {
  std::filesystem::path folder;
  // Identity of the cluster and node; a folder of another one is refused.
  std::string cluster;
  raft::NodeId node = raft::kNoNode;
  // Create the store if the folder has none. Off: kNotFound instead.
  bool create = false;
  // What a created store holds. A crash leaves either no store or one with
  // this in it.
  std::optional<raft::Snapshot> first_snapshot = std::nullopt;
};

// Whether the folder holds a store, which may be damaged.
// @return kCorrupt when only parts of a store are there, kIo when the folder
//   cannot be read.
Result<bool> HasStore(const std::filesystem::path& folder);

// Opens the SQLite store (synchronous=FULL). Checks integrity first.
Result<std::unique_ptr<LogStore>> OpenSqliteLogStore(
    const OpenOptions& options);

}  // namespace juniperway::storage
