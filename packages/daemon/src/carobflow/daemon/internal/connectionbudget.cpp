#include "carobflow/daemon/internal/connectionbudget.h"

namespace Carobflow
{

ConnectionBudget::ConnectionBudget(std::uint64_t limit)
    : m_limit(limit)
{
}

std::uint64_t ConnectionBudget::held() const
{
    return m_held;
}

ConnectionBudget::Share::Share(ConnectionBudget &budget)
    : m_budget(budget)
{
}

ConnectionBudget::Share::~Share()
{
    m_budget.m_held -= m_bytes;
}

bool ConnectionBudget::Share::resize(std::uint64_t bytes)
{
    if (bytes > m_bytes) {
        const std::uint64_t more = bytes - m_bytes;
        std::uint64_t held = m_budget.m_held;
        do {
            if (held + more > m_budget.m_limit) {
                return false;
            }
        } while (!m_budget.m_held.compare_exchange_weak(held, held + more));
    } else {
        m_budget.m_held -= m_bytes - bytes;
    }
    m_bytes = bytes;
    return true;
}

} // namespace Carobflow
