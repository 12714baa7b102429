#include "lab/bench/owner.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "lab/bench/owner_rig.h"

namespace juniperway::lab {
namespace {

constexpr int kRounds = 5;
constexpr int kSubqueriesPerRound = 20'000;
constexpr int kBatchSize = 4;
// In flight at each back end: half of its slots, so that none waits.
constexpr int kInFlightEach = 2;
constexpr Duration kIdleTime = seconds(10);
const std::string kOldOwner = "gateway-1";
constexpr const char* kProbes = "juniperway_owner_probes_total";

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

double Rounded(double value) { return std::round(value * 100) / 100; }

double Microseconds(Duration time) { return static_cast<double>(time.count()); }

// Keeps a fixed number of batches in flight until `subqueries` are answered.
class ClosedLoop {
 public:
  ClosedLoop(OwnerRig& rig, int backends)
      : backends_(backends),
        connection_(rig.Connect(
            front_, *rig.owners().front(),
            [this](const gateway::BatchReply& reply) { OnReply(reply); })) {}

  // @return the share that was answered with rows.
  double Run(int subqueries) {
    answered_ = 0;
    rows_ = 0;
    target_ = subqueries;
    for (int i = 0; i < backends_ * kInFlightEach / kBatchSize; ++i) {
      SendNext();
    }
    while (!open_.empty()) {
      front_.restart();
      front_.run_one();
    }
    return static_cast<double>(rows_) / answered_;
  }

 private:
  void SendNext() {
    std::vector<std::string> batch(kBatchSize);
    for (std::string& name : batch) {
      name = OwnerRig::BackendName(next_backend_++ % backends_);
    }
    open_[next_query_] = kBatchSize;
    OwnerRig::SendBatch(*connection_, next_query_++, batch);
  }

  void OnReply(const gateway::BatchReply& reply) {
    answered_ += static_cast<int>(reply.replies.size());
    rows_ += static_cast<int>(
        std::ranges::count(reply.replies, routing::SubqueryOutcome::kRows,
                           &routing::OwnerResult::outcome));
    int& left = open_.at(reply.query_id);
    left -= static_cast<int>(reply.replies.size());
    if (left == 0) {
      open_.erase(reply.query_id);
      if (answered_ < target_) {
        SendNext();
      }
    }
  }

  int backends_;
  asio::io_context front_;
  std::map<gateway::QueryId, int> open_;
  int answered_ = 0;
  int rows_ = 0;
  int target_ = 0;
  int next_backend_ = 0;
  gateway::QueryId next_query_ = 1;
  std::shared_ptr<net::FrameConnection> connection_;
};

// Probes and processor time of an owner without work.
void MeasureIdle(OwnerRig& rig, int backends, nlohmann::json& line) {
  const auto& owner = *rig.owners().front();
  while (rig.Counter(owner, kProbes) < backends) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  const double probes = rig.Counter(owner, kProbes);
  const Duration processor = rig.owner_loop().CpuTime();
  const MonotonicTime begin = ReadMonotonicClock();
  std::this_thread::sleep_for(kIdleTime);
  const double elapsed =
      std::chrono::duration<double>(ReadMonotonicClock() - begin).count();
  line["probes_per_backend_second"] =
      Rounded((rig.Counter(owner, kProbes) - probes) / backends / elapsed);
  line["idle_cpu_us_per_second"] =
      Rounded(Microseconds(rig.owner_loop().CpuTime() - processor) / elapsed);
}

void MeasureLoad(OwnerRig& rig, int backends, nlohmann::json& line) {
  ClosedLoop loop(rig, backends);
  loop.Run(kSubqueriesPerRound / kRounds);  // Opens the connections.
  std::vector<double> costs;
  std::vector<double> rates;
  double lowest_share = 1;
  for (int round = 0; round < kRounds; ++round) {
    const Duration processor = rig.owner_loop().CpuTime();
    const MonotonicTime begin = ReadMonotonicClock();
    lowest_share = std::min(lowest_share, loop.Run(kSubqueriesPerRound));
    costs.push_back(Microseconds(rig.owner_loop().CpuTime() - processor) /
                    kSubqueriesPerRound);
    rates.push_back(kSubqueriesPerRound * 1e6 /
                    Microseconds(ReadMonotonicClock() - begin));
  }
  line["cpu_us_per_subquery"] = Rounded(Median(costs));
  line["subqueries_per_second"] = std::round(Median(rates));
  line["answered_with_rows"] = lowest_share;
}

nlohmann::json MeasureCosts(int backends) {
  nlohmann::json line;
  line["bench"] = "owner";
  line["backends"] = backends;
  OwnerRigOptions options;
  options.backends = backends;
  OwnerRig rig(options);
  const std::size_t before = AllocatedBytes();
  rig.StartOwners();
  const std::size_t started = AllocatedBytes();
  MeasureIdle(rig, backends, line);
  const std::size_t probed = AllocatedBytes();
  MeasureLoad(rig, backends, line);
  const std::size_t loaded = AllocatedBytes();
  line["owner_bytes_per_backend"] = (started - before) / backends;
  // With the stand-ins' side of the connections, in the same process.
  line["probed_bytes_per_backend"] = (probed - before) / backends;
  line["loaded_bytes_per_backend"] = (loaded - before) / backends;
  return line;
}

// Asks the new owner for each back end that it gains until it has started
// there.
class HandOver {
 public:
  explicit HandOver(OwnerRig& rig)
      : rig_(rig),
        moving_(rig.OwnedBy(kOldOwner)),
        from_(rig.Connect(front_, *rig.owners().at(0), [](const auto&) {})),
        to_(rig.Connect(front_, *rig.owners().at(1),
                        [this](const auto& reply) { OnReply(reply); })) {}

