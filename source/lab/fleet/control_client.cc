#include "lab/fleet/control_client.h"

#include <fmt/format.h>

#include <thread>
#include <utility>

#include "common/resources/resource_json.h"

namespace juniperway::lab {
namespace {

constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
constexpr Duration kCallTimeout = seconds(3);
constexpr Duration kRetryInterval = milliseconds(100);
constexpr Duration kPollInterval = milliseconds(20);

ControlReply ToReply(const net::HttpClientResponse& response) {
  if (response.progress != net::HttpProgress::kAnswered) {
    return {};
  }
  return {response.status,
          nlohmann::json::parse(response.body, nullptr, false)};
}

}  // namespace

ControlReply ControlClient::ApplyOnce(
    std::size_t machine, const std::vector<resources::Resource>& resources,
    const std::string& change_id, Duration timeout) {
  nlohmann::json items = nlohmann::json::array();
  for (const resources::Resource& resource : resources) {
    items.push_back(resources::ResourceToJson(resource));
  }
  net::HttpClientRequest request;
  request.method = "POST";
  request.url = fmt::format("http://{}/v1/apply", addresses_[machine]);
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Change-Id", change_id}};
  request.body = nlohmann::json{{"items", items}}.dump();
  request.timeout = timeout;
  return ToReply(http_.Call(std::move(request)));
}

Result<ChangeRecord> ControlClient::Apply(
    const std::vector<resources::Resource>& resources,
    const std::string& change_id, Duration timeout) {
  const MonotonicTime deadline = ReadMonotonicClock() + timeout;
  ControlReply reply;
  while (ReadMonotonicClock() < deadline) {
    reply = ApplyOnce(preferred_, resources, change_id, kCallTimeout);
    if (reply.status == kOk) {
      return ChangeRecord{change_id, reply.body.at("revision"),
                          ReadMonotonicClock(), std::nullopt};
    }
    if (reply.status != 0 && reply.status < kFirstServerError) {
      return MakeError(ErrorCode::kInvalidArgument, change_id,
                       reply.body.dump());
    }
    preferred_ = (preferred_ + 1) % addresses_.size();
    std::this_thread::sleep_for(kRetryInterval);
  }
  return MakeError(ErrorCode::kDeadlineExceeded, change_id,
                   fmt::format("not accepted in time; last status {}: {}",
                               reply.status, reply.body.dump()));
}

void ControlClient::WaitInForce(ChangeRecord& change, Duration timeout) {
  const MonotonicTime deadline = ReadMonotonicClock() + timeout;
  while (ReadMonotonicClock() < deadline) {
    const ControlReply reply = GetAnywhere("/v1/changes/" + change.change_id);
    if (reply.status == kOk && reply.body.value("state", "") == "in_force") {
      change.in_force = ReadMonotonicClock();
      return;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

ControlReply ControlClient::Get(std::size_t machine, const std::string& path,
                                Duration timeout) {
  return ToReply(http_.Get(
      fmt::format("http://{}{}", addresses_[machine], path), timeout));
}

ControlReply ControlClient::GetAnywhere(const std::string& path) {
  ControlReply reply;
  for (std::size_t attempt = 0; attempt < addresses_.size(); ++attempt) {
    reply = Get(preferred_, path);
    if (reply.status == kOk) {
      return reply;
    }
    preferred_ = (preferred_ + 1) % addresses_.size();
  }
  return reply;
}

ControlReply ControlClient::Post(std::size_t machine, const std::string& path,
                                 const nlohmann::json& body, Duration timeout) {
  return ToReply(
      http_.Post(fmt::format("http://{}{}", addresses_[machine], path),
                 body.dump(), timeout));
}

Result<void> ControlClient::CallUntilDone(const net::HttpClientRequest& request,
                                          const std::string& path,
                                          Duration timeout) {
  const MonotonicTime deadline = ReadMonotonicClock() + timeout;
  ControlReply reply;
  while (ReadMonotonicClock() < deadline) {
    net::HttpClientRequest attempt = request;
    attempt.url = fmt::format("http://{}{}", addresses_[preferred_], path);
    attempt.timeout = kCallTimeout;
    reply = ToReply(http_.Call(std::move(attempt)));
    if (reply.status >= kOk && reply.status < kFirstRedirect) {
      return {};
    }
    preferred_ = (preferred_ + 1) % addresses_.size();
    std::this_thread::sleep_for(kRetryInterval);
  }
  return MakeError(
      ErrorCode::kDeadlineExceeded, path,
      fmt::format("last status {}: {}", reply.status, reply.body.dump()));
}

Result<void> ControlClient::AddMember(std::uint64_t node_id,
                                      const std::string& address,
                                      Duration timeout) {
  net::HttpClientRequest request;
  request.method = "POST";
  request.headers = {{"Content-Type", "application/json"}};
  request.body =
      nlohmann::json{{"node_id", node_id}, {"address", address}}.dump();
  return CallUntilDone(request, "/v1/members", timeout);
}

Result<void> ControlClient::RemoveMember(std::uint64_t node_id,
                                         Duration timeout) {
  net::HttpClientRequest request;
  request.method = "DELETE";
  return CallUntilDone(request, fmt::format("/v1/members/{}", node_id),
                       timeout);
}

Result<resources::Resource> ControlClient::Read(
    const resources::ResourceId& id) {
  const ControlReply reply = GetAnywhere(fmt::format(
      "/v1/resources/{}/{}", resources::KindName(id.kind), id.name));
  if (reply.status != kOk) {
    return MakeError(ErrorCode::kUnavailable, id.name,
                     fmt::format("status {}", reply.status));
  }
  nlohmann::json json = reply.body;
  json.erase("status");
  return resources::ParseResource(json);
}

}  // namespace juniperway::lab
