// The control machines that a daemon's session may go to, by index.
#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace juniperway::session {

class ControlEndpoints {
 public:
  // @param addresses "ip:port" each.
  // Throws std::runtime_error (set-up fault) when one is malformed or there is
  // none.
  explicit ControlEndpoints(const std::vector<std::string>& addresses);

  // @return false when it is known or malformed; else its index is the last.
  bool Add(const std::string& address);
  // @return nothing when it is not known.
  std::optional<std::size_t> Find(const std::string& address) const;

  const asio::ip::tcp::endpoint& operator[](std::size_t index) const {
    return endpoints_.at(index);
  }
  std::size_t size() const { return endpoints_.size(); }

 private:
  std::vector<asio::ip::tcp::endpoint> endpoints_;
};

}  // namespace juniperway::session
