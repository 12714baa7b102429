#include "common/control/discovery_poller.h"

#include <algorithm>
#include <utility>

#include "common/control/events.h"

namespace juniperway::control {
namespace {

constexpr Duration kCallTimeout = seconds(1);
// Interval at which a node that does not lead checks whether it has become the
// leader.
constexpr Duration kIdleInterval = milliseconds(100);
constexpr Duration kRetryDelay = milliseconds(300);
constexpr int kStatusOk = 200;
// Share of the platform's rate limit that the poller uses.
constexpr double kPlatformRateShare = 0.5;

}  // namespace

DiscoveryPoller::DiscoveryPoller(asio::io_context& context, Options options,
                                 Ports ports)
    : options_(std::move(options)),
      ports_(std::move(ports)),
      client_(context, /*maximum_connections_per_host=*/1),
      timer_(context) {}

DiscoveryPoller::~DiscoveryPoller() { *alive_ = false; }

void DiscoveryPoller::Start() { ScheduleNext(Duration(0)); }

void DiscoveryPoller::StartPoll() {
  if (!ports_.is_leading()) {
    ScheduleNext(kIdleInterval);
    return;
  }
  collected_.clear();
  faults_.clear();
  pages_ = 0;
  poll_start_ = ReadMonotonicClock();
  RequestPage("");
}

void DiscoveryPoller::RequestPage(const std::string& page) {
  net::HttpClientRequest request;
  request.url = options_.url;
  if (!page.empty()) {
    request.url += "?page=" + page;
  }
  request.timeout = kCallTimeout;
  request.share_connection = false;
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
    OnFailure("status " + std::to_string(response.status) + " " +
              response.transport_error);
    return;
  }
  auto page = ParseDiscoveryPage(response.body, ReadWallClock());
  if (!page) {
    OnFailure(FormatError(page.error()));
    return;
  }
  const std::string next_page = page->next_page;
  MergeDiscoveryPage(std::move(*page), collected_, faults_);
  if (!next_page.empty()) {
    RequestPage(next_page);
    return;
  }
  failing_ = false;
  ReportFaults();
  ports_.on_list(collected_);
  const auto minimum_interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          static_cast<double>(pages_) /
          (kPlatformRateShare * options_.calls_per_second)));
  const MonotonicTime next =
      poll_start_ + std::max(options_.interval, minimum_interval);
  ScheduleNext(std::max(Duration(next - ReadMonotonicClock()), Duration(0)));
}

void DiscoveryPoller::ReportFaults() {
  for (const auto& [fault, entries] : faults_) {
    const auto logged = logged_faults_.find(fault);
    if (logged == logged_faults_.end() || logged->second != entries) {
      logging::LogEvent(kDiscoveryEntriesFaulty,
                        {{"reason", NameOf(fault)}, {"entries", entries}});
    }
  }
  logged_faults_ = faults_;
  ports_.on_faults(faults_);
}

void DiscoveryPoller::OnFailure(const std::string& reason) {
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
      StartPoll();
    }
  });
}

}  // namespace juniperway::control
