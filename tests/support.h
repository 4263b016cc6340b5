// Helpers of the process tests: a small fleet, its state, and its traffic.
#ifndef MAGNOLIATIDE_TESTS_SUPPORT_H
#define MAGNOLIATIDE_TESTS_SUPPORT_H

#include "callers.h"
#include "checker.h"
#include "fleet.h"

#include <boost/json.hpp>

#include <functional>
#include <string>

namespace magnoliatide::tests {

/// Returns the options of a fleet with three availability zones, three VMs,
/// three engines and one ledger. Its document is experiments/mwambao.base.ini.
load::FleetOptions
SmallFleet(const std::string& aName);

/// Returns a VM's status for operators, or an empty object if there is none.
boost::json::object
StatusOf(load::Fleet& aFleet, std::size_t aVm);

/// Returns the generation of a VM's active document, 0 if it does not answer.
std::uint64_t
GenerationAt(load::Fleet& aFleet, std::size_t aVm);

/// Returns the state of a slot in the member list of a VM, for example "alive";
/// empty if the VM does not answer or does not know the slot.
std::string
StateSeenBy(load::Fleet& aFleet, std::size_t aVm, const std::string& aSlot);

/// Returns the sum of all series of a counter at a VM. The name is given
/// without the prefix "magnoliatide_".
double
CounterAt(load::Fleet& aFleet, std::size_t aVm, const std::string& aName);

/// Waits until a condition holds. Returns false after the timeout.
bool
Await(const std::function<bool()>& aCondition, Duration aTimeout);

/// Returns traffic of streamed quotes in the most urgent tier.
load::Traffic
Quotes(double aRate, Duration aLength);

/// Returns traffic of deposits with idempotency keys, each sent aSends times.
load::Traffic
Deposits(double aRate, Duration aLength, int aSends);

/// Returns traffic of colour suggestions in the least urgent tier.
load::Traffic
Colours(double aRate, Duration aLength);

/// Returns the number of records with an outcome.
int
CountOf(const std::vector<load::Record>& aRecords, load::SendOutcome aOutcome);

/// Returns the number of records by outcome and reason, for failure messages.
std::string
OutcomeCounts(const std::vector<load::Record>& aRecords);

/// Joins a check's examples for failure messages.
std::string
Examples(const load::Findings& aFindings);

} // namespace magnoliatide::tests

#endif
