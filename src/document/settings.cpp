// Parsing and validation of settings.
#include "magnoliatide/document/settings.h"

#include "magnoliatide/document/ini.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace magnoliatide::document {

namespace {

constexpr std::size_t kMinSecretBytes = 16;

const Field<Settings> kVmFields[] = {
  { "slot", &Settings::slot, true },
  { "environment", &Settings::environment, true },
  { "caller-address", &Settings::callerAddressText, true },
  { "peer-address", &Settings::peerAddressText, true },
  { "peer-bind", &Settings::peerBindText },
  { "admin-address", &Settings::adminAddressText, true },
  { "ready-address", &Settings::readyAddressText },
  { "metrics-address", &Settings::metricsAddressText },
  { "threads", &Settings::threads, false, 1, 64 },
  { "processor-share", &Settings::processorShare },
  { "memory-mb", &Settings::memoryMegabytes, false, 0, 1000000 },
  { "max-files", &Settings::maxFiles, false, 0, 10000000 },
  { "drain-time", &Settings::drainTime, false, 0, 3600 },
};

const Field<Settings> kPlatformFields[] = {
  { "kind", &Settings::platformKind },
  { "address", &Settings::platformAddressText, true },
};

const Field<Bounds> kBoundFields[] = {
  { "config-apply", &Bounds::configApply },
  { "drain-notice", &Bounds::drainNotice },
  { "return-grace", &Bounds::returnGrace },
  { "retry-ratio", &Bounds::retryRatio, false, 0, 1 },
  { "retry-slack", &Bounds::retrySlack },
  { "retry-window", &Bounds::retryWindow },
  { "quota-window", &Bounds::quotaWindow },
  { "quota-overage", &Bounds::quotaOverage },
  { "quota-slack", &Bounds::quotaSlack },
  { "cold-overage", &Bounds::coldOverage, false, 0, 100 },
  { "cold-slack", &Bounds::coldSlack },
  { "prompt-reuse", &Bounds::promptReuse },
  { "relay", &Bounds::relayDelay },
};

const Field<Settings> kPeerFields[] = {
  { "keys", &Settings::peerKeyTexts, true },
  { "seeds", &Settings::seedTexts },
};

const Field<Settings> kAdminFields[] = {
  { "token-digest", &Settings::adminTokenDigest, true },
};

const Field<Settings> kLogFields[] = { { "level", &Settings::logLevel } };

const Field<Settings> kPolicyFields[] = {
  { "choice", &Settings::selectionPolicy },
  { "queue", &Settings::queueDiscipline },
  { "slots", &Settings::slotScheme },
};

/// A key that takes one of a fixed set of values.
struct EnumKey
{
  const char* key;
  std::string Settings::*member;
  std::set<std::string> allowed;
};

const EnumKey kEnumKeys[] = {
  { "log / level", &Settings::logLevel, { "info", "warn", "error", "off" } },
  { "platform / kind",
    &Settings::platformKind,
    { "registry", "metadata-store" } },
  { "policy / choice",
    &Settings::selectionPolicy,
    { "predicted",
      "round-robin",
      "least-outstanding",
      "two-choices",
      "least-own" } },
  { "policy / queue",
    &Settings::queueDiscipline,
    { "tiered-fair", "arrival" } },
  { "policy / slots", &Settings::slotScheme, { "lease", "guess", "static" } },
};

/// A key that holds an address, and the members for its text and its value.
struct AddressKey
{
  const char* key;
  std::string Settings::*text;
  Endpoint Settings::*address;
  bool optional;
};

const AddressKey kAddresses[] = {
  { "vm / caller-address",
    &Settings::callerAddressText,
    &Settings::callerAddress,
    false },
  { "vm / peer-address",
    &Settings::peerAddressText,
    &Settings::peerAddress,
    false },
  { "vm / peer-bind", &Settings::peerBindText, &Settings::peerBind, true },
  { "vm / admin-address",
    &Settings::adminAddressText,
    &Settings::adminAddress,
    false },
  { "vm / ready-address",
    &Settings::readyAddressText,
    &Settings::readyAddress,
    true },
  { "vm / metrics-address",
    &Settings::metricsAddressText,
    &Settings::metricsAddress,
    true },
  { "platform / address",
    &Settings::platformAddressText,
    &Settings::platformAddress,
    false },
};

/// Converts sections to settings and collects every error.
class SettingsParser
{
public:
  explicit SettingsParser(const IniText& aIni)
    : mIni(aIni)
  {
  }

  Settings Run()
  {
    BindUnnamed("vm", kVmFields, mSettings, true);
    BindUnnamed("platform", kPlatformFields, mSettings, true);
    BindUnnamed("peers", kPeerFields, mSettings, true);
    BindUnnamed("admin", kAdminFields, mSettings, true);
    BindUnnamed("log", kLogFields, mSettings, false);
    BindUnnamed("policy", kPolicyFields, mSettings, false);
    BindUnnamed("bounds", kBoundFields, mSettings.bounds, false);
    RefuseUnknownSections();
    CheckEnumKeys();
    CheckAddresses();
    CheckSlot();
    ReadKeys();
    ReadSeeds();
    return std::move(mSettings);
  }

