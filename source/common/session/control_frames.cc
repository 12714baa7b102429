#include "common/session/control_frames.h"

#include <algorithm>
#include <vector>

namespace juniperway::session {
namespace {

using Operations = std::vector<std::unique_ptr<protocol::OperationItemT>>;

// A union of a type that this program does not know has no value. Written to
// the log, such an operation could not be read again by anyone.
bool AreKnown(const Operations& operations) {
  return std::ranges::all_of(operations, [](const auto& item) {
    if (item->operation.value == nullptr) {
      return false;
    }
    const auto* apply = item->operation.AsApplyResources();
    return apply == nullptr ||
           std::ranges::all_of(apply->resources, [](const auto& record) {
             return record->specification.value != nullptr;
           });
  });
}

bool IsKnown(const protocol::ControlFrameT& frame) {
  if (const auto* call = frame.message.AsSessionCall()) {
    return AreKnown(call->operations);
  }
  if (const auto* forward = frame.message.AsForwardOperations()) {
    return AreKnown(forward->operations);
  }
  return frame.message.value != nullptr;
}

}  // namespace

std::optional<protocol::ControlFrameT> DecodeFrame(net::FrameBytes frame) {
  const auto* root = net::ReadFrame<protocol::ControlFrame>(frame);
  if (root == nullptr) {
    return std::nullopt;
  }
  protocol::ControlFrameT decoded;
  root->UnPackTo(&decoded);
  if (!IsKnown(decoded)) {
    return std::nullopt;
  }
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
