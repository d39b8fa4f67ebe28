#include "carobflow/core/invariant.h"

#include <cstdlib>
#include <iostream>

namespace Carobflow
{

void invariantViolated(std::string_view name, std::string_view detail)
{
    std::cerr << "event=invariant-violated name=" << name << " detail=\"" << detail << "\"" << std::endl;
    std::abort();
}

} // namespace Carobflow
