// Layout of the consensus store's database.
#pragma once

namespace juniperway::storage {

inline constexpr const char* kStoreFileName = "consensus.db";
// Marks the file as this product's ("JPWY").
inline constexpr int kApplicationId = 0x4a505759;
// Raised with each change of the tables; a store of another one is refused.
inline constexpr int kSchemaVersion = 1;

// `checksum` is the XXH3 hash of the row's other values: SQLite's own check
// covers the structure of pages, not what the rows hold.
inline constexpr const char* kSchema = R"sql(
CREATE TABLE identity (
  cluster TEXT NOT NULL,
  node INTEGER NOT NULL
);
CREATE TABLE hard_state (
  id INTEGER PRIMARY KEY CHECK (id = 1),
  term INTEGER NOT NULL,
  voted_for INTEGER NOT NULL,
  checksum INTEGER NOT NULL
);
CREATE TABLE snapshot (
  id INTEGER PRIMARY KEY CHECK (id = 1),
  log_index INTEGER NOT NULL,
  term INTEGER NOT NULL,
  configuration BLOB NOT NULL,
  data BLOB NOT NULL,
  checksum INTEGER NOT NULL
);
CREATE TABLE entries (
  log_index INTEGER PRIMARY KEY,
  term INTEGER NOT NULL,
  kind INTEGER NOT NULL,
  data BLOB NOT NULL,
  checksum INTEGER NOT NULL
);
)sql";

// Later than the first stores, which get it when they are opened. May lag.
inline constexpr const char* kCommitSchema = R"sql(
CREATE TABLE IF NOT EXISTS commit_index (
  id INTEGER PRIMARY KEY CHECK (id = 1),
  log_index INTEGER NOT NULL
);
)sql";

}  // namespace juniperway::storage
