#include "common/net/http_sockets.h"

namespace juniperway::net {

asio::execution_context::id SocketRegistry::id;

}  // namespace juniperway::net
