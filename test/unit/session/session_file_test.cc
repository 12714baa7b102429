// Tests the file that a daemon keeps over a restart. Guards against a start
// that refuses what a kill during the last write left.
#include "common/session/session_file.h"

#include <doctest/doctest.h>

#include <fstream>

#include "support/temporary_folder.h"

namespace juniperway::session {
namespace {

TEST_CASE("A write that was cut short leaves the record before it") {
  const test::TemporaryFolder folder;
  const auto path = folder.path() / "data";
  {
    const auto file = SessionFile::Open(path, "cluster", "daemon");
    REQUIRE(file);
    REQUIRE((*file)->Write({.revision = 3, .incarnation = 8}));
  }
  std::ofstream(path / "session.json.new") << "{\"format\": 1, \"rev";
  const auto file = SessionFile::Open(path, "cluster", "daemon");
  REQUIRE(file);
  CHECK((*file)->record().revision == 3);
  CHECK((*file)->record().incarnation == 8);
  REQUIRE((*file)->Write({.revision = 4, .incarnation = 9}));
}

TEST_CASE("A first write that was cut short leaves no record") {
  const test::TemporaryFolder folder;
  std::ofstream(folder.path() / "session.lock").flush();
  std::ofstream(folder.path() / "session.json.new") << "{";
  const auto file = SessionFile::Open(folder.path(), "cluster", "daemon");
  REQUIRE(file);
  CHECK((*file)->record().revision == 0);
  CHECK((*file)->record().incarnation == 0);
}

}  // namespace
}  // namespace juniperway::session
