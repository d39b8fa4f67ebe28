#include "carobflow/daemon/internal/identifiers.h"

#include <chrono>
#include <random>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace Carobflow
{

std::string randomToken()
{
    return boost::uuids::to_string(boost::uuids::random_generator()());
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::int64_t unixSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace Carobflow
