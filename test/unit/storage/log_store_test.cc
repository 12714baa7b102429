// The consensus store: what was written comes back, and a folder that is
// missing, foreign, truncated or damaged is refused with a clear error.
#include "common/storage/log_store.h"

#include <doctest/doctest.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string>

#include "common/raft/configuration.h"
#include "common/raft/fsm.h"

namespace juniperway::storage {
namespace {

namespace fs = std::filesystem;

// An empty folder that goes away with the test.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string path = fs::temp_directory_path() / "juniperway-store-XXXXXX";
    REQUIRE(mkdtemp(path.data()) != nullptr);
    path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    fs::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const fs::path& path() const { return path_; }
  fs::path store() const { return path_ / "consensus.db"; }

 private:
  fs::path path_;
};

OpenOptions MakeOptions(const TemporaryFolder& folder, bool create) {
  return OpenOptions{folder.path(), "lin", 1, create};
}

std::unique_ptr<LogStore> MustOpen(const TemporaryFolder& folder) {
  auto store = OpenSqliteLogStore(MakeOptions(folder, /*create=*/true));
  if (!store) {
    FAIL(FormatError(store.error()));
  }
  return std::move(*store);
}

raft::Entry MakeEntry(raft::Index index, raft::Term term,
                      const std::string& data) {
  return raft::Entry{term, index, raft::EntryKind::kCommand, data};
}

raft::Ready MakeReady(raft::Term term, raft::Index first, int count) {
  raft::Ready ready;
  ready.hard_state = raft::HardState{term, 1};
  for (int i = 0; i < count; ++i) {
    ready.entries.push_back(MakeEntry(first + i, term, "command"));
  }
  return ready;
}

Error MustFail(const OpenOptions& options) {
  auto store = OpenSqliteLogStore(options);
  REQUIRE_FALSE(store);
  CHECK(store.error().field.find("consensus.db") != std::string::npos);
  return store.error();
}

TEST_CASE("What was written comes back after a restart") {
  const TemporaryFolder folder;
  raft::Ready ready = MakeReady(3, 1, 2);
  ready.entries[1].data = std::string("\0\xff", 2);
  REQUIRE(MustOpen(folder)->Write(ready));
  const auto state = MustOpen(folder)->Load();
  REQUIRE(state);
  CHECK(state->hard_state == raft::HardState{3, 1});
  CHECK(state->entries == ready.entries);
  CHECK(state->snapshot.index == 0);
}

TEST_CASE("The commit index comes back, noted with entries or alone") {
  const TemporaryFolder folder;
  {
    auto store = MustOpen(folder);
    raft::Ready ready = MakeReady(1, 1, 3);
    ready.commit = 2;
    REQUIRE(store->Write(ready));
  }
  {
    auto store = MustOpen(folder);
    const auto state = store->Load();
    REQUIRE(state);
    CHECK(state->commit == 2);
    raft::Ready note;
    note.commit = 3;
    REQUIRE(store->Write(note));
    note.commit = 1;
    REQUIRE(store->Write(note));  // never goes back
  }
  const auto state = MustOpen(folder)->Load();
  REQUIRE(state);
  CHECK(state->commit == 3);
  CHECK(state->entries.size() == 3);
}

TEST_CASE("Later entries replace conflicting ones") {
  const TemporaryFolder folder;
  const auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 5)));
  REQUIRE(store->Write(MakeReady(2, 3, 1)));
  const auto state = store->Load();
  REQUIRE(state);
  REQUIRE(state->entries.size() == 3);
  CHECK(state->entries.back() == MakeEntry(3, 2, "command"));
}

TEST_CASE("A write that would leave a gap is refused and changes nothing") {
  const TemporaryFolder folder;
  const auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 2)));
  const auto refused = store->Write(MakeReady(1, 4, 1));
  REQUIRE_FALSE(refused);
  CHECK(refused.error().code == ErrorCode::kInvalidArgument);
  REQUIRE(store->Write(MakeReady(1, 3, 1)));
  CHECK(store->Load()->entries.size() == 3);
}

