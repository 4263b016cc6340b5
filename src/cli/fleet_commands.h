// Commands that ask the VMs of an environment: status and audit.
#ifndef MAGNOLIATIDE_SRC_CLI_FLEET_COMMANDS_H
#define MAGNOLIATIDE_SRC_CLI_FLEET_COMMANDS_H

#include "options.h"

#include "magnoliatide/cli/commands.h"
#include "magnoliatide/document/document.h"

namespace magnoliatide::cli {

/// Shows for every VM what it has in force and how it stands.
ExitCode
ShowStatus(const FleetOptions& aFleet);

/// Shows the audit trails of the VMs, merged by time, and whether each is
/// unbroken.
ExitCode
ShowAudit(const FleetOptions& aFleet);

/// Checks that every VM given has a document in force.
ExitCode
RequireInForce(const document::Document& aDocument, const FleetOptions& aFleet);

} // namespace magnoliatide::cli

#endif
