// Identifies requests that are the same one sent again: request ids differ from
// one try to the next, what is asked and who asks do not.
#pragma once

#include <fmt/format.h>

#include <compare>
#include <cstdint>
#include <string>

namespace juniperway {

// A hash of method, host, target, body and credentials. Two requests of which
// one was not sent again share it with a probability of 2^-64.
struct RequestFingerprint {
  std::uint64_t value = 0;

  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RequestFingerprint&) const = default;
};

// As logs and the resource API name it: 16 hexadecimal digits.
inline std::string ToText(RequestFingerprint fingerprint) {
  return fmt::format("{:016x}", fingerprint.value);
}

}  // namespace juniperway
