#include "integration/forwarding/route_fleet.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "common/net/address.h"
#include "lab/fleet/loopback.h"
#include "lab/wait.h"

namespace juniperway::test {
namespace {

using asio::ip::tcp;
using nlohmann::json;

constexpr Duration kLimit = seconds(60);
// How long a backend runs a fatal request before it crashes.
constexpr Duration kCrashDelay = milliseconds(10);
const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

json ListEntry(const std::string& id, const std::string& service,
               const std::string& address, const std::string& version,
               bool draining) {
  return {{"id", id},
          {"service", service},
          {"address", address},
          {"zone", "z"},
          {"version", version},
          {"slots", 5},
          {"warmup_left_ms", 0},
          {"state", draining ? "leaving" : "live"}};
}

}  // namespace

// --- Backends ----------------------------------------------------------------

StandInBackend::StandInBackend(asio::io_context& context, std::string id,
                               std::string service, std::string version)
    : context_(context),
      id_(std::move(id)),
      service_(std::move(service)),
      version_(std::move(version)),
      crash_timer_(context),
      server_(context, {.endpoint = kLoopback, .connection_listener = {}},
              [this](const net::HttpRequest& request, const auto& responder) {
                Handle(request, responder);
              }) {}

std::string StandInBackend::address() const {
  return net::FormatEndpoint(server_.local_endpoint());
}

void StandInBackend::SetAnswering(Answering answering) {
  asio::post(context_, [this, answering] {
    answering_ = answering;
    if (answering == Answering::kSucceeds) {
      for (const auto& [request, responder] : std::exchange(withheld_, {})) {
        Answer(request, *responder);
      }
    }
  });
}

void StandInBackend::CrashOn(const std::string& target_prefix) {
  const std::lock_guard lock(mutex_);
  fatal_prefix_ = target_prefix;
}

bool StandInBackend::IsFatal(const std::string& target) const {
  const std::lock_guard lock(mutex_);
  return !fatal_prefix_.empty() && target.starts_with(fatal_prefix_);
}

void StandInBackend::FailOn(const std::string& target_prefix) {
  const std::lock_guard lock(mutex_);
  failing_prefix_ = target_prefix;
}

bool StandInBackend::IsFailing(const std::string& target) const {
  const std::lock_guard lock(mutex_);
  return !failing_prefix_.empty() && target.starts_with(failing_prefix_);
}

void StandInBackend::Crash() {
  if (!crashed_) {
    crashed_ = true;
    server_.Close();
  }
}

std::vector<std::string> StandInBackend::Targets() const {
  const std::lock_guard lock(mutex_);
  return targets_;
}

std::vector<std::pair<std::string, std::string>> StandInBackend::LatestFields()
    const {
  const std::lock_guard lock(mutex_);
  return latest_fields_;
}

void StandInBackend::Handle(
    const net::HttpRequest& request,
    const std::shared_ptr<net::HttpResponder>& responder) {
  if (request.Header("x-expected-backend") != id_) {
    responder->Send({.status = 421, .headers = {}, .body = ""});
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    targets_.push_back(request.target);
    latest_fields_ = request.fields;
  }
  if (IsFatal(request.target)) {
    withheld_.emplace_back(request, responder);
    crash_timer_.expires_after(kCrashDelay);
    crash_timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        Crash();
      }
    });
    return;
  }
  if (answering_ == Answering::kWithholds) {
    withheld_.emplace_back(request, responder);
    return;
  }
  Answer(request, *responder);
}

void StandInBackend::Answer(const net::HttpRequest& request,
                            net::HttpResponder& responder) {
  net::HttpResponse response;
  const std::string id = request.Header("x-request-id").value_or("");
  const bool foreign = answering_ == Answering::kForeignId;
  if (answering_ != Answering::kWithoutId) {
    response.headers = {{"X-Request-Id", foreign ? "another" : id}};
  }
  if (answering_ == Answering::kSheds) {
    response.status = 503;
    response.headers.emplace_back("X-Not-Run", "1");
    responder.Send(std::move(response));
    return;
  }
  const bool fails =
      answering_ == Answering::kFails || IsFailing(request.target);
  response.status = fails ? 500 : 200;
  response.headers.emplace_back("X-Signature", id_ + "/" + id);
  constexpr std::size_t kRecordBytes = 16;
  response.content_type = "application/octet-stream";
  response.body =
      (id_ + std::string(kRecordBytes, '.')).substr(0, kRecordBytes);
  responder.Send(std::move(response));
}

// --- Fleet -------------------------------------------------------------------

