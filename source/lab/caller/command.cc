// juniperway-lab caller: open-loop load on gateways, with every answer checked.
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lab/caller/load.h"
#include "lab/caller/summary.h"
#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/promises/history_check.h"
#include "lab/promises/report_json.h"
#include "lab/server_process.h"

namespace juniperway::lab {
namespace {

struct Flags {
  std::string gateways;
  std::string service = "search";
  std::int64_t record_count = 400;
  std::int64_t index_versions = 1;
  double rate = 100;
  double duration_s = 5;
  std::int64_t deadline_ms = 1000;
  std::string repeatable_class;
  double non_repeatable_share = 0;
  std::string non_repeatable_class;
  std::string ledger;
  std::int64_t seed = 1;
};

CommandLine MakeCommandLine(Flags& flags) {
  CommandLine line("juniperway-lab caller");
  line.Add("gateways", flags.gateways, "ip:port,ip:port,...")
      .Add("service", flags.service, "service to query")
      .Add("records", flags.record_count, "records of the stand-ins")
      .Add("index-versions", flags.index_versions,
           "versions 1 to this may be answered from")
      .Add("rate", flags.rate, "queries a second")
      .Add("duration-s", flags.duration_s, "how long queries are sent")
      .Add("deadline-ms", flags.deadline_ms, "deadline of each query")
      .Add("class", flags.repeatable_class, "request class of the queries")
      .Add("non-repeatable-share", flags.non_repeatable_share,
           "share of queries that must not be repeated")
      .Add("non-repeatable-class", flags.non_repeatable_class,
           "request class of those")
      .Add("ledger", flags.ledger,
           "ledger of the stand-ins: checks refusals and at-most-once too")
      .Add("seed", flags.seed, "seed of the load");
  return line;
}

LoadSettings MakeSettings(const Flags& flags) {
  LoadSettings settings;
  std::istringstream list(flags.gateways);
  std::string address;
  while (std::getline(list, address, ',')) {
    settings.gateways.push_back({address, address});
  }
  ServiceLoad service;
  service.service = flags.service;
  service.deadline = milliseconds(flags.deadline_ms);
  service.repeatable_class = flags.repeatable_class;
  service.non_repeatable_share = flags.non_repeatable_share;
  service.non_repeatable_class = flags.non_repeatable_class;
  settings.workload.services = {service};
  settings.workload.rate = flags.rate;
  settings.workload.seed = flags.seed;
  settings.duration =
      Duration(static_cast<Duration::rep>(flags.duration_s * 1e6));
  return settings;
}

LoadResult RunLoad(const LoadSettings& settings, const Catalog& catalog) {
  asio::io_context context(1);
  Load load(context, settings, catalog);
  LoadResult result;
  load.Start([&](LoadResult done) {
    result = std::move(done);
    context.stop();
  });
  context.run();
  return result;
}

}  // namespace

int RunCallerCommand(int argc, const char** argv) {
  Flags flags;
  CommandLine line = MakeCommandLine(flags);
  if (const auto rest = line.Parse(argc, argv); !rest) {
    return ReportUsage(rest.error());
  }
  const LoadSettings settings = MakeSettings(flags);
  if (settings.gateways.empty()) {
    return ReportUsage(
        {ErrorCode::kInvalidArgument, "--gateways", "names no gateway"});
  }
  Catalog catalog;
  catalog.AddService(flags.service, flags.record_count);
  for (std::int64_t version = 1; version <= flags.index_versions; ++version) {
    catalog.Publish(flags.service, version);
  }
  LoadResult result = RunLoad(settings, catalog);
  std::vector<LedgerEntry> ledger;
  if (!flags.ledger.empty()) {
    const auto read = ReadLedger(flags.ledger);
    if (!read) {
      return ReportUsage(read.error());
    }
    ledger = *read;
    const LedgerByRequest grouped = GroupByRequest(ledger);
    CheckRefusals(result.history, grouped, result.report);
    CheckAtMostOnce(result.history, grouped, result.report);
  }
  CheckSnapshotOrder(result.history, result.report);
  for (const std::string& example : result.report.examples()) {
    std::cerr << example << '\n';
  }
  nlohmann::json json = SummaryToJson(Summarize(result.history, ledger));
  json["promises"] = PromisesToJson(result.report);
  std::cout << json.dump() << std::endl;
  return result.report.violations() == 0 ? kExitDone : kExitPromiseBroken;
}

}  // namespace juniperway::lab
