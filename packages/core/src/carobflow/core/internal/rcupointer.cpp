#include "carobflow/core/internal/rcupointer.h"

#include <type_traits>

#include <urcu/urcu-bp.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace Carobflow::Detail
{

namespace
{

struct Deferred {
    rcu_head head{};
    const void *object = nullptr;
    void (*destroy)(const void *) = nullptr;
};
// The callback converts the address of the first member to the address of the structure.
static_assert(std::is_standard_layout_v<Deferred>);

#ifdef __SANITIZE_THREAD__
/// Annotates the ordering that grace periods establish, which the thread sanitizer does not see because liburcu is not
/// instrumented: the end of each read section and each call of deferDestroy() happen before the destruction.
char gracePeriod;
void beforeGracePeriod()
{
    __tsan_release(&gracePeriod);
}
void afterGracePeriod()
{
    __tsan_acquire(&gracePeriod);
}
#else
void beforeGracePeriod()
{
}
void afterGracePeriod()
{
}
#endif

void destroyDeferred(rcu_head *head)
{
    afterGracePeriod();
    const std::unique_ptr<Deferred> deferred(reinterpret_cast<Deferred *>(head));
    deferred->destroy(deferred->object);
}

} // namespace

RcuReadSection::RcuReadSection()
{
    urcu_bp_read_lock();
}

RcuReadSection::~RcuReadSection()
{
    beforeGracePeriod();
    urcu_bp_read_unlock();
}

void deferDestroy(const void *object, void (*destroy)(const void *))
{
    auto deferred = std::make_unique<Deferred>();
    deferred->object = object;
    deferred->destroy = destroy;
    beforeGracePeriod();
    urcu_bp_call_rcu(&deferred.release()->head, destroyDeferred);
}

} // namespace Carobflow::Detail
