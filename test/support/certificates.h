// Certificates for tests: an authority and what it signs, as PEM files.
#pragma once

#include <openssl/x509.h>

#include <filesystem>
#include <memory>
#include <string>

#include "common/net/tls.h"

namespace juniperway::test {

class CertificateAuthority {
 public:
  // Writes "<name>-authority.pem" into the folder.
  CertificateAuthority(std::filesystem::path folder, std::string name);
  ~CertificateAuthority();
  CertificateAuthority(const CertificateAuthority&) = delete;
  CertificateAuthority& operator=(const CertificateAuthority&) = delete;

  // Writes a key and a certificate of it.
  net::TlsFiles Issue(const std::string& name) const;
  const std::filesystem::path& file() const { return file_; }

 private:
  std::filesystem::path folder_;
  std::string name_;
  std::filesystem::path file_;
  EVP_PKEY* key_ = nullptr;
  X509* certificate_ = nullptr;
};

}  // namespace juniperway::test
