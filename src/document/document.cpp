// Parsing and validation of environment documents.
#include "magnoliatide/document/document.h"

#include "magnoliatide/core/digest.h"
#include "magnoliatide/document/ini.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

namespace magnoliatide::document {

namespace {

bool
IsIpAddress(const std::string& aText)
{
  unsigned char address[sizeof(in6_addr)];
  const auto* text = aText.c_str();
  return aText.find('\0') == std::string::npos &&
         (::inet_pton(AF_INET, text, address) == 1 ||
          ::inet_pton(AF_INET6, text, address) == 1);
}

struct EnvironmentKeys
{
  std::string name;
  std::uint64_t generation = 0;
  std::string origin;
};

struct TierKeys
{
  std::vector<std::string> names;
};

struct VmKeys
{
  std::vector<std::string> slots;
  bool firstStart = false;
};

const Field<EnvironmentKeys> kEnvironmentFields[] = {
  { "name", &EnvironmentKeys::name, true },
  { "generation", &EnvironmentKeys::generation, true, 1 },
  { "origin", &EnvironmentKeys::origin },
};

const Field<TierKeys> kTierFields[] = { { "names", &TierKeys::names, true } };

const Field<VmKeys> kVmFields[] = {
  { "slots", &VmKeys::slots, true },
  { "first-start", &VmKeys::firstStart },
};

const Field<Team> kTeamFields[] = {
  { "token-digest", &Team::tokenDigests, true },
  { "weight", &Team::weight, false, 0.01, 1000 },
  { "max-concurrent", &Team::maxConcurrent, false, 1, 100000 },
  { "rate-per-second", &Team::ratePerSecond, false, 0.1, 1e6 },
  { "rate-per-minute", &Team::ratePerMinute, false, 1, 6e7 },
  { "environments", &Team::environments },
};

const Field<Kind> kKindFields[] = {
  { "service", &Kind::service, true },
  { "tier", &Kind::tierName, true },
  { "teams", &Kind::teams, true },
  { "share", &Kind::share, false, 0, 1 },
  { "deadline", &Kind::deadline, false, 0.05, 600 },
  { "model", &Kind::model },
};

const Field<Service> kServiceFields[] = {
  { "type", &Service::typeName, true },
  { "idempotent", &Service::idempotent },
  { "queue-limit", &Service::queueLimit, false, 1, 100000 },
  { "first-token-target", &Service::firstTokenTarget, false, 0.01, 60 },
  { "inter-token-target", &Service::interTokenTarget, false, 0.001, 10 },
};

const Field<BackendServer> kBackendFields[] = {
  { "service", &BackendServer::service, true },
  { "address", &BackendServer::addressText, true },
  { "zone", &BackendServer::zone, true },
  { "models", &BackendServer::models },
  { "adapters", &BackendServer::adapters },
  { "version", &BackendServer::version },
  { "role", &BackendServer::role },
  { "slots", &BackendServer::slots, false, 1, 1024 },
  { "max-slots", &BackendServer::maxSlots, false, 1, 4096 },
  { "checks-fencing", &BackendServer::checksFencing },
  { "managed", &BackendServer::managed },
  { "environments", &BackendServer::environments },
};

const Field<Limits> kLimitFields[] = {
  { "key-lifetime", &Limits::keyLifetime, false, 10, 86400 },
  { "claim-electors", &Limits::claimElectors, false, 1, 9 },
  { "progress-bound", &Limits::progressBound, false, 0.2, 120 },
  { "readers-per-zone", &Limits::readersPerZone, false, 1, 16 },
};

bool
InEnvironment(const std::vector<std::string>& aNames,
              const std::string& aEnvironment)
{
  return aNames.empty() ||
         std::find(aNames.begin(), aNames.end(), aEnvironment) != aNames.end();
}

/// Converts sections to a document and collects every error.
class Parser
{
public:
  explicit Parser(const IniText& aIni)
    : mIni(aIni)
  {
  }

