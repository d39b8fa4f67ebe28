#include "carobflow/scheduler/candidacy.h"

namespace Carobflow::Scheduling
{

void Candidacy::onRow(std::uint64_t version, Vacancy vacancy, TimePoint now)
{
    if (!m_known || version != m_version) {
        m_unchangedSince = now;
    }
    m_known = true;
    m_version = version;
    m_vacancy = vacancy;
    m_readAt = now;
}

void Candidacy::onStoreUnavailable()
{
    m_known = false;
}

bool Candidacy::shouldTakeOver(TimePoint now) const
{
    if (!m_known || now < m_notBefore || now - m_readAt > m_options.maxRowAge) {
        return false;
    }
    Milliseconds timeout = m_options.renewalTimeout;
    if (m_vacancy == Vacancy::LeftToOthers) {
        timeout = m_options.yieldTime;
    } else if (m_version == 0 || m_vacancy == Vacancy::Vacant) {
        timeout = Milliseconds(0);
    }
    return m_readAt - m_unchangedSince >= timeout && now - m_unchangedSince >= timeout + m_options.delay;
}

} // namespace Carobflow::Scheduling
