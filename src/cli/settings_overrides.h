// Settings given on the command line in addition to the settings file.
#ifndef MAGNOLIATIDE_SRC_CLI_SETTINGS_OVERRIDES_H
#define MAGNOLIATIDE_SRC_CLI_SETTINGS_OVERRIDES_H

#include <string>

namespace magnoliatide::cli {

/// Adds settings to the text of a settings file.
///
/// @param aText The INI text.
/// @param aSettings "SECTION/KEY=VALUE", separated by commas. Those without a
///     value are ignored, so that a template may name fields that a deployment
///     does not have. Texts of another form become errors of the INI parser.
std::string
AddSettings(const std::string& aText, const std::string& aSettings);

} // namespace magnoliatide::cli

#endif
