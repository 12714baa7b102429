// The front's side of query.fbs: batches and cancels out, results in.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/net/frame_connection.h"
#include "common/routing/query_types.h"

namespace juniperway::gateway {

// Names a query on all connections of this front, for its life.
using QueryId = std::uint64_t;

struct BatchReply {
  QueryId query_id = 0;
  std::vector<routing::OwnerResult> replies;
};

// A finished, size-prefixed BatchRequest.
flatbuffers::FlatBufferBuilder EncodeBatch(QueryId query_id,
                                           const routing::QueryRequest& request,
                                           const routing::Batch& batch);

// A finished, size-prefixed CancelRequest.
flatbuffers::FlatBufferBuilder EncodeCancel(
    QueryId query_id, const std::vector<routing::AttemptId>& attempts);

// @return nothing when the frame is damaged or no BatchResult.
std::optional<BatchReply> DecodeBatchResult(net::FrameBytes frame);

}  // namespace juniperway::gateway
