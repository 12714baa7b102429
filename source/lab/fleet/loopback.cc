#include "lab/fleet/loopback.h"

#include <fmt/format.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace juniperway::lab {
namespace {

constexpr int kNetworks = 250;
// Prime, so that networks of one process lie apart from those of the next.
constexpr int kNetworkStep = 7919;

}  // namespace

std::string OwnLoopbackNetwork() {
  static int calls = 0;
  const int number = static_cast<int>(::getpid()) + ++calls * kNetworkStep;
  return fmt::format("127.{}.{}", 2 + number / kNetworks % kNetworks,
                     1 + number % kNetworks);
}

std::uint16_t FreePort(const std::string& address) {
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(
      context, asio::ip::tcp::endpoint(asio::ip::make_address(address), 0));
  return acceptor.local_endpoint().port();
}

}  // namespace juniperway::lab
