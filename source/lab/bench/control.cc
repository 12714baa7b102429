#include "lab/bench/control.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "lab/bench/control_processes.h"
#include "lab/bench/hollow_daemons.h"
#include "lab/bench/temporary_folder.h"
#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/wait.h"

namespace juniperway::lab {
namespace {

using nlohmann::json;

constexpr std::size_t kControlMachines = 3;
constexpr int kBackends = 100;
constexpr Duration kLeaseTimeout = seconds(120);
constexpr Duration kInForceTimeout = seconds(60);
constexpr Duration kPollInterval = milliseconds(2);
constexpr Duration kLeaseTime = seconds(4);
constexpr Duration kLeaseSampleInterval = milliseconds(20);
constexpr Duration kWriteTimeout = seconds(2);
constexpr Duration kChangeTimeout = seconds(60);
constexpr int kStatusOk = 200;

struct Flags {
  std::string daemons = "100,500,1000,2000";
  std::string binary;
  std::string folder;
  std::int64_t seed = 1;
  std::int64_t threads = 4;
  std::int64_t quiet_ms = 10000;
  std::int64_t changes = 100;
  std::int64_t interval_ms = 200;
  std::int64_t losses = 5;
};

template <typename Value>
Value Quantile(std::vector<Value> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(last * quantile))];
}

double MillisecondsSince(MonotonicTime start) {
  return std::chrono::duration<double, std::milli>(ReadMonotonicClock() - start)
      .count();
}

std::size_t OwnResidentBytes() {
  return ReadProcessCost(::getpid()).resident_bytes;
}

resources::Resource MakeBackend(int number) {
  resources::Backend backend;
  backend.service = "search";
  backend.address = fmt::format("10.1.0.{}:9000", number + 1);
  backend.zone = fmt::format("zone-{}", number % 19);
  backend.slots = 4;
  backend.maximum_connections = 75;
  backend.shards = {fmt::format("shard-{}", number % 20)};
  resources::Resource resource;
  resource.id = {resources::Kind::kBackend, fmt::format("backend-{}", number)};
  resource.specification = backend;
  return resource;
}

// One size of the fleet, from its start to its end.
class Run {
 public:
  Run(const Flags& flags, std::size_t daemons)
      : flags_(flags),
        folder_(flags.folder),
        control_(flags.binary, folder_.path(), kControlMachines),
        resident_before_(OwnResidentBytes()) {
    Declare();
    HollowOptions options;
    options.daemons = daemons;
    options.threads = static_cast<std::size_t>(flags.threads);
    options.cluster = kBenchCluster;
    options.control_endpoints = control_.peer_addresses();
    options.seed = static_cast<std::uint64_t>(flags.seed);
    hollow_ = std::make_unique<HollowDaemons>(options);
  }

  json Measure() {
    json line = {{"bench", "control"},
                 {"daemons", hollow_->size()},
                 {"control_machines", control_.size()},
                 {"backends", kBackends},
                 {"seed", flags_.seed}};
    line["join_ms"] = ToMilliseconds(WaitForLeases());
    line["quiet"] = MeasureQuiet();
    line["changes"] = MeasureChanges();
    line["killed"] = MeasureLosses(/*kill=*/true);
    line["frozen"] = MeasureLosses(/*kill=*/false);
    return line;
  }

 private:
  void Declare() {
    resources::Resource service;
    service.id = {resources::Kind::kService, "search"};
    service.specification = resources::Service{};
    std::vector<resources::Resource> set = {service};
    for (int number = 0; number < kBackends; ++number) {
      set.push_back(MakeBackend(number));
    }
    const auto declared =
        control_.client().Apply(set, "declare", kChangeTimeout);
    if (!declared) {
      throw std::runtime_error(FormatError(declared.error()));
    }
    version_ = declared->revision;
  }

  // @return how long until every daemon held a lease at one time.
  Duration WaitForLeases() {
    const MonotonicTime start = ReadMonotonicClock();
    const bool leased = WaitFor(kLeaseTimeout, [this] {
      return hollow_->Totals().with_lease == hollow_->size();
    });
    if (!leased) {
      throw std::runtime_error("not every daemon got a lease");
    }
    return ReadMonotonicClock() - start;
  }

  // Waits until nothing is on its way to the daemons.
  void Settle() {
    const bool settled = WaitFor(kInForceTimeout, [this] {
      const auto status = control_.client().GetAnywhere("/v1/status");
      return status.status == kStatusOk &&
             status.body["revision"] == status.body["in_force_revision"] &&
             status.body["daemons"] == hollow_->size();
    });
    if (!settled) {
      throw std::runtime_error("the state does not get in force");
    }
  }

