// The audit trail and its hash chain.
#include "magnoliatide/telemetry/audit.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/telemetry/log.h"

#include <boost/json.hpp>

namespace magnoliatide::telemetry {

std::string
AuditDigest(const AuditRecord& aRecord, const std::string& aPrevious)
{
  const char separator = '\n';
  return Sha256Hex(aPrevious + separator + std::to_string(aRecord.number) +
                   separator + aRecord.observer + separator + aRecord.time +
                   separator + aRecord.subject + separator + aRecord.from +
                   separator + aRecord.to + separator + aRecord.cause);
}

std::string
ToJson(const std::vector<AuditRecord>& aRecords)
{
  boost::json::array array;
  for (const auto& record : aRecords) {
    array.push_back(boost::json::object{ { "number", record.number },
                                         { "observer", record.observer },
                                         { "time", record.time },
                                         { "subject", record.subject },
                                         { "from", record.from },
                                         { "to", record.to },
                                         { "cause", record.cause },
                                         { "digest", record.digest } });
  }
  return boost::json::serialize(array);
}

std::uint64_t
FirstInvalidRecord(const std::vector<AuditRecord>& aRecords)
{
  for (std::size_t i = 1; i < aRecords.size(); ++i) {
    const bool chained =
      aRecords[i].digest == AuditDigest(aRecords[i], aRecords[i - 1].digest);
    if (!chained || aRecords[i].number != aRecords[i - 1].number + 1) {
      return aRecords[i].number;
    }
  }
  return 0;
}

AuditTrail::AuditTrail(std::string aObserver, std::size_t aMaxRecords)
  : mObserver(std::move(aObserver))
  , mMaxRecords(aMaxRecords)
{
}

void
AuditTrail::Add(const std::string& aSubject,
                const std::string& aFrom,
                const std::string& aTo,
                const std::string& aCause)
{
  std::lock_guard<std::mutex> lock(mMutex);
  AuditRecord record;
  record.number = ++mLastNumber;
  record.observer = mObserver;
  record.time = FormatTime(WallClock::now());
  record.subject = aSubject;
  record.from = aFrom;
  record.to = aTo;
  record.cause = aCause;
  record.digest = AuditDigest(record, mLastDigest);
  mLastDigest = record.digest;
  mRecords.push_back(record);
  if (mRecords.size() > mMaxRecords) {
    mRecords.pop_front();
  }
  LogInfo("change",
          { { "subject", aSubject },
            { "from", aFrom },
            { "to", aTo },
            { "cause", aCause },
            { "record", mLastNumber } });
}

std::vector<AuditRecord>
AuditTrail::Since(std::uint64_t aNumber) const
{
  std::lock_guard<std::mutex> lock(mMutex);
  std::vector<AuditRecord> records;
  for (const auto& record : mRecords) {
    if (record.number > aNumber) {
      records.push_back(record);
    }
  }
  return records;
}

} // namespace magnoliatide::telemetry
