#include "carobflow/core/sheet.h"

#include <algorithm>

namespace Carobflow
{

const ServiceEntry *Sheet::findService(std::string_view name) const
{
    const auto found = std::ranges::find(services, name, &ServiceEntry::name);
    return found == services.end() ? nullptr : &*found;
}

bool Sheet::isInService(std::string_view dataCentre) const
{
    const auto found = std::ranges::find(dataCentres, dataCentre, &DataCentreEntry::name);
    return found == dataCentres.end() || found->inService;
}

} // namespace Carobflow
