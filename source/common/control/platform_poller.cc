#include "common/control/platform_poller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "common/control/events.h"

namespace juniperway::control {
namespace {

constexpr Duration kPollTimeout = seconds(2);
constexpr int kStatusOk = 200;

}  // namespace

Result<PlatformList> ParsePlatformList(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  const auto invalid = [](std::string field, std::string message) {
    return MakeError(ErrorCode::kInvalidArgument, std::move(field),
                     std::move(message));
  };
  if (!json.is_object() || !json.contains("machines") ||
      !json["machines"].is_array()) {
    return invalid("machines", "must be a list");
  }
  PlatformList list;
  for (const auto& machine : json["machines"]) {
    const bool valid = machine.is_object() && machine.contains("name") &&
                       machine["name"].is_string() &&
                       machine.contains("state") &&
                       machine["state"].is_string();
    if (!valid) {
      return invalid("machines[]",
                     "must be an object with the strings name and state");
    }
    const auto name = machine["name"].get<std::string>();
    list.present.insert(name);
    if (machine["state"] == "leaving") {
      list.leaving.insert(name);
    }
  }
  return list;
}

std::set<std::string> MergeLeavingNames(
    const PlatformList& list, const std::set<std::string>& previously_leaving,
    const std::function<bool(const std::string&)>& in_use) {
  std::set<std::string> leaving = list.leaving;
  for (const std::string& name : previously_leaving) {
    if (!list.present.contains(name) && in_use(name)) {
      leaving.insert(name);
    }
  }
  return leaving;
}

PlatformPoller::PlatformPoller(asio::io_context& context, std::string url,
                               Duration interval, Listener listener)
    : url_(std::move(url)),
      interval_(interval),
      listener_(std::move(listener)),
      client_(context, /*maximum_connections_per_host=*/1),
      timer_(context) {}

PlatformPoller::~PlatformPoller() { *alive_ = false; }

void PlatformPoller::Start() { Poll(); }

void PlatformPoller::Poll() {
  net::HttpClientRequest request;
  request.url = url_;
  request.timeout = kPollTimeout;
  request.share_connection = false;
  client_.Start(std::move(request),
                [this, alive = alive_](const net::HttpClientResponse& answer) {
                  if (*alive) {
                    OnAnswer(answer);
                    ScheduleNext();
                  }
                });
}

void PlatformPoller::OnAnswer(const net::HttpClientResponse& response) {
  const bool answered = response.progress == net::HttpProgress::kAnswered &&
                        response.status == kStatusOk;
  if (!answered) {
    if (!failing_) {
      logging::LogEvent(kPlatformUnreachable,
                        {{"url", url_},
                         {"status", response.status},
                         {"error", response.transport_error}});
    }
    failing_ = true;
    return;
  }
  failing_ = false;
  const auto list = ParsePlatformList(response.body);
  if (!list) {
    logging::LogEvent(kPlatformListInvalid,
                      {{"error", FormatError(list.error())}});
    return;
  }
  listener_(*list);
}

void PlatformPoller::ScheduleNext() {
  timer_.expires_after(interval_);
  timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!error && *alive) {
      Poll();
    }
  });
}

}  // namespace juniperway::control
