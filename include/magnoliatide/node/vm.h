// A VM of the fleet: the server process that `magnoliatide serve` runs.
#ifndef MAGNOLIATIDE_NODE_VM_H
#define MAGNOLIATIDE_NODE_VM_H

#include "magnoliatide/document/settings.h"

#include <memory>
#include <string>

namespace magnoliatide::node {

/// A running VM.
class Vm
{
public:
  virtual ~Vm() = default;

  /// Serves until a stop has begun and the requests in progress have ended or
  /// the drain time has expired.
  virtual void Run() = 0;

  /// Begins a planned stop, which lets requests in progress end within the
  /// drain time. May be called from any thread.
  virtual void BeginStop() = 0;

  /// Applies the settings that may change while the VM runs, which are the
  /// seeds, and ignores the others. May be called from any thread.
  ///
  /// @param aCause Why the settings were reloaded, for the audit trail.
  virtual void Reload(const document::Settings& aSettings,
                      const std::string& aCause) = 0;
};

/// Starts a VM on the platform of this project, the platform kind "registry".
/// Throws std::runtime_error if an address cannot be bound.
std::unique_ptr<Vm>
StartRegistryVm(const document::Settings& aSettings);

/// Starts a VM on the operators' platform, the platform kind "metadata-store".
/// Throws as StartRegistryVm() does.
std::unique_ptr<Vm>
StartMetadataStoreVm(const document::Settings& aSettings);

} // namespace magnoliatide::node

#endif
