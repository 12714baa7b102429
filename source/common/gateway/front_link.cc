#include "common/gateway/front_link.h"

#include <flatbuffers/flatbuffers.h>

#include <asio/post.hpp>
#include <utility>

namespace juniperway::gateway {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

std::string ToString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

Offset<protocol::SubqueryResult> Encode(FlatBufferBuilder& builder,
                                        const SubqueryAnswer& answer) {
  std::vector<Offset<protocol::Row>> rows;
  rows.reserve(answer.rows.size());
  for (const owner::SearchRow& row : answer.rows) {
    rows.push_back(
        protocol::CreateRow(builder, row.key, builder.CreateString(row.value)));
  }
  const auto row_vector = rows.empty() ? 0 : builder.CreateVector(rows);
  return protocol::CreateSubqueryResult(
      builder, answer.attempt_id, answer.outcome, row_vector,
      answer.dropped_rows, answer.service_time.count(), answer.load,
      answer.slots, answer.retry_after.count());
}

// Far above the longest deadline that a service may have (an hour).
constexpr std::uint64_t kLongestRemainingUs = 24ULL * 3600 * 1000 * 1000;

// Checked before any of it is submitted.
bool IsSound(const protocol::BatchRequest& batch) {
  if (batch.remaining_us() > kLongestRemainingUs) {
    return false;
  }
  if (batch.subqueries() != nullptr) {
    for (const protocol::Subquery* subquery : *batch.subqueries()) {
      if (subquery->range_begin() > subquery->range_end()) {
        return false;
      }
    }
  }
  return true;
}

std::shared_ptr<const QueryContext> ReadContext(
    const protocol::BatchRequest& batch) {
  auto query = std::make_shared<QueryContext>();
  query->request_id = ToString(batch.request_id());
  query->service = ToString(batch.service());
  query->request_class = ToString(batch.request_class());
  query->index_version = batch.index_version();
  query->text = ToString(batch.query_text());
  query->row_limit = batch.row_limit();
  query->repeatable = batch.repeatable();
  return query;
}

}  // namespace

FrontLink::FrontLink(asio::io_context& context,
                     std::shared_ptr<net::FrameConnection> connection,
                     Duration flush_delay, Handler& handler)
    : context_(context),
      connection_(std::move(connection)),
      flush_delay_(flush_delay),
      handler_(&handler),
      flush_timer_(context) {}

void FrontLink::Start() {
  connection_->Start([self = shared_from_this()](
                         net::FrameBytes frame) { self->OnFrame(frame); },
                     [self = shared_from_this()] { self->OnClosed(); });
}

void FrontLink::OnFrame(net::FrameBytes frame) {
  if (handler_ == nullptr) {
    return;
  }
  const auto* message = net::ReadFrame<protocol::QueryFrame>(frame);
  const auto* batch =
      message == nullptr ? nullptr : message->message_as_BatchRequest();
  const auto* cancel =
      message == nullptr ? nullptr : message->message_as_CancelRequest();
  if (batch != nullptr && IsSound(*batch)) {
    OnBatch(*batch);
  } else if (cancel != nullptr) {
    OnCancel(*cancel);
  } else {
    connection_->Close();
  }
}

void FrontLink::OnBatch(const protocol::BatchRequest& batch) {
  if (batch.subqueries() == nullptr) {
    return;
  }
  const auto context = ReadContext(batch);
  const Duration remaining(batch.remaining_us());
  for (const protocol::Subquery* subquery : *batch.subqueries()) {
    const owner::SubqueryId id = handler_->NewSubqueryId();
    auto& open = queries_[batch.query_id()].open;
    if (!open.emplace(subquery->attempt_id(), id).second) {
      connection_->Close();  // The front reuses ids: results would be mixed up.
      return;
    }
    SubqueryOrder order{
        .query = context,
        .backend = ToString(subquery->backend()),
        .shard = ToString(subquery->shard()),
        .range = {subquery->range_begin(), subquery->range_end()},
        .remaining = remaining};
    handler_->Submit(id, shared_from_this(), batch.query_id(),
                     subquery->attempt_id(), std::move(order));
  }
}

