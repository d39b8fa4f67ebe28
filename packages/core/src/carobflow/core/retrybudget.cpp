#include "carobflow/core/retrybudget.h"

#include <algorithm>

namespace Carobflow
{

RetryBudget::RetryBudget(Options options)
    : m_options(options)
{
}

void RetryBudget::onRequest(std::string_view service)
{
    const std::scoped_lock lock(m_mutex);
    double &tokens = m_tokens.try_emplace(std::string(service), m_options.burst).first->second;
    tokens = std::min(m_options.burst, tokens + m_options.ratio);
}

bool RetryBudget::tryTake(std::string_view service)
{
    const std::scoped_lock lock(m_mutex);
    double &tokens = m_tokens.try_emplace(std::string(service), m_options.burst).first->second;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

} // namespace Carobflow
