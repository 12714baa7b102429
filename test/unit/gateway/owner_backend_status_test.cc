// A report on a backend must not stay replaced by an earlier one that arrived
// late.
#include "common/gateway/owner_backend_status.h"

#include <doctest/doctest.h>
#include <prometheus/registry.h>

#include "unit/owner/gate_fixture.h"

namespace juniperway::gateway {
namespace {

using owner::testing::At;
using session::BackendReport;

const BackendReport kInUse{.held_versions = {}, .draining = false};
const BackendReport kDraining{.held_versions = {}, .draining = true};

// A backend whose owner has reported that it drains.
struct DrainingBackend {
  DrainingBackend() {
    gate.SetReportedDraining(true, At(1));
    REQUIRE(status.TakeReport(gate, held) == kDraining);
    REQUIRE_FALSE(status.TakeReport(gate, held));
  }

  prometheus::Registry registry;
  OwnerMetrics metrics{registry};
  owner::BackendGate gate = owner::testing::OpenGate({}, At(0));
  owner::HeldVersions held;
  OwnerBackendStatus status{"backend", metrics};
};

TEST_CASE("A report that a late one replaced is sent again") {
  DrainingBackend backend;
  backend.status.OnStoredReport(kDraining);
  CHECK_FALSE(backend.status.TakeReport(backend.gate, backend.held));
  backend.status.OnStoredReport(kInUse);
  CHECK(backend.status.TakeReport(backend.gate, backend.held) == kDraining);
}

TEST_CASE("A report that is not stored yet is sent once") {
  DrainingBackend backend;
  backend.status.OnStoredReport(std::nullopt);
  CHECK_FALSE(backend.status.TakeReport(backend.gate, backend.held));
  backend.status.OnStoredReport(kDraining);
  CHECK_FALSE(backend.status.TakeReport(backend.gate, backend.held));
}

}  // namespace
}  // namespace juniperway::gateway
