// Where a process stands, and how far two of them are apart.
#pragma once

#include <cstdint>
#include <string>

namespace juniperway {

// Ordered: a smaller one is nearer.
enum class Locality : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };

struct Place {
  std::string zone;
  // Names of zones are unique over all regions.
  std::string region;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  bool operator==(const Place&) const = default;
};

// A place with an empty zone or region is not known to be near.
Locality LocalityBetween(const Place& one, const Place& other);

}  // namespace juniperway
