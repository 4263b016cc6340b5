// Spreads notices of leaving servers and suspected requests as rumours.
#include "notice_service.h"

#include "magnoliatide/core/digest.h"

#include <cstdlib>

namespace magnoliatide::node {

namespace {

/// Number of rumour versions for each index of the platform's list. The first
/// is used for the list, the others for notices of the servers themselves until
/// the next list.
constexpr std::uint64_t kVersionsPerListIndex = 256;

std::string
RumourKey(const document::BackendServer& aBackend)
{
  return aBackend.name + "@" + aBackend.addressText;
}

} // namespace

NoticeService::NoticeService(NoticeServiceParams aParams)
  : mParams(std::move(aParams))
{
}

void
NoticeService::HandleNewRumours()
{
  bool backendsChanged = false;
  for (const auto& rumour : mParams.membership->TakeNewRumours()) {
    if (rumour.kind == wire::RumourKind::kSuspect) {
      HandleSuspect(rumour);
    } else {
      HandleBackendState(rumour);
      backendsChanged = true;
    }
  }
  if (backendsChanged) {
    ApplyLeaving();
  }
}

void
NoticeService::HandleSuspect(const wire::Rumour& aRumour)
{
  const policy::SuspectEntry entry{
    std::strtoull(aRumour.key.c_str(), nullptr, 16),
    static_cast<policy::SuspectLevel>(std::atoi(aRumour.value.c_str()))
  };
  mParams.scheduler->MergeSuspect(entry, Clock::now());
}

void
NoticeService::HandleBackendState(const wire::Rumour& aRumour)
{
  const auto name = aRumour.key.substr(0, aRumour.key.find('@'));
  if (aRumour.value == "leaving" && mLeaving.insert(aRumour.key).second) {
    mParams.audit->Add("backend " + name, "serving", "leaving", "notice");
  } else if (aRumour.value == "serving" && mLeaving.erase(aRumour.key) > 0) {
    mParams.audit->Add("backend " + name, "leaving", "serving", "notice");
  }
}

void
NoticeService::ApplyLeaving()
{
  const auto document = mParams.document->Load();
  if (!document) {
    return;
  }
  std::set<std::string> names;
  for (const auto& backend : document->backends) {
    if (mLeaving.count(RumourKey(backend)) > 0) {
      names.insert(backend.name);
    }
  }
  mParams.scheduler->SetLeaving(std::move(names));
}

void
NoticeService::ApplyVmList(const platform::VmList& aList)
{
  const auto document = mParams.document->Load();
  for (const auto& listed : aList.backends) {
    const auto* backend =
      document ? document->FindBackend(listed.name) : nullptr;
    if (backend != nullptr) {
      mParams.membership->Spread({ wire::RumourKind::kBackendState,
                                   RumourKey(*backend),
                                   aList.index * kVersionsPerListIndex,
                                   listed.leaving ? "leaving" : "serving" },
                                 Clock::now());
    }
  }
  mParams.pushGossip();
}

void
NoticeService::RecordLeaving(const std::string& aName)
{
  const auto document = mParams.document->Load();
  const auto* backend = document ? document->FindBackend(aName) : nullptr;
  if (backend == nullptr) {
    return;
  }
  const auto* known = mParams.membership->FindRumour(
    wire::RumourKind::kBackendState, RumourKey(*backend));
  if (known != nullptr && known->value == "leaving") {
    return;
  }
  const auto version = known == nullptr ? 1 : known->version + 1;
  mParams.membership->Spread({ wire::RumourKind::kBackendState,
                               RumourKey(*backend),
                               version,
                               "leaving" },
                             Clock::now());
  mParams.pushGossip();
}

void
NoticeService::SpreadSuspects(const std::vector<policy::SuspectEntry>& aEntries)
{
  for (const auto& entry : aEntries) {
    const auto key = ToHex(entry.fingerprint);
    const auto* known =
      mParams.membership->FindRumour(wire::RumourKind::kSuspect, key);
    const auto version = known == nullptr ? 1 : known->version + 1;
    const auto level = std::to_string(static_cast<int>(entry.level));
    mParams.membership->Spread(
      { wire::RumourKind::kSuspect, key, version, level }, Clock::now());
    mParams.audit->Add(
      "request " + key, "", "suspicion " + level, "crash detected");
  }
  mParams.pushGossip();
}

} // namespace magnoliatide::node
