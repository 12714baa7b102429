#include "support/control_group.h"

#include <fmt/format.h>
#include <unistd.h>

#include <asio/ip/tcp.hpp>
#include <stdexcept>
#include <utility>

#include "common/net/address.h"
#include "support/event_loop.h"
#include "support/full_disk_store.h"

namespace juniperway::test {
namespace {

constexpr const char* kCluster = "test";
constexpr std::uint64_t kSeed = 7;

// Returns a free endpoint. The loopback address is derived from the process id,
// so that no other test process takes the port before the server binds it.
asio::ip::tcp::endpoint FindFreeEndpoint(asio::io_context& context) {
  const auto process = static_cast<unsigned>(getpid());
  const auto address = asio::ip::make_address(
      fmt::format("127.{}.{}.{}", 1 + process / 65536 % 250,
                  process / 256 % 256, 1 + process % 254));
  return asio::ip::tcp::acceptor(context, {address, 0}).local_endpoint();
}

std::filesystem::path MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "juniperway-control-XXXXXX")
          .string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error(
        "cannot create a temporary folder for the control group");
  }
  return pattern;
}

}  // namespace

ControlGroup::ControlGroup(asio::io_context& context, std::size_t size,
                           Adjust adjust)
    : context_(context),
      adjust_(std::move(adjust)),
      folder_(MakeFolder()),
      disks_full_(size),
      servers_(size),
      http_(std::make_unique<net::HttpClient>(context, 0)) {
  for (std::size_t position = 0; position < size; ++position) {
    members_.push_back(
        {position + 1, net::FormatEndpoint(FindFreeEndpoint(context))});
  }
  for (std::size_t position = 0; position < size; ++position) {
    Start(position, members_);
  }
}

ControlGroup::~ControlGroup() {
  servers_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void ControlGroup::Start(std::size_t position,
                         std::vector<raft::Member> initial_members) {
  control::ControlServerOptions options;
  options.cluster = kCluster;
  options.node_id = position + 1;
  options.http_listen = {asio::ip::make_address("127.0.0.1"), 0};
  options.peer_listen =
      net::ParseEndpoint(members_.at(position).address, "address").value();
  options.initial_members = std::move(initial_members);
  options.data_folder = folder_ / std::to_string(options.node_id);
  options.seed = kSeed + position;
  if (adjust_) {
    adjust_(options);
  }
  auto store = storage::OpenSqliteLogStore({.folder = options.data_folder,
                                            .cluster = kCluster,
                                            .node = options.node_id,
                                            .create = true});
  if (!store) {
    throw std::runtime_error(FormatError(store.error()));
  }
  servers_.at(position) = std::make_unique<control::ControlServer>(
      context_, options,
      std::make_unique<FullDiskStore>(std::move(*store),
                                      disks_full_.at(position)));
}

void ControlGroup::Restart(std::size_t position) {
  // Runs the remaining handlers of the old server, which keep its store open.
  RunReady(context_);
  Start(position, members_);
}

std::size_t ControlGroup::StartUnjoined() {
  const std::size_t position = servers_.size();
  members_.push_back(
      {position + 1, net::FormatEndpoint(FindFreeEndpoint(context_))});
  disks_full_.emplace_back();
  servers_.emplace_back();
  Start(position, {});
  return position;
}

std::string ControlGroup::Address(std::size_t position) const {
  return members_.at(position).address;
}

std::string ControlGroup::Url(std::size_t position,
                              const std::string& path) const {
  return "http://" +
         net::FormatEndpoint(servers_.at(position)->http_endpoint()) + path;
}

std::unique_ptr<session::ControlSessionClient> ControlGroup::MakeClient(
    const std::string& daemon_id, const std::string& zone) {
  session::SessionOptions options;
  options.cluster = kCluster;
  options.daemon_id = daemon_id;
  options.zone = zone;
  options.region = "region";
  options.peer_address = "127.0.0.1:1";
  for (const raft::Member& member : members_) {
    options.control_endpoints.push_back(member.address);
  }
  options.seed = kSeed;
  return std::make_unique<session::ControlSessionClient>(context_, options);
}

net::HttpClientResponse ControlGroup::Call(std::size_t position,
                                           const std::string& method,
                                           const std::string& path,
                                           const std::string& body,
                                           const std::string& change_id) {
  net::HttpClientRequest request;
  request.method = method;
  request.url = Url(position, path);
  request.body = body;
  if (!change_id.empty()) {
    request.headers.emplace_back("X-Change-Id", change_id);
  }
  std::optional<net::HttpClientResponse> answer;
  http_->Start(std::move(request), [&answer](net::HttpClientResponse response) {
    answer = std::move(response);
  });
  RunUntil(context_, [&answer] { return answer.has_value(); });
  return answer.value();
}

nlohmann::json ControlGroup::GetJson(std::size_t position,
                                     const std::string& path) {
  const auto response = Call(position, "GET", path);
  return response.status == 200 ? nlohmann::json::parse(response.body)
                                : nlohmann::json();
}

std::size_t ControlGroup::WaitForLeader(std::size_t position) {
  constexpr int kMaximumCalls = 100;
  for (int call = 0; call < kMaximumCalls; ++call) {
    const auto status = GetJson(position, "/v1/status");
    if (status.is_object() && status["leader_reachable"] == true) {
      return status["leader"].get<std::size_t>() - 1;
    }
  }
  return size();
}

std::string ServiceJson(const std::string& name, std::uint64_t version) {
  return nlohmann::json{{"kind", "Service"},
                        {"name", name},
                        {"version", version},
                        {"spec", nlohmann::json::object()}}
      .dump();
}

}  // namespace juniperway::test
