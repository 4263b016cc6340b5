// A loopback network for fault injection. Each host is reached through a
// forwarder, which identifies the sender by its loopback address.
#ifndef MAGNOLIATIDE_LOAD_NETWORK_H
#define MAGNOLIATIDE_LOAD_NETWORK_H

#include "magnoliatide/document/document.h"

#include <memory>
#include <string>

namespace magnoliatide::load {

/// Treatment of traffic from one group of hosts to another.
enum class LinkMode
{
  kPass, ///< Traffic is forwarded.
  /// Datagrams are dropped. Connections stay open; what is sent on them arrives
  /// when the link passes traffic again, as TCP resends it.
  kSilent,
  kReset, ///< Connections are reset, datagrams dropped.
  kSlow,  ///< Traffic is delayed by kSlowDelay.
};

/// Delay added by kSlow.
constexpr Duration kSlowDelay = Milliseconds(150);

/// Forwards traffic between hosts and can drop, reset or delay it.
class Network
{
public:
  Network();
  ~Network();

  /// Forwards datagrams and connections from an address to a host.
  ///
  /// @param aAddress Address on which the forwarder listens.
  /// @param aHost Address of the host itself.
  /// @param aGroup Group of the host, for example its availability zone. Hosts
  ///     that were not added belong to the group "".
  void AddHost(const document::Endpoint& aAddress,
               const document::Endpoint& aHost,
               const std::string& aGroup);

  /// Sets the treatment of traffic from one group to another, in this direction
  /// only.
  ///
  /// @param aFrom, aTo "*" matches every group except the other argument.
  void SetLinkMode(const std::string& aFrom,
                   const std::string& aTo,
                   LinkMode aMode);

  /// Partitions a group from all others, or reconnects it. Open connections
  /// stay open, and their traffic is dropped.
  void SetPartitioned(const std::string& aGroup, bool aPartitioned);

private:
  struct Core;
  std::unique_ptr<Core> mCore;
};

} // namespace magnoliatide::load

#endif
