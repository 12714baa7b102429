#include "common/control/leader_client.h"

#include <memory>
#include <utility>
#include <vector>

#include "common/base/compression.h"
#include "common/control/events.h"
#include "common/session/control_frames.h"

namespace juniperway::control {
namespace {

// A forwarded call without an answer is sent again after this time.
constexpr Duration kResendInterval = seconds(1);
constexpr int kStatusUnavailable = 503;
constexpr int kStatusDeadlineExceeded = 504;

bool IsRetryable(const Error& error) {
  return error.code == ErrorCode::kNotLeader ||
         error.code == ErrorCode::kUnavailable;
}

net::HttpResponse MakeTimeoutResponse(bool ever_sent) {
  const Error error =
      ever_sent ? Error{ErrorCode::kDeadlineExceeded, "",
                        "no answer from the leader in time; the outcome is "
                        "unknown, send the change again with its id"}
                : Error{ErrorCode::kUnavailable, "",
                        "no leader: the control group has no quorum, or this "
                        "node cannot reach the leader"};
  net::HttpResponse response = net::ErrorResponse(
      ever_sent ? kStatusDeadlineExceeded : kStatusUnavailable, error,
      ever_sent ? "may-have-run" : "not-run");
  response.headers.emplace_back("Retry-After", "1");
  return response;
}

}  // namespace

LeaderClient::LeaderClient(raft::NodeId self, std::uint64_t first_call_id,
                           Ports ports)
    : self_(self), ports_(std::move(ports)), next_id_(first_call_id) {}

void LeaderClient::Submit(Operations operations, MonotonicTime deadline,
                          OperationsCallback callback) {
  const std::uint64_t id = Add(
      PendingOperations{std::move(operations), std::move(callback)}, deadline);
  Dispatch(id, ReadMonotonicClock());
}

void LeaderClient::Call(ApiCall call, MonotonicTime deadline,
                        ApiCallback callback) {
  const std::uint64_t id =
      Add(PendingCall{std::move(call), std::move(callback)}, deadline);
  Dispatch(id, ReadMonotonicClock());
}

std::uint64_t LeaderClient::Add(
    std::variant<PendingOperations, PendingCall> content,
    MonotonicTime deadline) {
  const std::uint64_t id = next_id_++;
  Pending pending{.content = std::move(content),
                  .deadline = deadline,
                  .sent_to = raft::kNoNode,
                  .sent_at = {},
                  .asked = {}};
  pending_.emplace(id, std::move(pending));
  return id;
}

void LeaderClient::Dispatch(std::uint64_t id, MonotonicTime now) {
  const raft::NodeId leader = ports_.leader();
  Pending& pending = pending_.at(id);
  if (leader == raft::kNoNode) {
    pending.sent_to = raft::kNoNode;
    return;
  }
  pending.sent_to = leader;
  pending.sent_at = now;
  if (leader == self_) {
    pending.asked.insert(leader);
    RunLocally(id, pending);
  } else if (SendTo(id, pending, leader)) {
    pending.asked.insert(leader);
  } else {
    pending.sent_to = raft::kNoNode;
  }
}

void LeaderClient::RunLocally(std::uint64_t id, Pending& pending) {
  if (auto* call = std::get_if<PendingCall>(&pending.content)) {
    // Copied because run_call may answer before it returns, which erases the
    // entry.
    const ApiCall copy = call->call;
    ports_.run_call(copy, [this, id](net::HttpResponse response) {
      FinishCall(self_, id, std::move(response));
    });
    return;
  }
  const auto& operations = std::get<PendingOperations>(pending.content);
  ports_.run_operations(Copy(operations.operations),
                        [this, id](Result<OperationResults> result) {
                          FinishOperations(self_, id, std::move(result));
                        });
}

bool LeaderClient::SendTo(std::uint64_t id, const Pending& pending,
                          raft::NodeId leader) {
  if (const auto* call = std::get_if<PendingCall>(&pending.content)) {
    protocol::ForwardCallT message;
    message.call_id = id;
    message.method = call->call.method;
    message.path = call->call.path;
    message.change_id = call->call.change_id;
    message.body = Compress(call->call.body);
    for (const auto& [key, value] : call->call.parameters) {
      auto& pair = message.parameters.emplace_back(
          std::make_unique<protocol::TextPairT>());
      pair->key = key;
      pair->value = value;
    }
    return ports_.send_call(leader, std::move(message));
  }
  protocol::ForwardOperationsT message;
  message.call_id = id;
  message.operations =
      Copy(std::get<PendingOperations>(pending.content).operations);
  return ports_.send_operations(leader, std::move(message));
}

void LeaderClient::OnReply(raft::NodeId from,
                           const protocol::ForwardOperationsReplyT& reply) {
  if (reply.error) {
    FinishOperations(from, reply.call_id,
                     tl::unexpected(session::DecodeError(*reply.error)));
    return;
  }
  OperationResults results;
  for (const auto& result : reply.results) {
    results.push_back(std::make_unique<protocol::OperationResultT>(*result));
  }
  FinishOperations(from, reply.call_id, std::move(results));
}

void LeaderClient::OnReply(raft::NodeId from,
                           const protocol::ForwardCallReplyT& reply) {
  net::HttpResponse response;
  response.status = reply.status;
  response.body = reply.body;
  for (const auto& header : reply.headers) {
    response.headers.emplace_back(header->key, header->value);
  }
  FinishCall(from, reply.call_id, std::move(response));
}

template <typename Content>
LeaderClient::PendingMap::iterator LeaderClient::FindAsked(raft::NodeId from,
                                                           std::uint64_t id) {
  auto pending = pending_.find(id);
  const bool ends_call =
      pending != pending_.end() && pending->second.asked.contains(from) &&
      std::holds_alternative<Content>(pending->second.content);
  if (ends_call) {
    return pending;
  }
  logging::LogEvent(kForwardedReplyIgnored,
                    {{"node", self_}, {"from", from}, {"call", id}});
  return pending_.end();
}

void LeaderClient::OnRetryableFailure(raft::NodeId from, Pending& pending) {
  if (pending.sent_to == from) {
    pending.sent_to = raft::kNoNode;
  }
}

void LeaderClient::FinishOperations(raft::NodeId from, std::uint64_t id,
                                    Result<OperationResults> result) {
  auto pending = FindAsked<PendingOperations>(from, id);
  if (pending == pending_.end()) {
    return;
  }
  if (!result && IsRetryable(result.error())) {
    OnRetryableFailure(from, pending->second);
    return;
  }
  const auto callback =
      std::move(std::get<PendingOperations>(pending->second.content).callback);
  pending_.erase(pending);
  callback(std::move(result));
}

void LeaderClient::FinishCall(raft::NodeId from, std::uint64_t id,
                              net::HttpResponse response) {
  auto pending = FindAsked<PendingCall>(from, id);
  if (pending == pending_.end()) {
    return;
  }
  if (response.status == kStatusUnavailable) {
    OnRetryableFailure(from, pending->second);
    return;
  }
  const ApiCallback callback =
      std::move(std::get<PendingCall>(pending->second.content).callback);
  pending_.erase(pending);
  callback(std::move(response));
}

void LeaderClient::Tick(MonotonicTime now) {
  std::vector<std::uint64_t> ids;
  ids.reserve(pending_.size());
  for (const auto& [id, pending] : pending_) {
    ids.push_back(id);
  }
  const raft::NodeId leader = ports_.leader();
  for (const std::uint64_t id : ids) {
    auto found = pending_.find(id);
    if (found == pending_.end()) {
      continue;
    }
    const Pending& pending = found->second;
    const bool resend =
        pending.sent_to != leader ||
        (leader != self_ && now - pending.sent_at >= kResendInterval);
    if (now >= pending.deadline) {
      FailPending(id);
    } else if (leader != raft::kNoNode && resend) {
      Dispatch(id, now);
    }
  }
}

void LeaderClient::FailPending(std::uint64_t id) {
  Pending pending = std::move(pending_.at(id));
  pending_.erase(id);
  const bool ever_sent = !pending.asked.empty();
  if (auto* call = std::get_if<PendingCall>(&pending.content)) {
    call->callback(MakeTimeoutResponse(ever_sent));
    return;
  }
  std::get<PendingOperations>(pending.content)
      .callback(MakeError(
          ever_sent ? ErrorCode::kDeadlineExceeded : ErrorCode::kUnavailable,
          "", "no answer from the leader in time"));
}

void LeaderClient::Stop() {
  while (!pending_.empty()) {
    FailPending(pending_.begin()->first);
  }
}

Operations LeaderClient::Copy(const Operations& operations) {
  Operations copy;
  copy.reserve(operations.size());
  for (const auto& operation : operations) {
    copy.push_back(std::make_unique<protocol::OperationItemT>(*operation));
  }
  return copy;
}

}  // namespace juniperway::control
