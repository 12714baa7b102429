#include "lab/bench/raft.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "common/control/control_state.h"
#include "common/session/fleet_codec.h"
#include "common/storage/log_store.h"
#include "lab/bench/raft_group.h"
#include "lab/bench/temporary_folder.h"
#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/server_process.h"

namespace juniperway::lab {
namespace {

using nlohmann::json;

constexpr std::array<int, 3> kGroups = {1, 3, 5};
constexpr std::array<int, 3> kBatches = {1, 16, 256};
constexpr std::array<int, 3> kClaimsACommand = {1, 16, 256};
constexpr std::array<int, 3> kChanges = {500, 5000, 50000};
// About what a small change of a resource takes.
constexpr std::size_t kCommandBytes = 256;
// Changes go round this many resources.
constexpr int kMachines = 1000;
constexpr int kEntriesInOneWrite = 500;
constexpr int kClaimCommands = 400;
constexpr raft::Index kKeptEntries = 2000;  // as ControlServerOptions
constexpr WallTime kStart{seconds(1'700'000'000)};

struct Flags {
  std::string folder;
  std::string part = "all";
  std::int64_t seed = 1;
  std::int64_t runs = 5;
  std::int64_t run_ms = 1000;
  std::int64_t sync_us = 0;
};

template <typename Value>
Value Quantile(std::vector<Value> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(last * quantile))];
}

template <typename Value>
Value Median(std::vector<Value> values) {
  return Quantile(std::move(values), 0.5);
}

template <typename Value>
Value Must(Result<Value> result) {
  if (!result) {
    throw std::runtime_error(FormatError(result.error()));
  }
  return std::move(*result);
}

void Must(const Result<void>& result) {
  if (!result) {
    throw std::runtime_error(FormatError(result.error()));
  }
}

RaftGroupOptions GroupOptions(const Flags& flags) {
  return {static_cast<std::uint64_t>(flags.seed), microseconds(flags.sync_us)};
}

// Medians over several runs of one closed loop.
json MeasureLoad(RaftGroup& group, const Flags& flags, int batch,
                 const std::function<std::string()>& make_command) {
  std::vector<double> rates;
  std::vector<std::int64_t> p50;
  std::vector<std::int64_t> p99;
  for (std::int64_t run = 0; run < flags.runs; ++run) {
    const raft::NodeId leader = group.WaitForLeader();
    const RaftLoad load = Must(
        group.Run(leader, batch, milliseconds(flags.run_ms), make_command));
    rates.push_back(static_cast<double>(load.committed) * 1e6 /
                    static_cast<double>(load.elapsed.count()));
    p50.push_back(Quantile(load.latencies, 0.5).count());
    p99.push_back(Quantile(load.latencies, 0.99).count());
  }
  return {{"bench", "raft"},
          {"seed", flags.seed},
          {"runs", flags.runs},
          {"sync_us", flags.sync_us},
          {"rate_per_s", std::llround(Median(rates))},
          {"rate_lowest", std::llround(Quantile(rates, 0))},
          {"rate_highest", std::llround(Quantile(rates, 1))},
          {"p50_us", Median(p50)},
          {"p99_us", Median(p99)}};
}

void MeasureCommits(const Flags& flags) {
  for (const int nodes : kGroups) {
    const TemporaryFolder folder(flags.folder);
    RaftGroup group(folder.path(), nodes, GroupOptions(flags),
                    [](raft::NodeId, const std::string&) {});
    for (const int batch : kBatches) {
      json line = MeasureLoad(group, flags, batch,
                              [] { return std::string(kCommandBytes, 'x'); });
      line.update({{"part", "commit"}, {"nodes", nodes}, {"batch", batch}});
      std::cout << line.dump() << std::endl;
    }
  }
}

// --- Claims ------------------------------------------------------------------

template <typename Operation>
void AddOperation(protocol::CommandT& command, Operation operation) {
  auto item = std::make_unique<protocol::OperationItemT>();
  item->operation.Set(std::move(operation));
  command.operations.push_back(std::move(item));
}

std::string MakeServiceCommand() {
  protocol::ApplyResourcesT apply;
  apply.change_id = "service";
  apply.resources.push_back(
      std::make_unique<protocol::ResourceRecordT>(session::EncodeResource(
          {{resources::Kind::kService, "bench"}, 0, resources::Service{}})));
  protocol::CommandT command;
  command.wall_time_us = kStart.time_since_epoch().count();
  AddOperation(command, std::move(apply));
  return control::EncodeCommand(command);
}

class ClaimMaker {
 public:
  explicit ClaimMaker(int claims) : claims_(claims) {}

