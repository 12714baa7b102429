#include "daemon/settings_watch.h"

#include <fstream>
#include <iterator>
#include <utility>

#include "daemon/events.h"

namespace juniperway::daemon {
namespace {

// Nothing when the file cannot be read.
std::optional<std::string> ReadText(const std::string& file) {
  std::ifstream stream(file);
  std::string text{std::istreambuf_iterator<char>(stream), {}};
  return stream.bad() || text.empty() ? std::nullopt : std::optional(text);
}

}  // namespace

SettingsWatch::SettingsWatch(std::string file, Overrides overrides)
    : file_(std::move(file)),
      overrides_(std::move(overrides)),
      text_(ReadText(file_).value_or("")) {}

std::optional<Settings> SettingsWatch::ReadChanged() {
  auto text = ReadText(file_);
  if (!text || *text == text_) {
    return std::nullopt;
  }
  text_ = std::move(*text);
  auto settings = ParseSettings(text_, file_, overrides_);
  if (!settings) {
    for (const SettingsFault& fault : settings.error()) {
      logging::LogEvent(kSettingsRefused, {{"fault", FormatFault(fault)}});
    }
    return std::nullopt;
  }
  logging::LogEvent(kSettingsReloaded, {{"file", file_}});
  return std::move(*settings);
}

}  // namespace juniperway::daemon
