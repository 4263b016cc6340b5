// Compiles Boost.JSON, which Debian's headers carry as source.
#include <boost/json/src.hpp>
