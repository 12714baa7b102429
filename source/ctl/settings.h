// What the flags and the environment say about the control machines.
#pragma once

#include <string>
#include <vector>

#include "ctl/api_client.h"
#include "ctl/options.h"

namespace juniperway::ctl {

inline constexpr const char* kServerVariable = "JUNIPERWAY_SERVER";

// The parts between commas, without blanks around them.
std::vector<std::string> SplitList(const std::string& text);

// "ip:port[,ip:port…]". @param source names the input in the failure.
Outcome<std::vector<asio::ip::tcp::endpoint>> ParseServers(
    const std::string& text, const std::string& source);

// Reads the token file, too. @param server_variable value of $JUNIPERWAY_SERVER
//   or empty.
Outcome<ApiSettings> ResolveSettings(const Options& options,
                                     const std::string& server_variable);

}  // namespace juniperway::ctl
