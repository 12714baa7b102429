// juniperway-lab proxy: the fault-injecting TCP proxy as a process.
#include "common/net/address.h"
#include "lab/command_line.h"
#include "lab/commands.h"
#include "lab/proxy/proxy.h"
#include "lab/server_process.h"

namespace juniperway::lab {

int RunProxyCommand(int argc, const char** argv) {
  std::string control_listen = "127.0.0.1:0";
  std::int64_t seed = 1;
  CommandLine line("juniperway-lab proxy");
  line.Add("control-listen", control_listen, "ip:port of the control calls")
      .Add("seed", seed, "seed of the jitter");
  if (const auto rest = line.Parse(argc, argv); !rest) {
    return ReportUsage(rest.error());
  }
  const auto control = net::ParseEndpoint(control_listen, "--control-listen");
  if (!control) {
    return ReportUsage(control.error());
  }
  asio::io_context context(1);
  const Proxy proxy(context, *control, seed);
  PrintListening("lab", proxy.control_endpoint());
  RunUntilSignal(context);
  return kExitDone;
}

}  // namespace juniperway::lab
