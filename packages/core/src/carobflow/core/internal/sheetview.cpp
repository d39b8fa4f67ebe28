#include "carobflow/core/internal/sheetview.h"

#include <algorithm>
#include <utility>

namespace Carobflow
{

SheetView::SheetView(ShardId shard, std::uint32_t shardCount)
    : m_shard(shard)
    , m_shardCount(shardCount)
{
}

bool SheetView::set(SheetVersion version, std::uint64_t rowVersion, std::shared_ptr<const Sheet> sheet)
{
    if (version < m_version || (version == m_version && rowVersion <= m_rowVersion && m_sheet != nullptr)) {
        return false;
    }
    m_version = version;
    m_rowVersion = rowVersion;
    m_sheet = std::move(sheet);
    m_listed.clear();
    if (m_sheet != nullptr) {
        for (const JobSpec &job : m_sheet->jobs) {
            if (shardOf(job.id, m_shardCount) == m_shard) {
                m_listed.emplace(job.id, &job);
            }
        }
    }
    return true;
}

void SheetView::seen(SheetVersion version)
{
    m_newestSeen = std::max(m_newestSeen, version);
}

void SheetView::markOutdated(std::uint64_t rowVersion)
{
    m_outdatedRow = rowVersion;
}

bool SheetView::mayAssign() const
{
    return m_version >= m_newestSeen && m_outdatedRow != m_rowVersion;
}

SheetVersion SheetView::version() const
{
    return m_version;
}

std::uint64_t SheetView::rowVersion() const
{
    return m_rowVersion;
}

const Sheet *SheetView::sheet() const
{
    return m_sheet.get();
}

bool SheetView::isInService(std::string_view dataCentre) const
{
    return m_sheet == nullptr || m_sheet->isInService(dataCentre);
}

const std::map<std::string_view, const JobSpec *> &SheetView::listed() const
{
    return m_listed;
}

} // namespace Carobflow
