#include "ctl/settings.h"

#include <algorithm>
#include <utility>

#include "common/net/address.h"
#include "ctl/local_file.h"

namespace juniperway::ctl {
namespace {

constexpr const char* kBlanks = " \t\r\n";

std::string Trim(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string::npos) {
    return "";
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

}  // namespace

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    parts.push_back(Trim(text.substr(begin, end - begin)));
    begin = end + 1;
  }
  return parts;
}

Outcome<std::vector<asio::ip::tcp::endpoint>> ParseServers(
    const std::string& text, const std::string& source) {
  std::vector<asio::ip::tcp::endpoint> servers;
  for (const std::string& part : SplitList(text)) {
    const auto endpoint = net::ParseRemoteEndpoint(part, source);
    if (!endpoint) {
      return Fail(ExitCode::kUsage, FormatError(endpoint.error()));
    }
    servers.push_back(*endpoint);
  }
  return servers;
}

Outcome<ApiSettings> ResolveSettings(const Options& options,
                                     const std::string& server_variable) {
  const bool by_flag = !options.servers.empty();
  const std::string& servers = by_flag ? options.servers : server_variable;
  if (servers.empty()) {
    return Fail(ExitCode::kUsage,
                std::string("--server: give the control machines, or set $") +
                    kServerVariable);
  }
  auto parsed = ParseServers(
      servers, by_flag ? "--server" : std::string("$") + kServerVariable);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  ApiSettings settings;
  settings.servers = std::move(*parsed);
  if (!options.token_file.empty()) {
    const auto token = ReadLocalFile(options.token_file);
    if (!token) {
      return tl::unexpected(token.error());
    }
    settings.token = Trim(*token);
    if (settings.token.empty()) {
      return Fail(ExitCode::kLocalFile, options.token_file + ": is empty");
    }
  }
  settings.timeout = options.timeout.value_or(settings.timeout);
  return settings;
}

}  // namespace juniperway::ctl
