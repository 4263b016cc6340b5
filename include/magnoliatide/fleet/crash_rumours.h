// Conversion of crash records and cleared traits to and from rumours between
// VMs.
#ifndef MAGNOLIATIDE_FLEET_CRASH_RUMOURS_H
#define MAGNOLIATIDE_FLEET_CRASH_RUMOURS_H

#include "magnoliatide/policy/crash_suspects.h"
#include "magnoliatide/wire/messages.h"

#include <cstdint>
#include <optional>

namespace magnoliatide::fleet {

/// Returns the rumour that reports a crash, without a version.
///
/// @param aProcess The VM process that reports it. Each reports the traits of
///     its own runs.
wire::Rumour
EncodeCrash(const policy::CrashRecord& aRecord, std::uint64_t aProcess);

/// Returns the crash that a rumour reports, or nothing if it is malformed.
std::optional<policy::CrashRecord>
DecodeCrash(const wire::Rumour& aRumour);

/// Returns the rumour that a trait is cleared, without a version.
wire::Rumour
EncodeClearance(policy::Trait aTrait);

/// Returns the trait that a rumour clears.
policy::Trait
DecodeClearance(const wire::Rumour& aRumour);

} // namespace magnoliatide::fleet

#endif
