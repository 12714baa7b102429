// Random numbers from the system, for seeds and for numbers that tell one
// process from another.
#pragma once

#include <cstdint>

namespace juniperway {

// Returns 64 bits from the system's random device. Two processes get the same
// number with a probability of 2^-64.
std::uint64_t DrawRandomSeed();

}  // namespace juniperway
