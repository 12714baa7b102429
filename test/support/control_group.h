// Runs the control servers of one cluster in one event loop, for tests. The
// servers listen on loopback addresses that belong to this process.
#pragma once

#include <asio/io_context.hpp>
#include <deque>
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

// Owns the servers and a temporary folder with their stores, which the
// destructor removes. The test owns the io_context, which must outlive the
// group.
class ControlGroup {
 public:
  using Adjust = std::function<void(control::ControlServerOptions&)>;

  // Starts `size` control servers, which are the initial voters.
  // @param adjust called with the options of each server before it starts; may
  // be empty.
  ControlGroup(asio::io_context& context, std::size_t size, Adjust adjust = {});
  ~ControlGroup();
  ControlGroup(const ControlGroup&) = delete;
  ControlGroup& operator=(const ControlGroup&) = delete;

  // Returns the server at `position`, or null after Crash().
  control::ControlServer* server(std::size_t position) {
    return servers_.at(position).get();
  }
  // Destroys a server without a graceful shutdown, as a crash does. Its store
  // remains.
  void Crash(std::size_t position) { servers_.at(position).reset(); }
  // Starts the server at `position` again with its store.
  void Restart(std::size_t position);
  // Makes every write of the server's store fail as on a full disk, or ends
  // that.
  void SetDiskFull(std::size_t position, bool full) {
    disks_full_.at(position) = full;
  }
  // Starts an additional server, which waits until the cluster adds it.
  // @return the server's position; its node id is the position plus one.
  std::size_t StartUnjoined();

  // Returns the address for other control nodes and for daemons, "ip:port".
  std::string Address(std::size_t position) const;
  // Returns the URL of `path` in the resource API.
  std::string Url(std::size_t position, const std::string& path) const;
  // Makes a daemon's session client that has the addresses of all servers.
  std::unique_ptr<session::ControlSessionClient> MakeClient(
      const std::string& daemon_id, const std::string& zone);

  // Sends one request to the resource API and runs the loop until the answer.
  net::HttpClientResponse Call(std::size_t position, const std::string& method,
                               const std::string& path,
                               const std::string& body = {},
                               const std::string& change_id = {});
  // Returns the parsed body of an answer with status 200; null for any other
  // answer.
  nlohmann::json GetJson(std::size_t position, const std::string& path);
  // Polls the status of the server at `position` until that server can reach
  // the leader.
  // @return the leader's position; size() when the polls end without a leader.
  std::size_t WaitForLeader(std::size_t position);
  std::size_t size() const { return servers_.size(); }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  void Start(std::size_t position, std::vector<raft::Member> initial_members);

  asio::io_context& context_;
  Adjust adjust_;
  std::filesystem::path folder_;
  std::vector<raft::Member> members_;
  // The stores keep references to the elements.
  std::deque<bool> disks_full_;
  std::vector<std::unique_ptr<control::ControlServer>> servers_;
  std::unique_ptr<net::HttpClient> http_;
};

// Returns the JSON of a service with default settings, in the format of the
// resource API.
std::string ServiceJson(const std::string& name, std::uint64_t version);

}  // namespace juniperway::test
