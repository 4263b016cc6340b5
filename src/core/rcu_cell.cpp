// Read-copy-update by liburcu. The thread sanitizer cannot see into that
// library, so the order it gives is told to the sanitizer here.
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
RcuExchange(void** aSlot, void* aNew)
{
  return __atomic_exchange_n(aSlot, aNew, __ATOMIC_ACQ_REL);
}

void*
RcuLoad(void* const* aSlot)
{
  return __atomic_load_n(aSlot, __ATOMIC_ACQUIRE);
}

} // namespace magnoliatide::detail
