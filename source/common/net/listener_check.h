// Tells whether anybody listens at an address, by opening a connection that it
// closes at once.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "common/base/time.h"

namespace juniperway::net {

enum class ListenerState {
  kListens,
  kGone,     // The address refuses connections.
  kUnknown,  // No answer in time, or the address does not parse.
};

// The callback runs once, never inside this call.
// @param address "ip:port"
void CheckListener(asio::io_context& context, const std::string& address,
                   Duration timeout,
                   std::function<void(ListenerState)> callback);

}  // namespace juniperway::net
