// Commands that query the VMs of an environment: status and audit, and the
// check of the active document for promote.
#ifndef MAGNOLIATIDE_SRC_CLI_FLEET_COMMANDS_H
#define MAGNOLIATIDE_SRC_CLI_FLEET_COMMANDS_H

#include "options.h"

#include "magnoliatide/cli/commands.h"
#include "magnoliatide/document/document.h"

namespace magnoliatide::cli {

/// Prints the active document, members and unhealthy backend servers of each
/// VM.
ExitCode
ShowStatus(const FleetOptions& aFleet);

/// Prints the audit trails of the VMs merged by time, and reports each trail in
/// which a record is missing or was changed.
ExitCode
ShowAudit(const FleetOptions& aFleet);

/// Checks that a document is the active one on every VM in aFleet.
///
/// @return kSuccess, or the exit code of the error that was printed.
ExitCode
RequireActiveDocument(const document::Document& aDocument,
                      const FleetOptions& aFleet);

} // namespace magnoliatide::cli

#endif