  std::vector<Fault> TakeFaults() { return std::move(mFaults); }

private:
  template<typename T, std::size_t N>
  void BindUnnamed(const char* aTitle,
                   const Field<T> (&aFields)[N],
                   T& aOut,
                   bool aRequired)
  {
    mKnownSections.insert(aTitle);
    for (const auto& section : mIni.sections) {
      if (section.Title() == aTitle) {
        BindSection(mIni.source, section, aFields, aOut, mFaults);
        return;
      }
    }
    if (aRequired) {
      AddFault(FaultKind::kMissing,
               aTitle,
               "the required section is missing",
               std::string("add a section [") + aTitle + "]");
    }
  }

  void RefuseUnknownSections()
  {
    for (const auto& section : mIni.sections) {
      if (mKnownSections.count(section.Title()) == 0) {
        mFaults.push_back({ FaultKind::kUnknownName,
                            mIni.source,
                            section.line,
                            section.Title(),
                            "unknown section",
                            "write one of [vm], [platform], [peers], [admin], "
                            "[log], [policy] or [bounds]" });
      }
    }
  }

  int LineOf(const std::string& aKey) const
  {
    for (const auto& section : mIni.sections) {
      for (const auto& entry : section.entries) {
        if (section.Title() + " / " + entry.key == aKey) {
          return entry.line;
        }
      }
    }
    return 0;
  }

  void AddFault(FaultKind aKind,
                const std::string& aKey,
                std::string aProblem,
                std::string aRemedy)
  {
    mFaults.push_back({ aKind,
                        mIni.source,
                        LineOf(aKey),
                        aKey,
                        std::move(aProblem),
                        std::move(aRemedy) });
  }

  void CheckEnumKeys()
  {
    for (const auto& enumKey : kEnumKeys) {
      const auto& value = mSettings.*enumKey.member;
      if (enumKey.allowed.count(value) > 0) {
        continue;
      }
      std::string names;
      for (const auto& name : enumKey.allowed) {
        names += (names.empty() ? "" : ", ") + name;
      }
      AddFault(FaultKind::kBadValue,
               enumKey.key,
               "\"" + value + "\" is not a known value",
               "write one of: " + names);
    }
  }

  void CheckAddresses()
  {
    for (const auto& address : kAddresses) {
      const auto& text = mSettings.*address.text;
      if (text.empty() && (address.optional || LineOf(address.key) == 0)) {
        continue;
      }
      if (!ParseEndpoint(text, mSettings.*address.address)) {
        AddFault(FaultKind::kBadValue,
                 address.key,
                 "\"" + text + "\" is not an IP address and port",
                 "write IP:PORT, for example 10.0.0.7:8000");
      }
    }
    if (mSettings.peerBindText.empty()) {
      mSettings.peerBind = mSettings.peerAddress;
    }
  }

  void CheckSlot()
  {
    const auto slash = mSettings.slot.find('/');
    const bool wellFormed = slash != std::string::npos && slash > 0 &&
                            slash + 1 < mSettings.slot.size();
    if (!mSettings.slot.empty() && !wellFormed) {
      AddFault(FaultKind::kBadValue,
               "vm / slot",
               "\"" + mSettings.slot + "\" is not the name of a VM slot",
               "write ZONE/NAME, as in the [vms] section of the document");
    }
  }

  void ReadKeys()
  {
    for (const auto& text : mSettings.peerKeyTexts) {
      const auto colon = text.find(':');
      PeerKey key{ text.substr(0, colon),
                   colon == std::string::npos ? "" : text.substr(colon + 1) };
      if (key.id.empty() || key.secret.size() < kMinSecretBytes) {
        AddFault(FaultKind::kBadValue,
                 "peers / keys",
                 "a key has no name or a secret of fewer than 16 characters",
                 "write NAME:SECRET with at least 16 characters in SECRET");
      }
      mSettings.peerKeys.push_back(std::move(key));
    }
  }

  void ReadSeeds()
  {
    for (const auto& text : mSettings.seedTexts) {
      Endpoint seed;
      if (!ParseEndpoint(text, seed)) {
        AddFault(FaultKind::kBadValue,
                 "peers / seeds",
                 "\"" + text + "\" is not an IP address and port",
                 "write IP:PORT of another VM's peer-address");
      }
      mSettings.seeds.push_back(seed);
    }
  }

  const IniText& mIni;
  Settings mSettings;
  std::set<std::string> mKnownSections;
  std::vector<Fault> mFaults;
};

} // namespace

std::string
Settings::Zone() const
{
  return slot.substr(0, slot.find('/'));
}

leaf::result<Settings>
ParseSettings(const std::string& aSource, const std::string& aText)
{
  BOOST_LEAF_AUTO(ini, ReadIni(aSource, aText));
  SettingsParser parser(ini);
  Settings settings = parser.Run();
  auto faults = parser.TakeFaults();
  if (!faults.empty()) {
    return leaf::new_error(FaultList{ std::move(faults) });
  }
  return settings;
}

leaf::result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return leaf::new_error(
      FaultList{ { { FaultKind::kUnreadable,
                     aPath,
                     0,
                     "",
                     "the file cannot be read",
                     "check the path and its permissions" } } });
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace magnoliatide::document