  std::string Make() {
    protocol::CommandT command;
    command.wall_time_us = kStart.time_since_epoch().count();
    for (int i = 0; i < claims_; ++i) {
      protocol::ClaimRequestT claim;
      claim.service = "bench";
      claim.request_id = "request-" + std::to_string(++made_);
      claim.expiry_us = command.wall_time_us + Duration(seconds(60)).count();
      claim.claimant = "gateway-1";
      claim.attempt = made_;
      AddOperation(command, std::move(claim));
    }
    return control::EncodeCommand(command);
  }

 private:
  int claims_;
  std::uint64_t made_ = 0;
};

// Claims through the replicated state alone: no log, no disk.
void MeasureClaimsInMemory(const Flags& flags, int claims) {
  std::vector<double> rates;
  for (std::int64_t run = 0; run < flags.runs; ++run) {
    control::ControlState state;
    state.Apply(MakeServiceCommand());
    ClaimMaker maker(claims);
    std::vector<std::string> commands(kClaimCommands);
    std::generate(commands.begin(), commands.end(),
                  [&] { return maker.Make(); });
    const MonotonicTime start = ReadMonotonicClock();
    for (const std::string& command : commands) {
      state.Apply(command);
    }
    const Duration elapsed = ReadMonotonicClock() - start;
    if (state.claims().size() != std::size_t(claims) * kClaimCommands) {
      throw std::runtime_error("claims were refused");
    }
    rates.push_back(static_cast<double>(claims) * kClaimCommands * 1e6 /
                    static_cast<double>(elapsed.count()));
  }
  const json line = {{"bench", "raft"},
                     {"part", "claims_state"},
                     {"runs", flags.runs},
                     {"claims_a_command", claims},
                     {"claims_per_s", std::llround(Median(rates))}};
  std::cout << line.dump() << std::endl;
}

// Claims through a group of three, one command at a time.
void MeasureClaimsInGroup(const Flags& flags, int claims) {
  constexpr int kNodes = 3;
  const TemporaryFolder folder(flags.folder);
  std::map<raft::NodeId, control::ControlState> states;
  for (raft::NodeId id = 1; id <= kNodes; ++id) {
    states[id].Apply(MakeServiceCommand());
  }
  ClaimMaker maker(claims);
  RaftGroup group(folder.path(), kNodes, GroupOptions(flags),
                  [&](raft::NodeId node, const std::string& command) {
                    states.at(node).Apply(command);
                  });
  json line = MeasureLoad(group, flags, 1, [&] { return maker.Make(); });
  line.update(
      {{"part", "claims_group"},
       {"nodes", kNodes},
       {"claims_a_command", claims},
       {"claims_per_s", line["rate_per_s"].get<std::int64_t>() * claims}});
  std::cout << line.dump() << std::endl;
}

void MeasureClaims(const Flags& flags) {
  for (const int claims : kClaimsACommand) {
    MeasureClaimsInMemory(flags, claims);
  }
  for (const int claims : kClaimsACommand) {
    MeasureClaimsInGroup(flags, claims);
  }
}

// --- Restart -----------------------------------------------------------------

// The `number`th change (from 1): turns one of kMachines machines about.
std::string MakeChange(int number) {
  resources::Resource resource;
  resource.id = {resources::Kind::kMachine,
                 "machine-" + std::to_string(number % kMachines)};
  // Each change takes the next revision, so the one before is known.
  resource.version = number > kMachines ? number - kMachines : 0;
  resource.specification = resources::Machine{
      "zone-1", "region-1", "10.0.0.1:7200", number / kMachines % 2 == 1};
  protocol::ApplyResourcesT apply;
  apply.change_id = "change-" + std::to_string(number);
  apply.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
      session::EncodeResource(resource)));
  protocol::CommandT command;
  command.wall_time_us =
      (kStart + milliseconds(number)).time_since_epoch().count();
  AddOperation(command, std::move(apply));
  return control::EncodeCommand(command);
}

std::unique_ptr<storage::LogStore> OpenStore(
    const std::filesystem::path& folder) {
  return Must(
      storage::OpenSqliteLogStore({folder, "bench", 1, /*create=*/true}));
}

// Leaves a store with `changes` changes, and compacted if `snapshot`.
// @return the size of the snapshot; 0 without one.
std::size_t FillStore(const std::filesystem::path& folder, int changes,
                      bool snapshot) {
  const auto store = OpenStore(folder);
  control::ControlState state;
  for (int first = 1; first <= changes; first += kEntriesInOneWrite) {
    raft::Ready ready;
    ready.hard_state = raft::HardState{1, 1};
    const int last = std::min(first + kEntriesInOneWrite - 1, changes);
    for (int number = first; number <= last; ++number) {
      raft::Entry entry{1, static_cast<raft::Index>(number),
                        raft::EntryKind::kCommand, MakeChange(number)};
      state.Apply(entry.data);
      ready.entries.push_back(std::move(entry));
    }
    Must(store->Write(ready));
  }
  if (state.revision() != static_cast<resources::Revision>(changes)) {
    throw std::runtime_error("changes were refused");
  }
  if (!snapshot) {
    return 0;
  }
  const std::string data = state.EncodeSnapshot();
  Must(store->Compact({static_cast<raft::Index>(changes), 1, {}, data},
                      kKeptEntries));
  return data.size();
}

