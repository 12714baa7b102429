#include "common/control/discovery_poller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/control/events.h"

namespace juniperway::control {
namespace {

using nlohmann::json;

constexpr Duration kCallTimeout = seconds(1);
// How often a machine that does not lead looks whether it does now.
constexpr Duration kIdleInterval = milliseconds(100);
constexpr Duration kRetryDelay = milliseconds(300);
constexpr int kStatusOk = 200;
// Share of the platform's rate that one reader uses.
constexpr double kRateShare = 0.5;

std::string TextOf(const json& object, const char* name) {
  const auto field = object.find(name);
  return field != object.end() && field->is_string() ? field->get<std::string>()
                                                     : std::string();
}

}  // namespace

Result<DiscoveryPage> ParseDiscoveryPage(std::string_view text) {
  const auto document = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!document.is_object() || !document.contains("backends") ||
      !document["backends"].is_array()) {
    return MakeError(ErrorCode::kInvalidArgument, "backends", "must be a list");
  }
  DiscoveryPage page;
  page.next_page = TextOf(document, "next_page");
  for (const json& element : document["backends"]) {
    session::DiscoveredBackend backend;
    backend.id = TextOf(element, "id");
    backend.service = TextOf(element, "service");
    backend.address = TextOf(element, "address");
    backend.zone = TextOf(element, "zone");
    const std::string state = TextOf(element, "state");
    if (backend.id.empty() || backend.service.empty() ||
        backend.address.empty() || state.empty()) {
      return MakeError(ErrorCode::kInvalidArgument, "backends[]",
                       "needs an id, a service, an address and a state");
    }
    backend.draining = state != "live";
    const auto slots = element.find("slots");
    if (slots != element.end() && slots->is_number_unsigned()) {
      backend.slots = std::max(1U, slots->get<std::uint32_t>());
    }
    const auto warmup = element.find("warmup_left_ms");
    backend.cold = warmup != element.end() && warmup->is_number() &&
                   warmup->get<double>() > 0;
    page.backends[backend.id] = std::move(backend);
  }
  return page;
}

DiscoveryPoller::DiscoveryPoller(asio::io_context& context, Options options,
                                 Ports ports)
    : options_(std::move(options)),
      ports_(std::move(ports)),
      client_(context, /*maximum_connections_per_host=*/1),
      timer_(context) {}

DiscoveryPoller::~DiscoveryPoller() { *alive_ = false; }

void DiscoveryPoller::Start() { ScheduleNext(Duration(0)); }

void DiscoveryPoller::Begin() {
  if (!ports_.is_leading()) {
    ScheduleNext(kIdleInterval);
    return;
  }
  collected_.clear();
  pages_ = 0;
  began_ = ReadMonotonicClock();
  Read("");
}

void DiscoveryPoller::Read(const std::string& page) {
  net::HttpClientRequest request;
  request.url = options_.url;
  if (!page.empty()) {
    request.url += "?page=" + page;
  }
  request.timeout = kCallTimeout;
  ++pages_;
  client_.Start(std::move(request),
                [this, alive = alive_](const net::HttpClientResponse& answer) {
                  if (*alive) {
                    OnAnswer(answer);
                  }
                });
}

void DiscoveryPoller::OnAnswer(const net::HttpClientResponse& response) {
  if (response.progress != net::HttpProgress::kAnswered ||
      response.status != kStatusOk) {
    Fail("status " + std::to_string(response.status) + " " +
         response.transport_error);
    return;
  }
  auto page = ParseDiscoveryPage(response.body);
  if (!page) {
    Fail(FormatError(page.error()));
    return;
  }
  collected_.merge(page->backends);
  if (!page->next_page.empty()) {
    Read(page->next_page);
    return;
  }
  failing_ = false;
  ports_.on_list(collected_);
  const auto slowest = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(pages_) /
                                    (kRateShare * options_.calls_per_second)));
  const MonotonicTime next = began_ + std::max(options_.interval, slowest);
  ScheduleNext(std::max(Duration(next - ReadMonotonicClock()), Duration(0)));
}

void DiscoveryPoller::Fail(const std::string& reason) {
  if (!failing_) {
    logging::LogEvent(kDiscoveryFailed,
                      {{"url", options_.url}, {"reason", reason}});
  }
  failing_ = true;
  ScheduleNext(kRetryDelay);
}

void DiscoveryPoller::ScheduleNext(Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (!error && *alive) {
      Begin();
    }
  });
}

}  // namespace juniperway::control
