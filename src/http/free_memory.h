// Release of the memory of a text.
#ifndef MAGNOLIATIDE_SRC_HTTP_FREE_MEMORY_H
#define MAGNOLIATIDE_SRC_HTTP_FREE_MEMORY_H

#include <string>

namespace magnoliatide::http {

/// Frees the memory of a text. The assignment of an empty one would keep its
/// capacity.
inline void
FreeMemory(std::string& aText)
{
  std::string().swap(aText);
}

} // namespace magnoliatide::http

#endif
