#include "daemon/control_role.h"

#include <algorithm>
#include <asio/post.hpp>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "common/control/control_server.h"
#include "common/control/events.h"
#include "common/net/address.h"
#include "common/raft/configuration.h"
#include "common/storage/log_store.h"
#include "daemon/events.h"
#include "daemon/node_identity.h"

namespace juniperway::daemon {
namespace {

// Below this no loss is borne.
constexpr std::size_t kMinimumVoters = 3;
constexpr int kHeartbeatsPerElection = 5;
constexpr Duration kFullDiskRetryInterval = seconds(1);
constexpr const char* kBlanks = " \t\r\n";

// The file's content without blanks at its ends.
std::string ReadToken(const std::filesystem::path& file) {
  if (file.empty()) {
    return "";
  }
  std::ifstream stream(file);
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (!stream || begin == std::string::npos) {
    throw std::runtime_error("control.token_file: " + file.string() +
                             " cannot be read or is empty");
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

std::filesystem::path ControlFolder(const Settings& settings) {
  return settings.data_folder / control::kControlFolderName;
}

// A full disk may have room later: without it there is nothing to do.
void AwaitDiskSpace(const Settings& settings) {
  logging::LogEvent(kAwaitingDiskSpace,
                    {{"folder", ControlFolder(settings).string()}});
  std::this_thread::sleep_for(kFullDiskRetryInterval);
}

// How this node begins if it has neither number nor store.
FirstStart MakeFirstStart(const Settings& settings) {
  const auto endpoint =
      net::ParseEndpoint(settings.control->peer_advertise, "peer_advertise");
  if (!settings.control->bootstrap || !endpoint) {
    return {};
  }
  FirstStart first_start;
  first_start.founder_id = FounderId(*endpoint);
  auto founders = Founders(settings.control_peers);
  const bool is_founder =
      std::ranges::any_of(founders, [&](const raft::Member& member) {
        return member.id == *first_start.founder_id;
      });
  if (is_founder) {
    first_start.first_voters = std::move(founders);
  }
  return first_start;
}

// From the settings, or the data folder where the group forms itself.
NodeIdentity FindIdentity(const Settings& settings) {
  const ControlSettings& control = *settings.control;
  if (control.node_id != raft::kNoNode) {
    return {.id = control.node_id, .is_new = control.bootstrap};
  }
  const FirstStart first_start = MakeFirstStart(settings);
  auto identity = FindNodeIdentity(ControlFolder(settings), first_start);
  while (!identity && identity.error().code == ErrorCode::kNoSpace) {
    AwaitDiskSpace(settings);
    identity = FindNodeIdentity(ControlFolder(settings), first_start);
  }
  if (!identity) {
    throw std::runtime_error(FormatError(identity.error()));
  }
  return *identity;
}

// What the store holds when it is created.
std::optional<raft::Snapshot> FirstSnapshot(const NodeIdentity& node) {
  if (node.first_voters.empty()) {
    return std::nullopt;
  }
  return raft::MakeFirstSnapshot(node.first_voters);
}

control::ControlServerOptions MakeOptions(
    const Settings& settings, const NodeIdentity& node,
    std::shared_ptr<prometheus::Registry> registry) {
  control::ControlServerOptions options;
  options.registry = std::move(registry);
  options.cluster = settings.cluster;
  options.node_id = node.id;
  options.place = {settings.zone, settings.region};
  options.http_listen = settings.control->http_listen;
  options.peer_listen = settings.control->peer_listen;
  options.initial_members = settings.control->initial_members;
  options.ids_outlive_disks = settings.control->node_id != raft::kNoNode;
  options.seeds = settings.control_seeds;
  options.wanted_voters = std::max<std::size_t>(
      kMinimumVoters, 2 * settings.control->tolerated_losses + 1);
  options.peer_advertise = settings.control->peer_advertise;
  options.raft_election_timeout = settings.control->election_timeout;
  options.raft_heartbeat_interval =
      settings.control->election_timeout / kHeartbeatsPerElection;
  options.open_api = settings.control->open_api;
  options.discovery_url = settings.control->discovery_url;
  options.discovery_interval = settings.control->discovery_interval;
  options.discovery_calls_per_second =
      settings.control->discovery_calls_per_second;
  options.tenant_tolerance = settings.control->tenant_tolerance;
  options.rollout_exposure = settings.control->rollout_exposure;
  options.bearer_token = ReadToken(settings.control->token_file);
  options.platform_url = settings.control->platform_url;
  options.data_folder = settings.data_folder / control::kControlFolderName;
  return options;
}

// @return null when the disk is full.
std::unique_ptr<storage::LogStore> TryOpenStore(const Settings& settings,
                                                const NodeIdentity& node) {
  const auto first_snapshot = FirstSnapshot(node);
  auto store = storage::OpenSqliteLogStore({.folder = ControlFolder(settings),
                                            .cluster = settings.cluster,
                                            .node = node.id,
                                            .create = node.is_new,
                                            .first_snapshot = first_snapshot});
  if (!store && store.error().code == ErrorCode::kNoSpace) {
    return nullptr;
  }
  if (!store) {
    const bool missing = store.error().code == ErrorCode::kNotFound;
    throw std::runtime_error(
        FormatError(store.error()) +
        (missing ? " (control.bootstrap = true lets it be created)" : ""));
  }
  if (node.is_new && first_snapshot) {
    logging::LogEvent(
        control::kStoreBootstrapped,
        {{"node", node.id},
         {"voters", first_snapshot->configuration.voters.size()}});
  }
  return std::move(*store);
}

std::unique_ptr<storage::LogStore> OpenStore(const Settings& settings,
                                             const NodeIdentity& node) {
  auto store = TryOpenStore(settings, node);
  while (!store) {
    AwaitDiskSpace(settings);
    store = TryOpenStore(settings, node);
  }
  auto confirmed = ConfirmNodeIdentity(ControlFolder(settings), node);
  while (!confirmed && confirmed.error().code == ErrorCode::kNoSpace) {
    AwaitDiskSpace(settings);
    confirmed = ConfirmNodeIdentity(ControlFolder(settings), node);
  }
  if (!confirmed) {
    throw std::runtime_error(FormatError(confirmed.error()));
  }
  return store;
}

}  // namespace

struct ControlRole::Implementation {
  Implementation(const Settings& settings,
                 std::shared_ptr<prometheus::Registry> registry)
      : stop_timeout(settings.stop_timeout),
        node(FindIdentity(settings)),
        server(loop.context(), MakeOptions(settings, node, std::move(registry)),
               OpenStore(settings, node)),
        listeners({{"control.http", server.http_endpoint()},
                   {"control.peer", server.peer_endpoint()}}) {
    loop.Start();
  }

  ~Implementation() { loop.Stop(); }

  Duration stop_timeout;
  NodeIdentity node;
  EventLoopThread loop;
  control::ControlServer server;
  std::vector<Listener> listeners;
};

ControlRole::ControlRole(const Settings& settings,
                         std::shared_ptr<prometheus::Registry> registry)
    : implementation_(
          std::make_unique<Implementation>(settings, std::move(registry))) {}

ControlRole::~ControlRole() = default;

std::vector<Listener> ControlRole::listeners() const {
  return implementation_->listeners;
}

void ControlRole::Reload(const Settings& settings) {
  asio::post(implementation_->loop.context(),
             [this, seeds = settings.control_seeds] {
               implementation_->server.SetSeeds(seeds);
             });
}

void ControlRole::Stop(std::function<void()> done) {
  asio::post(implementation_->loop.context(),
             [this, done = std::move(done)]() mutable {
               implementation_->server.Stop(implementation_->stop_timeout,
                                            std::move(done));
             });
}

}  // namespace juniperway::daemon