void FrontLink::OnCancel(const protocol::CancelRequest& cancel) {
  const auto query = queries_.find(cancel.query_id());
  if (query == queries_.end()) {
    return;
  }
  std::vector<owner::SubqueryId> ids;
  const auto* attempts = cancel.attempt_ids();
  if (attempts == nullptr || attempts->size() == 0) {
    for (const auto& [attempt_id, id] : query->second.open) {
      ids.push_back(id);
    }
  } else {
    for (const std::uint32_t attempt_id : *attempts) {
      const auto open = query->second.open.find(attempt_id);
      if (open != query->second.open.end()) {
        ids.push_back(open->second);
      }
    }
  }
  for (const owner::SubqueryId id : ids) {
    handler_->Cancel(id);
  }
}

void FrontLink::Complete(std::uint64_t query_id, SubqueryAnswer answer) {
  const auto found = queries_.find(query_id);
  if (found == queries_.end()) {
    return;
  }
  Query& query = found->second;
  query.open.erase(answer.attempt_id);
  if (query.ready.empty()) {
    unsent_.push_back(query_id);
  }
  query.ready.push_back(std::move(answer));
  // Nothing more to wait for, or someone waits for a slow one: see flush_delay.
  ScheduleFlush(query.open.empty() || flush_delay_ == Duration::zero());
}

void FrontLink::ScheduleFlush(bool at_once) {
  if (at_once && flush_state_ != FlushState::kPosted) {
    flush_state_ = FlushState::kPosted;
    flush_timer_.cancel();
    // After the handlers of this turn, which may complete more.
    asio::post(context_, [self = shared_from_this()] { self->Flush(); });
    return;
  }
  if (flush_state_ != FlushState::kNone) {
    return;
  }
  flush_state_ = FlushState::kTimed;
  flush_timer_.expires_after(flush_delay_);
  flush_timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& error) {
        if (!error && self->flush_state_ == FlushState::kTimed) {
          self->Flush();
        }
      });
}

void FrontLink::Flush() {
  flush_state_ = FlushState::kNone;
  for (const std::uint64_t query_id : std::exchange(unsent_, {})) {
    const auto query = queries_.find(query_id);
    if (query == queries_.end()) {
      continue;
    }
    const auto answers = std::exchange(query->second.ready, {});
    if (query->second.open.empty()) {
      queries_.erase(query);
    }
    SendReady(query_id, answers);
  }
}

void FrontLink::SendReady(std::uint64_t query_id,
                          const std::vector<SubqueryAnswer>& answers) {
  FlatBufferBuilder builder;
  std::vector<Offset<protocol::SubqueryResult>> results;
  results.reserve(answers.size());
  for (const SubqueryAnswer& answer : answers) {
    results.push_back(Encode(builder, answer));
  }
  const auto batch = protocol::CreateBatchResult(builder, query_id,
                                                 builder.CreateVector(results));
  const auto frame = protocol::CreateQueryFrame(
      builder, protocol::QueryMessage::BatchResult, batch.Union());
  protocol::FinishSizePrefixedQueryFrameBuffer(builder, frame);
  connection_->Send(builder);
}

void FrontLink::OnClosed() {
  flush_timer_.cancel();
  unsent_.clear();
  std::vector<owner::SubqueryId> ids;
  for (const auto& [query_id, query] : queries_) {
    for (const auto& [attempt_id, id] : query.open) {
      ids.push_back(id);
    }
  }
  queries_.clear();
  if (handler_ == nullptr) {
    return;
  }
  for (const owner::SubqueryId id : ids) {
    handler_->Cancel(id);
  }
  handler_->OnClosed(shared_from_this());
}

void FrontLink::Close() {
  handler_ = nullptr;
  connection_->Close();
}

}  // namespace juniperway::gateway
