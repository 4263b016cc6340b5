// The audit trail: a hash chain of state changes. It is kept in memory, up to a
// maximum number of records, and is never written to a disk.
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

/// One change of state.
struct AuditRecord
{
  std::uint64_t number = 0; ///< Starts at 1, without gaps.
  std::string observer;     ///< Slot and incarnation of the recording VM.
  std::string time;         ///< Wall-clock time of the observer, in UTC.
  std::string subject;      ///< For example "configuration" or "engine e1".
  std::string from;
  std::string to;
  std::string cause;
  std::string digest; ///< Covers this record and the previous digest.
};

/// Computes the digest of a record, SHA-256 in hexadecimal.
///
/// @param aPrevious The digest of the previous record; empty for the first.
std::string
AuditDigest(const AuditRecord& aRecord, const std::string& aPrevious);

/// Returns records as a JSON array.
std::string
ToJson(const std::vector<AuditRecord>& aRecords);

/// Returns the number of the first record whose digest or number does not
/// follow from the record before it, or 0 if there is none. The first record in
/// the list has no predecessor there and is not checked.
std::uint64_t
FirstInvalidRecord(const std::vector<AuditRecord>& aRecords);

/// Records state changes. Safe to use from several threads.
class AuditTrail
{
public:
  /// @param aObserver Slot and incarnation to record.
  /// @param aMaxRecords Maximum number of records kept; the oldest are removed
  /// first.
  explicit AuditTrail(std::string aObserver, std::size_t aMaxRecords = 2000);

  /// Adds a change and writes one structured log line.
  void Add(const std::string& aSubject,
           const std::string& aFrom,
           const std::string& aTo,
           const std::string& aCause);

  /// Returns the kept records with a number greater than the given one.
  std::vector<AuditRecord> Since(std::uint64_t aNumber) const;

private:
  mutable std::mutex mMutex;
  std::string mObserver;
  std::size_t mMaxRecords;
  std::uint64_t mLastNumber = 0;
  std::string mLastDigest;
  /// Numbered consecutively; the last one has mLastNumber.
  std::deque<AuditRecord> mRecords;
};

} // namespace magnoliatide::telemetry

#endif
