// Operations that a daemon has asked for and not yet had answered. They go out
// in batches, are sent again on the next connection when an answer is missing,
// and fail at their deadline. Every operation is idempotent, so sending one
// again is safe. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/protocol/control_generated.h"

namespace juniperway::session {

inline constexpr std::size_t kMaximumOperationsPerCall = 1000;

class OperationQueue {
 public:
  // Runs once. kDeadlineExceeded: the outcome is unknown.
  using Callback = std::function<void(Result<protocol::OperationResultT>)>;

  void Add(protocol::OperationItemT operation, MonotonicTime deadline,
           Callback callback);

  // The next batch to send, if something waits for it.
  std::optional<protocol::SessionCallT> TakeCall(MonotonicTime now);

  // An answer. When the whole call failed its operations wait for `retry_at`.
  void OnReply(const protocol::SessionCallReplyT& reply,
               MonotonicTime retry_at);
  // Everything without an answer is to be sent again.
  void OnDisconnected();

  // Fails what is past its deadline.
  void Expire(MonotonicTime now);
  // When Expire has something to do next or, if calls can be sent, TakeCall.
  MonotonicTime NextDeadline(bool can_send) const;

  std::size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    protocol::OperationItemT operation;
    MonotonicTime deadline;
    Callback callback;
  };

  void Finish(std::uint64_t id, Result<protocol::OperationResultT> result);

  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::multimap<MonotonicTime, std::uint64_t> deadlines_;
  std::deque<std::uint64_t> unsent_;
  // No call is sent before this.
  MonotonicTime hold_until_ = MonotonicTime::min();
  // Calls without an answer and the operations in them.
  std::map<std::uint64_t, std::vector<std::uint64_t>> calls_;
};

}  // namespace juniperway::session
