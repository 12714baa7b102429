#include "common/control/discovery_poller.h"

#include <algorithm>
#include <utility>

#include "common/control/events.h"

namespace juniperway::control {
namespace {

constexpr Duration kCallTimeout = seconds(1);
// How often a machine that does not lead looks whether it does now.
constexpr Duration kIdleInterval = milliseconds(100);
constexpr Duration kRetryDelay = milliseconds(300);
constexpr int kStatusOk = 200;
// Share of the platform's rate that one reader uses.
constexpr double kRateShare = 0.5;

}  // namespace

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
  faults_.clear();
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
  auto page = ParseDiscoveryPage(response.body, ReadWallClock());
  if (!page) {
    Fail(FormatError(page.error()));
    return;
  }
  const std::string next_page = page->next_page;
  AddPage(std::move(*page), collected_, faults_);
  if (!next_page.empty()) {
    Read(next_page);
    return;
  }
  failing_ = false;
  NoteFaults();
  ports_.on_list(collected_);
  const auto slowest = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(pages_) /
                                    (kRateShare * options_.calls_per_second)));
  const MonotonicTime next = began_ + std::max(options_.interval, slowest);
  ScheduleNext(std::max(Duration(next - ReadMonotonicClock()), Duration(0)));
}

void DiscoveryPoller::NoteFaults() {
  for (const auto& [fault, entries] : faults_) {
    const auto noted = noted_faults_.find(fault);
    if (noted == noted_faults_.end() || noted->second != entries) {
      logging::LogEvent(kDiscoveryEntriesFaulty,
                        {{"reason", NameOf(fault)}, {"entries", entries}});
    }
  }
  noted_faults_ = faults_;
  ports_.on_faults(faults_);
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
