#include "common/session/control_frames.h"

namespace juniperway::session {

std::optional<protocol::ControlFrameT> DecodeFrame(net::FrameBytes frame) {
  const auto* root = net::ReadFrame<protocol::ControlFrame>(frame);
  if (root == nullptr) {
    return std::nullopt;
  }
  protocol::ControlFrameT decoded;
  root->UnPackTo(&decoded);
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