RouteFleet::RouteFleet(int control_nodes, int routers)
    : work_(context_.get_executor()),
      discovery_list_(R"({"backends": [], "next_page": null})"),
      network_(lab::OwnLoopbackNetwork()) {
  discovery_server_ = std::make_unique<net::HttpServer>(
      context_,
      net::HttpServerOptions{.endpoint = kLoopback, .connection_listener = {}},
      [this](const net::HttpRequest&, const auto& responder) {
        net::HttpResponse response;
        const std::lock_guard lock(mutex_);
        response.body = discovery_list_;
        responder->Send(std::move(response));
      });
  thread_ = std::thread([this] { context_.run(); });
  http_port_ = lab::FreePort(network_ + ".1");
  peer_port_ = lab::FreePort(network_ + ".1");
  controls_.resize(control_nodes);
  for (int number = 0; number < control_nodes; ++number) {
    StartControl(number, /*bootstrap=*/true);
  }
  for (int number = 0; number < routers; ++number) {
    StartRouter(number);
  }
}

RouteFleet::~RouteFleet() {
  routers_.clear();
  controls_.clear();
  work_.reset();
  context_.stop();
  thread_.join();
}

std::string RouteFleet::AddressOf(int number) const {
  return fmt::format("{}.{}", network_, number + 1);
}

std::filesystem::path RouteFleet::FolderOf(int number) const {
  return folder_.path() / fmt::format("control-{}", number);
}

std::string RouteFleet::LogOf(int number) const {
  return (folder_.path() / fmt::format("control-{}.log", number)).string();
}

std::string RouteFleet::RouterLog(int number) const {
  return (folder_.path() / fmt::format("router-{}.log", number)).string();
}

std::vector<std::string> RouteFleet::LogFiles() const {
  std::vector<std::string> files;
  files.reserve(routers_.size() + controls_.size());
  for (int number = 0; number < routers(); ++number) {
    files.push_back(RouterLog(number));
  }
  for (int number = 0; number < control_nodes(); ++number) {
    files.push_back(LogOf(number));
  }
  return files;
}

std::string RouteFleet::Seeds() const {
  std::string seeds;
  for (int number = 0; number < control_nodes(); ++number) {
    seeds += fmt::format("{}\"{}:{}\"", number == 0 ? "" : ", ",
                         AddressOf(number), http_port_);
  }
  return seeds;
}

void RouteFleet::StartControl(int number, bool bootstrap) {
  const auto file = folder_.path() / fmt::format("control-{}.toml", number);
  const std::string address = AddressOf(number);
  std::ofstream(file) << fmt::format(
      "name = \"control-{}\"\ncluster = \"test\"\nzone = \"z\"\n"
      "roles = [\"control\"]\ndata_folder = \"{}\"\n"
      "control_seeds = [{}]\ncontrol_peer_port = {}\n"
      "source_address = \"{}\"\n[control]\nhttp_listen = \"{}:{}\"\n"
      "peer_listen = \"{}:{}\"\nbootstrap = {}\nopen_api = true\n"
      "election_timeout_ms = 500\ndiscovery_url = \"http://{}/list\"\n"
      "discovery_interval_ms = 50\nquota_overage = 0.1\nquota_slack = 10\n",
      number, FolderOf(number).string(), Seeds(), peer_port_, address, address,
      http_port_, address, peer_port_, bootstrap,
      net::FormatEndpoint(discovery_server_->local_endpoint()));
  auto process = lab::ChildProcess::Start(
      std::string(JUNIPERWAY_BINARY_FOLDER) + "/juniperwayd",
      {"--settings", file.string()}, LogOf(number));
  REQUIRE(process);
  REQUIRE(process->WaitUntilReady(kLimit));
  controls_.at(number).emplace(std::move(*process));
}

void RouteFleet::StartRouter(int number) {
  const auto file = folder_.path() / fmt::format("router-{}.toml", number);
  std::ofstream(file) << fmt::format(
      "name = \"router-{}\"\ncluster = \"test\"\nzone = \"z\"\n"
      "roles = [\"router\"]\ncontrol_seeds = [{}]\ncontrol_peer_port = {}\n"
      "stop_timeout_s = 30\nmetrics_listen = \"127.0.0.1:0\"\n"
      "[router]\nhttp_listen = \"127.0.0.1:0\"\n"
      "ready_listen = \"127.0.0.1:0\"\nextra_slack = 1000\n"
      "extra_window_s = 1\n",
      number, Seeds(), peer_port_);
  auto process = lab::ChildProcess::Start(
      std::string(JUNIPERWAY_BINARY_FOLDER) + "/juniperwayd",
      {"--settings", file.string()}, RouterLog(number));
  REQUIRE(process);
  const auto listeners = process->WaitUntilReady(kLimit);
  REQUIRE(listeners);
  routers_.push_back({.process = std::move(*process),
                      .address = listeners->at("router.http"),
                      .metrics = listeners->at("metrics")});
}