  Document Run()
  {
    ReadUnnamedSections();
    ReadNamedSections();
    CheckKinds();
    CheckBackends();
    CheckSlots();
    IndexTokens();
    return std::move(mDocument);
  }

  std::vector<Fault> TakeFaults() { return std::move(mFaults); }

private:
  template<typename T, std::size_t N>
  T Bind(const IniSection& aSection, const Field<T> (&aFields)[N])
  {
    T value;
    BindSection(mIni.source, aSection, aFields, value, mFaults);
    return value;
  }

  template<typename T, std::size_t N>
  T BindUnnamed(const char* aType, const Field<T> (&aFields)[N], bool aRequired)
  {
    for (const auto& section : mIni.sections) {
      if (section.type == aType && section.name.empty()) {
        return Bind(section, aFields);
      }
    }
    if (aRequired) {
      mFaults.push_back({ FaultKind::kMissing,
                          mIni.source,
                          0,
                          aType,
                          "the required section is missing",
                          std::string("add a section [") + aType + "]" });
    }
    return T{};
  }

  template<typename T, std::size_t N>
  T BindNamed(const IniSection& aSection, const Field<T> (&aFields)[N])
  {
    if (aSection.name.empty()) {
      AddFault(FaultKind::kMissing,
               aSection,
               "",
               "the section has no name",
               "write [" + aSection.type + " NAME]");
    }
    T value = Bind(aSection, aFields);
    value.name = aSection.name;
    return value;
  }

  void AddFault(FaultKind aKind,
                const IniSection& aSection,
                const std::string& aKey,
                std::string aProblem,
                std::string aRemedy)
  {
    int line = aSection.line;
    for (const auto& entry : aSection.entries) {
      line = entry.key == aKey ? entry.line : line;
    }
    const auto key =
      aKey.empty() ? aSection.Title() : aSection.Title() + " / " + aKey;
    mFaults.push_back({ aKind,
                        mIni.source,
                        line,
                        key,
                        std::move(aProblem),
                        std::move(aRemedy) });
  }

  /// Returns an empty section if there is no such section.
  const IniSection& FindSection(const char* aType,
                                const std::string& aName) const
  {
    static const IniSection kNoSection;
    for (const auto& section : mIni.sections) {
      if (section.type == aType && section.name == aName) {
        return section;
      }
    }
    return kNoSection;
  }

  void ReadUnnamedSections()
  {
    auto environment = BindUnnamed("environment", kEnvironmentFields, true);
    mDocument.environment = environment.name;
    mDocument.generation = environment.generation;
    mDocument.origin = environment.origin;
    mDocument.tiers = BindUnnamed("tiers", kTierFields, true).names;
    const auto vms = BindUnnamed("vms", kVmFields, true);
    mDocument.slots = vms.slots;
    mDocument.firstStart = vms.firstStart;
    mDocument.limits = BindUnnamed("limits", kLimitFields, false);
  }

  void ReadNamedSections()
  {
    static const std::set<std::string> kUnnamedSections = {
      "environment", "tiers", "vms", "limits"
    };
    for (const auto& section : mIni.sections) {
      if (section.type == "team") {
        ReadTeam(section);
      } else if (section.type == "kind") {
        mDocument.kinds.push_back(BindNamed(section, kKindFields));
      } else if (section.type == "service") {
        ReadService(section);
      } else if (section.type == "backend" || section.type == "engine") {
        ReadBackend(section);
      } else if (kUnnamedSections.count(section.Title()) == 0) {
        AddFault(FaultKind::kUnknownName,
                 section,
                 "",
                 "unknown section",
                 "write one of [environment], [tiers], [vms], [limits], "
                 "[team NAME], [kind NAME], [service NAME], [engine NAME] or "
                 "[backend NAME]");
      }
    }
  }

