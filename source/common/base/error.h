// Outcomes as values: the error type every fallible operation of the product
// returns. Exceptions are left for set-up faults, which main() reports.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace juniperway {

// What kind of outcome an operation met. Names are stable: the HTTP API shows
// them (see ErrorCodeName).
enum class ErrorCode {
  kInvalidArgument,   // The input is wrong; `field` names where.
  kNotFound,          // The named object does not exist.
  kConflict,          // The object changed since the version that was named.
  kUnauthorized,      // The bearer token is missing or wrong.
  kTooLarge,          // The input exceeds a stated limit.
  kNotLeader,         // Another control machine must take the request.
  kUnavailable,       // No quorum, no session or no lease; try again later.
  kDeadlineExceeded,  // Time ran out before the outcome was known.
  kCorrupt,           // Stored data is damaged or foreign.
  kIo,                // The operating system refused an operation.
  kInternal,          // A fault of the program that did not need to stop it.
  kNoSpace,           // The disk is full; it works again once there is room.
};

// The name used in JSON and logs, e.g. "invalid_argument".
std::string_view ErrorCodeName(ErrorCode code);

struct Error {
  ErrorCode code = ErrorCode::kInternal;
  // Path of the offending input, e.g. "spec.deadline_ms.max"; empty if none.
  std::string field;
  // One sentence for a person.
  std::string message;
};

// "invalid_argument: spec.slots: must be between 1 and 1024".
std::string FormatError(const Error& error);

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> MakeError(ErrorCode code, std::string field,
                                       std::string message) {
  return tl::unexpected<Error>(
      Error{code, std::move(field), std::move(message)});
}

}  // namespace juniperway