  // @return microseconds from the change to the first start, by back end.
  std::vector<double> Run(bool busy, Duration service_time) {
    if (busy) {
      OwnerRig::SendBatch(*from_, next_query_++, moving_);
      RunFor(service_time / 4);
    }
    const MonotonicTime begin = ReadMonotonicClock();
    rig_.Publish([](session::FleetView& view) {
      view.members[kOldOwner].leaving = true;
    });
    to_ask_ = moving_;
    while (served_.size() < moving_.size()) {
      if (!to_ask_.empty()) {
        asked_[next_query_] = std::exchange(to_ask_, {});
        OwnerRig::SendBatch(*to_, next_query_, asked_[next_query_]);
        ++next_query_;
      }
      RunFor(kAskAgain);
    }
    std::vector<double> times;
    times.reserve(served_.size());
    for (const MonotonicTime served : served_) {
      times.push_back(Microseconds(served - service_time - begin));
    }
    return times;
  }

 private:
  static constexpr Duration kAskAgain = microseconds(200);

  void RunFor(Duration time) {
    front_.restart();
    front_.run_for(time);
  }

  void OnReply(const gateway::BatchReply& reply) {
    const MonotonicTime now = ReadMonotonicClock();
    for (const routing::OwnerResult& result : reply.replies) {
      if (result.outcome == routing::SubqueryOutcome::kRows) {
        served_.push_back(now);
      } else {
        to_ask_.push_back(asked_.at(reply.query_id).at(result.attempt_id));
      }
    }
  }

  OwnerRig& rig_;
  asio::io_context front_;
  std::vector<std::string> moving_;
  std::vector<std::string> to_ask_;
  std::map<gateway::QueryId, std::vector<std::string>> asked_;
  std::vector<MonotonicTime> served_;
  gateway::QueryId next_query_ = 1;
  std::shared_ptr<net::FrameConnection> from_;
  std::shared_ptr<net::FrameConnection> to_;
};

nlohmann::json MeasureHandOver(bool busy) {
  constexpr int kBackends = 16;
  OwnerRigOptions options;
  options.backends = kBackends;
  options.service_time = milliseconds(4);
  options.owners = {kOldOwner, "gateway-2"};
  std::vector<double> medians;
  std::vector<double> longest;
  for (int round = 0; round < kRounds; ++round) {
    OwnerRig rig(options);
    rig.StartOwners();
    HandOver hand_over(rig);
    const std::vector<double> times = hand_over.Run(busy, options.service_time);
    medians.push_back(Median(times));
    longest.push_back(std::ranges::max(times));
  }
  return {{"bench", "owner_hand_over"},
          {"backends", kBackends},
          {"busy", busy},
          {"median_us", std::round(Median(medians))},
          {"longest_us", std::round(Median(longest))}};
}

}  // namespace

int RunOwnerBench(std::ostream& output) {
  for (const int backends : {4, 16, 64}) {
    output << MeasureCosts(backends).dump() << std::endl;
  }
  for (const bool busy : {false, true}) {
    output << MeasureHandOver(busy).dump() << std::endl;
  }
  return 0;
}

}  // namespace juniperway::lab
