#include "lab/blocking_http.h"

#include <optional>
#include <utility>

namespace juniperway::lab {

BlockingHttp::BlockingHttp()
    : client_(std::make_unique<net::HttpClient>(context_, 0)) {}

BlockingHttp::~BlockingHttp() = default;

net::HttpClientResponse BlockingHttp::Call(net::HttpClientRequest request) {
  std::optional<net::HttpClientResponse> answer;
  client_->Start(std::move(request), [&](net::HttpClientResponse response) {
    answer = std::move(response);
  });
  context_.restart();
  while (!answer && context_.run_one() > 0) {
  }
  return answer.value_or(net::HttpClientResponse());
}

net::HttpClientResponse BlockingHttp::Get(const std::string& url,
                                          Duration timeout) {
  net::HttpClientRequest request;
  request.url = url;
  request.timeout = timeout;
  return Call(std::move(request));
}

net::HttpClientResponse BlockingHttp::Post(const std::string& url,
                                           const std::string& body,
                                           Duration timeout) {
  net::HttpClientRequest request;
  request.method = "POST";
  request.url = url;
  request.body = body;
  request.headers = {{"Content-Type", "application/json"}};
  request.timeout = timeout;
  return Call(std::move(request));
}

}  // namespace juniperway::lab
