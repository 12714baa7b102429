// A thin typed layer over SQLite's C interface: connections and statements that
// close themselves, and errors as values that name the file.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>

#include "common/base/error.h"

namespace juniperway::storage {

// One row-producing or writing statement. Reset before each use by Bind… / Run.
class Statement {
 public:
  explicit Statement(sqlite3_stmt* statement);

  // Parameters count from 1. Blobs and text must live until the next Reset().
  Statement& Bind(int parameter, std::uint64_t value);
  Statement& BindBlob(int parameter, std::string_view value);
  Statement& BindText(int parameter, std::string_view value);

  // @return SQLITE_ROW, SQLITE_DONE or an error code.
  int Step();
  void Reset();

  // Columns count from 0.
  std::uint64_t Integer(int column) const;
  std::string Bytes(int column) const;

 private:
  struct Finalizer {
    void operator()(sqlite3_stmt* statement) const {
      sqlite3_finalize(statement);
    }
  };
  std::unique_ptr<sqlite3_stmt, Finalizer> statement_;
};

class Database {
 public:
  // Opens an existing or new file.
  static Result<Database> Open(const std::filesystem::path& file, bool create);

  Result<Statement> Prepare(std::string_view sql) const;
  // Runs statements that give no rows.
  Result<void> Execute(const std::string& sql) const;
  // The first column of the first row, as text. kCorrupt if there is no row.
  Result<std::string> QueryText(std::string_view sql) const;

  // The error that `code` stands for, naming the file: kCorrupt for damage,
  // kUnavailable for a lock held elsewhere, else kIo.
  tl::unexpected<Error> MakeSqliteError(int code) const;

  sqlite3* handle() const { return handle_.get(); }
  const std::filesystem::path& file() const { return file_; }

 private:
  struct Closer {
    void operator()(sqlite3* handle) const { sqlite3_close_v2(handle); }
  };
  Database(sqlite3* handle, std::filesystem::path file);

  std::unique_ptr<sqlite3, Closer> handle_;
  std::filesystem::path file_;
};

}  // namespace juniperway::storage