std::unique_ptr<StandInBackend> RouteFleet::MakeBackend(
    const std::string& id, const std::string& service,
    const std::string& version) {
  // The backend is constructed on the thread that runs its listener.
  std::promise<std::unique_ptr<StandInBackend>> made;
  asio::post(context_, [&] {
    made.set_value(
        std::make_unique<StandInBackend>(context_, id, service, version));
  });
  return made.get_future().get();
}

StandInBackend& RouteFleet::AddBackend(const std::string& id,
                                       const std::string& service,
                                       const std::string& version) {
  backends_.push_back(MakeBackend(id, service, version));
  PublishDiscoveryList();
  return *backends_.back();
}

void RouteFleet::AddScriptedBackend(const std::string& id,
                                    const std::string& service,
                                    ScriptedServer::Script script) {
  // The server is constructed on the thread that runs its listener.
  std::promise<std::unique_ptr<ScriptedServer>> made;
  asio::post(context_, [&] {
    made.set_value(
        std::make_unique<ScriptedServer>(context_, std::move(script)));
  });
  scripted_backends_.push_back({id, service, made.get_future().get()});
  PublishDiscoveryList();
}

void RouteFleet::RestartCrashed() {
  for (auto& backend : backends_) {
    if (backend->crashed()) {
      auto next = MakeBackend(backend->id() + "'", backend->service(),
                              backend->version());
      replaced_backends_.push_back(std::exchange(backend, std::move(next)));
    }
  }
  PublishDiscoveryList();
}

void RouteFleet::PublishDiscoveryList() {
  json list = {{"backends", json::array()}, {"next_page", nullptr}};
  for (const auto& backend : backends_) {
    list["backends"].push_back(ListEntry(backend->id(), backend->service(),
                                         backend->address(), backend->version(),
                                         backend->draining));
  }
  for (const ScriptedBackend& backend : scripted_backends_) {
    list["backends"].push_back(
        ListEntry(backend.id, backend.service,
                  net::FormatEndpoint(backend.server->endpoint()), "v1",
                  /*draining=*/false));
  }
  const std::lock_guard lock(mutex_);
  discovery_list_ = list.dump();
}

int RouteFleet::PutTable(const std::string& table) {
  int status = 0;
  int control_node = 0;
  lab::WaitFor(kLimit, [&] {
    const std::string address = AddressOf(control_node++ % control_nodes());
    status = http_
                 .Post(fmt::format("http://{}:{}/v1/route-table", address,
                                   http_port_),
                       table)
                 .status;
    return status == 200 || status == 400;
  });
  return status;
}

int RouteFleet::CallControl(const std::string& method, const std::string& path,
                            const std::string& body) {
  int status = 0;
  int control_node = 0;
  lab::WaitFor(kLimit, [&] {
    net::HttpClientRequest request;
    request.method = method;
    request.url = fmt::format("http://{}:{}{}",
                              AddressOf(control_node++ % control_nodes()),
                              http_port_, path);
    request.body = body;
    request.timeout = seconds(5);
    status = http_.Call(std::move(request)).status;
    return status == 200 || status == 400;
  });
  return status;
}

net::HttpClientResponse RouteFleet::CallControlNode(int number,
                                                    const std::string& method,
                                                    const std::string& path,
                                                    Duration timeout) {
  net::HttpClientRequest request;
  request.method = method;
  request.url =
      fmt::format("http://{}:{}{}", AddressOf(number), http_port_, path);
  request.timeout = timeout;
  return http_.Call(std::move(request));
}

std::string RouteFleet::GetTable() {
  std::string body;
  int control_node = 0;
  lab::WaitFor(kLimit, [&] {
    const auto response = http_.Get(
        fmt::format("http://{}:{}/v1/route-table",
                    AddressOf(control_node++ % control_nodes()), http_port_));
    body = response.body;
    return response.status == 200;
  });
  return body;
}

net::HttpClientResponse RouteFleet::Request(const std::string& target,
                                            const std::string& id, int router) {
  return http_.Call(MakeRequest(target, id, router));
}

net::HttpClientResponse RouteFleet::RequestWith(
    const std::vector<std::pair<std::string, std::string>>& fields,
    const std::string& target, int router) {
  net::HttpClientRequest request = MakeRequest(target, "request-1", router);
  request.headers.insert(request.headers.end(), fields.begin(), fields.end());
  return http_.Call(std::move(request));
}

