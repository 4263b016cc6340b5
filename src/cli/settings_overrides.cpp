// Insertion of settings after the header of their section.
#include "settings_overrides.h"

#include <sstream>

namespace magnoliatide::cli {

namespace {

void
AddSetting(std::string& aText,
           const std::string& aSection,
           const std::string& aLine)
{
  const auto header = "[" + aSection + "]\n";
  const auto at = ("\n" + aText).find("\n" + header);
  if (at == std::string::npos) {
    aText += "\n" + header + aLine + "\n";
  } else {
    aText.insert(at + header.size(), aLine + "\n");
  }
}

} // namespace

std::string
AddSettings(const std::string& aText, const std::string& aSettings)
{
  std::string text = aText;
  std::istringstream settings(aSettings);
  std::string setting;
  while (std::getline(settings, setting, ',')) {
    if (setting.empty() || setting.back() == '=') {
      continue;
    }
    const auto slash = setting.find('/');
    const bool named = slash != std::string::npos;
    AddSetting(text,
               named ? setting.substr(0, slash) : "vm",
               named ? setting.substr(slash + 1) : setting);
  }
  return text;
}

} // namespace magnoliatide::cli
