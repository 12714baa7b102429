#include "lab/backend/ledger.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <nlohmann/json.hpp>
#include <system_error>
#include <utility>

namespace juniperway::lab {
namespace {

std::string FormatEntry(const LedgerEntry& entry) {
  const nlohmann::json json = {{"t", entry.time.time_since_epoch().count()},
                               {"backend", entry.backend},
                               {"request", entry.request_id},
                               {"attempt", entry.attempt_id},
                               {"shard", entry.shard},
                               {"version", entry.index_version},
                               {"begin", entry.range.begin},
                               {"end", entry.range.end}};
  return json.dump() + "\n";
}

LedgerEntry EntryFromJson(const nlohmann::json& json) {
  LedgerEntry entry;
  entry.time = MonotonicTime(Duration(json.at("t").get<Duration::rep>()));
  entry.backend = json.at("backend");
  entry.request_id = json.at("request");
  entry.attempt_id = json.at("attempt");
  entry.shard = json.at("shard");
  entry.index_version = json.at("version");
  entry.range = {json.at("begin"), json.at("end")};
  return entry;
}

}  // namespace

Ledger::Ledger(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                   0644)) {
  if (file_ < 0) {
    throw std::system_error(errno, std::generic_category(), path);
  }
  syncer_ = std::thread([this] { SyncLoop(); });
}

Ledger::~Ledger() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  syncer_.join();
  ::close(file_);
}

void Ledger::Append(const LedgerEntry& entry) {
  const std::string line = FormatEntry(entry);
  const ssize_t written = ::write(file_, line.data(), line.size());
  CHECK_EQ(written, static_cast<ssize_t>(line.size()))
      << "a ledger that loses entries proves nothing";
  {
    const std::lock_guard lock(mutex_);
    unsynced_ = true;
  }
  changed_.notify_one();
}

void Ledger::SyncLoop() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return unsynced_ || stopping_; });
    if (!unsynced_) {
      return;
    }
    unsynced_ = false;
    lock.unlock();
    CHECK_EQ(::fdatasync(file_), 0);
    lock.lock();
  }
}

Result<std::vector<LedgerEntry>> ReadLedger(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeError(ErrorCode::kIo, path, "cannot be read");
  }
  std::vector<LedgerEntry> entries;
  std::string line;
  while (std::getline(file, line)) {
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (json.is_discarded()) {
      if (file.peek() == std::ifstream::traits_type::eof()) {
        break;
      }
      return MakeError(ErrorCode::kCorrupt, path, "holds a damaged line");
    }
    entries.push_back(EntryFromJson(json));
  }
  return entries;
}

}  // namespace juniperway::lab
