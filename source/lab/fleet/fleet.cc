#include "lab/fleet/fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <thread>
#include <utility>

#include "lab/wait.h"

namespace juniperway::lab {
namespace {

constexpr Duration kReadyTimeout = seconds(30);
constexpr Duration kLeaderTimeout = seconds(30);
constexpr Duration kDeclareTimeout = seconds(60);
constexpr Duration kProxySettleTime = milliseconds(200);
constexpr Duration kMemberTimeout = seconds(30);
constexpr int kOk = 200;
// Bounds the second and the third part of the fleet's loopback addresses.
constexpr std::size_t kFleets = 250;

constexpr const char* kGatewayHttp = "gateway.http";
constexpr const char* kGatewayPeer = "gateway.peer";
constexpr const char* kControlHttp = "control.http";
constexpr const char* kControlPeer = "control.peer";

std::string LinkName(const std::string& daemon, const std::string& listener) {
  return daemon + "/" + listener;
}

std::vector<std::string> ListenersOf(const DaemonSettings& settings) {
  std::vector<std::string> listeners;
  if (settings.gateway) {
    listeners.insert(listeners.end(), {kGatewayHttp, kGatewayPeer});
  }
  if (settings.control_role) {
    listeners.insert(listeners.end(), {kControlHttp, kControlPeer});
  }
  return listeners;
}

}  // namespace

Fleet::Fleet(const FleetOptions& options)
    : options_(options), layout_(MakeLayout(options.deployment)) {
  for (const ServiceLayout& service : layout_.services) {
    catalog_.AddService(service.name, service.plan.records);
    catalog_.Publish(service.name, options_.stand_ins.index_version);
  }
}

Result<std::unique_ptr<Fleet>> Fleet::Start(const FleetOptions& options) {
  std::unique_ptr<Fleet> fleet(new Fleet(options));
  std::error_code error;
  std::filesystem::create_directories(options.stand_ins.work_folder, error);
  if (error) {
    return MakeError(ErrorCode::kIo, options.stand_ins.work_folder,
                     error.message());
  }
  if (Result<void> set_up = fleet->SetUp(); !set_up) {
    return tl::unexpected<Error>(set_up.error());
  }
  return fleet;
}

Result<void> Fleet::SetUp() {
  auto stand_ins = StandIns::Start(layout_, options_.stand_ins);
  if (!stand_ins) {
    return tl::unexpected<Error>(stand_ins.error());
  }
  stand_ins_ = *std::move(stand_ins);
  PlanDaemons();
  Result<void> done = DeclareMachines();
  if (done) {
    done = MakeLinks();
  }
  if (done) {
    done = StartDaemons();
  }
  return done ? AwaitLeader() : done;
}

DaemonSettings Fleet::CommonSettings(const MachinePlan& machine,
                                     std::size_t number) const {
  DaemonSettings settings;
  settings.name = machine.name;
  settings.cluster = options_.deployment.cluster;
  settings.zone = machine.zone.name;
  settings.region = machine.zone.region;
  settings.data_folder =
      fmt::format("{}/{}", options_.stand_ins.work_folder, machine.name);
  // Fleets that run at the same time have addresses of their own: a port that
  // one has given up may be another's at once.
  const auto fleet = static_cast<std::size_t>(getpid());
  settings.address = fmt::format("127.{}.{}.{}", fleet % kFleets + 1,
                                 fleet / kFleets % kFleets, number + 1);
  return settings;
}

void Fleet::PlanDaemons() {
  std::size_t number = 0;
  std::uint64_t node_id = 0;
  for (const MachinePlan& machine : layout_.control) {
    Daemon& daemon = daemons_[machine.name];
    daemon.settings = CommonSettings(machine, number++);
    daemon.settings.control_role = true;
    daemon.settings.node_id = ++node_id;
  }
  for (const MachinePlan& machine : layout_.gateways) {
    Daemon& daemon = daemons_[machine.name];
    daemon.settings = CommonSettings(machine, number++);
    daemon.settings.gateway = true;
  }
  for (auto& [name, daemon] : daemons_) {
    daemon.settings_path =
        fmt::format("{}/{}.toml", options_.stand_ins.work_folder, name);
  }
}

Result<void> Fleet::DeclareMachines() {
  nlohmann::json machines = nlohmann::json::array();
  for (const auto& [name, daemon] : daemons_) {
    machines.push_back({{"name", name},
                        {"address", daemon.settings.address},
                        {"zone", daemon.settings.zone},
                        {"region", daemon.settings.region}});
  }
  std::map<std::string, std::string> live;
  for (const ServiceLayout& service : layout_.services) {
    for (const BackendPlan& backend : service.backends) {
      machines.push_back({{"name", backend.name},
                          // Opens no connections: never looked up by address.
                          {"address", "of " + backend.name},
                          {"zone", backend.zone.name},
                          {"region", backend.zone.region}});
      live[backend.name] = "live";
    }
  }
  for (const auto& [name, daemon] : daemons_) {
    live[name] = "live";
  }
  if (Result<void> listed = stand_ins_->ChangePlatform(live); !listed) {
    return listed;
  }
  return stand_ins_->SetMachines(
      {{"delays", nlohmann::json::parse(options_.deployment.delays_json)},
       {"machines", machines}});
}

Result<void> Fleet::MakeLinks() {
  std::vector<ProxyLink> links;
  for (const auto& [name, daemon] : daemons_) {
    for (const std::string& listener : ListenersOf(daemon.settings)) {
      links.push_back({LinkName(name, listener), name, ""});
    }
  }
  for (const ServiceLayout& service : layout_.services) {
    for (const BackendPlan& backend : service.backends) {
      links.push_back({StandIns::BackendLink(backend.name), backend.name,
                       stand_ins_->BackendAddress(backend.name)});
    }
  }
  return stand_ins_->SetLinks(links);
}

Result<void> Fleet::StartDaemons() {
  std::vector<std::string> control_peers;
  std::vector<std::string> members;
  for (const MachinePlan& machine : layout_.control) {
    const std::string& peer =
        stand_ins_->LinkAddress(LinkName(machine.name, kControlPeer));
    control_peers.push_back(peer);
    members.push_back(
        fmt::format("{}={}", daemons_[machine.name].settings.node_id, peer));
    control_addresses_.push_back(
        stand_ins_->LinkAddress(LinkName(machine.name, kControlHttp)));
  }
  control_ = std::make_unique<ControlClient>(control_addresses_);
  for (auto& [name, daemon] : daemons_) {
    DaemonSettings& settings = daemon.settings;
    settings.control = control_peers;
    if (settings.control_role) {
      settings.initial_members = members;
      settings.control_peer_advertise =
          stand_ins_->LinkAddress(LinkName(name, kControlPeer));
      settings.platform_url =
          fmt::format("http://{}/v1/machines", stand_ins_->platform_address());
    }
    if (settings.gateway) {
      settings.gateway_peer_advertise =
          stand_ins_->LinkAddress(LinkName(name, kGatewayPeer));
    }
    std::error_code ignored;
    std::filesystem::create_directories(settings.data_folder, ignored);
    Result<void> launched = WriteSettings(settings, daemon.settings_path);
    if (launched) {
      launched = Launch(daemon);
    }
    if (!launched) {
      return launched;
    }
  }
  for (auto& [name, daemon] : daemons_) {
    if (Result<void> ready = AwaitReady(daemon); !ready) {
      return ready;
    }
  }
  return {};
}

Result<void> Fleet::Launch(Daemon& daemon) {
  Result<ChildProcess> process = ChildProcess::Start(
      options_.stand_ins.binary_folder + "/juniperwayd",
      {"--settings", daemon.settings_path},
      fmt::format("{}/{}.log", options_.stand_ins.work_folder,
                  daemon.settings.name));
  if (!process) {
    return tl::unexpected<Error>(process.error());
  }
  daemon.process = *std::move(process);
  return {};
}

Result<void> Fleet::AwaitReady(Daemon& daemon) {
  const auto addresses = daemon.process->WaitUntilReady(kReadyTimeout);
  if (!addresses) {
    return MakeError(addresses.error().code, daemon.settings.name,
                     addresses.error().message);
  }
  std::vector<ProxyLink> links;
  for (const std::string& listener : ListenersOf(daemon.settings)) {
    const auto address = addresses->find(listener);
    if (address == addresses->end()) {
      return MakeError(ErrorCode::kInternal, daemon.settings.name,
                       "does not say where its " + listener + " listens");
    }
    links.push_back({LinkName(daemon.settings.name, listener),
                     daemon.settings.name, address->second});
  }
  return stand_ins_->SetLinks(links);
}

Result<void> Fleet::AwaitLeader() {
  const bool elected =
      WaitFor(kLeaderTimeout, [this] { return LeaderName().has_value(); });
  if (!elected) {
    return MakeError(ErrorCode::kUnavailable, "control", "elects no leader");
  }
  return {};
}

std::vector<resources::Resource> Fleet::InitialResources() const {
  std::vector<resources::Resource> resources;
  for (const ServiceLayout& service : layout_.services) {
    resources.push_back(MakeServiceResource(service));
    for (const BackendPlan& backend : service.backends) {
      resources.push_back(MakeBackendResource(
          service, backend, BackendResourceAddress(backend.name)));
    }
    resources.push_back(MakeSnapshotResource(
        service.name, options_.stand_ins.index_version, service.partitions));
  }
  return resources;
}

Result<void> Fleet::Declare() {
  Result<ChangeRecord> change =
      control_->Apply(InitialResources(), "declare", kDeclareTimeout);
  if (!change) {
    return tl::unexpected<Error>(change.error());
  }
  const bool serving = WaitFor(kDeclareTimeout, [this] {
    for (const ServiceLayout& service : layout_.services) {
      if (!AllServe(service.name, options_.stand_ins.index_version)) {
        return false;
      }
    }
    return true;
  });
  if (!serving) {
    return MakeError(
        ErrorCode::kDeadlineExceeded, "declare",
        "the gateways do not serve the first snapshots: " + DescribeViews());
  }
  return {};
}

Result<void> Fleet::Kill(const std::string& daemon) {
  daemons_.at(daemon).process->Kill();
  return SetListening(daemon, false);
}

Result<void> Fleet::SetListening(const std::string& name, bool listening) {
  std::vector<ProxyLink> links;
  for (const std::string& listener : ListenersOf(daemons_.at(name).settings)) {
    links.push_back({LinkName(name, listener), name, "", listening});
  }
  return stand_ins_->SetLinks(links);
}

void Fleet::Freeze(const std::string& daemon) {
  daemons_.at(daemon).process->Signal(SIGSTOP);
}

void Fleet::Thaw(const std::string& daemon) {
  daemons_.at(daemon).process->Signal(SIGCONT);
}

Result<StopRecord> Fleet::Stop(const std::string& daemon, Duration timeout) {
  ChildProcess& process = *daemons_.at(daemon).process;
  const Result<std::uint64_t> before = RefusedCallers(daemon);
  StopRecord record;
  record.gateway = daemon;
  record.signalled = ReadMonotonicClock();
  process.Signal(SIGTERM);
  const std::optional<int> status = process.Wait(timeout);
  if (!status) {
    return MakeError(ErrorCode::kDeadlineExceeded, daemon,
                     "still runs after SIGTERM");
  }
  record.exited = ReadMonotonicClock();
  record.exit_status = *status;
  if (Result<void> refused = SetListening(daemon, false); !refused) {
    return tl::unexpected<Error>(refused.error());
  }
  // Connections on their way through the proxy meet their end.
  std::this_thread::sleep_for(kProxySettleTime);
  const Result<std::uint64_t> after = RefusedCallers(daemon);
  if (!before || !after) {
    return tl::unexpected<Error>(!before ? before.error() : after.error());
  }
  record.refused_connections = *after - *before;
  return record;
}

Result<std::uint64_t> Fleet::RefusedCallers(const std::string& daemon) {
  return daemons_.at(daemon).settings.gateway
             ? stand_ins_->RefusedConnections(LinkName(daemon, kGatewayHttp))
             : Result<std::uint64_t>(0);
}

Result<void> Fleet::Restart(const std::string& name) {
  Daemon& daemon = daemons_.at(name);
  Result<void> launched = Launch(daemon);
  return launched ? AwaitReady(daemon) : launched;
}

Result<void> Fleet::LoseDisk(const std::string& name) {
  const std::string& folder = daemons_.at(name).settings.data_folder;
  std::error_code error;
  std::filesystem::remove_all(folder, error);
  std::filesystem::create_directories(folder, error);
  if (error) {
    return MakeError(ErrorCode::kIo, folder, error.message());
  }
  return {};
}

Result<void> Fleet::ReplaceControl(const std::string& name) {
  Daemon& daemon = daemons_.at(name);
  std::uint64_t highest = 0;
  for (const auto& [other, other_daemon] : daemons_) {
    highest = std::max(highest, other_daemon.settings.node_id);
  }
  const std::uint64_t old_node = daemon.settings.node_id;
  daemon.settings.node_id = highest + 1;
  // It learns the members from those that are there.
  daemon.settings.initial_members.clear();
  Result<void> done = LoseDisk(name);
  if (done) {
    done = control_->RemoveMember(old_node, kMemberTimeout);
  }
  if (done) {
    done = WriteSettings(daemon.settings, daemon.settings_path);
  }
  if (done) {
    done = Restart(name);
  }
  return done ? control_->AddMember(daemon.settings.node_id,
                                    daemon.settings.control_peer_advertise,
                                    kMemberTimeout)
              : done;
}

std::optional<std::string> Fleet::LeaderName() {
  const ControlReply reply = control_->GetAnywhere("/v1/status");
  const nlohmann::json leader =
      reply.status == kOk ? reply.body.value("leader", nlohmann::json())
                          : nlohmann::json();
  for (const auto& [name, daemon] : daemons_) {
    if (daemon.settings.control_role && leader == daemon.settings.node_id) {
      return name;
    }
  }
  return std::nullopt;
}

bool Fleet::IsRunning(const std::string& daemon) {
  return daemons_.at(daemon).process->running();
}

std::optional<nlohmann::json> Fleet::GetFromGateway(const std::string& gateway,
                                                    const std::string& path) {
  const net::HttpClientResponse response = http_.Get(
      fmt::format("http://{}{}",
                  stand_ins_->LinkAddress(LinkName(gateway, kGatewayHttp)),
                  path),
      seconds(1));
  nlohmann::json json = nlohmann::json::parse(response.body, nullptr, false);
  if (response.status != kOk || json.is_discarded()) {
    return std::nullopt;
  }
  return json;
}

std::vector<RevisionRecord> Fleet::ObserveRevisions() {
  std::vector<RevisionRecord> records;
  for (const MachinePlan& gateway : layout_.gateways) {
    if (!IsRunning(gateway.name)) {
      continue;
    }
    const auto view = GetFromGateway(gateway.name, "/v1/view");
    if (view) {
      records.push_back(
          {gateway.name, ReadMonotonicClock(), view->value("revision", 0UL)});
    }
  }
  return records;
}

std::string Fleet::DescribeViews() {
  std::string text;
  for (const MachinePlan& gateway : layout_.gateways) {
    const auto view = GetFromGateway(gateway.name, "/v1/view");
    text += fmt::format(
        "{}: {}; ", gateway.name,
        view ? fmt::format("revision {} serving {}",
                           view->value("revision", 0UL),
                           view->value("serving", nlohmann::json()).dump())
             : "no view");
  }
  return text;
}

bool Fleet::AllServe(const std::string& service,
                     resources::IndexVersion index_version) {
  for (const MachinePlan& gateway : layout_.gateways) {
    if (!IsRunning(gateway.name)) {
      continue;
    }
    const auto view = GetFromGateway(gateway.name, "/v1/view");
    if (!view ||
        view->value("serving", nlohmann::json::object()).value(service, 0UL) !=
            index_version) {
      return false;
    }
  }
  return true;
}

std::vector<LoadSettings::Gateway> Fleet::Gateways() const {
  std::vector<LoadSettings::Gateway> gateways;
  for (const MachinePlan& gateway : layout_.gateways) {
    gateways.push_back({gateway.name, stand_ins_->LinkAddress(LinkName(
                                          gateway.name, kGatewayHttp))});
  }
  return gateways;
}

std::string Fleet::BackendResourceAddress(const std::string& backend) const {
  return stand_ins_->LinkAddress(StandIns::BackendLink(backend));
}

}  // namespace juniperway::lab
