#include "common/observation/backend_observation.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace juniperway::observation {
namespace {

std::uint8_t AddSaturated(std::uint8_t left, std::uint8_t right) {
  constexpr int kMaximum = std::numeric_limits<std::uint8_t>::max();
  return static_cast<std::uint8_t>(std::min(kMaximum, left + right));
}

}  // namespace

BackendHash HashOf(const std::string& incarnation) {
  return XXH32(incarnation.data(), incarnation.size(), /*seed=*/0);
}

void AddCounts(BackendObservation& into, const BackendObservation& more) {
  into.failed = AddSaturated(into.failed, more.failed);
  into.answered = AddSaturated(into.answered, more.answered);
}

}  // namespace juniperway::observation
