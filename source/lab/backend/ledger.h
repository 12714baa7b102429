// The synced record of every subquery that a stand-in back end began: the
// evidence for at-most-once and for refusals that say "not run".
#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/base/error.h"
#include "common/base/key_range.h"
#include "common/base/time.h"
#include "common/resources/resource.h"

namespace juniperway::lab {

struct LedgerEntry {
  // When it began, on the machine-wide monotonic clock.
  MonotonicTime time;
  std::string backend;
  std::string request_id;
  std::string attempt_id;
  std::string shard;
  resources::IndexVersion index_version = 0;
  KeyRange range;
};

// Appends entries to a file. An entry is written before Append returns, so that
// the death of the process loses none; a thread syncs the file behind it.
class Ledger {
 public:
  // Throws std::system_error when the file cannot be opened (set-up fault).
  explicit Ledger(const std::string& path);
  // Syncs what is left.
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  void Append(const LedgerEntry& entry);

 private:
  void SyncLoop();

  int file_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool unsynced_ = false;
  bool stopping_ = false;
  std::thread syncer_;
};

// Reads a ledger file. A missing file is an error; a torn last line is dropped.
Result<std::vector<LedgerEntry>> ReadLedger(const std::string& path);

}  // namespace juniperway::lab
