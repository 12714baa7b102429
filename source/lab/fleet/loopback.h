// Loopback addresses and ports for processes that are started side by side.
#pragma once

#include <cstdint>
#include <string>

namespace juniperway::lab {

// "127.x.y": addresses of this process alone, others at each call.
std::string OwnLoopbackNetwork();

// A port that the kernel has free on this address now.
// Throws std::system_error (set-up fault).
std::uint16_t FreePort(const std::string& address);

}  // namespace juniperway::lab
