// juniperway-lab backend: hosts the stand-in back ends of a JSON file, or one
// given by flags.
#include <fmt/format.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "common/net/address.h"
#include "lab/backend/host.h"
#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/server_process.h"

namespace juniperway::lab {
namespace {

struct Flags {
  std::string file;
  std::string control_listen = "127.0.0.1:0";
  std::string ledger;
  // The one back end, when no file is given.
  std::string name = "backend-1";
  std::string service = "search";
  std::string listen = "127.0.0.1:0";
  std::int64_t slots = 5;
  std::int64_t maximum_connections = 75;
  double median_service_time_ms = 4;
  std::int64_t record_count = 400;
  std::int64_t shards = 4;
  std::int64_t index_version = 1;
  std::int64_t seed = 1;
};

CommandLine MakeCommandLine(Flags& flags) {
  CommandLine line("juniperway-lab backend");
  line.Add("file", flags.file, "back ends as JSON: {\"backends\":[...]}")
      .Add("control-listen", flags.control_listen, "ip:port of /v1/lab")
      .Add("ledger", flags.ledger, "file that records each begun subquery")
      .Add("name", flags.name, "without --file: name of the back end")
      .Add("service", flags.service, "without --file: its service")
      .Add("listen", flags.listen, "without --file: ip:port")
      .Add("slots", flags.slots, "without --file: subqueries at a time")
      .Add("connections", flags.maximum_connections,
           "without --file: connections at a time")
      .Add("service-time-ms", flags.median_service_time_ms,
           "without --file: median time of a subquery")
      .Add("records", flags.record_count, "without --file: records")
      .Add("shards", flags.shards,
           "without --file: holds shard-0 to shard-<N-1>, the key space split "
           "evenly")
      .Add("index-version", flags.index_version,
           "without --file: the index version it holds")
      .Add("seed", flags.seed, "without --file: seed of its service times");
  return line;
}

Result<std::vector<BackendSettings>> ReadBackends(const Flags& flags) {
  if (flags.file.empty()) {
    BackendSettings settings;
    settings.name = flags.name;
    settings.service = flags.service;
    settings.listen = flags.listen;
    settings.slots = flags.slots;
    settings.maximum_connections = flags.maximum_connections;
    settings.median_service_time = Duration(
        static_cast<Duration::rep>(flags.median_service_time_ms * 1000));
    settings.record_count = flags.record_count;
    settings.seed = flags.seed;
    for (const resources::Partition& partition :
         EvenPartitions("shard-", flags.shards)) {
      settings.holdings.push_back(
          {static_cast<resources::IndexVersion>(flags.index_version),
           partition.shard, partition.range});
    }
    return std::vector<BackendSettings>{settings};
  }
  std::ifstream file(flags.file);
  const nlohmann::json json = nlohmann::json::parse(file, nullptr, false);
  if (json.is_discarded()) {
    return MakeError(ErrorCode::kInvalidArgument, flags.file, "is no JSON");
  }
  return ParseBackendList(json);
}

}  // namespace

int RunBackendCommand(int argc, const char** argv) {
  Flags flags;
  CommandLine line = MakeCommandLine(flags);
  if (const auto rest = line.Parse(argc, argv); !rest) {
    return ReportUsage(rest.error());
  }
  const auto backends = ReadBackends(flags);
  if (!backends) {
    return ReportUsage(backends.error());
  }
  const auto control =
      net::ParseEndpoint(flags.control_listen, "--control-listen");
  if (!control) {
    return ReportUsage(control.error());
  }
  asio::io_context context(1);
  std::optional<Ledger> ledger;
  if (!flags.ledger.empty()) {
    ledger.emplace(flags.ledger);
  }
  const BackendHost host(context, *backends, *control,
                         ledger ? &*ledger : nullptr);
  for (const auto& server : host.servers()) {
    PrintListening("backend." + server->model().settings().name,
                   server->endpoint());
  }
  PrintListening("lab", host.control_endpoint());
  RunUntilSignal(context);
  return kExitDone;
}

}  // namespace juniperway::lab
