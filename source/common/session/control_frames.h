// Frames of control.fbs: building them from object types, and checking what
// came in.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <memory>
#include <optional>
#include <utility>

#include "common/base/error.h"
#include "common/net/frame_connection.h"
#include "common/protocol/control_generated.h"

namespace juniperway::session {

// A finished, size-prefixed frame with `message` in it.
template <typename Message>
flatbuffers::FlatBufferBuilder EncodeFrame(Message message) {
  protocol::ControlFrameT frame;
  frame.message.Set(std::move(message));
  flatbuffers::FlatBufferBuilder builder;
  builder.FinishSizePrefixed(protocol::ControlFrame::Pack(builder, &frame));
  return builder;
}

template <typename Message>
void SendMessage(net::FrameConnection& connection, Message message) {
  connection.Send(EncodeFrame(std::move(message)));
}

// The frame's content; nothing when the bytes are not a valid frame.
std::optional<protocol::ControlFrameT> DecodeFrame(net::FrameBytes frame);

std::unique_ptr<protocol::OperationErrorT> EncodeError(const Error& error);
Error DecodeError(const protocol::OperationErrorT& error);

// An operation as an item of a command or call.
template <typename Operation>
protocol::OperationItemT MakeOperation(Operation operation) {
  protocol::OperationItemT item;
  item.operation.Set(std::move(operation));
  return item;
}

}  // namespace juniperway::session