  // --- Cost

  struct Sample {
    MonotonicTime time;
    HollowTotals hollow;
    std::vector<ProcessCost> machines;
  };

  Sample TakeSample() {
    Sample sample{ReadMonotonicClock(), hollow_->Totals(), {}};
    for (std::size_t position = 0; position < control_.size(); ++position) {
      sample.machines.push_back(control_.Cost(position));
    }
    return sample;
  }

  json DescribeCost(const Sample& from, const Sample& to) {
    const auto seconds_passed =
        std::chrono::duration<double>(to.time - from.time).count();
    const auto daemons = static_cast<double>(hollow_->size());
    const auto share = [seconds_passed](Duration before, Duration after) {
      return std::chrono::duration<double>(after - before).count() /
             seconds_passed;
    };
    const auto sent = to.hollow.sent_bytes - from.hollow.sent_bytes;
    const auto received = to.hollow.received_bytes - from.hollow.received_bytes;
    json machines = json::array();
    const std::size_t leader = control_.WaitForLeader();
    for (std::size_t position = 0; position < control_.size(); ++position) {
      machines.push_back(
          {{"leads", position == leader},
           {"core_share", share(from.machines[position].processor_time,
                                to.machines[position].processor_time)},
           {"resident_bytes", to.machines[position].resident_bytes}});
    }
    const double core_share =
        share(from.hollow.processor_time, to.hollow.processor_time);
    return {
        {"seconds", seconds_passed},
        {"bytes_per_s_a_daemon",
         static_cast<double>(sent + received) / seconds_passed / daemons},
        {"core_percent_a_daemon", 100 * core_share / daemons},
        {"memory_bytes_a_daemon",
         static_cast<double>(OwnResidentBytes() - resident_before_) / daemons},
        {"updates_a_daemon",
         static_cast<double>(to.hollow.updates - from.hollow.updates) /
             daemons},
        {"machines", std::move(machines)}};
  }

  json MeasureQuiet() {
    Settle();
    const Sample from = TakeSample();
    std::this_thread::sleep_for(milliseconds(flags_.quiet_ms));
    return DescribeCost(from, TakeSample());
  }

  // --- Changes

  std::vector<resources::Resource> NextChange() {
    resources::Resource resource;
    resource.id = {resources::Kind::kService, "search"};
    resource.version = version_;
    resources::Service service;
    service.queue_limit = static_cast<std::uint32_t>(++changes_ % 1000);
    resource.specification = service;
    return {resource};
  }

  std::string ChangeId() const { return fmt::format("change-{}", changes_); }

  json MeasureChanges() {
    Settle();
    std::vector<double> times;
    const Sample from = TakeSample();
    for (std::int64_t change = 0; change < flags_.changes; ++change) {
      const MonotonicTime start = ReadMonotonicClock();
      const auto resources = NextChange();
      auto accepted =
          control_.client().Apply(resources, ChangeId(), kChangeTimeout);
      if (!accepted) {
        throw std::runtime_error(FormatError(accepted.error()));
      }
      version_ = accepted->revision;
      times.push_back(WaitInForce(ReadMonotonicClock()));
      std::this_thread::sleep_until(
          std::chrono::steady_clock::now() +
          std::max(Duration(0), start + milliseconds(flags_.interval_ms) -
                                    ReadMonotonicClock()));
    }
    json line = DescribeCost(from, TakeSample());
    line["count"] = times.size();
    line["in_force_ms_p50"] = Quantile(times, 0.5);
    line["in_force_ms_p99"] = Quantile(times, 0.99);
    line["in_force_ms_max"] = Quantile(times, 1.0);
    return line;
  }

  // @return milliseconds since `accepted`.
  double WaitInForce(MonotonicTime accepted) {
    const bool in_force = WaitFor(
        kInForceTimeout,
        [this] {
          const auto reply =
              control_.client().GetAnywhere("/v1/changes/" + ChangeId());
          return reply.status == kStatusOk && reply.body["state"] == "in_force";
        },
        kPollInterval);
    if (!in_force) {
      throw std::runtime_error("a change did not get in force");
    }
    return MillisecondsSince(accepted);
  }

  // --- Losses

  // Applies a change at any machine but `excluded`, again until it is accepted.
  void ApplyWithout(std::size_t excluded) {
    const auto change = NextChange();
    std::size_t position = excluded;
    for (;;) {
      position = (position + 1) % control_.size();
      if (position == excluded) {
        continue;
      }
      const auto reply = control_.client().ApplyOnce(position, change,
                                                     ChangeId(), kWriteTimeout);
      if (reply.status == kStatusOk) {
        version_ = reply.body.at("revision");
        return;
      }
      if (reply.status != 0 && reply.status < 500) {
        throw std::runtime_error(reply.body.dump());
      }
    }
  }

