#include "common/control/control_server.h"

#include <utility>

#include "common/control/control_node.h"

namespace juniperway::control {

class ControlServer::Implementation : public ControlNode {
 public:
  using ControlNode::ControlNode;
};

ControlServer::ControlServer(asio::io_context& context,
                             const ControlServerOptions& options,
                             std::unique_ptr<storage::LogStore> store)
    : implementation_(std::make_shared<Implementation>(context, options,
                                                       std::move(store))) {
  implementation_->Start();
}

ControlServer::~ControlServer() { implementation_->Close(); }

asio::ip::tcp::endpoint ControlServer::http_endpoint() const {
  return implementation_->http_endpoint();
}

asio::ip::tcp::endpoint ControlServer::peer_endpoint() const {
  return implementation_->peer_endpoint();
}

void ControlServer::SetSeeds(const std::vector<std::string>& seeds) {
  implementation_->SetSeeds(seeds);
}

void ControlServer::Stop(Duration timeout, std::function<void()> done) {
  implementation_->Stop(timeout, std::move(done));
}

}  // namespace juniperway::control
