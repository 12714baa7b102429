#include "lab/catalog.h"

namespace juniperway::lab {

void Catalog::AddService(const std::string& service,
                         std::uint32_t record_count) {
  const std::lock_guard lock(mutex_);
  services_[service].record_count = record_count;
}

void Catalog::Publish(const std::string& service,
                      resources::IndexVersion index_version) {
  const std::lock_guard lock(mutex_);
  services_[service].published.insert(index_version);
}

Dataset Catalog::DatasetOf(const std::string& service) const {
  const std::lock_guard lock(mutex_);
  return {service, services_.at(service).record_count};
}

std::set<resources::IndexVersion> Catalog::Published(
    const std::string& service) const {
  const std::lock_guard lock(mutex_);
  return services_.at(service).published;
}

}  // namespace juniperway::lab
