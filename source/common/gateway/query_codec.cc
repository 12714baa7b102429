#include "common/gateway/query_codec.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "common/protocol/query_generated.h"

namespace juniperway::gateway {
namespace {

using flatbuffers::FlatBufferBuilder;

constexpr std::size_t kBatchFixedBytes = 256;
constexpr std::size_t kBytesPerSubquery = 96;

void FinishFrame(FlatBufferBuilder& builder, protocol::QueryMessage type,
                 flatbuffers::Offset<void> message) {
  builder.FinishSizePrefixed(
      protocol::CreateQueryFrame(builder, type, message));
}

std::string_view View(const flatbuffers::String* text) {
  return text == nullptr ? std::string_view()
                         : std::string_view(text->data(), text->size());
}

// One copy of the frame serves the values of all its rows. It has its size
// prefix again, as the alignment within a size-prefixed buffer counts from it.
using SharedFrame = std::shared_ptr<const std::vector<std::uint8_t>>;

SharedFrame CopyWithPrefix(net::FrameBytes frame) {
  constexpr std::size_t kPrefixBytes = sizeof(flatbuffers::uoffset_t);
  auto copy = std::make_shared<std::vector<std::uint8_t>>();
  copy->reserve(kPrefixBytes + frame.size());
  copy->resize(kPrefixBytes);
  flatbuffers::WriteScalar(copy->data(),
                           static_cast<flatbuffers::uoffset_t>(frame.size()));
  copy->insert(copy->end(), frame.begin(), frame.end());
  return copy;
}

// Numbers that the rest of the gateway can hold.
bool IsSound(const protocol::SubqueryResult& result) {
  return result.outcome() <= protocol::SubqueryOutcome::MAX &&
         result.retry_after_us() <=
             static_cast<std::uint64_t>(Duration::max().count());
}

routing::OwnerResult DecodeResult(const protocol::SubqueryResult& result,
                                  const SharedFrame& frame) {
  routing::OwnerResult reply;
  reply.attempt_id = result.attempt_id();
  reply.outcome = result.outcome();
  reply.dropped_rows = result.dropped_rows();
  reply.load = result.load();
  reply.slots = result.slots();
  reply.retry_after = Duration(result.retry_after_us());
  if (result.rows() != nullptr && result.rows()->size() > 0) {
    reply.block.storage = frame;
    reply.block.rows.reserve(result.rows()->size());
    for (const protocol::Row* row : *result.rows()) {
      reply.block.rows.push_back({row->key(), View(row->value())});
    }
  }
  return reply;
}

}  // namespace

FlatBufferBuilder EncodeBatch(QueryId query_id,
                              const routing::QueryRequest& request,
                              const routing::Batch& batch) {
  FlatBufferBuilder builder(kBatchFixedBytes + request.text.size() +
                            kBytesPerSubquery * batch.subqueries.size());
  std::vector<flatbuffers::Offset<protocol::Subquery>> subqueries;
  subqueries.reserve(batch.subqueries.size());
  for (const routing::PlannedSubquery& planned : batch.subqueries) {
    const auto backend = builder.CreateString(planned.backend);
    const auto shard = builder.CreateString(planned.shard);
    subqueries.push_back(
        protocol::CreateSubquery(builder, planned.attempt_id, backend, shard,
                                 planned.range.begin, planned.range.end));
  }
  const auto request_id = builder.CreateString(request.request_id);
  const auto service = builder.CreateString(request.service);
  const auto text = builder.CreateString(request.text);
  const auto request_class = builder.CreateString(request.request_class);
  const auto list = builder.CreateVector(subqueries);
  const auto remaining = static_cast<std::uint64_t>(
      std::max<Duration::rep>(batch.remaining.count(), 0));
  const auto message = protocol::CreateBatchRequest(
      builder, query_id, request_id, service, batch.index_version, text,
      batch.row_limit, remaining, request.repeatable, list, request_class);
  FinishFrame(builder, protocol::QueryMessage::BatchRequest, message.Union());
  return builder;
}

FlatBufferBuilder EncodeCancel(
    QueryId query_id, const std::vector<routing::AttemptId>& attempts) {
  FlatBufferBuilder builder;
  const auto list = builder.CreateVector(attempts);
  const auto message = protocol::CreateCancelRequest(builder, query_id, list);
  FinishFrame(builder, protocol::QueryMessage::CancelRequest, message.Union());
  return builder;
}

std::optional<BatchReply> DecodeBatchResult(net::FrameBytes frame) {
  const SharedFrame copy = CopyWithPrefix(frame);
  flatbuffers::Verifier verifier(copy->data(), copy->size(),
                                 /*max_depth=*/64,
                                 /*max_tables=*/net::kMaximumFrameBytes);
  if (!protocol::VerifySizePrefixedQueryFrameBuffer(verifier)) {
    return std::nullopt;
  }
  const protocol::QueryFrame* root =
      protocol::GetSizePrefixedQueryFrame(copy->data());
  const protocol::BatchResult* result = root->message_as_BatchResult();
  if (result == nullptr) {
    return std::nullopt;
  }
  BatchReply reply;
  reply.query_id = result->query_id();
  if (result->results() != nullptr) {
    reply.replies.reserve(result->results()->size());
    for (const protocol::SubqueryResult* one : *result->results()) {
      if (!IsSound(*one)) {
        return std::nullopt;
      }
      reply.replies.push_back(DecodeResult(*one, copy));
    }
  }
  return reply;
}

}  // namespace juniperway::gateway
