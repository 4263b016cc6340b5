// Describes the difference between two configurations for the log.
#ifndef MAGNOLIATIDE_ROUTING_CHANGE_H
#define MAGNOLIATIDE_ROUTING_CHANGE_H

#include "magnoliatide/routing/table.h"

#include <string>

namespace magnoliatide::routing {

/// Returns a list of the routes, teams and credentials that were added (+),
/// removed (-) or changed (~). Long lists end with the number of entries left
/// out. Credentials appear under their CredentialName().
///
/// @param aBefore Null for the first configuration.
std::string
DescribeChange(const TablePointer& aBefore, const Table& aAfter);

/// Returns a name for a credential that does not disclose it.
std::string
CredentialName(const std::string& aCredential);

} // namespace magnoliatide::routing

#endif
