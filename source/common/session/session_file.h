// What a daemon keeps over a restart: the last revision that it took, so that
// it never takes an older one, and its incarnation, which grows with each
// start. One small file in the data folder, replaced by rename after a sync,
// and locked against a second process.
#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

#include "common/base/error.h"
#include "common/resources/resource.h"

namespace juniperway::session {

struct SessionRecord {
  resources::Revision revision = 0;
  std::uint64_t incarnation = 0;
};

class SessionFile {
 public:
  // Locks the folder (created if it is missing) and reads the file; no file
  // gives a record of zeros.
  // @return kConflict when another process holds the lock, kCorrupt when the
  //   file is damaged or belongs to another cluster or daemon, kIo otherwise.
  static Result<std::unique_ptr<SessionFile>> Open(
      const std::filesystem::path& folder, const std::string& cluster,
      const std::string& daemon_id);
  ~SessionFile();
  SessionFile(const SessionFile&) = delete;
  SessionFile& operator=(const SessionFile&) = delete;

  // What the file held when it was opened.
  const SessionRecord& record() const { return record_; }

  // Replaces the file; when this returns the record is synced. May run on
  // another thread than the others, one call at a time.
  Result<void> Write(const SessionRecord& record) const;

 private:
  SessionFile(std::filesystem::path folder, std::string cluster,
              std::string daemon_id, int lock);
  Result<void> Read();

  std::filesystem::path folder_;
  std::string cluster_;
  std::string daemon_id_;
  int lock_ = -1;
  SessionRecord record_;
};

}  // namespace juniperway::session