  void ReadTeam(const IniSection& aSection)
  {
    Team team = BindNamed(aSection, kTeamFields);
    for (const auto& digest : team.tokenDigests) {
      const bool hex =
        digest.find_first_not_of("0123456789abcdef") == std::string::npos;
      if (!hex || digest.size() != 64) {
        AddFault(FaultKind::kBadValue,
                 aSection,
                 "token-digest",
                 "a value is not a SHA-256 digest",
                 "write the 64 lower-case hexadecimal digits that "
                 "'printf %s TOKEN | sha256sum' prints");
      }
    }
    if (InEnvironment(team.environments, mDocument.environment)) {
      mDocument.teams.push_back(std::move(team));
    }
  }

  void ReadService(const IniSection& aSection)
  {
    Service service = BindNamed(aSection, kServiceFields);
    if (service.typeName == "plain") {
      service.type = ServiceType::kPlain;
    } else if (service.typeName != "model") {
      AddFault(FaultKind::kBadValue,
               aSection,
               "type",
               "the type of service is neither model nor plain",
               "write model or plain");
    }
    mDocument.services.push_back(std::move(service));
  }

  void ReadBackend(const IniSection& aSection)
  {
    BackendServer backend = BindNamed(aSection, kBackendFields);
    if (!ParseEndpoint(backend.addressText, backend.address)) {
      AddFault(FaultKind::kBadValue,
               aSection,
               "address",
               "the value is not an IP address and port",
               "write IP:PORT, for example 10.0.0.7:8000");
    }
    if (backend.maxSlots < backend.slots) {
      AddFault(FaultKind::kConflict,
               aSection,
               "max-slots",
               "max-slots is lower than slots",
               "raise max-slots or lower slots");
    }
    if (InEnvironment(backend.environments, mDocument.environment)) {
      mDocument.backends.push_back(std::move(backend));
    }
  }

  void CheckKinds()
  {
    for (auto& kind : mDocument.kinds) {
      const auto& section = FindSection("kind", kind.name);
      const auto& tiers = mDocument.tiers;
      const auto tier = std::find(tiers.begin(), tiers.end(), kind.tierName);
      kind.tier = static_cast<int>(tier - tiers.begin());
      if (tier == tiers.end()) {
        AddUnknownReferenceFault(
          section, "tier", kind.tierName, "[tiers] / names");
      }
      if (mDocument.FindService(kind.service) == nullptr) {
        AddUnknownReferenceFault(
          section, "service", kind.service, "a [service]");
      }
      for (const auto& team : kind.teams) {
        if (team != "*" && !TeamIsDeclared(team)) {
          AddUnknownReferenceFault(section, "teams", team, "a [team]");
        }
      }
    }
    CheckShares();
  }

  /// Includes teams of other environments, which mDocument does not hold.
  bool TeamIsDeclared(const std::string& aName) const
  {
    return FindSection("team", aName).type == "team";
  }

  void CheckShares()
  {
    for (const auto& kind : mDocument.kinds) {
      double sum = 0;
      for (const auto& other : mDocument.kinds) {
        const bool same =
          other.service == kind.service && other.tier == kind.tier;
        sum += same ? other.share : 0;
      }
      // Allows for rounding errors of the sum.
      if (sum > 1.0001) {
        AddFault(FaultKind::kConflict,
                 FindSection("kind", kind.name),
                 "share",
                 "the shares of all kinds of this tier and service exceed "
                 "100%",
                 "lower the share of one or more of these kinds");
      }
    }
  }

  void CheckBackends()
  {
    std::set<std::string> addresses;
    for (const auto& backend : mDocument.backends) {
      const auto& section = BackendSection(backend.name);
      if (mDocument.FindService(backend.service) == nullptr) {
        AddUnknownReferenceFault(
          section, "service", backend.service, "a [service]");
      }
      if (!addresses.insert(backend.addressText).second) {
        AddFault(FaultKind::kConflict,
                 section,
                 "address",
                 "another backend server has the same address",
                 "give each backend server an address of its own");
      }
    }
  }

  const IniSection& BackendSection(const std::string& aName) const
  {
    const auto& engine = FindSection("engine", aName);
    return engine.type.empty() ? FindSection("backend", aName) : engine;
  }

