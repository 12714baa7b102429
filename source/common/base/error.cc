#include "common/base/error.h"

namespace juniperway {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnauthorized:
      return "unauthorized";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kNotLeader:
      return "not_leader";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kCorrupt:
      return "corrupt";
    case ErrorCode::kIo:
      return "io";
    case ErrorCode::kInternal:
      return "internal";
    case ErrorCode::kNoSpace:
      return "no_space";
  }
  return "internal";
}

std::string FormatError(const Error& error) {
  std::string text(ErrorCodeName(error.code));
  if (!error.field.empty()) {
    text += ": " + error.field;
  }
  return text + ": " + error.message;
}

}  // namespace juniperway