TEST_CASE("A received snapshot replaces the log") {
  const TemporaryFolder folder;
  const auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 5)));
  raft::Ready ready = MakeReady(2, 10, 1);
  ready.snapshot = raft::Snapshot{9, 2, {{{1, "a:1"}}, {{2, "b:2"}}}, "state"};
  REQUIRE(store->Write(ready));
  const auto state = store->Load();
  REQUIRE(state);
  CHECK(state->snapshot.index == 9);
  CHECK(state->snapshot.data == "state");
  CHECK(state->snapshot.configuration == ready.snapshot->configuration);
  CHECK(state->entries == ready.entries);
  CHECK_FALSE(store->Write(ready));  // an old snapshot never comes back
}

TEST_CASE("Compaction keeps the entries asked for") {
  const TemporaryFolder folder;
  const auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 10)));
  REQUIRE(store->Compact(raft::Snapshot{8, 1, {}, "state"}, 3));
  const auto state = store->Load();
  REQUIRE(state);
  REQUIRE(state->entries.size() == 5);
  CHECK(state->entries.front().index == 6);
  CHECK_FALSE(store->Compact(raft::Snapshot{11, 1, {}, "state"}, 3));
}

TEST_CASE("A backup is a store of its own") {
  const TemporaryFolder folder;
  const TemporaryFolder other;
  const auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 10)));
  REQUIRE(store->Backup(other.store()));
  REQUIRE(store->Write(MakeReady(1, 11, 1)));
  const auto copy = MustOpen(other)->Load();
  REQUIRE(copy);
  CHECK(copy->entries.size() == 10);
}

TEST_CASE("A backup replaces what an interrupted one left") {
  const TemporaryFolder folder;
  const TemporaryFolder other;
  const auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 10)));
  std::ofstream(other.store().string() + ".partial") << "part";
  std::ofstream(other.store().string() + ".partial-journal") << "part";
  REQUIRE(store->Backup(other.store()));
  const auto copy = MustOpen(other)->Load();
  REQUIRE(copy);
  CHECK(copy->entries.size() == 10);
}

TEST_CASE("A store is created with its first snapshot, or not at all") {
  const TemporaryFolder folder;
  std::ofstream(folder.store().string() + ".new") << "part";
  std::ofstream(folder.store().string() + ".new-journal") << "part";
  CHECK(HasStore(folder.path()) == false);
  OpenOptions options = MakeOptions(folder, /*create=*/true);
  options.first_snapshot = raft::MakeFirstSnapshot({{2, "b:1"}, {1, "a:1"}});
  // Nothing is written after the store has its name.
  REQUIRE(OpenSqliteLogStore(options));
  CHECK(HasStore(folder.path()) == true);
  const auto state = MustOpen(folder)->Load();
  REQUIRE(state);
  CHECK(state->snapshot.index == 0);
  CHECK(state->snapshot.configuration ==
        raft::Configuration{{{1, "a:1"}, {2, "b:1"}}, {}});
}

TEST_CASE("A missing store is not created unasked") {
  const TemporaryFolder folder;
  CHECK(MustFail(MakeOptions(folder, /*create=*/false)).code ==
        ErrorCode::kNotFound);
  CHECK(fs::is_empty(folder.path()));
}

TEST_CASE("A store in use is refused") {
  const TemporaryFolder folder;
  const auto store = MustOpen(folder);
  CHECK(MustFail(MakeOptions(folder, true)).code == ErrorCode::kUnavailable);
  CHECK_FALSE(fs::exists(folder.store().string() + "-shm"));
}

TEST_CASE("A store of another cluster or node is refused") {
  const TemporaryFolder folder;
  MustOpen(folder);
  OpenOptions options = MakeOptions(folder, true);
  SUBCASE("cluster") { options.cluster = "tadamoun"; }
  SUBCASE("node") { options.node = 2; }
  CHECK(MustFail(options).code == ErrorCode::kCorrupt);
}

