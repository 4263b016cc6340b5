// Notices of leaving servers and suspected requests.
#include "notice_service.h"

#include "magnoliatide/core/digest.h"

#include <cstdlib>

namespace magnoliatide::node {

namespace {

/// Versions between two indexes of the platform's list, for notices that
/// servers give themselves in between.
constexpr std::uint64_t kListVersionStep = 256;

std::string
KeyOf(const document::BackendServer& aBackend)
{
  return aBackend.name + "@" + aBackend.addressText;
}

} // namespace

NoticeService::NoticeService(NoticeServiceParts aParts)
  : mParts(std::move(aParts))
{
}

void
NoticeService::TakeNews()
{
  bool backends = false;
  for (const auto& rumour : mParts.members->TakeNews()) {
    if (rumour.kind == wire::RumourKind::kSuspect) {
      TakeSuspect(rumour);
    } else {
      TakeBackendState(rumour);
      backends = true;
    }
  }
  if (backends) {
    ApplyLeaving();
  }
}

void
NoticeService::TakeSuspect(const wire::Rumour& aRumour)
{
  const policy::SuspectEntry entry{
    std::strtoull(aRumour.key.c_str(), nullptr, 16),
    static_cast<policy::Suspicion>(std::atoi(aRumour.value.c_str()))
  };
  mParts.scheduler->MergeSuspect(entry, Clock::now());
}

void
NoticeService::TakeBackendState(const wire::Rumour& aRumour)
{
  const auto name = aRumour.key.substr(0, aRumour.key.find('@'));
  if (aRumour.value == "leaving" && mLeaving.insert(aRumour.key).second) {
    mParts.audit->Add("backend " + name, "serving", "leaving", "notice");
  } else if (aRumour.value == "serving" && mLeaving.erase(aRumour.key) > 0) {
    mParts.audit->Add("backend " + name, "leaving", "serving", "notice");
  }
}

void
NoticeService::ApplyLeaving()
{
  const auto document = mParts.document->Load();
  if (!document) {
    return;
  }
  std::set<std::string> names;
  for (const auto& backend : document->backends) {
    if (mLeaving.count(KeyOf(backend)) > 0) {
      names.insert(backend.name);
    }
  }
  mParts.scheduler->SetLeaving(std::move(names));
}

void
NoticeService::TakeList(const platform::VmList& aList)
{
  const auto document = mParts.document->Load();
  for (const auto& listed : aList.backends) {
    const auto* backend =
      document ? document->FindBackend(listed.name) : nullptr;
    if (backend != nullptr) {
      mParts.members->Spread({ wire::RumourKind::kBackendState,
                               KeyOf(*backend),
                               aList.index * kListVersionStep,
                               listed.leaving ? "leaving" : "serving" },
                             Clock::now());
    }
  }
  mParts.push();
}

void
NoticeService::NoteLeaving(const std::string& aName)
{
  const auto document = mParts.document->Load();
  const auto* backend = document ? document->FindBackend(aName) : nullptr;
  if (backend == nullptr) {
    return;
  }
  const auto* known = mParts.members->FindRumour(
    wire::RumourKind::kBackendState, KeyOf(*backend));
  if (known != nullptr && known->value == "leaving") {
    return;
  }
  const auto version = known == nullptr ? 1 : known->version + 1;
  mParts.members->Spread(
    { wire::RumourKind::kBackendState, KeyOf(*backend), version, "leaving" },
    Clock::now());
  mParts.push();
}

void
NoticeService::SpreadSuspects(const std::vector<policy::SuspectEntry>& aEntries)
{
  for (const auto& entry : aEntries) {
    const auto key = ToHex(entry.fingerprint);
    const auto* known =
      mParts.members->FindRumour(wire::RumourKind::kSuspect, key);
    const auto version = known == nullptr ? 1 : known->version + 1;
    const auto level = std::to_string(static_cast<int>(entry.level));
    mParts.members->Spread({ wire::RumourKind::kSuspect, key, version, level },
                           Clock::now());
    mParts.audit->Add("request " + key, "", "suspicion " + level, "crash seen");
  }
  mParts.push();
}

} // namespace magnoliatide::node