  json MeasureLosses(bool kill) {
    std::vector<double> gaps;
    std::vector<double> in_force;
    std::vector<std::size_t> lost_leases;
    for (std::int64_t loss = 0; loss < flags_.losses; ++loss) {
      Settle();
      const std::size_t leader = control_.WaitForLeader();
      ApplyWithout(leader);
      const MonotonicTime last_accepted = ReadMonotonicClock();
      if (kill) {
        control_.Kill(leader);
      } else {
        control_.Signal(leader, SIGSTOP);
      }
      ApplyWithout(leader);
      const MonotonicTime accepted = ReadMonotonicClock();
      gaps.push_back(
          std::chrono::duration<double, std::milli>(accepted - last_accepted)
              .count());
      const AfterLoss after = WatchAfterLoss(accepted);
      lost_leases.push_back(hollow_->size() - after.lowest_leased);
      in_force.push_back(after.in_force_ms);
      if (kill) {
        control_.Restart(leader);
      } else {
        control_.Signal(leader, SIGCONT);
      }
      control_.WaitUntilRepaired();
    }
    return {{"losses", gaps.size()},
            {"without_accepted_ms_median", Quantile(gaps, 0.5)},
            {"without_accepted_ms_max", Quantile(gaps, 1.0)},
            {"then_in_force_ms_median", Quantile(in_force, 0.5)},
            {"then_in_force_ms_max", Quantile(in_force, 1.0)},
            {"daemons_without_lease_max", Quantile(lost_leases, 1.0)}};
  }

  struct AfterLoss {
    // The fewest daemons that held a lease at a time.
    std::size_t lowest_leased = 0;
    // From accepted to in force.
    double in_force_ms = 0;
  };

  // Watches for at least a lease time, and until the change is in force.
  AfterLoss WatchAfterLoss(MonotonicTime accepted) {
    AfterLoss after;
    after.lowest_leased = hollow_->size();
    bool in_force = false;
    while (!in_force || ReadMonotonicClock() < accepted + kLeaseTime) {
      after.lowest_leased =
          std::min(after.lowest_leased, hollow_->Totals().with_lease);
      if (!in_force) {
        const auto reply =
            control_.client().GetAnywhere("/v1/changes/" + ChangeId());
        in_force =
            reply.status == kStatusOk && reply.body["state"] == "in_force";
        after.in_force_ms = MillisecondsSince(accepted);
      }
      if (ReadMonotonicClock() > accepted + kInForceTimeout) {
        throw std::runtime_error("a change did not get in force");
      }
      std::this_thread::sleep_for(kLeaseSampleInterval);
    }
    return after;
  }

  const Flags& flags_;
  TemporaryFolder folder_;
  ControlProcesses control_;
  std::size_t resident_before_;
  std::unique_ptr<HollowDaemons> hollow_;
  resources::Revision version_ = 0;
  int changes_ = 0;
};

std::vector<std::size_t> ParseSizes(const std::string& text) {
  std::vector<std::size_t> sizes;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, ',');) {
    sizes.push_back(std::stoul(item));
  }
  return sizes;
}

}  // namespace

int RunControlBench(int argc, const char** argv) {
  Flags flags;
  flags.binary =
      (std::filesystem::read_symlink("/proc/self/exe").parent_path() /
       "juniperwayd")
          .string();
  CommandLine command_line("juniperway-lab bench control");
  command_line.Add("daemons", flags.daemons, "numbers of hollow daemons")
      .Add("binary", flags.binary, "juniperwayd")
      .Add("folder", flags.folder, "where scratch folders are made")
      .Add("seed", flags.seed, "seed of the sessions")
      .Add("threads", flags.threads, "threads for the hollow daemons")
      .Add("quiet-ms", flags.quiet_ms, "length of the measurement at rest")
      .Add("changes", flags.changes, "changes until in force")
      .Add("interval-ms", flags.interval_ms, "shortest time between changes")
      .Add("losses", flags.losses, "losses of the leader of each kind");
  if (const auto parsed = command_line.Parse(argc, argv); !parsed) {
    std::cerr << FormatError(parsed.error()) << '\n';
    return kExitUsage;
  }
  try {
    for (const std::size_t daemons : ParseSizes(flags.daemons)) {
      std::cout << Run(flags, daemons).Measure().dump() << std::endl;
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
  return 0;
}

}  // namespace juniperway::lab
