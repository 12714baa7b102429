#include "common/control/rate_pool.h"

#include <utility>

#include "common/session/rate_codec.h"

namespace juniperway::control {

std::string PoolName(raft::NodeId node) {
  return "pool/" + std::to_string(node);
}

std::vector<quota::RateGrant> RatePool::Serve(protocol::HeartbeatT& heartbeat,
                                              MonotonicTime now) {
  std::vector<quota::RateGrant> grants;
  for (const auto& request : heartbeat.rate_requests) {
    std::uint32_t taken = 0;
    for (std::uint32_t i = 0; i < request->waiting; ++i) {
      leases_.OnDemand(request->key, now);
      taken += leases_.TryTake(request->key, now) ? 1 : 0;
    }
    if (request->waiting > 0) {
      has_requests_ = true;
      is_low_on_tokens_ |= leases_.NeedsTokens(request->key, now);
    }
    if (taken > 0) {
      request->waiting -= taken;
      grants.push_back({.key = request->key, .tokens = taken});
    }
  }
  return grants;
}

bool RatePool::IsReportDue(MonotonicTime now) const {
  if (!has_requests_) {
    return false;
  }
  return last_report_ == MonotonicTime::min() ||
         now - last_report_ >=
             (is_low_on_tokens_ ? kMinimumReportInterval : kReportInterval);
}

std::unique_ptr<protocol::MemberHeartbeatT> RatePool::MakeReport(
    MonotonicTime now) {
  std::erase_if(sent_, [now](const auto& report) {
    return now - report.second > quota::kRateLeaseDuration;
  });
  auto item = std::make_unique<protocol::MemberHeartbeatT>();
  item->daemon_id = name_;
  item->incarnation = incarnation_;
  item->heartbeat = std::make_unique<protocol::HeartbeatT>();
  item->heartbeat->sequence = ++last_sequence_;
  item->heartbeat->term = term_;
  session::EncodeRateReport(leases_.MakeReport(now), *item->heartbeat);
  sent_[last_sequence_] = now;
  last_report_ = now;
  is_low_on_tokens_ = false;
  return item;
}

bool RatePool::OnReply(const protocol::MemberHeartbeatReplyT& reply,
                       MonotonicTime now) {
  if (reply.daemon_id != name_) {
    return false;
  }
  const auto sent = sent_.find(reply.reply->sequence);
  const bool is_from_leader =
      reply.reply->outcome != protocol::HeartbeatOutcome::kNoLeader;
  if (reply.incarnation != incarnation_ || sent == sent_.end() ||
      !is_from_leader) {
    return true;
  }
  term_ = std::max(term_, reply.reply->term);
  for (const quota::RateGrant& grant :
       session::DecodeRateGrants(reply.reply->rate_grants)) {
    leases_.OnGrant(grant, reply.reply->term, sent->second, now);
  }
  return true;
}

}  // namespace juniperway::control