struct Restart {
  std::int64_t open_us = 0;   // opening the store with its checks
  std::int64_t load_us = 0;   // reading the log, consensus machine
  std::int64_t state_us = 0;  // snapshot and commands to the state
};

Restart RestartOnce(const std::filesystem::path& folder, int changes) {
  Restart restart;
  const MonotonicTime start = ReadMonotonicClock();
  const auto store = OpenStore(folder);
  const MonotonicTime opened = ReadMonotonicClock();
  raft::InitialState initial = Must(store->Load());
  const std::vector<raft::Entry> entries = initial.entries;
  const raft::Snapshot snapshot = initial.snapshot;
  raft::Options options;
  options.id = 1;
  const raft::Fsm fsm(options, std::move(initial), opened);
  const MonotonicTime loaded = ReadMonotonicClock();
  control::ControlState state;
  if (!snapshot.data.empty()) {
    state = Must(control::ControlState::DecodeSnapshot(snapshot.data));
  }
  for (const raft::Entry& entry : entries) {
    if (entry.index > snapshot.index) {
      state.Apply(entry.data);
    }
  }
  const MonotonicTime ready = ReadMonotonicClock();
  if (state.revision() != static_cast<resources::Revision>(changes)) {
    throw std::runtime_error("the restart lost changes");
  }
  restart.open_us = (opened - start).count();
  restart.load_us = (loaded - opened).count();
  restart.state_us = (ready - loaded).count();
  return restart;
}

std::uintmax_t FolderBytes(const std::filesystem::path& folder) {
  std::uintmax_t bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    bytes += file.file_size();
  }
  return bytes;
}

void MeasureRestart(const Flags& flags, int changes, bool snapshot) {
  const TemporaryFolder folder(flags.folder);
  const std::size_t snapshot_bytes =
      FillStore(folder.path(), changes, snapshot);
  const std::uintmax_t bytes = FolderBytes(folder.path());
  std::vector<std::int64_t> open;
  std::vector<std::int64_t> load;
  std::vector<std::int64_t> state;
  std::vector<std::int64_t> total;
  for (std::int64_t run = 0; run < flags.runs; ++run) {
    const Restart restart = RestartOnce(folder.path(), changes);
    open.push_back(restart.open_us);
    load.push_back(restart.load_us);
    state.push_back(restart.state_us);
    total.push_back(restart.open_us + restart.load_us + restart.state_us);
  }
  const json line = {{"bench", "raft"},
                     {"part", "restart"},
                     {"changes", changes},
                     {"snapshot", snapshot},
                     {"runs", flags.runs},
                     {"store_bytes", bytes},
                     {"snapshot_bytes", snapshot_bytes},
                     {"open_us", Median(open)},
                     {"load_us", Median(load)},
                     {"state_us", Median(state)},
                     {"total_us", Median(total)}};
  std::cout << line.dump() << std::endl;
}

void MeasureRestarts(const Flags& flags) {
  for (const int changes : kChanges) {
    for (const bool snapshot : {false, true}) {
      MeasureRestart(flags, changes, snapshot);
    }
  }
}

}  // namespace

int RunRaftBench(int argc, const char** argv) {
  Flags flags;
  CommandLine line("juniperway-lab bench raft");
  line.Add("folder", flags.folder,
           "where the stores are made (default: the system's temporary folder)")
      .Add("part", flags.part, "commit, restart, claims or all")
      .Add("seed", flags.seed, "seed of the election jitter")
      .Add("runs", flags.runs, "runs whose median is printed")
      .Add("run-ms", flags.run_ms, "length of a run of commits")
      .Add("sync-us", flags.sync_us,
           "added to each write: stands for a slower disk");
  if (const auto rest = line.Parse(argc, argv); !rest) {
    return ReportUsage(rest.error());
  }
  const std::map<std::string, void (*)(const Flags&)> parts = {
      {"commit", MeasureCommits},
      {"restart", MeasureRestarts},
      {"claims", MeasureClaims}};
  if (flags.part != "all" && !parts.contains(flags.part)) {
    return ReportUsage({ErrorCode::kInvalidArgument, "--part", "is unknown"});
  }
  for (const auto& [name, measure] : parts) {
    if (flags.part == "all" || flags.part == name) {
      measure(flags);
    }
  }
  return kExitDone;
}

}  // namespace juniperway::lab
