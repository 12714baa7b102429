#include "common/session/operation_queue.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "common/session/control_frames.h"

namespace juniperway::session {

void OperationQueue::Add(protocol::OperationItemT operation,
                         MonotonicTime deadline, Callback callback) {
  const std::uint64_t id = ++last_id_;
  pending_.emplace(
      id, Pending{std::move(operation), deadline, std::move(callback)});
  deadlines_.emplace(deadline, id);
  unsent_.push_back(id);
}

std::optional<protocol::SessionCallT> OperationQueue::TakeCall(
    MonotonicTime now) {
  if (now < hold_until_) {
    return std::nullopt;
  }
  protocol::SessionCallT call;
  std::vector<std::uint64_t> ids;
  while (!unsent_.empty() && ids.size() < kMaximumOperationsPerCall) {
    const std::uint64_t id = unsent_.front();
    unsent_.pop_front();
    auto pending = pending_.find(id);
    if (pending == pending_.end()) {
      continue;  // past its deadline
    }
    ids.push_back(id);
    call.operations.push_back(
        std::make_unique<protocol::OperationItemT>(pending->second.operation));
  }
  if (ids.empty()) {
    return std::nullopt;
  }
  call.call_id = ++last_id_;
  calls_.emplace(call.call_id, std::move(ids));
  return call;
}

void OperationQueue::OnReply(const protocol::SessionCallReplyT& reply,
                             MonotonicTime retry_at) {
  auto call = calls_.find(reply.call_id);
  if (call == calls_.end()) {
    return;
  }
  const std::vector<std::uint64_t> ids = std::move(call->second);
  calls_.erase(call);
  if (reply.error || reply.results.size() != ids.size()) {
    unsent_.insert(unsent_.begin(), ids.begin(), ids.end());
    hold_until_ = retry_at;
    return;
  }
  for (std::size_t i = 0; i < ids.size(); ++i) {
    const protocol::OperationResultT& result = *reply.results[i];
    if (result.error) {
      Finish(ids[i], tl::unexpected(DecodeError(*result.error)));
    } else {
      Finish(ids[i], result);
    }
  }
}

void OperationQueue::OnDisconnected() {
  calls_.clear();
  unsent_.clear();
  for (const auto& [id, pending] : pending_) {
    unsent_.push_back(id);
  }
}

void OperationQueue::Expire(MonotonicTime now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const std::uint64_t id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    Finish(id, MakeError(ErrorCode::kDeadlineExceeded, "",
                         "no answer from control in time"));
  }
}

MonotonicTime OperationQueue::NextDeadline(bool can_send) const {
  const MonotonicTime deadline =
      deadlines_.empty() ? MonotonicTime::max() : deadlines_.begin()->first;
  const bool waits = can_send && !unsent_.empty();
  return waits ? std::min(deadline, hold_until_) : deadline;
}

void OperationQueue::Finish(std::uint64_t id,
                            Result<protocol::OperationResultT> result) {
  auto pending = pending_.find(id);
  if (pending == pending_.end()) {
    return;
  }
  const Callback callback = std::move(pending->second.callback);
  pending_.erase(pending);
  callback(std::move(result));
}

}  // namespace juniperway::session
