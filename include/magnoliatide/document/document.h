// The environment document: which backend servers serve which kinds of
// requests, at which tier and for which teams. With the platform kind
// "registry", operators control the running system only through this document.
// With "metadata-store", routing::Table is the configuration.
#ifndef MAGNOLIATIDE_DOCUMENT_DOCUMENT_H
#define MAGNOLIATIDE_DOCUMENT_DOCUMENT_H

#include "magnoliatide/core/fault.h"
#include "magnoliatide/core/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnoliatide::document {

/// A host and a port as written, for example "127.0.0.1:7001".
struct Endpoint
{
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

/// Parses "host:port", where the host is an IP address. Returns whether the
/// text is valid.
bool
ParseEndpoint(std::string_view aText, Endpoint& aOut);

/// Formats an endpoint as "host:port".
std::string
Format(const Endpoint& aEndpoint);

/// A customer of the environment, identified by its bearer tokens.
struct Team
{
  std::string name;
  std::vector<std::string> tokenDigests; ///< SHA-256, hexadecimal.
  double weight = 1;                     ///< Relative share among teams.
  int maxConcurrent = 256;               ///< Requests at one VM at a time.
  double ratePerSecond = 1000;           ///< Requests at one VM.
  double ratePerMinute = 60000;          ///< Requests at one VM.
  std::vector<std::string> environments; ///< Empty: all.
};

/// A kind of request, to which operators assign a tier and a share.
struct Kind
{
  std::string name;
  std::string service;
  std::string tierName;
  int tier = 0; ///< Index in Document::tiers; 0 is the most urgent.
  std::vector<std::string> teams;  ///< "*" admits every team.
  double share = 0;                ///< Guaranteed fraction of its tier, 0 to 1.
  Duration deadline = Seconds(30); ///< Default for requests that set none.
  std::string model;               ///< Default for requests that name none.

  /// Returns whether a team may send requests of this kind.
  bool Admits(const std::string& aTeam) const;
};

enum class ServiceType
{
  kModel, ///< Served by engines.
  kPlain, ///< Served by passing HTTP calls through.
};

struct Service
{
  std::string name;
  std::string typeName;
  ServiceType type = ServiceType::kModel;
  /// Calls that may run more than once, such as "GET /stock" or
  /// "GET /orders/*".
  std::vector<std::string> idempotent;
  int queueLimit = 512; ///< Requests waiting at one VM.
  Duration firstTokenTarget = Milliseconds(400);
  Duration interTokenTarget = Milliseconds(50);

  /// Returns whether a call is declared idempotent.
  bool IsIdempotent(std::string_view aMethod, std::string_view aPath) const;
};

/// A process that runs requests. In a model service it is an engine.
struct BackendServer
{
  std::string name;
  std::string service;
  std::string addressText;
  Endpoint address;
  std::string zone;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::string version;
  std::string role = "mixed";
  int slots = 8;              ///< Initial limit of requests in progress.
  int maxSlots = 64;          ///< Upper bound of the learned limit.
  bool checksFencing = false; ///< Refuses orders of an old generation.
  bool managed = false;       ///< Accepts orders from the system.
  std::vector<std::string> environments; ///< Empty: all.
};

/// Limits for the whole environment.
struct Limits
{
  Duration keyLifetime = std::chrono::hours(1); ///< Of idempotency keys.
  int claimElectors = 5; ///< VM slots that vote on the owner of a key.
  Duration progressBound = Seconds(10); ///< Max time without backend output.
  int readersPerZone = 2; ///< VMs per zone that watch the platform.
};

/// A parsed and validated document. Immutable once parsed.
struct Document
{
  std::string environment;
  std::uint64_t generation = 0;
  std::string origin; ///< Trial document it was promoted from, as
                      ///< "environment:generation:digest"; empty: none.
  std::string digest; ///< SHA-256 of the text.
  std::string text;
  std::vector<std::string> tiers; ///< The most urgent first.
  std::vector<Team> teams;
  std::vector<Kind> kinds;
  std::vector<Service> services;
  std::vector<BackendServer> backends;
  std::vector<std::string> slots; ///< Names of VM slots, as "zone/name".
  /// Set by operators to state that no VM of the environment has run before, so
  /// that no idempotency key can have been claimed yet.
  bool firstStart = false;
  Limits limits;

  /// Maps a token digest to an index in teams.
  std::unordered_map<std::string, std::size_t> teamByToken;

  // These return null if the document has no such name.
  const Team* FindTeam(std::string_view aName) const;
  const Kind* FindKind(std::string_view aName) const;
  const Service* FindService(std::string_view aName) const;
  const BackendServer* FindBackend(std::string_view aName) const;
};

/// Parses and validates a document.
///
/// @param aSource The name to use in errors.
/// @param aText The INI text.
/// @return The document, or a FaultList that holds every error.
leaf::result<Document>
ParseDocument(const std::string& aSource, const std::string& aText);

/// Returns one line of text for each difference between two documents.
std::vector<std::string>
Difference(const Document& aFrom, const Document& aTo);

/// Makes the text of a production document from a trial document.
///
/// @param aTrial The trial document, active in its environment.
/// @param aTarget The name of the target environment.
/// @param aGeneration The generation of the result.
/// @return The text, with its origin recorded.
std::string
PromotedText(const Document& aTrial,
             const std::string& aTarget,
             std::uint64_t aGeneration);

} // namespace magnoliatide::document

#endif
