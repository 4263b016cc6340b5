// Fuzz target for the document parser.
#include "magnoliatide/document/document.h"

#include <cstddef>
#include <cstdint>

extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace magnoliatide;
  const std::string text(reinterpret_cast<const char*>(aData), aSize);
  std::vector<Fault> faults;
  ValueOrFaults([&] { return document::ParseDocument("fuzz", text); }, faults);
  return 0;
}
