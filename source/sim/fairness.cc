#include "sim/fairness.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <vector>

#include "sim/timeline.h"
#include "sim/waiting_orders.h"

namespace juniperway::sim {
namespace {

constexpr owner::ClassIndex kQuiet = 0;
constexpr owner::ClassIndex kNoisy = 1;

Duration MeanServiceTime(const FairnessOptions& options) {
  const double sigma = options.service_time_sigma;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(options.median_service_time.count()) *
      std::exp(sigma * sigma / 2)));
}

class SharedBackend {
 public:
  explicit SharedBackend(const FairnessOptions& options)
      : options_(options),
        mean_(MeanServiceTime(options)),
        random_(options.seed),
        order_(MakeOrder(options.order, options.slots, mean_ / options.slots)) {
  }

  FairnessResult Run() {
    timeline_.After(options_.quiet.begin,
                    [this] { Arrive(kQuiet, options_.quiet); });
    timeline_.After(options_.noisy.begin,
                    [this] { Arrive(kNoisy, options_.noisy); });
    timeline_.RunUntil(MonotonicTime(options_.length));
    FairnessResult result;
    result.quiet = Summary(kQuiet);
    result.noisy = Summary(kNoisy);
    result.wasted =
        static_cast<double>(wasted_.count()) /
        static_cast<double>(options_.length.count() * options_.slots);
    return result;
  }

 private:
  void Arrive(owner::ClassIndex class_index, const ClassLoad& load) {
    const MonotonicTime now = timeline_.now();
    for (std::uint32_t i = 0; i < load.burst; ++i) {
      ++arrived_[class_index];
      order_->Push({next_id_++, class_index, now, now + load.deadline});
      if (order_->size() > options_.queue_limit) {
        order_->DropOne();
      }
    }
    Dispatch();
    std::exponential_distribution<double> gap(load.rate / load.burst);
    timeline_.After(
        Duration(static_cast<Duration::rep>(gap(random_) * 1'000'000)),
        [this, class_index, &load] { Arrive(class_index, load); });
  }

  // The admission rules are those of BackendGate.
  void Dispatch() {
    while (!order_->empty() &&
           running_[kQuiet] + running_[kNoisy] < options_.slots &&
           order_->MayStart(running_)) {
      const MonotonicTime now = timeline_.now();
      const WaitingSubquery next = order_->Take(now);
      const bool too_late = now + mean_ > next.deadline && !order_->empty();
      if (next.deadline > now && !too_late) {
        order_->OnStart(next, now);
        Start(next);
      }
    }
  }

  void Start(const WaitingSubquery& subquery) {
    ++running_[subquery.class_index];
    std::lognormal_distribution<double> service(
        std::log(static_cast<double>(options_.median_service_time.count())),
        options_.service_time_sigma);
    const Duration work(static_cast<Duration::rep>(service(random_)));
    // The back end stops at the deadline, too.
    const Duration left = subquery.deadline - timeline_.now();
    timeline_.After(std::min(work, left), [this, subquery, work, left] {
      --running_[subquery.class_index];
      if (work <= left) {
        latencies_[subquery.class_index].push_back(timeline_.now() -
                                                   subquery.arrived);
      } else {
        wasted_ += left;
      }
      Dispatch();
    });
  }

  ClassResult Summary(owner::ClassIndex class_index) {
    std::vector<Duration>& latencies = latencies_[class_index];
    std::ranges::sort(latencies);
    ClassResult result;
    result.arrived = arrived_[class_index];
    result.in_time = latencies.size();
    if (!latencies.empty()) {
      result.median = latencies[latencies.size() / 2];
      result.p99 = latencies[latencies.size() * 99 / 100];
    }
    return result;
  }

  FairnessOptions options_;
  Duration mean_;
  std::mt19937_64 random_;
  Timeline timeline_;
  std::unique_ptr<WaitingOrder> order_;
  std::uint32_t running_[2] = {0, 0};
  std::uint64_t arrived_[2] = {0, 0};
  std::vector<Duration> latencies_[2];
  Duration wasted_{0};
  owner::SubqueryId next_id_ = 1;
};

}  // namespace

std::string_view QueueOrderName(QueueOrder order) {
  switch (order) {
    case QueueOrder::kFirstInFirstOut:
      return "first_in_first_out";
    case QueueOrder::kShortestRemainingTime:
      return "shortest_remaining_time";
    case QueueOrder::kFixedShares:
      return "fixed_shares";
    case QueueOrder::kVirtualClock:
      return "virtual_clock";
    case QueueOrder::kFairQueue:
      return "fair_queue";
  }
  return "unknown";
}

FairnessResult RunFairness(const FairnessOptions& options) {
  return SharedBackend(options).Run();
}

}  // namespace juniperway::sim
