#include "common/storage/sqlite.h"

#include <utility>

namespace juniperway::storage {

Statement::Statement(sqlite3_stmt* statement) : statement_(statement) {}

Statement& Statement::Bind(int parameter, std::uint64_t value) {
  sqlite3_bind_int64(statement_.get(), parameter,
                     static_cast<sqlite3_int64>(value));
  return *this;
}

Statement& Statement::BindBlob(int parameter, std::string_view value) {
  // A null pointer would bind NULL in place of an empty blob.
  const char* data = value.empty() ? "" : value.data();
  sqlite3_bind_blob64(statement_.get(), parameter, data, value.size(),
                      SQLITE_STATIC);
  return *this;
}

Statement& Statement::BindText(int parameter, std::string_view value) {
  const char* data = value.empty() ? "" : value.data();
  sqlite3_bind_text64(statement_.get(), parameter, data, value.size(),
                      SQLITE_STATIC, SQLITE_UTF8);
  return *this;
}

int Statement::Step() { return sqlite3_step(statement_.get()); }

void Statement::Reset() { sqlite3_reset(statement_.get()); }

std::uint64_t Statement::Integer(int column) const {
  return static_cast<std::uint64_t>(
      sqlite3_column_int64(statement_.get(), column));
}

std::string Statement::Bytes(int column) const {
  const void* data = sqlite3_column_blob(statement_.get(), column);
  const int size = sqlite3_column_bytes(statement_.get(), column);
  if (data == nullptr) {
    return {};
  }
  return {static_cast<const char*>(data), static_cast<std::size_t>(size)};
}

Database::Database(sqlite3* handle, std::filesystem::path file)
    : handle_(handle), file_(std::move(file)) {}

Result<Database> Database::Open(const std::filesystem::path& file,
                                bool create) {
  const int flags = SQLITE_OPEN_READWRITE | (create ? SQLITE_OPEN_CREATE : 0);
  sqlite3* handle = nullptr;
  const int code = sqlite3_open_v2(file.c_str(), &handle, flags, nullptr);
  Database database(handle, file);  // owns the handle also after a failure
  if (code != SQLITE_OK) {
    return database.MakeSqliteError(code);
  }
  return database;
}

Result<Statement> Database::Prepare(std::string_view sql) const {
  sqlite3_stmt* statement = nullptr;
  const int code = sqlite3_prepare_v2(
      handle(), sql.data(), static_cast<int>(sql.size()), &statement, nullptr);
  if (code != SQLITE_OK) {
    return MakeSqliteError(code);
  }
  return Statement(statement);
}

Result<void> Database::Execute(const std::string& sql) const {
  const int code =
      sqlite3_exec(handle(), sql.c_str(), nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) {
    return MakeSqliteError(code);
  }
  return {};
}

Result<std::string> Database::QueryText(std::string_view sql) const {
  auto statement = Prepare(sql);
  if (!statement) {
    return tl::unexpected(statement.error());
  }
  const int code = statement->Step();
  if (code == SQLITE_DONE) {
    return MakeSqliteError(SQLITE_CORRUPT);
  }
  if (code != SQLITE_ROW) {
    return MakeSqliteError(code);
  }
  return statement->Bytes(0);
}

tl::unexpected<Error> Database::MakeSqliteError(int code) const {
  const int primary = code & 0xff;
  const std::string reason = sqlite3_errstr(code);
  if (primary == SQLITE_CORRUPT || primary == SQLITE_NOTADB) {
    return MakeError(ErrorCode::kCorrupt, file_.string(),
                     "is damaged (" + reason + ")");
  }
  if (primary == SQLITE_BUSY || primary == SQLITE_LOCKED) {
    return MakeError(ErrorCode::kUnavailable, file_.string(),
                     "is in use by another process");
  }
  if (primary == SQLITE_FULL) {
    return MakeError(ErrorCode::kNoSpace, file_.string(), reason);
  }
  return MakeError(ErrorCode::kIo, file_.string(), reason);
}

}  // namespace juniperway::storage
