#include "common/base/random_seed.h"

#include <random>

namespace juniperway {

std::uint64_t DrawRandomSeed() {
  std::random_device device;
  static_assert(sizeof(std::random_device::result_type) * 2 ==
                sizeof(std::uint64_t));
  constexpr unsigned kHalfBits = 32;
  return (std::uint64_t{device()} << kHalfBits) | device();
}

}  // namespace juniperway
