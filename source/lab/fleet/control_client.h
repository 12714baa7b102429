// An operator's client of the resource API, as scenarios need it.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/base/error.h"
#include "common/base/time.h"
#include "common/resources/resource.h"
#include "lab/blocking_http.h"
#include "lab/promises/history_check.h"

namespace juniperway::lab {

// One answer of the resource API.
struct ControlReply {
  // 0: no answer came.
  int status = 0;
  nlohmann::json body;
};

class ControlClient {
 public:
  // @param addresses "ip:port" of each control machine's resource API.
  explicit ControlClient(std::vector<std::string> addresses)
      : addresses_(std::move(addresses)) {}

  // Applies a set of resources as one change, at any machine that answers, and
  // again under the same id until one does or `timeout` has passed.
  Result<ChangeRecord> Apply(const std::vector<resources::Resource>& resources,
                             const std::string& change_id, Duration timeout);
  // Waits until `change` is in force and notes when.
  void WaitInForce(ChangeRecord& change, Duration timeout);

  // One try at one machine, with nothing done about its outcome.
  ControlReply ApplyOnce(std::size_t machine,
                         const std::vector<resources::Resource>& resources,
                         const std::string& change_id, Duration timeout);
  ControlReply Get(std::size_t machine, const std::string& path,
                   Duration timeout = seconds(2));
  // From the first machine that answers 200.
  ControlReply GetAnywhere(const std::string& path);
  ControlReply Post(std::size_t machine, const std::string& path,
                    const nlohmann::json& body, Duration timeout = seconds(10));

  // Changes the control machines; tried until it is taken or `timeout` passed.
  Result<void> AddMember(std::uint64_t node_id, const std::string& address,
                         Duration timeout);
  Result<void> RemoveMember(std::uint64_t node_id, Duration timeout);

  // The resource as it is now, for a change at its version.
  Result<resources::Resource> Read(const resources::ResourceId& id);

  std::size_t machines() const { return addresses_.size(); }
  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  // Calls each machine in turn until one answers with success.
  Result<void> CallUntilDone(const net::HttpClientRequest& request,
                             const std::string& path, Duration timeout);

  std::vector<std::string> addresses_;
  std::size_t preferred_ = 0;
  BlockingHttp http_;
};

}  // namespace juniperway::lab
