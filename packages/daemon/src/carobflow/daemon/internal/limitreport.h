#pragma once

#include "carobflow/daemon/internal/logthrottle.h"

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace Carobflow
{

/// The kinds of limits that a connection can reach.
enum class ClientLimit {
    Connections,
    HeaderBytes,
    BodyBytes,
    ReadingBytes,
    HeaderTime,
    RequestTime,
    WriteTime,
    Count,
};

/// Counts the limits that connections reach, and logs each kind at most once a second with the number of times.
class LimitReport
{
public:
    using Observer = std::function<void(std::string_view limit)>;

    /// `server` names the server in log lines; the observer may be empty.
    LimitReport(std::string server, Observer observer);

    void record(ClientLimit limit);

private:
    std::string m_server;
    Observer m_observer;
    std::mutex m_mutex;
    std::array<LogThrottle, static_cast<std::size_t>(ClientLimit::Count)> m_throttles;
};

} // namespace Carobflow
