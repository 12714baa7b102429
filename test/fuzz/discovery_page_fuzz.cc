// libFuzzer's entry for pages of the discovery list (scripts/fuzz). What the
// page forbids must never come out of it.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "common/control/discovery_page.h"
#include "common/net/address.h"

namespace {

constexpr juniperway::WallTime kNow{juniperway::seconds(1'700'000'000)};

bool IsSound(const juniperway::session::DiscoveredBackend& backend) {
  return !backend.id.empty() && !backend.service.empty() &&
         !backend.zone.empty() && backend.slots > 0 &&
         juniperway::net::ParseEndpoint(backend.address, "") &&
         backend.start <= kNow + juniperway::seconds(60);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto page = juniperway::control::ParseDiscoveryPage(text, kNow);
  if (!page) {
    return 0;
  }
  for (const auto& [id, backend] : page->backends) {
    if (id != backend.id || !IsSound(backend)) {
      std::abort();
    }
  }
  return 0;
}
