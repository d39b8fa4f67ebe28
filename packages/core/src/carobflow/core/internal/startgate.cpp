#include "carobflow/core/internal/startgate.h"

#include <algorithm>

namespace Carobflow
{

StartGate::StartGate(Options options)
    : m_options(options)
{
}

void StartGate::onSheet(TimePoint confirmedAt, SheetVersion version, bool dataCentreInService)
{
    if (m_confirmedAt && version < m_sheetVersion) {
        return;
    }
    m_confirmedAt = m_confirmedAt && version == m_sheetVersion ? std::max(*m_confirmedAt, confirmedAt) : confirmedAt;
    m_sheetVersion = version;
    m_dataCentreInService = dataCentreInService;
}

void StartGate::onGrant(TimePoint until)
{
    m_grantUntil = std::max(m_grantUntil, until);
}

void StartGate::setLeaving()
{
    m_leaving = true;
}

bool StartGate::isGrantValid(TimePoint now) const
{
    return now < m_grantUntil;
}

TimePoint StartGate::grantUntil() const
{
    return m_grantUntil;
}

SheetVersion StartGate::sheetVersion() const
{
    return m_sheetVersion;
}

bool StartGate::isLeaving() const
{
    return m_leaving;
}

StartGate::Verdict StartGate::check(TimePoint now, const Order &order) const
{
    const auto refuse = [](std::string reason) {
        return Verdict{.kind = Verdict::Kind::Refuse, .reason = std::move(reason), .validUntil = {}};
    };
    if (m_leaving) {
        return refuse("the host is leaving");
    }
    if (now - order.decidedAt > m_options.maxStartAge) {
        return refuse("the start order is older than " + std::to_string(m_options.maxStartAge.count()) + " ms");
    }
    if (!isGrantValid(now)) {
        return refuse("the host has no grant");
    }
    if (order.sheetVersion < m_sheetVersion) {
        return refuse("the start order is under sheet version " + std::to_string(order.sheetVersion)
                      + ", the host has version " + std::to_string(m_sheetVersion));
    }
    if (order.sheetVersion > m_sheetVersion) {
        // The newer sheet arrives within about a second; refusing would return every start order after a sheet change.
        return {.kind = Verdict::Kind::Hold, .reason = {}, .validUntil = {}};
    }
    if (!m_confirmedAt || now - *m_confirmedAt > m_options.maxSheetAge) {
        return refuse("the sheet version was not confirmed within " + std::to_string(m_options.maxSheetAge.count())
                      + " ms");
    }
    if (!m_dataCentreInService) {
        return refuse("the data centre is out of service");
    }
    return {.kind = Verdict::Kind::Allow,
            .reason = {},
            .validUntil = std::min(
                {order.decidedAt + m_options.maxStartAge, *m_confirmedAt + m_options.maxSheetAge, m_grantUntil})};
}

} // namespace Carobflow
