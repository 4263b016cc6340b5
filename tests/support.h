// What the process tests share: small fleets and reads of their state.
#ifndef MAGNOLIATIDE_TESTS_SUPPORT_H
#define MAGNOLIATIDE_TESTS_SUPPORT_H

#include "callers.h"
#include "checker.h"
#include "fleet.h"

#include <boost/json.hpp>

#include <functional>
#include <string>

namespace magnoliatide::tests {

/// Options of a small fleet: three zones, three VMs, three engines and one
/// ledger, under the document of experiments/mwambao.base.ini.
load::FleetOptions
SmallFleet(const std::string& aName);

/// Returns the state that a VM tells operators, or an empty object.
boost::json::object
StatusOf(load::Fleet& aFleet, std::size_t aVm);

/// Returns the generation in force at a VM, 0 if it does not answer.
std::uint64_t
GenerationAt(load::Fleet& aFleet, std::size_t aVm);

/// Returns how a VM sees the slot of another, for example "alive".
std::string
StateSeenBy(load::Fleet& aFleet, std::size_t aVm, const std::string& aSlot);

/// Returns the sum of a counter's series at a VM.
double
CounterAt(load::Fleet& aFleet, std::size_t aVm, const std::string& aName);

/// Waits until a condition holds. Returns whether it did within the bound.
bool
Await(const std::function<bool()>& aCondition, Duration aBound);

/// Streamed quotes of the highest tier.
load::Traffic
Quotes(double aRate, Duration aLength);

/// Deposits with keys, each sent several times.
load::Traffic
Deposits(double aRate, Duration aLength, int aSends);

/// Colour suggestions of the lowest tier.
load::Traffic
Colours(double aRate, Duration aLength);

/// Counts the records that ended in a way.
int
CountOf(const std::vector<load::Record>& aRecords, load::Ending aEnding);

/// Counts the records by ending and reason, for a test's message.
std::string
Endings(const std::vector<load::Record>& aRecords);

/// Joins a check's examples for a test's message.
std::string
Examples(const load::Findings& aFindings);

} // namespace magnoliatide::tests

#endif
