// Control servers of one cluster in one event loop, on loopback addresses of
// this process, with stores in a folder that goes with the group.
#pragma once

#include <asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/control/control_server.h"
#include "common/net/http_client.h"
#include "common/session/control_session_client.h"

namespace juniperway::test {

class ControlGroup {
 public:
  using Adjust = std::function<void(control::ControlServerOptions&)>;

  // Starts `size` control servers, which are each other's first voters.
  // @param adjust changes the options of each server; may be empty.
  ControlGroup(asio::io_context& context, std::size_t size, Adjust adjust = {});
  ~ControlGroup();
  ControlGroup(const ControlGroup&) = delete;
  ControlGroup& operator=(const ControlGroup&) = delete;

  // Server by position; null when it is stopped.
  control::ControlServer* server(std::size_t position) {
    return servers_.at(position).get();
  }
  // Ends a server without a word, as a crash does; its store stays.
  void Crash(std::size_t position) { servers_.at(position).reset(); }
  // Starts it again on its store.
  void Restart(std::size_t position);
  // Starts one more server, which waits until the cluster adds it.
  // @return its position; its node id is one more.
  std::size_t StartUnjoined();

  std::string Address(std::size_t position) const;
  std::string Url(std::size_t position, const std::string& path) const;
  // A session client that knows all servers.
  std::unique_ptr<session::ControlSessionClient> MakeClient(
      const std::string& daemon_id, const std::string& zone);

  // One call of the resource API, run to its end.
  net::HttpClientResponse Call(std::size_t position, const std::string& method,
                               const std::string& path,
                               const std::string& body = {},
                               const std::string& change_id = {});
  // The body of a 200 answer, parsed; null for any other.
  nlohmann::json GetJson(std::size_t position, const std::string& path);
  // Runs the loop until the machine at `position` sees a leader for certain.
  // @return the leader's position; size() when none came.
  std::size_t WaitForLeader(std::size_t position);
  std::size_t size() const { return servers_.size(); }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  void Start(std::size_t position, std::vector<raft::Member> initial_members);

  asio::io_context& context_;
  Adjust adjust_;
  std::filesystem::path folder_;
  std::vector<raft::Member> members_;
  std::vector<std::unique_ptr<control::ControlServer>> servers_;
  std::unique_ptr<net::HttpClient> http_;
};

// A service with its defaults, as the API takes it.
std::string ServiceJson(const std::string& name, std::uint64_t version);

}  // namespace juniperway::test
