// A network of loopback addresses that tests can harm: each host is reached
// through a forwarder, which knows who calls by its loopback address.
#ifndef MAGNOLIATIDE_LOAD_NETWORK_H
#define MAGNOLIATIDE_LOAD_NETWORK_H

#include "magnoliatide/document/document.h"

#include <memory>
#include <string>

namespace magnoliatide::load {

/// What becomes of bytes on their way from one group of hosts to another.
enum class Way
{
  kPass,
  kSilent, ///< They are lost; connections stay open.
  kReset,  ///< Connections are reset, datagrams lost.
  kSlow,   ///< They arrive kSlowTime later.
};

/// The delay of a slow way.
constexpr Duration kSlowTime = Milliseconds(150);

class Network
{
public:
  Network();
  ~Network();

  /// Forwards datagrams and connections from an address to a host.
  ///
  /// @param aGroup Of the host, for example its availability zone. Hosts that
  ///     were not added are of the group "".
  void AddHost(const document::Endpoint& aAddress,
               const document::Endpoint& aHost,
               const std::string& aGroup);

  /// Sets the way from one group to another, not back.
  ///
  /// @param aFrom, aTo "*" stands for all groups but the other one.
  void SetWay(const std::string& aFrom, const std::string& aTo, Way aWay);

  /// Cuts a group off from all others, or joins it to them again. Connections
  /// that are open stay open and go silent.
  void SetCut(const std::string& aGroup, bool aCut);

private:
  struct Core;
  std::unique_ptr<Core> mCore;
};

} // namespace magnoliatide::load

#endif
