// Boost.URL is used header-only; this source holds its definitions.
#include <boost/url/src.hpp>