  void CheckSlots()
  {
    const auto& section = FindSection("vms", "");
    std::set<std::string> seen;
    for (const auto& slot : mDocument.slots) {
      const auto slash = slot.find('/');
      const bool wellFormed =
        slash != std::string::npos && slash > 0 && slash + 1 < slot.size();
      if (!wellFormed) {
        AddFault(FaultKind::kBadValue,
                 section,
                 "slots",
                 "\"" + slot + "\" is not the name of a VM slot",
                 "write ZONE/NAME, for example a/1");
      }
      if (!seen.insert(slot).second) {
        AddFault(FaultKind::kConflict,
                 section,
                 "slots",
                 "\"" + slot + "\" is listed twice",
                 "list each slot once");
      }
    }
  }

  void AddUnknownReferenceFault(const IniSection& aSection,
                                const char* aKey,
                                const std::string& aName,
                                const char* aWhere)
  {
    AddFault(FaultKind::kUnknownName,
             aSection,
             aKey,
             "\"" + aName + "\" is not declared",
             std::string("declare it in ") + aWhere + ", or correct the name");
  }

  void IndexTokens()
  {
    for (std::size_t i = 0; i < mDocument.teams.size(); ++i) {
      for (const auto& digest : mDocument.teams[i].tokenDigests) {
        if (mDocument.teamByToken.emplace(digest, i).second) {
          continue;
        }
        AddFault(FaultKind::kConflict,
                 FindSection("team", mDocument.teams[i].name),
                 "token-digest",
                 "a token is listed twice, in this or another team",
                 "list each token once, in one team only");
      }
    }
  }

  const IniText& mIni;
  Document mDocument;
  std::vector<Fault> mFaults;
};

template<typename T>
const T*
FindByName(const std::vector<T>& aItems, std::string_view aName)
{
  for (const auto& item : aItems) {
    if (item.name == aName) {
      return &item;
    }
  }
  return nullptr;
}

} // namespace

bool
ParseEndpoint(std::string_view aText, Endpoint& aOut)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return false;
  }
  const auto port = aText.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [stop, error] = std::from_chars(port.data(), end, aOut.port);
  aOut.host = std::string(aText.substr(0, colon));
  return error == std::errc() && stop == end && aOut.port != 0 &&
         IsIpAddress(aOut.host);
}

std::string
Format(const Endpoint& aEndpoint)
{
  return aEndpoint.host + ":" + std::to_string(aEndpoint.port);
}

bool
Kind::Admits(const std::string& aTeam) const
{
  return std::any_of(teams.begin(), teams.end(), [&](const auto& aName) {
    return aName == "*" || aName == aTeam;
  });
}

bool
Service::IsIdempotent(std::string_view aMethod, std::string_view aPath) const
{
  const auto path = aPath.substr(0, aPath.find('?'));
  const std::string call = std::string(aMethod) + " " + std::string(path);
  for (const auto& pattern : idempotent) {
    if (pattern.ends_with('*')
          ? call.starts_with(pattern.substr(0, pattern.size() - 1))
          : call == pattern) {
      return true;
    }
  }
  return false;
}

const Team*
Document::FindTeam(std::string_view aName) const
{
  return FindByName(teams, aName);
}

const Kind*
Document::FindKind(std::string_view aName) const
{
  return FindByName(kinds, aName);
}

const Service*
Document::FindService(std::string_view aName) const
{
  return FindByName(services, aName);
}

const BackendServer*
Document::FindBackend(std::string_view aName) const
{
  return FindByName(backends, aName);
}

leaf::result<Document>
ParseDocument(const std::string& aSource, const std::string& aText)
{
  BOOST_LEAF_AUTO(ini, ReadIni(aSource, aText));
  Parser parser(ini);
  Document document = parser.Run();
  auto faults = parser.TakeFaults();
  if (!faults.empty()) {
    return leaf::new_error(FaultList{ std::move(faults) });
  }
  document.digest = Sha256Hex(aText);
  document.text = aText;
  return document;
}

} // namespace magnoliatide::document
