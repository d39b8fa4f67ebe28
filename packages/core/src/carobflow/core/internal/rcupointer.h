#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace Carobflow
{

namespace Detail
{

/// A read-side critical section of liburcu. Sections may be nested, and entering one never blocks.
class RcuReadSection
{
public:
    RcuReadSection();
    ~RcuReadSection();
    RcuReadSection(const RcuReadSection &) = delete;
    RcuReadSection &operator=(const RcuReadSection &) = delete;
};

/// Calls destroy(object) on a background thread after the current read sections have ended. Does not block.
void deferDestroy(const void *object, void (*destroy)(const void *));

} // namespace Detail

/// Owns an immutable object that writers can replace while readers use it. Readers never block. A replaced object is
/// destroyed in the background, so that writers do not wait for readers.
template<typename T>
class RcuPointer
{
public:
    explicit RcuPointer(std::unique_ptr<const T> initial)
        : m_current(initial.release())
    {
    }

    /// No reader may be active.
    ~RcuPointer()
    {
        delete m_current.load();
    }

    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    /// Calls the function with the current object, which stays valid until the function returns.
    template<typename Function>
    auto read(Function &&function) const
    {
        const Detail::RcuReadSection section;
        return std::forward<Function>(function)(*m_current.load(std::memory_order_acquire));
    }

    /// Publishes a new object. Every read() that starts after the return uses it or a later one.
    void replace(std::unique_ptr<const T> next)
    {
        const T *previous = m_current.exchange(next.release());
        Detail::deferDestroy(previous, [](const void *object) { delete static_cast<const T *>(object); });
    }

private:
    std::atomic<const T *> m_current;
};

} // namespace Carobflow
