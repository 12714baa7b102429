#include "lab/server_process.h"

#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "common/net/address.h"
#include "lab/commands.h"

namespace juniperway::lab {

void PrintListening(std::string_view name,
                    const asio::ip::tcp::endpoint& endpoint) {
  std::cout << "listening " << name << ' ' << net::FormatEndpoint(endpoint)
            << '\n';
}

void RunUntilSignal(asio::io_context& context) {
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](const asio::error_code&, int) { context.stop(); });
  std::cout << "ready" << std::endl;
  context.run();
}

int ReportUsage(const Error& error) {
  std::cerr << "juniperway-lab: " << FormatError(error) << '\n';
  return kExitUsage;
}

}  // namespace juniperway::lab
