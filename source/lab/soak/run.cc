#include "lab/soak/run.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "lab/soak/callers.h"
#include "lab/soak/evacuator.h"
#include "lab/soak/fleet.h"
#include "lab/soak/nemesis.h"
#include "lab/soak/stand_ins.h"
#include "lab/wait.h"

namespace juniperway::lab {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr Duration kHealLimit = seconds(60);

std::vector<std::string> Zones() { return {"z0", "z1", "z2"}; }

// The threads that press on the fleet; ended and joined by the destructor.
class Load {
 public:
  Load(SoakShared& shared, const SoakOptions& options) : shared_(shared) {
    for (int number = 1; number <= options.callers; ++number) {
      threads_.emplace_back([&shared, number, seed = options.seed] {
        SoakCaller(shared, number, seed + number).Run();
      });
    }
    threads_.emplace_back(
        [&shared, seed = options.seed] { SoakOperator(shared, seed).Run(); });
    threads_.emplace_back(
        [&shared, seed = options.seed] { SoakEvacuator(shared, seed).Run(); });
  }
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop() {
    shared_.stop = true;
    for (std::thread& thread : std::exchange(threads_, {})) {
      thread.join();
    }
  }

 private:
  SoakShared& shared_;
  std::vector<std::thread> threads_;
};

// Callers of before and after the faults; request ids hold the number.
constexpr int kFirstCaller = 1001;
constexpr int kLastCaller = 1002;
constexpr int kEvacuationCaller = 1003;

// Without a fault everything comes back: every zone, the newest table at each
// router and each control machine.
// @param number of the caller that asks.
void CheckRecovery(SoakShared& shared, int number,
                   std::vector<std::string>& broken) {
  SoakCaller caller(shared, number, /*seed=*/0);
  SoakOperator last(shared, /*seed=*/0);
  const std::uint64_t version = shared.newest_version + 1;
  if (!last.Write(version, /*variant=*/0, kHealLimit)) {
    broken.push_back("no change is acknowledged without a fault");
  }
  SoakEvacuator evacuator(shared, /*seed=*/0);
  for (const std::string& zone : shared.zones) {
    if (!evacuator.Order(zone, /*evacuated=*/false, kHealLimit)) {
      broken.push_back("zone " + zone + " is not returned without a fault");
    }
  }
  for (std::size_t router = 0; router < shared.routers.size(); ++router) {
    const bool serves = WaitFor(kHealLimit, [&] {
      return caller.Ask(router, SoakRequestKind::kVersion, version) == kOk &&
             caller.Ask(router, SoakRequestKind::kScatter, version) == kOk;
    });
    if (!serves) {
      broken.push_back(
          "without a fault the newest table is not served by "
          "router " +
          shared.routers.at(router));
    }
  }
  for (std::size_t control = 0; control < shared.controls.size(); ++control) {
    if (!WaitFor(kHealLimit, [&] {
          return last.Read(control) && evacuator.Read(control);
        })) {
      broken.push_back("without a fault nothing is read at control " +
                       shared.controls.at(control));
    }
  }
}

// An evacuated zone gets no requests from any router.
// @param number of the caller that asks.
void CheckEvacuation(SoakShared& shared, int number,
                     std::vector<std::string>& broken) {
  constexpr int kRequests = 5;
  SoakCaller caller(shared, number, /*seed=*/0);
  SoakEvacuator evacuator(shared, /*seed=*/0);
  for (const std::string& zone : shared.zones) {
    if (!evacuator.Order(zone, /*evacuated=*/true, kHealLimit) ||
        !evacuator.AwaitInForce(zone, kHealLimit)) {
      broken.push_back("zone " + zone + " is not evacuated without a fault");
      continue;
    }
    SoakQuietTime quiet{
        .zone = zone, .began = ReadMonotonicClock(), .ended = {}};
    for (std::size_t router = 0; router < shared.routers.size(); ++router) {
      for (int i = 0; i < kRequests; ++i) {
        caller.Ask(router, SoakRequestKind::kRepeatable, 0);
        caller.Ask(router, SoakRequestKind::kScatter, 0);
      }
    }
    quiet.ended = ReadMonotonicClock();
    shared.recorder.Add(std::move(quiet));
    if (!evacuator.Order(zone, /*evacuated=*/false, kHealLimit)) {
      broken.push_back("zone " + zone + " is not returned without a fault");
    }
  }
}

bool IsServed(const SoakExchange& exchange) {
  return exchange.status == kOk || (exchange.status == kNotFound &&
                                    exchange.kind == SoakRequestKind::kVersion);
}

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  SoakShared shared;
  shared.zones = Zones();
  SoakStandIns stand_ins(shared.recorder, SoakServices(), Zones(),
                         options.seed);
  SoakFleet fleet({.binary_folder = options.binary_folder,
                   .folder = options.folder,
                   .list_url = stand_ins.list_url(),
                   .zones = Zones(),
                   .controls = options.controls,
                   .routers = options.routers,
                   .seed = options.seed});
  shared.router_lives =
      std::vector<std::atomic<std::uint64_t>>(fleet.routers());
  for (std::size_t i = 0; i < fleet.routers(); ++i) {
    shared.routers.push_back(fleet.RouterAddress(i));
  }
  for (std::size_t i = 0; i < fleet.controls(); ++i) {
    shared.controls.push_back(fleet.ControlAddress(i));
  }
  SoakReport report;
  CheckRecovery(shared, kFirstCaller, report.broken);

  SoakNemesis nemesis(fleet, stand_ins, shared, options.seed);
  {
    Load load(shared, options);
    const MonotonicTime end = ReadMonotonicClock() + options.duration;
    while (ReadMonotonicClock() < end) {
      nemesis.Strike();
    }
    nemesis.Heal();
    load.Stop();
  }
  CheckRecovery(shared, kLastCaller, report.broken);
  CheckEvacuation(shared, kEvacuationCaller, report.broken);

  const SoakHistory history = shared.recorder.Take();
  std::ranges::move(CheckSoak(history), std::back_inserter(report.broken));
  report.faults = nemesis.log();
  report.requests = history.exchanges.size();
  report.served = static_cast<std::size_t>(
      std::ranges::count_if(history.exchanges, IsServed));
  report.changes = history.writes.size();
  report.reads = history.reads.size();
  report.zone_orders = history.zone_orders.size();
  report.zones_reads = history.zones_reads.size();
  return report;
}

}  // namespace juniperway::lab
