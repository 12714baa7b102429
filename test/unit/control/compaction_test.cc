// Guards against snapshots that cost more than the log they replace: a large
// state must not be written again after every few log entries.
#include <doctest/doctest.h>

#include "common/control/raft_driver.h"

namespace juniperway::control {
namespace {

TEST_CASE("A snapshot is due when the log has grown as large as the state") {
  const CompactionLimits limits{
      .bytes = 1000, .entries = 10, .kept_entries = 0};
  CHECK_FALSE(IsCompactionDue(limits, 999, 9, 0));
  CHECK(IsCompactionDue(limits, 1000, 1, 0));
  CHECK(IsCompactionDue(limits, 1, 10, 0));
  CHECK_FALSE(IsCompactionDue({}, 0, 0, 0));
  // A state of 1 MiB is not written again for each kilobyte of log.
  constexpr std::size_t kState = 1U << 20;
  CHECK_FALSE(IsCompactionDue(limits, kState - 1, 1023, kState));
  CHECK(IsCompactionDue(limits, kState, 1, kState));
  CHECK(IsCompactionDue(limits, 1, 1024, kState));
}

}  // namespace
}  // namespace juniperway::control
