// A log store whose disk can be full, for tests.
#pragma once

#include <filesystem>
#include <memory>
#include <utility>

#include "common/storage/log_store.h"

namespace juniperway::test {

// Passes every call on to `store`, but while `full` is set, each write fails
// with kNoSpace. The owner of `full` must outlive the object.
class FullDiskStore final : public storage::LogStore {
 public:
  FullDiskStore(std::unique_ptr<storage::LogStore> store, const bool& full)
      : store_(std::move(store)), full_(full) {}

  Result<raft::InitialState> Load() override { return store_->Load(); }
  Result<void> Write(const raft::Ready& ready) override {
    return full_ ? NoSpace() : store_->Write(ready);
  }
  Result<void> Compact(const raft::Snapshot& snapshot,
                       raft::Index kept_entries) override {
    return full_ ? NoSpace() : store_->Compact(snapshot, kept_entries);
  }
  Result<void> Backup(const std::filesystem::path& file) override {
    return full_ ? NoSpace() : store_->Backup(file);
  }

 private:
  static Result<void> NoSpace() {
    return MakeError(ErrorCode::kNoSpace, "consensus.db", "the disk is full");
  }

  std::unique_ptr<storage::LogStore> store_;
  const bool& full_;
};

}  // namespace juniperway::test
