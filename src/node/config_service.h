// Keeps the active configuration document. A few VMs of each zone, chosen anew
// after some time, watch the platform for new documents; the others fetch them
// from peers that have a newer one. Runs on the control loop.
#ifndef MAGNOLIATIDE_SRC_NODE_CONFIG_SERVICE_H
#define MAGNOLIATIDE_SRC_NODE_CONFIG_SERVICE_H

#include "peer_link.h"

#include "magnoliatide/core/rcu_cell.h"
#include "magnoliatide/document/active_document.h"
#include "magnoliatide/telemetry/audit.h"
#include "platform/reader.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace magnoliatide::node {

/// Dependencies, settings and callbacks of a ConfigService.
struct ConfigServiceParams
{
  boost::asio::io_context* loop = nullptr;
  PeerLink* link = nullptr;
  telemetry::Metrics* metrics = nullptr;
  telemetry::AuditTrail* audit = nullptr;
  /// Receives each document that becomes active.
  RcuCell<document::Document>* documentCell = nullptr;
  document::Settings settings;
  /// Returns the slots of the live VMs of this zone.
  std::function<std::vector<std::string>()> liveInZone;
  /// Called after a document has become active.
  std::function<void(const document::Document&)> onAccepted;
  /// Called with each list of VMs read from the platform.
  std::function<void(const platform::VmList&)> onVmList;
};

/// Reads, fetches, accepts and serves configuration documents.
class ConfigService
{
public:
  explicit ConfigService(ConfigServiceParams aParams);

  /// Starts to watch the platform.
  void Start();

  /// Records the version of a peer's active document, and fetches it if it
  /// supersedes the active one of this VM.
  void RecordPeerVersion(const std::string& aAddress,
                         const wire::DocumentVersion& aVersion);

  /// Answers a peer's request for the active document. Returns a delta against
  /// the peer's document if this VM recently had the same one, else the
  /// complete text.
  wire::DocumentReply HandleRequest(
    const wire::DocumentRequest& aRequest) const;

  /// Returns the version of the active document.
  wire::DocumentVersion ActiveVersion() const;

private:
  boost::asio::awaitable<void> WatchConfig();
  boost::asio::awaitable<void> WatchVmList();
  boost::asio::awaitable<void> FetchDocument(std::string aAddress);
  boost::asio::awaitable<void> WaitForNextRead();
  boost::asio::awaitable<void> Sleep(Duration aDuration);
  platform::ReaderOptions PlatformReaderOptions() const;

  /// Returns whether this VM is a reader of the platform in its zone. The
  /// readers are chosen by rendezvous hashing.
  bool IsReader() const;

  /// Makes a text the active document if it is valid and supersedes the active
  /// one.
  void Offer(const std::string& aSource, const std::string& aText);
  void AuditOffer(document::OfferResult aResult,
                  const std::string& aSource,
                  const wire::DocumentVersion& aBefore,
                  const std::vector<Fault>& aFaults);

  ConfigServiceParams mParams;
  document::ActiveDocument mActive;
  /// Documents that were active before, the latest last; bases of deltas.
  std::deque<std::shared_ptr<const document::Document>> mFormerDocuments;
  bool mFetching = false;
  /// Short digests of refused documents, which are not fetched again.
  std::set<std::string> mRefusedDigests;
};

/// Returns the first digits of a digest, as sent in the headers of messages.
std::string
ShortDigest(const std::string& aDigest);

} // namespace magnoliatide::node

#endif
