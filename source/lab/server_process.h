// What the lab's long-running subcommands share: they print where they listen,
// and run until SIGTERM or SIGINT.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <string_view>

#include "common/base/error.h"

namespace juniperway::lab {

// Prints "listening <name> <ip:port>" on standard output.
void PrintListening(std::string_view name,
                    const asio::ip::tcp::endpoint& endpoint);

// Prints "ready" and runs the event loop until a signal to stop arrives.
void RunUntilSignal(asio::io_context& context);

// Prints an error of the command line. @return kExitUsage.
int ReportUsage(const Error& error);

}  // namespace juniperway::lab
