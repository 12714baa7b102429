// Operators who race one another and who resend changes.
#include <fmt/format.h>

#include <thread>

#include "lab/experiment/run.h"
#include "lab/experiment/scripts/scripts.h"
#include "lab/experiment/selection.h"

namespace juniperway::lab {
namespace {

constexpr int kRaces = 15;
constexpr std::size_t kWriters = 6;
constexpr int kResends = 10;
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr Duration kCallTimeout = seconds(10);
constexpr Duration kLostAnswerTimeout = seconds(1);
constexpr Duration kRetryTimeout = seconds(20);
constexpr const char* kFault = "lost-answer";

Result<resources::Resource> ReadAnyService(ExperimentRun& run) {
  return run.fleet().control().Read(
      {resources::Kind::kService,
       AnyOf(run.fleet().layout().services, run.random()).name});
}

// Each writer on a thread and a client of its own, at different machines.
std::vector<ControlReply> Race(ExperimentRun& run,
                               const std::vector<resources::Resource>& writes) {
  std::vector<ControlReply> replies(writes.size());
  std::vector<std::thread> threads;
  const std::size_t machines = run.fleet().control().machines();
  for (std::size_t writer = 0; writer < writes.size(); ++writer) {
    const std::string id = run.MakeChangeId("race");
    threads.emplace_back([&, writer, id] {
      ControlClient client(run.fleet().ControlAddresses());
      replies[writer] = client.ApplyOnce(writer % machines, {writes[writer]},
                                         id, kCallTimeout);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return replies;
}

// Exactly one writer wins, the others learn what it wrote, and it stays.
void JudgeRace(ExperimentRun& run,
               const std::vector<resources::Resource>& writes,
               const std::vector<ControlReply>& replies) {
  std::size_t winners = 0;
  std::size_t unclear = 0;
  std::size_t winner = 0;
  for (std::size_t writer = 0; writer < replies.size(); ++writer) {
    if (replies[writer].status == kOk) {
      ++winners;
      winner = writer;
    } else if (replies[writer].status != kConflict) {
      ++unclear;
    }
  }
  run.report().Check(
      Promise::kNeverReverts, winners <= 1 && (winners == 1 || unclear > 0),
      fmt::format("{} of {} writers at one version won, {} got no clear "
                  "answer",
                  winners, writes.size(), unclear));
  if (winners != 1) {
    return;
  }
  const auto now = run.fleet().control().Read(writes[winner].id);
  const auto rows = [](const resources::Resource& resource) {
    return std::get<resources::Service>(resource.specification).maximum_rows;
  };
  run.report().Check(
      Promise::kNeverReverts, now && rows(*now) == rows(writes[winner]),
      fmt::format("{} is not what the winner wrote", writes[winner].id.name));
}

// The answer to a change is lost; the change is sent again elsewhere.
Result<void> ResendOnce(ExperimentRun& run) {
  ControlClient& control = run.fleet().control();
  Result<resources::Resource> resource = ReadAnyService(run);
  if (!resource) {
    return tl::unexpected<Error>(resource.error());
  }
  ++std::get<resources::Service>(resource->specification).maximum_rows;
  const std::string id = run.MakeChangeId("resend");
  Result<void> done = run.SetNetworkFaults(
      kFault, {{{"from", "*"}, {"to", "client"}, {"blocked", true}}});
  if (!done) {
    return done;
  }
  const ControlReply lost =
      control.ApplyOnce(0, {*resource}, id, kLostAnswerTimeout);
  done = run.SetNetworkFaults(kFault, nlohmann::json::array());
  if (!done) {
    return done;
  }
  run.report().Check(Promise::kNeverReverts, lost.status == 0,
                     "the fault lost no answer");
  const auto first = control.Apply({*resource}, id, kRetryTimeout);
  const auto second = control.Apply({*resource}, id, kRetryTimeout);
  const auto now = control.Read(resource->id);
  if (!first || !second || !now) {
    run.report().Check(Promise::kNeverReverts, false,
                       id + ": the resent change got no outcome");
    return {};
  }
  run.report().Check(
      Promise::kNeverReverts,
      first->revision == second->revision && now->version == first->revision,
      fmt::format("{}: outcomes at revisions {} and {}, the resource is at {}",
                  id, first->revision, second->revision, now->version));
  run.Follow(*first, {*resource});
  return {};
}

}  // namespace

Result<void> RunVersionRaces(ExperimentRun& run) {
  for (int race = 0; race < kRaces; ++race) {
    const Result<resources::Resource> current = ReadAnyService(run);
    if (!current) {
      return tl::unexpected<Error>(current.error());
    }
    std::vector<resources::Resource> writes(kWriters, *current);
    for (std::size_t writer = 0; writer < kWriters; ++writer) {
      std::get<resources::Service>(writes[writer].specification).maximum_rows +=
          static_cast<std::uint32_t>(writer) + 1;
    }
    JudgeRace(run, writes, Race(run, writes));
    run.RunFor(milliseconds(200));
  }
  return AwaitRecovery(run);
}

Result<void> RunResends(ExperimentRun& run) {
  for (int resend = 0; resend < kResends; ++resend) {
    Result<void> done = ResendOnce(run);
    if (!done) {
      return done;
    }
  }
  return AwaitRecovery(run);
}

}  // namespace juniperway::lab
