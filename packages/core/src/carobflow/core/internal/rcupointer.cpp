#include "carobflow/core/internal/rcupointer.h"

#include <type_traits>

#include <urcu/urcu-bp.h>

namespace Carobflow::Detail
{

namespace
{

struct Deferred {
    rcu_head head{};
    const void *object = nullptr;
    void (*destroy)(const void *) = nullptr;
};
// The callback gets the address of the first member and turns it into the address of the structure.
static_assert(std::is_standard_layout_v<Deferred>);

void destroyDeferred(rcu_head *head)
{
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
    urcu_bp_read_unlock();
}

void deferDestroy(const void *object, void (*destroy)(const void *))
{
    auto deferred = std::make_unique<Deferred>();
    deferred->object = object;
    deferred->destroy = destroy;
    urcu_bp_call_rcu(&deferred.release()->head, destroyDeferred);
}

} // namespace Carobflow::Detail
