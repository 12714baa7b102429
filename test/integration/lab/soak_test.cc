// A short soak with a fixed seed: real processes under random faults keep every
// promise and come back.
#include <doctest/doctest.h>

#include "lab/soak/run.h"
#include "support/temporary_folder.h"

namespace juniperway::test {
namespace {

TEST_CASE("a fleet under random faults keeps every promise") {
  const TemporaryFolder folder;
  lab::SoakOptions options;
  options.seed = 1;
  options.duration = seconds(8);
  options.binary_folder = JUNIPERWAY_BINARY_FOLDER;
  options.folder = folder.path();
  const lab::SoakReport report = lab::RunSoak(options);
  for (const std::string& line : report.broken) {
    CAPTURE(line);
    CHECK(line.empty());
  }
  CHECK(report.faults.size() > 1);
  CHECK(report.changes > 1);
  CHECK(report.reads > 1);
  CHECK(report.zone_orders > 1);
  CHECK(report.zones_reads > 1);
  CHECK(report.served > 10);
}

}  // namespace
}  // namespace juniperway::test