// Every way of damage is refused also when creating is allowed.
TEST_CASE("A damaged store is refused, never started anew") {
  const TemporaryFolder folder;
  {
    const auto store = MustOpen(folder);
    REQUIRE(store->Write(MakeReady(1, 1, 500)));
  }
  const auto size = fs::file_size(folder.store());
  SUBCASE("truncated to nothing") { fs::resize_file(folder.store(), 0); }
  SUBCASE("truncated to less than a header") {
    fs::resize_file(folder.store(), 50);
  }
  SUBCASE("truncated by half") { fs::resize_file(folder.store(), size / 2); }
  SUBCASE("truncated by a page") {
    fs::resize_file(folder.store(), size - 4096);
  }
  SUBCASE("not a database") {
    std::ofstream(folder.store()) << std::string(10000, 'x');
  }
  SUBCASE("a flipped bit in a command") {
    std::fstream file(folder.store(),
                      std::ios::in | std::ios::out | std::ios::binary);
    const std::string content((std::istreambuf_iterator<char>(file)),
                              std::istreambuf_iterator<char>());
    const auto position = content.rfind("command");
    REQUIRE(position != std::string::npos);
    file.clear();
    file.seekp(static_cast<std::streamoff>(position));
    file.put('C');
  }
  SUBCASE("another program's database") {
    fs::remove(folder.store());
    sqlite3* handle = nullptr;
    REQUIRE(sqlite3_open(folder.store().c_str(), &handle) == SQLITE_OK);
    REQUIRE(sqlite3_exec(handle, "CREATE TABLE t (x)", nullptr, nullptr,
                         nullptr) == SQLITE_OK);
    sqlite3_close(handle);
  }
  SUBCASE("a later schema") {
    sqlite3* handle = nullptr;
    REQUIRE(sqlite3_open(folder.store().c_str(), &handle) == SQLITE_OK);
    REQUIRE(sqlite3_exec(handle, "PRAGMA user_version = 99", nullptr, nullptr,
                         nullptr) == SQLITE_OK);
    sqlite3_close(handle);
  }
  SUBCASE("a lost database beside its write-ahead log") {
    fs::rename(folder.store(), folder.store().string() + "-wal");
  }
  CHECK(MustFail(MakeOptions(folder, true)).code == ErrorCode::kCorrupt);
}

// Files of this process can't grow past `bytes` while it lives: the kernel
// refuses the write, as on a full disk.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(rlim_t bytes) {
    REQUIRE(getrlimit(RLIMIT_FSIZE, &before_) == 0);
    handler_ = std::signal(SIGXFSZ, SIG_IGN);
    const rlimit limit{bytes, before_.rlim_max};
    REQUIRE(setrlimit(RLIMIT_FSIZE, &limit) == 0);
  }
  ~FileSizeLimit() {
    setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, handler_);
  }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;

 private:
  rlimit before_{};
  void (*handler_)(int) = SIG_DFL;
};

TEST_CASE("A full disk is an error for good, and costs nothing acknowledged") {
  const TemporaryFolder folder;
  auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 5)));
  raft::Ready large = MakeReady(1, 6, 1);
  large.entries[0].data = std::string(4 << 20, 'x');
  {
    const FileSizeLimit limit(1 << 20);
    const auto refused = store->Write(large);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == ErrorCode::kIo);
    CHECK(refused.error().field.find("consensus.db") != std::string::npos);
  }
  // What the disk holds is unknown until the store is opened anew.
  CHECK_FALSE(store->Write(MakeReady(1, 6, 1)));
  store.reset();
  const auto state = MustOpen(folder)->Load();
  REQUIRE(state);
  CHECK(state->entries.size() == 5);
}

TEST_CASE("What was written is there after a crash without a close") {
  const TemporaryFolder folder;
  const TemporaryFolder crashed;
  const auto store = MustOpen(folder);
  REQUIRE(store->Write(MakeReady(1, 1, 50)));
  for (const auto& file : fs::directory_iterator(folder.path())) {
    fs::copy_file(file.path(), crashed.path() / file.path().filename());
  }
  const auto state = MustOpen(crashed)->Load();
  REQUIRE(state);
  CHECK(state->entries.size() == 50);
}

}  // namespace
}  // namespace juniperway::storage
