// Commands on documents: check, diff and promote.
#ifndef MAGNOLIATIDE_SRC_CLI_DOCUMENT_COMMANDS_H
#define MAGNOLIATIDE_SRC_CLI_DOCUMENT_COMMANDS_H

#include "options.h"

#include "magnoliatide/cli/commands.h"

#include <cstdint>
#include <string>
#include <vector>

namespace magnoliatide::cli {

/// Reports every error of each document.
ExitCode
CheckDocuments(const std::vector<std::string>& aFiles, bool aJson);

/// Tells what a change from one document to another does.
ExitCode
DiffDocuments(const std::string& aFrom, const std::string& aTo, bool aJson);

/// Prints the document for another environment, made from a trial document.
/// Refused unless the VMs given have that trial document in force.
ExitCode
PromoteDocument(const std::string& aTrial,
                const std::string& aTarget,
                std::uint64_t aGeneration,
                const FleetOptions& aFleet);

} // namespace magnoliatide::cli

#endif
