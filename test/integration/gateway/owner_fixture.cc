#include "integration/gateway/owner_fixture.h"

#include <doctest/doctest.h>
#include <flatbuffers/flatbuffers.h>

#include <utility>

#include "common/gateway/query_codec.h"
#include "common/net/address.h"
#include "common/protocol/query_generated.h"
#include "lab/dataset.h"
#include "support/event_loop.h"

namespace juniperway::test {
namespace {

const std::string kZone = "z";
const std::string kLogs = "logs";
constexpr Key kKeys = 1000;
// One query for each subquery: the owner then sends each result at once.
constexpr std::uint32_t kRowLimit = 100;

}  // namespace

lab::BackendSettings StandIn(const std::string& name, std::uint32_t slots,
                             Duration service_time) {
  lab::BackendSettings settings;
  settings.name = name;
  settings.service = kLogs;
  settings.slots = slots;
  settings.maximum_connections = slots + 1;
  settings.connection_cost = Duration(0);
  settings.median_service_time = service_time;
  settings.service_time_sigma = 0;
  settings.record_count = 20;
  settings.holdings = {{kOwnerVersion, kOwnerShard, {0, kKeys}}};
  return settings;
}

lab::BackendServer& OwnerFixture::Add(const lab::BackendSettings& settings) {
  servers.push_back(
      std::make_unique<lab::BackendServer>(context, settings, nullptr));
  AddResource(settings.name, net::FormatEndpoint(servers.back()->endpoint()),
              settings.slots, settings.maximum_connections);
  return *servers.back();
}

resources::Backend& OwnerFixture::AddResource(
    const std::string& name, const std::string& address, std::uint32_t slots,
    std::uint32_t maximum_connections) {
  resources::Backend& backend = view.backends[name];
  backend.service = kLogs;
  backend.address = address;
  backend.zone = kZone;
  backend.slots = slots;
  backend.maximum_connections = maximum_connections;
  backend.shards = {kOwnerShard};
  return backend;
}

void OwnerFixture::Start(Duration probe_interval,
                         resources::Revision released) {
  view.services[kLogs].queue_limit = 100000;
  resources::IndexSnapshot& snapshot = view.snapshots[{kLogs, kOwnerVersion}];
  snapshot.service = kLogs;
  snapshot.index_version = kOwnerVersion;
  snapshot.partitions = {{{0, kKeys}, kOwnerShard}};
  Join();
  gateway::OwnerOptions options;
  options.daemon_id = daemon_id_;
  options.incarnation = 1;
  options.zone = kZone;
  options.listen = {asio::ip::address_v4::loopback(), 0};
  options.probe_interval = probe_interval;
  owner = std::make_unique<gateway::OwnerServer>(context, options, session,
                                                 *registry);
  session.SetViewListener([this](const session::FleetViewPointer& newest) {
    owner->OnView(newest);
  });
  session.SetProgressListener([this] { owner->OnProgress(); });
  PublishUnreleased();
  session.SetZoneReleased(released == 0 ? view.revision : released);
  Connect();
}

void OwnerFixture::Join() {
  session::Member& member = view.members[daemon_id_];
  member.daemon_id = daemon_id_;
  member.zone = kZone;
  member.gateway = true;
}

void OwnerFixture::Publish() {
  PublishUnreleased();
  session.SetZoneReleased(view.revision);
}

void OwnerFixture::PublishUnreleased() {
  ++view.revision;
  session.SetView(view);
  session.SetInForce(view.revision);
}

void OwnerFixture::Connect() {
  net::FrameConnection::Connect(
      context, owner->local_endpoint(), seconds(10), [this](auto connection) {
        REQUIRE(connection);
        front_ = *connection;
        front_->Start(
            [this](net::FrameBytes frame) {
              auto batch = gateway::DecodeBatchResult(frame);
              REQUIRE(batch);
              for (routing::OwnerResult& reply : batch->replies) {
                const AttemptId attempt = reply.attempt_id;
                const bool first =
                    replies.emplace(attempt, std::move(reply)).second;
                CHECK_MESSAGE(first, "second result of attempt " << attempt);
              }
            },
            [] {});
      });
  REQUIRE(RunUntil([this] { return front_ != nullptr; }));
}

OwnerFixture::AttemptId OwnerFixture::Ask(const std::string& backend,
                                          Duration remaining,
                                          const std::string& request_class) {
  const AttemptId attempt = next_attempt_++;
  flatbuffers::FlatBufferBuilder builder;
  const std::vector subqueries = {protocol::CreateSubqueryDirect(
      builder, attempt, backend.c_str(), kOwnerShard.c_str(), 0, kKeys)};
  const std::string request = "request-" + std::to_string(attempt);
  const auto batch = protocol::CreateBatchRequestDirect(
      builder, attempt, request.c_str(), kLogs.c_str(), kOwnerVersion,
      std::string(lab::kMatchAll).c_str(), kRowLimit, remaining.count(), true,
      &subqueries, request_class.c_str());
  protocol::FinishSizePrefixedQueryFrameBuffer(
      builder,
      protocol::CreateQueryFrame(builder, protocol::QueryMessage::BatchRequest,
                                 batch.Union()));
  front_->Send(builder);
  return attempt;
}

std::vector<OwnerFixture::AttemptId> OwnerFixture::AskTimes(
    const std::string& backend, int count, Duration remaining) {
  std::vector<AttemptId> attempts(static_cast<std::size_t>(count));
  for (AttemptId& attempt : attempts) {
    attempt = Ask(backend, remaining);
  }
  return attempts;
}

void OwnerFixture::Cancel(AttemptId attempt) {
  front_->Send(gateway::EncodeCancel(attempt, {attempt}));
}

const routing::OwnerResult& OwnerFixture::ResultOf(AttemptId attempt) {
  REQUIRE(RunUntil([this, attempt] { return Has(attempt); }));
  return replies.at(attempt);
}

std::map<routing::SubqueryOutcome, int> OwnerFixture::Flood(
    const std::string& backend, int count, Duration remaining) {
  std::map<routing::SubqueryOutcome, int> outcomes;
  for (const AttemptId attempt : AskTimes(backend, count, remaining)) {
    ++outcomes[OutcomeOf(attempt)];
  }
  return outcomes;
}

bool OwnerFixture::RunUntil(const std::function<bool()>& condition) {
  return test::RunUntil(context, condition);
}

double OwnerFixture::Metric(const std::string& name) {
  double sum = 0;
  for (const prometheus::MetricFamily& family : registry->Collect()) {
    if (family.name == name) {
      for (const prometheus::ClientMetric& metric : family.metric) {
        sum += metric.gauge.value + metric.counter.value;
      }
    }
  }
  return sum;
}

}  // namespace juniperway::test
