#include "common/net/tls.h"

#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>

namespace juniperway::net {
namespace {

std::shared_ptr<asio::ssl::context>& ProcessInternalTls() {
  static std::shared_ptr<asio::ssl::context> context;
  return context;
}

void Require(const std::error_code& error, const std::filesystem::path& file) {
  if (error) {
    throw std::runtime_error(file.string() +
                             " cannot be used for TLS: " + error.message());
  }
}

}  // namespace

asio::ssl::context MakeTlsContext(const TlsFiles& files) {
  using asio::ssl::context;
  context result(context::tls);
  result.set_options(context::default_workarounds | context::no_sslv2 |
                     context::no_sslv3 | context::no_tlsv1 |
                     context::no_tlsv1_1);
  // Connections are few and long: no resumption, which would need a store.
  SSL_CTX_set_session_cache_mode(result.native_handle(), SSL_SESS_CACHE_OFF);
  SSL_CTX_set_options(result.native_handle(), SSL_OP_NO_TICKET);
  std::error_code error;
  result.use_certificate_chain_file(files.certificate.string(), error);
  Require(error, files.certificate);
  result.use_private_key_file(files.key.string(), context::pem, error);
  Require(error, files.key);
  if (!files.authority.empty()) {
    result.load_verify_file(files.authority.string(), error);
    Require(error, files.authority);
    result.set_verify_mode(asio::ssl::verify_peer |
                           asio::ssl::verify_fail_if_no_peer_cert);
  }
  return result;
}

void SetInternalTls(std::shared_ptr<asio::ssl::context> context) {
  ProcessInternalTls() = std::move(context);
}

const std::shared_ptr<asio::ssl::context>& InternalTls() {
  return ProcessInternalTls();
}

}  // namespace juniperway::net
