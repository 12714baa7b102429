// HTTP calls that wait for their answer, for scenario scripts.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>

#include "common/net/http_client.h"

namespace juniperway::lab {

// Not for several threads at once.
class BlockingHttp {
 public:
  BlockingHttp();
  ~BlockingHttp();

  net::HttpClientResponse Call(net::HttpClientRequest request);
  net::HttpClientResponse Get(const std::string& url,
                              Duration timeout = seconds(5));
  net::HttpClientResponse Post(const std::string& url, const std::string& body,
                               Duration timeout = seconds(5));

 private:
  asio::io_context context_{1};
  std::unique_ptr<net::HttpClient> client_;
};

}  // namespace juniperway::lab
