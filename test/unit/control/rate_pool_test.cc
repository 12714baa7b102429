// Tests which answers of the leader a control node's pool of rate tokens takes.
// Guards against tokens that were granted to the pool's earlier process: its
// reports carry the same sequence numbers, and the tenant would get both.
#include "common/control/rate_pool.h"

#include <doctest/doctest.h>

#include <vector>

#include "common/session/rate_codec.h"

namespace juniperway::control {
namespace {

constexpr raft::NodeId kNode = 1;
constexpr std::uint64_t kFormerProcess = 7;
constexpr std::uint64_t kProcess = 3;
constexpr std::uint64_t kTerm = 2;
constexpr std::uint32_t kTokens = 4;
const std::string kTenant = "tenant";

// A router's heartbeat with requests that wait for a token each.
protocol::HeartbeatT WaitingRequests() {
  protocol::HeartbeatT heartbeat;
  auto& request = heartbeat.rate_requests.emplace_back(
      std::make_unique<protocol::RateRequestRecordT>());
  request->key = kTenant;
  request->waiting = kTokens;
  return heartbeat;
}

protocol::MemberHeartbeatReplyT Grant(
    const protocol::MemberHeartbeatT& report) {
  protocol::MemberHeartbeatReplyT reply;
  reply.daemon_id = report.daemon_id;
  reply.incarnation = report.incarnation;
  reply.reply = std::make_unique<protocol::HeartbeatReplyT>();
  reply.reply->sequence = report.heartbeat->sequence;
  reply.reply->outcome = protocol::HeartbeatOutcome::kGranted;
  reply.reply->term = kTerm;
  reply.reply->rate_grants = session::EncodeRateGrants(
      std::vector<quota::RateGrant>{{.key = kTenant,
                                     .number = 1,
                                     .rate = 1,
                                     .reserved_tokens = kTokens,
                                     .lease = seconds(5),
                                     .tokens = kTokens}});
  return reply;
}

TEST_CASE("Tokens for the pool's earlier process are not the next one's") {
  const MonotonicTime now{seconds(100)};
  RatePool former(kNode, kFormerProcess);
  RatePool pool(kNode, kProcess);
  protocol::HeartbeatT waiting = WaitingRequests();
  CHECK(former.Serve(waiting, now).empty());
  CHECK(pool.Serve(waiting, now).empty());
  const auto former_report = former.MakeReport(now);
  const auto report = pool.MakeReport(now);
  REQUIRE(report->heartbeat->sequence == former_report->heartbeat->sequence);
  CHECK(pool.OnReply(Grant(*former_report), now));
  CHECK(pool.Serve(waiting, now).empty());
  CHECK(pool.OnReply(Grant(*report), now));
  const auto grants = pool.Serve(waiting, now);
  REQUIRE(grants.size() == 1);
  CHECK(grants.front().tokens == kTokens);
}

}  // namespace
}  // namespace juniperway::control
