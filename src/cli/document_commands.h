// Commands on documents: check, diff and promote.
#ifndef MAGNOLIATIDE_SRC_CLI_DOCUMENT_COMMANDS_H
#define MAGNOLIATIDE_SRC_CLI_DOCUMENT_COMMANDS_H

#include "options.h"

#include "magnoliatide/cli/commands.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliatide::cli {

/// Validates documents and prints every error found.
ExitCode
CheckDocuments(const std::vector<std::string>& aFiles, bool aJson);

/// Prints the differences between two documents.
ExitCode
DiffDocuments(const std::string& aFrom, const std::string& aTo, bool aJson);

/// Prints a trial document converted for another environment. Refused unless it
/// is the active document on every VM in aFleet.
///
/// @param aTrial The path of the trial document.
/// @param aTarget The name of the other environment.
/// @param aGeneration The generation of the printed document, from 1.
ExitCode
PromoteDocument(const std::string& aTrial,
                const std::string& aTarget,
                std::uint64_t aGeneration,
                const FleetOptions& aFleet);

} // namespace magnoliatide::cli

#endif
