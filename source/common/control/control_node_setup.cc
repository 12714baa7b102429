// Creates and connects the components of a control node; see control_node.h.
#include <glog/logging.h>

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "common/base/random_seed.h"
#include "common/control/control_node.h"
#include "common/control/events.h"
#include "common/raft/configuration.h"

namespace juniperway::control {
namespace {

bool IsEmptyState(const raft::InitialState& state) {
  return state.hard_state == raft::HardState{} && state.entries.empty() &&
         state.snapshot.index == 0 &&
         state.snapshot.configuration == raft::Configuration{};
}

// Loads the store. Into an empty store, first writes a snapshot with
// `initial_members` as voters, when there are any.
raft::InitialState LoadOrBootstrapStore(const ControlServerOptions& options,
                                        storage::LogStore& store) {
  auto state = store.Load();
  if (!state) {
    throw std::runtime_error(FormatError(state.error()));
  }
  if (!IsEmptyState(*state) || options.initial_members.empty()) {
    return std::move(*state);
  }
  raft::Snapshot snapshot = raft::MakeFirstSnapshot(options.initial_members);
  raft::Ready ready;
  ready.snapshot = snapshot;
  if (auto written = store.Write(ready); !written) {
    throw std::runtime_error(FormatError(written.error()));
  }
  logging::LogEvent(kStoreBootstrapped,
                    {{"node", options.node_id},
                     {"voters", snapshot.configuration.voters.size()}});
  state->snapshot = std::move(snapshot);
  return std::move(*state);
}

[[noreturn]] void ExitProcess(const Error& error) {
  LOG(ERROR) << FormatError(error);
  google::FlushLogFiles(google::GLOG_INFO);
  std::_Exit(EXIT_FAILURE);
}

}  // namespace

ControlNode::ControlNode(asio::io_context& context,
                         const ControlServerOptions& options,
                         std::unique_ptr<storage::LogStore> store)
    : context_(context),
      options_(options),
      metrics_(*options_.registry),
      seed_(options.seed != 0 ? options.seed : DrawRandomSeed()),
      tick_timer_(context),
      advance_timer_(context) {
  raft::InitialState initial = LoadOrBootstrapStore(options_, *store);
  if (!initial.snapshot.data.empty()) {
    auto state = ControlState::DecodeSnapshot(initial.snapshot.data);
    if (!state) {
      throw std::runtime_error(FormatError(state.error()));
    }
    state_ = std::move(*state);
  }
  MakeDriver(std::move(initial), std::move(store));
  MakePeers();
  MakeLeaderRole();
  MakeLeaderClient();
  MakeSessions();
  MakeListener();
  MakeApi();
  MakeDiscovery();
  if (!options_.platform_url.empty()) {
    poller_ = std::make_unique<PlatformPoller>(
        context_, options_.platform_url, options_.platform_poll_interval,
        [this](const PlatformList& list) { role_->OnPlatformList(list); });
  }
}

void ControlNode::MakeDriver(raft::InitialState initial,
                             std::unique_ptr<storage::LogStore> store) {
  raft::Options raft_options;
  raft_options.id = options_.node_id;
  raft_options.heartbeat_interval = options_.raft_heartbeat_interval;
  raft_options.election_timeout = options_.raft_election_timeout;
  raft_options.maximum_clock_drift = options_.maximum_clock_drift;
  raft_options.kept_entries = options_.kept_entries;
  raft_options.seed = seed_;
  raft_options.ids_outlive_disks = options_.ids_outlive_disks;
  const CompactionLimits limits{.bytes = options_.compaction_bytes,
                                .entries = options_.compaction_entries,
                                .kept_entries = options_.kept_entries};
  driver_ =
      std::make_shared<RaftDriver>(context_, raft_options, std::move(initial),
                                   std::move(store), limits, DriverCallbacks());
}

RaftDriver::Callbacks ControlNode::DriverCallbacks() {
  return {
      .send =
          [this](const std::vector<raft::Message>& messages) {
            SendConsensus(messages);
          },
      .apply = [this](const raft::Entry& entry) { Apply(entry); },
      .install = [this](const raft::Snapshot& snapshot) { Install(snapshot); },
      .encode_state = [this] { return state_.EncodeSnapshot(); },
      .on_change = [this] { OnRaftChange(); },
      .on_failure =
          [this](const Error& error) {
            options_.on_store_failure ? options_.on_store_failure(error)
                                      : ExitProcess(error);
          }};
}

void ControlNode::MakePeers() {
  peers_ = std::make_shared<PeerNetwork>(
      context_,
      PeerNetwork::Identity{options_.cluster, options_.node_id, options_.place},
      seed_, [this](raft::NodeId from, const protocol::ControlFrameT& frame) {
        OnPeerFrame(from, frame);
      });
}

void ControlNode::MakeListener() {
  listener_ = std::make_unique<PeerListener>(
      context_, options_.peer_listen, options_.cluster, options_.node_id,
      PeerListener::Ports{
          .on_peer_connected =
              [this](const protocol::PeerHelloT& hello,
                     PeerListener::Connection connection) {
                peers_->AddIncomingConnection(hello.node_id,
                                              std::move(connection));
                sessions_->SetControlPlace(hello.node_id,
                                           {hello.zone, hello.region});
              },
          .on_peer_frame =
              [this](raft::NodeId from, net::FrameBytes bytes,
                     const PeerListener::Connection& connection) {
                peers_->OnFrame(from, bytes, connection);
              },
          .open_session =
              [this](const PeerListener::Connection& connection,
                     const protocol::SessionHelloT& hello) {
                return sessions_->Open(connection, hello);
              },
          .on_session_frame =
              [this](std::uint64_t session, net::FrameBytes bytes) {
                sessions_->OnFrame(session, bytes);
              },
          .on_session_closed =
              [this](std::uint64_t session) { sessions_->OnClosed(session); }});
}

void ControlNode::MakeLeaderRole() {
  LeaderRole::Options role_options;
  role_options.leases.lease = options_.lease_duration;
  role_options.leases.maximum_clock_drift = options_.maximum_clock_drift;
  role_options.tenant_tolerance = options_.tenant_tolerance;
  role_options.exposure = options_.rollout_exposure;
  role_ = std::make_unique<LeaderRole>(
      role_options,
      LeaderRole::Ports{
          .state = [this]() -> const ControlState& { return state_; },
          .raft_status = [this] { return driver_->GetStatus(); },
          .has_leader_lease =
              [this](MonotonicTime now) {
                return driver_->HasLeaderLease(now);
              },
          .propose =
              [this](std::string command) {
                return driver_->Propose(std::move(command));
              },
          .promote_learner =
              [this](raft::NodeId id) { return driver_->PromoteLearner(id); },
          .remove_member =
              [this](raft::NodeId id) { return driver_->RemoveMember(id); },
          .announce =
              [this](resources::Revision in_force,
                     const std::map<std::string, resources::Revision>& zones) {
                AnnounceProgress(in_force, zones);
              },
          .on_queued = [this] { ScheduleFlush(); },
          .on_watermark_change = [this] { ScheduleAdvance(); }});
  if (!options_.seeds.empty()) {
    role_->EnableMemberRepair({.wanted_voters = options_.wanted_voters});
    join_client_ = std::make_unique<JoinClient>(
        context_, raft::Member{options_.node_id, options_.peer_advertise});
    join_client_->SetSeeds(options_.seeds);
  }
}

void ControlNode::MakeDiscovery() {
  if (options_.discovery_url.empty()) {
    return;
  }
  discovery_ = std::make_unique<DiscoveryPoller>(
      context_,
      DiscoveryPoller::Options{
          .url = options_.discovery_url,
          .interval = options_.discovery_interval,
          .calls_per_second = options_.discovery_calls_per_second},
      DiscoveryPoller::Ports{
          .is_leading =
              [this] { return role_->IsLeading(ReadMonotonicClock()); },
          .on_list =
              [this](const DiscoveryList& list) {
                discovery_list_read_at_ = ReadMonotonicClock();
                role_->OnDiscoveryList(list);
              },
          .on_faults =
              [this](const EntryFaults& faults) {
                metrics_.OnDiscoveryFaults(faults);
              }});
}

void ControlNode::MakeLeaderClient() {
  // Not from the seed, which tests repeat at each start of a node.
  leader_client_ = std::make_unique<LeaderClient>(
      options_.node_id, DrawRandomSeed(),
      LeaderClient::Ports{
          .leader = [this] { return KnownLeader(); },
          .run_operations =
              [this](Operations operations,
                     CommandPipeline::Callback callback) {
                role_->Submit(std::move(operations), std::move(callback));
              },
          .run_call =
              [this](const ApiCall& call, const ApiCallback& answer) {
                resource_api_->Handle(call, answer);
              },
          .send_operations =
              [this](raft::NodeId to, protocol::ForwardOperationsT message) {
                return peers_->Send(to, std::move(message));
              },
          .send_call =
              [this](raft::NodeId to, protocol::ForwardCallT message) {
                return peers_->Send(to, std::move(message));
              }});
}

void ControlNode::MakeSessions() {
  observations_ = std::make_unique<ObservationExchange>(
      context_,
      ObservationExchange::Ports{
          .send_to_control_nodes =
              [this](const observation::BackendObservations& observations) {
                SendObservations(observations);
              },
          .send_to_routers =
              [this](const observation::BackendObservations& observations) {
                sessions_->SendObservations(observations);
              }});
  sessions_ = std::make_unique<SessionServer>(
      context_, options_.node_id, options_.cluster,
      UpdateTiming{options_.update_delay, options_.update_interval},
      SessionServer::Ports{
          .state = [this]() -> const ControlState& { return state_; },
          .forward_heartbeats =
              [this](Heartbeats heartbeats) {
                return ForwardHeartbeats(std::move(heartbeats));
              },
          .forward_goodbye =
              [this](const DaemonKey& daemon) { ForwardGoodbye(daemon); },
          .on_observations =
              [this](const observation::BackendObservations& observations) {
                observations_->OnReport(observations);
              },
          .submit =
              [this](Operations operations,
                     CommandPipeline::Callback callback) {
                leader_client_->Submit(
                    std::move(operations),
                    ReadMonotonicClock() + options_.call_timeout,
                    std::move(callback));
              }});
  sessions_->SetControlPlace(options_.node_id, options_.place);
}

void ControlNode::MakeApi() {
  resource_api_ = std::make_unique<ResourceApi>(ResourceApi::Ports{
      .state = [this]() -> const ControlState& { return state_; },
      .leases = [this]() -> const LeaseTable& { return role_->leases(); },
      .rollouts = [this]() -> const rollout::RolloutJudge& {
        return role_->rollouts();
      },
      .exposure = options_.rollout_exposure,
      .raft_status = [this] { return driver_->GetStatus(); },
      .is_leading = [this] { return role_->IsLeading(ReadMonotonicClock()); },
      .submit =
          [this](Operations operations, CommandPipeline::Callback callback) {
            role_->Submit(std::move(operations), std::move(callback));
          },
      .add_member =
          [this](const raft::Member& member) { return AddMember(member); },
      .remove_member = [this](raft::NodeId id) { return RemoveMember(id); }});
  api_server_ = std::make_unique<ApiServer>(
      context_,
      ApiServer::Options{.listen = options_.http_listen,
                         .bearer_token = options_.bearer_token,
                         .allow_without_token = options_.open_api,
                         .call_timeout = options_.call_timeout,
                         .order_start_timeout = options_.order_start_timeout,
                         .seed = seed_},
      ApiServer::Ports{
          .state = [this]() -> const ControlState& { return state_; },
          .forward_to_leader =
              [this](ApiCall call, MonotonicTime deadline, ApiCallback answer) {
                leader_client_->Call(std::move(call), deadline,
                                     std::move(answer));
              },
          .read_locally =
              [this](const ApiCall& call) {
                return resource_api_->ReadLocally(call);
              },
          .describe_node = [this] { return DescribeNode(); },
          .create_backup = [this] { return MakeBackup(); },
          .on_order_dropped =
              [this](OrderDropReason reason) {
                metrics_.OnOrderDropped(reason);
              }});
}

}  // namespace juniperway::control
