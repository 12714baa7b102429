// Exit codes of juniperwayctl, and how a command says why it did not succeed.
// The codes are listed for operators in docs/operations/command-line.md.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "common/base/error.h"

namespace juniperway::ctl {

enum class ExitCode : int {
  kDone = 0,
  kRefused = 1,       // The input was understood and refused; nothing changed.
  kUsage = 2,         // The command line is wrong; nothing was sent.
  kConflict = 3,      // The object changed since the version that was named.
  kUnavailable = 4,   // No answer in time; a change may have been made.
  kNotFound = 5,      // The named object or change is not known.
  kUnauthorized = 6,  // The token is missing or wrong.
  kLocalFile = 7,     // A file of this machine cannot be read or written.
};

struct Failure {
  ExitCode exit_code = ExitCode::kRefused;
  // For a person; names the field or file at fault.
  std::string message;
};

template <typename T>
using Outcome = tl::expected<T, Failure>;

inline tl::unexpected<Failure> Fail(ExitCode exit_code, std::string message) {
  return tl::unexpected<Failure>(Failure{exit_code, std::move(message)});
}

inline ExitCode ExitCodeOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kTooLarge:
      return ExitCode::kRefused;
    case ErrorCode::kNotFound:
      return ExitCode::kNotFound;
    case ErrorCode::kConflict:
      return ExitCode::kConflict;
    case ErrorCode::kUnauthorized:
      return ExitCode::kUnauthorized;
    case ErrorCode::kCorrupt:
    case ErrorCode::kNoSpace:
    case ErrorCode::kIo:
      return ExitCode::kLocalFile;
    case ErrorCode::kNotLeader:
    case ErrorCode::kUnavailable:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kInternal:
      break;
  }
  return ExitCode::kUnavailable;
}

inline tl::unexpected<Failure> Fail(const Error& error) {
  return Fail(ExitCodeOf(error.code), FormatError(error));
}

}  // namespace juniperway::ctl
