// Compiles Boost.JSON, which Debian ships as source in its headers.
#include <boost/json/src.hpp>
