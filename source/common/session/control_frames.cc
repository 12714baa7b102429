#include "common/session/control_frames.h"

namespace juniperway::session {
namespace {

// A full state of the largest fleet stays far below; a hostile frame does not
// make the verifier run for long.
constexpr flatbuffers::uoffset_t kMaximumTables = 10'000'000;
constexpr flatbuffers::uoffset_t kMaximumDepth = 64;

}  // namespace

std::optional<protocol::ControlFrameT> DecodeFrame(net::FrameBytes frame) {
  flatbuffers::Verifier verifier(frame.data(), frame.size(), kMaximumDepth,
                                 kMaximumTables);
  if (!protocol::VerifyControlFrameBuffer(verifier)) {
    return std::nullopt;
  }
  protocol::ControlFrameT decoded;
  protocol::GetControlFrame(frame.data())->UnPackTo(&decoded);
  return decoded;
}

std::unique_ptr<protocol::OperationErrorT> EncodeError(const Error& error) {
  auto record = std::make_unique<protocol::OperationErrorT>();
  record->code = static_cast<std::uint8_t>(error.code);
  record->field = error.field;
  record->message = error.message;
  return record;
}

Error DecodeError(const protocol::OperationErrorT& error) {
  const auto code =
      error.code <= static_cast<std::uint8_t>(ErrorCode::kInternal)
          ? static_cast<ErrorCode>(error.code)
          : ErrorCode::kInternal;
  return {code, error.field, error.message};
}

}  // namespace juniperway::session
