// The audit trail: changes of state, each chained to the one before it by a
// digest. Bounded in memory; nothing is written to a disk.
#ifndef MAGNOLIATIDE_TELEMETRY_AUDIT_H
#define MAGNOLIATIDE_TELEMETRY_AUDIT_H

#include "magnoliatide/core/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace magnoliatide::telemetry {

/// One change.
struct AuditRecord
{
  std::uint64_t number = 0; ///< From 1, without gaps.
  std::string observer;     ///< Slot and incarnation of the VM that saw it.
  std::string time;         ///< Wall clock of the observer, UTC.
  std::string subject;      ///< For example "configuration" or "engine e1".
  std::string from;
  std::string to;
  std::string cause;
  std::string digest; ///< Covers this record and the digest before it.
};

/// Returns the digest that a record must carry.
std::string
AuditDigest(const AuditRecord& aRecord, const std::string& aPrevious);

/// Returns records as a JSON array.
std::string
ToJson(const std::vector<AuditRecord>& aRecords);

/// Returns the number of the first record whose digest does not fit, or 0.
std::uint64_t
FirstBroken(const std::vector<AuditRecord>& aRecords);

class AuditTrail
{
public:
  /// @param aObserver Slot and incarnation to record.
  /// @param aMostRecords Bound on records held; the oldest go first.
  explicit AuditTrail(std::string aObserver, std::size_t aMostRecords = 2000);

  /// Adds a change, and writes one structured log line.
  void Add(const std::string& aSubject,
           const std::string& aFrom,
           const std::string& aTo,
           const std::string& aCause);

  /// Returns the records with numbers above the given one.
  std::vector<AuditRecord> Since(std::uint64_t aNumber) const;

private:
  mutable std::mutex mMutex;
  std::string mObserver;
  std::size_t mMostRecords;
  std::uint64_t mLastNumber = 0;
  std::string mLastDigest;
  /// Consecutive numbers, the last one mLastNumber.
  std::deque<AuditRecord> mRecords;
};

} // namespace magnoliatide::telemetry

#endif
