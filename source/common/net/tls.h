// TLS: of the fleet's own connections, where each side shows a certificate of
// the fleet's authority, and of listeners for callers.
#pragma once

#include <asio/ssl/context.hpp>
#include <filesystem>
#include <memory>

namespace juniperway::net {

// PEM files.
struct TlsFiles {
  // The own certificate, followed by those between it and the authority.
  std::filesystem::path certificate;
  std::filesystem::path key;
  // The authority whose certificates the other side must show; empty: the other
  // side shows none.
  std::filesystem::path authority;
};

// TLS 1.2 or newer. Throws std::exception when a file cannot be used (set-up
// fault).
asio::ssl::context MakeTlsContext(const TlsFiles& files);

// From now on every FrameConnection of this process is encrypted and both sides
// show a certificate; null: none is. Set once, before the first connection.
void SetInternalTls(std::shared_ptr<asio::ssl::context> context);
const std::shared_ptr<asio::ssl::context>& InternalTls();

}  // namespace juniperway::net
