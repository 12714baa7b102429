// Processes that the lab starts.
#include "lab/fleet/child_process.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "support/temporary_folder.h"

namespace juniperway::lab {
namespace {

constexpr Duration kLimit = seconds(60);

TEST_CASE("a child does not inherit open sockets") {
  const test::TemporaryFolder folder;
  // As a proxy's accepted sockets: nothing marks them for closing at exec.
  std::array<int, 2> sockets{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
  auto child = ChildProcess::Start(
      "/bin/sh", {"-c", fmt::format("test ! -e /proc/self/fd/{}", sockets[0])},
      (folder.path() / "log").string());
  REQUIRE(child);
  CHECK(child->Wait(kLimit) == 0);
  ::close(sockets[0]);
  ::close(sockets[1]);
}

}  // namespace
}  // namespace juniperway::lab