net::HttpClientResponse RouteFleet::RequestFrom(
    const std::string& client_address, const std::string& target,
    const std::string& id, int router) {
  net::SetSourceAddress(asio::ip::make_address(client_address));
  lab::BlockingHttp http;
  net::HttpClientResponse response = http.Call(MakeRequest(target, id, router));
  net::SetSourceAddress(kLoopback.address());
  return response;
}

net::HttpClientRequest RouteFleet::MakeRequest(const std::string& target,
                                               const std::string& id,
                                               int router) const {
  net::HttpClientRequest request;
  request.url = "http://" + routers_.at(router).address + "/";
  request.target = target;
  request.headers = {{"Host", "test.example"},
                     {"X-Request-Id", id},
                     {"X-Deadline-Ms", "20000"}};
  request.timeout = seconds(30);
  return request;
}

bool RouteFleet::AwaitStatus(const std::string& target, int status) {
  return lab::WaitFor(kLimit, [&] { return Request(target).status == status; });
}

void RouteFleet::WipeControl(int number) {
  wiped_ = number;
  REQUIRE(lab::WaitFor(kLimit, [&] {
    wiped_id_ = VoterAt(number, Status());
    return wiped_id_ != 0;
  }));
  controls_.at(number)->Kill();
  std::filesystem::remove_all(FolderOf(number));
  StartControl(number, /*bootstrap=*/false);
}

void RouteFleet::RestartControls() {
  for (auto& control : controls_) {
    control->Kill();
  }
  for (int number = 0; number < control_nodes(); ++number) {
    StartControl(number, /*bootstrap=*/false);
  }
}

int RouteFleet::LeaderNumber() {
  int leader = -1;
  lab::WaitFor(kLimit, [&] {
    for (int number = 0; number < control_nodes() && leader < 0; ++number) {
      const auto response = http_.Get(
          fmt::format("http://{}:{}/v1/status", AddressOf(number), http_port_));
      const json node = json::parse(response.body, nullptr, false);
      if (node.is_object() && node.value("role", "") == "leader") {
        leader = number;
      }
    }
    return leader >= 0;
  });
  return leader;
}

json RouteFleet::Read(const std::string& path) {
  const auto response =
      http_.Get(fmt::format("http://{}:{}{}", AddressOf(0), http_port_, path));
  return json::parse(response.body, nullptr, /*allow_exceptions=*/false);
}

RolloutStatus RouteFleet::GetRollout(const std::string& service) {
  // A test may have killed some of the control nodes.
  for (int control_node = 0; control_node < control_nodes(); ++control_node) {
    const auto response =
        http_.Get(fmt::format("http://{}:{}/v1/rollouts/{}",
                              AddressOf(control_node), http_port_, service));
    const json rollout = json::parse(response.body, nullptr, false);
    if (rollout.is_object() && rollout.contains("state")) {
      return {.state = rollout["state"],
              .reason = rollout["reason"],
              .in_force = rollout["in_force"],
              .share_permille = rollout["share_permille"]};
    }
  }
  return {};
}

bool RouteFleet::AwaitRolloutInForce(const std::string& service) {
  return lab::WaitFor(kLimit, [&] { return GetRollout(service).in_force; });
}

double RouteFleet::RouterMetric(int router, const std::string& name) {
  std::istringstream lines(
      http_.Get("http://" + routers_.at(router).metrics + "/metrics").body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

json RouteFleet::Status() { return Read("/v1/status"); }

bool RouteFleet::AwaitQuarantine() {
  return lab::WaitFor(kLimit, [&] {
    const json requests = Read("/v1/crashing-requests");
    if (!requests.is_object() || !requests.contains("items")) {
      return false;
    }
    const bool quarantined = std::ranges::any_of(
        requests["items"],
        [](const json& item) { return item.value("quarantined", false); });
    const json status = Status();
    return quarantined && status.is_object() &&
           status.value("in_force_revision", 0) >= requests["revision"];
  });
}

std::uint64_t RouteFleet::VoterAt(int number, const json& status) const {
  if (!status.is_object() || !status.contains("members")) {
    return 0;
  }
  const std::string address =
      fmt::format("{}:{}", AddressOf(number), peer_port_);
  std::uint64_t id = 0;
  for (const json& member : status["members"]) {
    if (member["address"] != address) {
      continue;
    }
    if (id != 0 || !member["voter"].get<bool>()) {
      // Two members have the address, or the new member is no voter yet.
      return 0;
    }
    id = member["id"].get<std::uint64_t>();
  }
  return id;
}

bool RouteFleet::AwaitRepaired() {
  return lab::WaitFor(kLimit, [&] {
    const json status = Status();
    const std::uint64_t id = VoterAt(wiped_, status);
    return id != 0 && id != wiped_id_ && status.value("repaired", false) &&
           status.value("voters", 0) == control_nodes();
  });
}

}  // namespace juniperway::test
