// juniperway-lab platform: the platform's lagging machine list as a process.
#include "common/net/address.h"
#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/platform/platform.h"
#include "lab/server_process.h"

namespace juniperway::lab {

int RunPlatformCommand(int argc, const char** argv) {
  std::string listen = "127.0.0.1:0";
  CommandLine line("juniperway-lab platform");
  line.Add("listen", listen, "ip:port");
  if (const auto rest = line.Parse(argc, argv); !rest) {
    return ReportUsage(rest.error());
  }
  const auto endpoint = net::ParseEndpoint(listen, "--listen");
  if (!endpoint) {
    return ReportUsage(endpoint.error());
  }
  asio::io_context context(1);
  const PlatformServer platform(context, *endpoint);
  PrintListening("platform", platform.endpoint());
  RunUntilSignal(context);
  return kExitDone;
}

}  // namespace juniperway::lab
