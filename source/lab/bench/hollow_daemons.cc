#include "lab/bench/hollow_daemons.h"

#include <fmt/format.h>
#include <pthread.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <ctime>
#include <future>
#include <limits>
#include <thread>

namespace juniperway::lab {

using session::ControlSessionClient;

// One thread with its share of the daemons.
class HollowDaemons::Worker {
 public:
  Worker() : guard_(asio::make_work_guard(context_)) {
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Worker() {
    Run([this] { clients_.clear(); });
    guard_.reset();
    context_.stop();
    thread_.join();
  }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void Add(const session::SessionOptions& options) {
    Run([this, &options] {
      auto client = std::make_unique<ControlSessionClient>(context_, options);
      ControlSessionClient* raw = client.get();
      client->SetViewListener([raw](const session::FleetViewPointer& view) {
        raw->ReportReleased(view->revision);
      });
      clients_.push_back(std::move(client));
    });
  }

  void Start() {
    Run([this] {
      for (const auto& client : clients_) {
        client->Start();
      }
    });
  }

  void AddTo(HollowTotals& totals) {
    Run([this, &totals] {
      const MonotonicTime now = ReadMonotonicClock();
      for (const auto& client : clients_) {
        totals.with_lease += client->HasLease(now) ? 1 : 0;
        totals.lowest_revision =
            std::min(totals.lowest_revision, client->View()->revision);
        totals.lowest_in_force =
            std::min(totals.lowest_in_force, client->InForceRevision());
        const auto counters = client->GetCounters();
        totals.sent_bytes += counters.sent_bytes;
        totals.received_bytes += counters.received_bytes;
        totals.connects += counters.connects;
        totals.updates += counters.updates;
        totals.full_updates += counters.full_updates;
      }
    });
    clockid_t clock = 0;
    timespec time{};
    if (pthread_getcpuclockid(thread_.native_handle(), &clock) == 0 &&
        clock_gettime(clock, &time) == 0) {
      totals.processor_time +=
          seconds(time.tv_sec) + std::chrono::duration_cast<Duration>(
                                     std::chrono::nanoseconds(time.tv_nsec));
    }
  }

 private:
  // Runs `work` on the worker's thread and waits for it.
  void Run(const std::function<void()>& work) {
    std::promise<void> done;
    asio::post(context_, [&work, &done] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::vector<std::unique_ptr<ControlSessionClient>> clients_;
  std::thread thread_;
};

HollowDaemons::HollowDaemons(const HollowOptions& options) : options_(options) {
  for (std::size_t thread = 0; thread < options.threads; ++thread) {
    workers_.push_back(std::make_unique<Worker>());
  }
  for (std::size_t daemon = 0; daemon < options.daemons; ++daemon) {
    session::SessionOptions session;
    session.cluster = options.cluster;
    session.daemon_id = fmt::format("hollow-{}", daemon);
    session.zone = fmt::format("zone-{}", daemon % options.zones);
    session.region = fmt::format("region-{}", daemon % options.zones / 3);
    session.peer_address =
        fmt::format("10.0.{}.{}:7200", daemon / 250, 1 + daemon % 250);
    session.control_endpoints = options.control_endpoints;
    session.seed = options.seed * 100'000 + daemon + 1;
    workers_[daemon % options.threads]->Add(session);
  }
  for (const auto& worker : workers_) {
    worker->Start();
  }
}

HollowDaemons::~HollowDaemons() = default;

HollowTotals HollowDaemons::Totals() {
  HollowTotals totals;
  totals.lowest_revision = std::numeric_limits<resources::Revision>::max();
  totals.lowest_in_force = std::numeric_limits<resources::Revision>::max();
  for (const auto& worker : workers_) {
    worker->AddTo(totals);
  }
  return totals;
}

}  // namespace juniperway::lab
