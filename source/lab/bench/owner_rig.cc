#include "lab/bench/owner_rig.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <asio/post.hpp>
#include <stdexcept>
#include <utility>

#include "common/net/address.h"
#include "common/protocol/query_generated.h"
#include "common/routing/ownership.h"
#include "lab/dataset.h"

namespace juniperway::lab {
namespace {

const std::string kService = "service";
const std::string kShard = "shard";
const std::string kZone = "zone";
constexpr resources::IndexVersion kVersion = 1;
constexpr KeyRange kRange{0, kKeySpaceEnd};
constexpr std::uint32_t kRecords = 20;
constexpr std::uint32_t kRowLimit = 100;
constexpr std::uint32_t kConnections = 75;
// Longer than any exchange of a benchmark.
constexpr Duration kRemaining = seconds(30);

BackendSettings SettingsOf(int number, const OwnerRigOptions& options) {
  BackendSettings settings;
  settings.name = OwnerRig::BackendName(number);
  settings.service = kService;
  settings.slots = options.slots;
  settings.maximum_connections = kConnections;
  settings.connection_cost = Duration(0);
  settings.median_service_time = options.service_time;
  settings.service_time_sigma = 0;
  settings.record_count = kRecords;
  settings.holdings = {{kVersion, kShard, kRange}};
  return settings;
}

}  // namespace

OwnerRig::OwnerRig(const OwnerRigOptions& options) : options_(options) {
  backend_loop_.Start();
  owner_loop_.Start();
  view_->revision = 1;
  view_->services[kService] = resources::Service();
  resources::IndexSnapshot& snapshot = view_->snapshots[{kService, kVersion}];
  snapshot.service = kService;
  snapshot.index_version = kVersion;
  snapshot.partitions = {{kRange, kShard}};
  for (const std::string& name : options.owners) {
    session::Member& member = view_->members[name];
    member.daemon_id = name;
    member.zone = kZone;
    member.gateway = true;
  }
  backend_loop_.Run([this] {
    for (int number = 0; number < options_.backends; ++number) {
      const BackendSettings settings = SettingsOf(number, options_);
      backends_.push_back(std::make_unique<BackendServer>(
          backend_loop_.context(), settings, nullptr));
      resources::Backend& backend = view_->backends[settings.name];
      backend.service = kService;
      backend.address = net::FormatEndpoint(backends_.back()->endpoint());
      backend.zone = kZone;
      backend.slots = settings.slots;
      backend.maximum_connections = settings.maximum_connections;
      backend.shards = {kShard};
    }
  });
}

OwnerRig::~OwnerRig() {
  owner_loop_.Run([this] { owners_.clear(); });
  backend_loop_.Run([this] { backends_.clear(); });
}

std::string OwnerRig::BackendName(int number) {
  return "backend-" + std::to_string(number);
}

std::vector<std::string> OwnerRig::OwnedBy(const std::string& owner) const {
  return routing::OwnershipTable(view_).OwnedBy(owner);
}

void OwnerRig::StartOwners() {
  owner_loop_.Run([this] {
    for (const std::string& name : options_.owners) {
      auto owner = std::make_unique<Owner>();
      owner->session.SetView(view_);
      owner->session.SetReleased(view_->revision);
      owner->session.SetReleaseListener(
          [this, raw = owner.get()](resources::Revision revision) {
            raw->released = revision;
            OnReleased();
          });
      gateway::OwnerOptions options;
      options.daemon_id = name;
      options.incarnation = 1;
      options.zone = kZone;
      options.listen = {asio::ip::address_v4::loopback(), 0};
      options.probe_interval = options_.probe_interval;
      owner->server = std::make_unique<gateway::OwnerServer>(
          owner_loop_.context(), options, owner->session, *owner->registry);
      owners_.push_back(std::move(owner));
    }
  });
}

void OwnerRig::OnReleased() {
  if (owners_.size() < options_.owners.size()) {
    return;
  }
  resources::Revision released = view_->revision;
  for (const auto& owner : owners_) {
    released = std::min(released, owner->released);
  }
  // Later: this runs inside one of the owners.
  asio::post(owner_loop_.context(), [this, released] {
    for (const auto& owner : owners_) {
      owner->session.SetReleased(released);
      owner->server->OnProgress();
    }
  });
}

void OwnerRig::Publish(const std::function<void(session::FleetView&)>& change) {
  owner_loop_.Run([&] {
    auto next = std::make_shared<session::FleetView>(*view_);
    ++next->revision;
    change(*next);
    view_ = std::move(next);
    for (const auto& owner : owners_) {
      owner->session.SetView(view_);
      owner->server->OnView(view_);
    }
  });
}

double OwnerRig::Counter(const Owner& owner, const std::string& name) const {
  double sum = 0;
  for (const prometheus::MetricFamily& family : owner.registry->Collect()) {
    if (family.name == name) {
      for (const prometheus::ClientMetric& metric : family.metric) {
        sum += metric.counter.value;
      }
    }
  }
  return sum;
}

std::shared_ptr<net::FrameConnection> OwnerRig::Connect(
    asio::io_context& front, const Owner& owner,
    std::function<void(gateway::BatchReply)> on_reply) {
  std::shared_ptr<net::FrameConnection> result;
  net::FrameConnection::Connect(
      front, owner.server->local_endpoint(), seconds(10),
      [&](Result<std::shared_ptr<net::FrameConnection>> connection) {
        if (!connection) {
          throw std::runtime_error(FormatError(connection.error()));
        }
        result = *connection;
      });
  while (result == nullptr) {
    front.restart();
    front.run_one();
  }
  result->Start(
      [on_reply = std::move(on_reply)](net::FrameBytes frame) {
        auto reply = gateway::DecodeBatchResult(frame);
        if (!reply) {
          throw std::runtime_error("the owner sent a damaged frame");
        }
        on_reply(*std::move(reply));
      },
      [] {});
  return result;
}

void OwnerRig::SendBatch(net::FrameConnection& connection,
                         gateway::QueryId query_id,
                         const std::vector<std::string>& backends) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<protocol::Subquery>> subqueries;
  subqueries.reserve(backends.size());
  for (std::uint32_t index = 0; index < backends.size(); ++index) {
    subqueries.push_back(protocol::CreateSubqueryDirect(
        builder, index, backends[index].c_str(), kShard.c_str(), kRange.begin,
        kRange.end));
  }
  const std::string request_id = "request-" + std::to_string(query_id);
  const std::string text(kMatchAll);
  const auto batch = protocol::CreateBatchRequestDirect(
      builder, query_id, request_id.c_str(), kService.c_str(), kVersion,
      text.c_str(), kRowLimit, kRemaining.count(), true, &subqueries);
  protocol::FinishSizePrefixedQueryFrameBuffer(
      builder,
      protocol::CreateQueryFrame(builder, protocol::QueryMessage::BatchRequest,
                                 batch.Union()));
  connection.Send(builder);
}

}  // namespace juniperway::lab
