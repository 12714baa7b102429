// Polls the platform's discovery list: the backends that HTTP forwarding may
// use. Only the leader polls the list, so the platform's load does not grow
// with the number of control nodes. The platform sends the list in pages and
// updates it with a delay.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "common/base/time.h"
#include "common/control/discovery_page.h"
#include "common/net/http_client.h"

namespace juniperway::control {

// Owned by ControlNode. Runs on the thread of its io_context.
class DiscoveryPoller {
 public:
  struct Options {
    std::string url;  // "http://10.0.0.9:9000/v1/backends"
    // Minimum interval between the starts of two polls of the whole list.
    Duration interval = seconds(1);
    // Rate limit of the platform, in calls per second. The poller uses at most
    // half of it and waits longer after a poll of many pages.
    double calls_per_second = 50;
  };
  struct Ports {
    // Returns whether this node is the leader; the poller calls the platform
    // only then.
    std::function<bool()> is_leading;
    // Receives the whole list after each poll.
    std::function<void(const DiscoveryList&)> on_list;
    // Receives the number of entries with each fault after each poll.
    std::function<void(const EntryFaults&)> on_faults;
  };

  DiscoveryPoller(asio::io_context& context, Options options, Ports ports);
  ~DiscoveryPoller();
  DiscoveryPoller(const DiscoveryPoller&) = delete;
  DiscoveryPoller& operator=(const DiscoveryPoller&) = delete;

  void Start();

 private:
  void StartPoll();
  // @param page token of the page; empty for the first.
  void RequestPage(const std::string& page);
  void OnAnswer(const net::HttpClientResponse& response);
  void OnFailure(const std::string& reason);
  // Logs each fault whose number of entries differs from that of the last poll,
  // and passes the numbers of all faults to on_faults.
  void ReportFaults();
  void ScheduleNext(Duration delay);

  Options options_;
  Ports ports_;
  net::HttpClient client_;
  asio::steady_timer timer_;
  // Entries, faults and number of the pages of the current poll.
  DiscoveryList collected_;
  EntryFaults faults_;
  // Numbers of entries with each fault that were logged last.
  EntryFaults logged_faults_;
  std::size_t pages_ = 0;
  MonotonicTime poll_start_;
  // Whether the last poll failed; only the first of successive failures is
  // logged.
  bool failing_ = false;
  // False once this object is destroyed, for callbacks that run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace juniperway::control
