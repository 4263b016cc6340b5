// The settings of one VM process, read from an INI file at startup.
#ifndef MAGNOLIATIDE_DOCUMENT_SETTINGS_H
#define MAGNOLIATIDE_DOCUMENT_SETTINGS_H

#include "magnoliatide/document/document.h"

#include <string>
#include <vector>

namespace magnoliatide::document {

/// A key that authenticates messages between VMs.
struct PeerKey
{
  std::string id;
  std::string secret; ///< Raw bytes, at least 16.
};

/// Times and amounts that the operators' platform guarantees or requires.
struct Bounds
{
  /// From the publication of a configuration until it is active.
  Duration configApply = Seconds(4);
  /// From a server's notice that it leaves until it gets no new calls.
  Duration drainNotice = Seconds(2);
  /// For servers to register again after an outage of the platform.
  Duration returnGrace = Seconds(2);
  // Retry budget of each service in the fleet: in a window, retryRatio retries
  // per request and retrySlack retries in addition.
  double retryRatio = 0.1;
  double retrySlack = 20;
  Duration retryWindow = Seconds(10);
  Duration quotaWindow = Seconds(8);
  double quotaOverage = 0; ///< Fraction by which a quota may be exceeded.
  double quotaSlack = 0;   ///< Units by which it may be exceeded in addition.
  // A cold server may get, in any second, coldOverage times the requests that
  // it tolerates and coldSlack in addition, from all VMs together.
  double coldOverage = 1;
  double coldSlack = 0;
  Duration promptReuse = Seconds(10); ///< Reuse window of a prompt's KV cache.
  /// For an event of a stream to pass through the VM.
  Duration relayDelay = Milliseconds(120);
};

/// Parsed and validated settings.
struct Settings
{
  std::string slot; ///< "zone/name", as in the document's [vms] section.
  std::string environment;
  // Each address is kept twice: as written, in a member with "Text", and
  // parsed.
  std::string callerAddressText;
  std::string peerAddressText;
  std::string adminAddressText;
  Endpoint callerAddress;
  Endpoint peerAddress;     ///< UDP and TCP, as other VMs reach this one.
  std::string peerBindText; ///< Listening address; empty: peerAddress.
  Endpoint peerBind;
  Endpoint adminAddress;
  std::string readyAddressText;
  Endpoint readyAddress; ///< For the load balancer's readiness checks.
  std::string metricsAddressText;
  Endpoint metricsAddress; ///< Serves metrics without a token.
  /// Number of threads that serve callers. Not used with "metadata-store".
  int threads = 2;
  double processorShare = 1; ///< Fraction of a processor that the VM may use.
  int memoryMegabytes = 0;   ///< That the process may use; 0: not limited.
  int maxFiles = 0; ///< File descriptors that it may use; 0: not limited.
  /// "registry" for the platform of this project, or "metadata-store".
  std::string platformKind = "registry";
  std::string platformAddressText;
  Endpoint platformAddress;
  std::vector<std::string> peerKeyTexts;
  std::vector<PeerKey> peerKeys; ///< The first one signs; all verify.
  std::vector<std::string> seedTexts;
  std::vector<Endpoint> seeds;
  /// SHA-256 of the operators' token, hexadecimal.
  std::string adminTokenDigest;
  std::string logLevel = "info";
  std::string selectionPolicy = "predicted";
  std::string queueDiscipline = "tiered-fair";
  std::string slotScheme = "lease";
  Duration drainTime = Seconds(60); ///< For requests to end in a planned stop.
  Bounds bounds;

  /// Returns the availability zone: the text of the slot before the slash.
  std::string Zone() const;
};

/// Parses and validates settings.
///
/// @param aSource The name to use in errors.
/// @param aText The INI text.
/// @return The settings, or a FaultList that holds every error.
leaf::result<Settings>
ParseSettings(const std::string& aSource, const std::string& aText);

/// Reads a whole file. Returns a FaultList if it cannot be read.
leaf::result<std::string>
ReadFile(const std::string& aPath);

} // namespace magnoliatide::document

#endif
