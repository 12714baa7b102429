#include "common/forwarding/connection_allowance.h"

#include <algorithm>

namespace juniperway::forwarding {
namespace {

// Number of answers on each allowed connection before the router may use one
// more. At a few answers per second the router uses its whole share within one
// or two seconds.
constexpr double kAnswersPerStep = 4;
// Factor that a refused or reset connection applies to the number of
// connections.
constexpr double kDecrease = 0.5;

}  // namespace

std::size_t ConnectionAllowance::Get(std::size_t ceiling) const {
  return std::clamp<std::size_t>(static_cast<std::size_t>(connections_), 1,
                                 std::max<std::size_t>(1, ceiling));
}

void ConnectionAllowance::OnAnswered(std::size_t ceiling) {
  connections_ = std::min(static_cast<double>(ceiling),
                          connections_ + 1 / (kAnswersPerStep * connections_));
  connections_ = std::max(connections_, 1.0);
}

void ConnectionAllowance::OnRefused() {
  connections_ = std::max(1.0, connections_ * kDecrease);
}

}  // namespace juniperway::forwarding
