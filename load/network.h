// A network between VMs that tests can cut: each VM is reached by the others
// through a forwarder, which knows the sender by its loopback address.
#ifndef MAGNOLIATIDE_LOAD_NETWORK_H
#define MAGNOLIATIDE_LOAD_NETWORK_H

#include "magnoliatide/document/document.h"

#include <memory>
#include <string>

namespace magnoliatide::load {

class Network
{
public:
  Network();
  ~Network();

  /// Forwards datagrams and connections from an address to a VM.
  ///
  /// @param aZone The VM's availability zone.
  void AddVm(const document::Endpoint& aAddress,
             const document::Endpoint& aVm,
             const std::string& aZone);

  /// Cuts a zone off from all others, or joins it to them again. Connections
  /// that are open stay open and go silent.
  void SetCut(const std::string& aZone, bool aCut);

private:
  struct Core;
  std::unique_ptr<Core> mCore;
};

} // namespace magnoliatide::load

#endif
