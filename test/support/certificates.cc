#include "support/certificates.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <stdexcept>
#include <utility>

namespace juniperway::test {
namespace {

constexpr long kVersion3 = 2;  // X.509 counts from 0
constexpr long kLifetimeSeconds = 3600;

void Require(bool done) {
  if (!done) {
    throw std::runtime_error("OpenSSL could not make a certificate");
  }
}

// @param issuer nullptr: signs itself, as an authority.
X509* MakeCertificate(const std::string& name, EVP_PKEY* key, X509* issuer,
                      EVP_PKEY* issuer_key) {
  X509* certificate = X509_new();
  Require(certificate != nullptr);
  X509_set_version(certificate, kVersion3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate),
                   issuer == nullptr ? 1 : 2);
  // Begins early, so that no clock is too slow for it.
  X509_gmtime_adj(X509_getm_notBefore(certificate), -kLifetimeSeconds);
  X509_gmtime_adj(X509_getm_notAfter(certificate), kLifetimeSeconds);
  X509_set_pubkey(certificate, key);
  X509_NAME* subject = X509_get_subject_name(certificate);
  X509_NAME_add_entry_by_txt(
      subject, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(
      certificate, issuer == nullptr ? subject : X509_get_subject_name(issuer));
  X509_EXTENSION* kind = X509V3_EXT_conf_nid(
      nullptr, nullptr, NID_basic_constraints,
      issuer == nullptr ? "critical,CA:TRUE" : "critical,CA:FALSE");
  Require(kind != nullptr);
  X509_add_ext(certificate, kind, -1);
  X509_EXTENSION_free(kind);
  Require(X509_sign(certificate, issuer_key, EVP_sha256()) != 0);
  return certificate;
}

EVP_PKEY* MakeKey() {
  EVP_PKEY* key = EVP_EC_gen("P-256");
  Require(key != nullptr);
  return key;
}

template <typename Write>
void WritePem(const std::filesystem::path& file, const Write& write) {
  std::FILE* stream = std::fopen(file.c_str(), "w");
  Require(stream != nullptr);
  const bool written = write(stream) == 1;
  Require(std::fclose(stream) == 0 && written);
}

}  // namespace

CertificateAuthority::CertificateAuthority(std::filesystem::path folder,
                                           std::string name)
    : folder_(std::move(folder)),
      name_(std::move(name)),
      file_(folder_ / (name_ + "-authority.pem")),
      key_(MakeKey()),
      certificate_(MakeCertificate(name_, key_, nullptr, key_)) {
  WritePem(file_, [this](std::FILE* stream) {
    return PEM_write_X509(stream, certificate_);
  });
}

CertificateAuthority::~CertificateAuthority() {
  X509_free(certificate_);
  EVP_PKEY_free(key_);
}

net::TlsFiles CertificateAuthority::Issue(const std::string& name) const {
  EVP_PKEY* key = MakeKey();
  X509* certificate = MakeCertificate(name, key, certificate_, key_);
  net::TlsFiles files;
  files.certificate = folder_ / (name + ".pem");
  files.key = folder_ / (name + "-key.pem");
  files.authority = file_;
  WritePem(files.certificate, [certificate](std::FILE* stream) {
    return PEM_write_X509(stream, certificate);
  });
  WritePem(files.key, [key](std::FILE* stream) {
    return PEM_write_PrivateKey(stream, key, nullptr, nullptr, 0, nullptr,
                                nullptr);
  });
  X509_free(certificate);
  EVP_PKEY_free(key);
  return files;
}

}  // namespace juniperway::test
