#pragma once

#include <atomic>
#include <cstdint>

namespace Carobflow
{

/// The bytes that the requests of one server may hold together, from their first byte until they are answered.
class ConnectionBudget
{
public:
    explicit ConnectionBudget(std::uint64_t limit);

    [[nodiscard]] std::uint64_t held() const;

    /// The share of one request; it is given back on destruction.
    class Share
    {
    public:
        explicit Share(ConnectionBudget &budget);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /// Changes the share to this many bytes. Returns false, and changes nothing, when the budget does not allow it.
        bool resize(std::uint64_t bytes);

    private:
        ConnectionBudget &m_budget;
        std::uint64_t m_bytes = 0;
    };

private:
    std::uint64_t m_limit;
    std::atomic<std::uint64_t> m_held{0};
};

} // namespace Carobflow
