// Read-copy-update with liburcu. ThreadSanitizer does not see the ordering that
// this library guarantees, so annotations declare it here.
#include "magnoliatide/core/rcu_cell.h"

#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void
__tsan_acquire(void* aAddress);
extern "C" void
__tsan_release(void* aAddress);
#define MAGNOLIATIDE_ACQUIRE(aCell) __tsan_acquire(const_cast<void*>(aCell))
#define MAGNOLIATIDE_RELEASE(aCell) __tsan_release(const_cast<void*>(aCell))
#else
#define MAGNOLIATIDE_ACQUIRE(aCell) static_cast<void>(aCell)
#define MAGNOLIATIDE_RELEASE(aCell) static_cast<void>(aCell)
#endif

namespace magnoliatide::detail {

void
RcuReadLock()
{
  urcu_bp_read_lock();
}

void
RcuReadUnlock(const void* aCell)
{
  MAGNOLIATIDE_RELEASE(aCell);
  urcu_bp_read_unlock();
}

void
RcuSynchronize(const void* aCell)
{
  urcu_bp_synchronize_rcu();
  MAGNOLIATIDE_ACQUIRE(aCell);
}

void*
RcuExchange(void** aLocation, void* aNew)
{
  return __atomic_exchange_n(aLocation, aNew, __ATOMIC_ACQ_REL);
}

void*
RcuLoad(void* const* aLocation)
{
  return __atomic_load_n(aLocation, __ATOMIC_ACQUIRE);
}

} // namespace magnoliatide::detail
