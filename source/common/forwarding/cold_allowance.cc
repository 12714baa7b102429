#include "common/forwarding/cold_allowance.h"

#include <algorithm>
#include <cmath>

#include "common/base/rendezvous.h"

namespace juniperway::forwarding {
namespace {

// The window is longer than one second, although the rate is per second: if the
// first of two requests sent a second apart is delayed, both can reach the
// backend within one second.
constexpr double kWindowSeconds = 1.1;

}  // namespace

ColdShare ColdShareOf(const std::string& router,
                      const std::vector<std::string>& routers,
                      const std::string& backend, double rate) {
  // A router that the other routers do not know yet must not send: its requests
  // would exceed the rate of the backend, which those routers share among
  // themselves.
  const bool known = std::ranges::find(routers, router) != routers.end();
  const auto selected = std::min(
      routers.size(),
      std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(rate))));
  if (!known || RendezvousRank(router, routers, backend) >= selected) {
    return {};
  }
  const double per_router = rate / static_cast<double>(selected);
  const double seconds_each = kWindowSeconds * std::max(1.0, 1 / per_router);
  return {.requests = std::max<std::size_t>(
              1, static_cast<std::size_t>(std::floor(per_router))),
          .window = std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(seconds_each))};
}

bool ColdAllowance::MaySend(const ColdShare& share, MonotonicTime now) const {
  const auto recent = static_cast<std::size_t>(std::ranges::count_if(
      sent_, [&](MonotonicTime sent) { return now - sent < share.window; }));
  return recent < share.requests;
}

void ColdAllowance::OnSent(const ColdShare& share, MonotonicTime now) {
  std::erase_if(sent_,
                [&](MonotonicTime sent) { return now - sent >= share.window; });
  sent_.push_back(now);
}

}  // namespace juniperway::forwarding
