#include "carobflow/daemon/entryservice.h"

#include "carobflow/core/routing.h"
#include "carobflow/daemon/clusterview.h"
#include "carobflow/daemon/protocolconversion.h"
#include "carobflow/daemon/sheetrepository.h"

#include <algorithm>
#include <optional>

namespace Carobflow
{
namespace
{

std::uint64_t ageMilliseconds(TimePoint now, std::optional<TimePoint> confirmedAt)
{
    constexpr std::uint64_t neverConfirmed = std::uint64_t{1} << 40U;
    // A read sent after `now` was sampled has age zero.
    return confirmedAt ? static_cast<std::uint64_t>(
               std::max<std::int64_t>(0, std::chrono::ceil<Milliseconds>(now - *confirmedAt).count()))
                       : neverConfirmed;
}

} // namespace

EntryService::EntryService(SheetRepository &sheets, ClusterView &cluster, Routing &routing)
    : m_sheets(sheets)
    , m_cluster(cluster)
    , m_routing(routing)
{
}

grpc::ServerUnaryReactor *EntryService::Announce(grpc::CallbackServerContext *context,
                                                 const carobflow::AnnounceRequest *request,
                                                 carobflow::AnnounceReply *reply)
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_routing.onAnnouncement(now, fromMessage(*request));
    m_sheets.recordRemoteVersion(request->sheet_version());
    // The confirmation time is read before the version, so the version is at least as new as the confirmation.
    const auto confirmedAt = m_sheets.confirmedAt();
    if (const auto sheet = m_sheets.current()) {
        reply->set_sheet_version(sheet->version);
        reply->set_sheet_row_version(sheet->rowVersion);
    }
    reply->set_sheet_confirmed_age_ms(ageMilliseconds(now, confirmedAt));
    // The list of entries rarely changes, and sending it in every reply would cost traffic proportional to agents times
    // entries.
    const auto entries = m_cluster.entries();
    reply->set_entries_digest(entries->digest);
    if (entries->digest != request->entries_digest()) {
        for (const EntryMember &member : entries->members) {
            auto *entry = reply->add_entries();
            entry->set_name(member.name);
            entry->set_address(member.address);
        }
    }
    if (const auto row = m_cluster.leader(request->shard())) {
        auto *leader = reply->add_leaders();
        leader->set_shard(row->shard);
        leader->set_epoch(row->epoch);
        leader->set_address(row->address);
    }
    const HostDrain drain = m_cluster.drainOf(request->host());
    reply->set_drained(drain.drained);
    reply->set_drained_confirmed_age_ms(ageMilliseconds(now, drain.confirmedAt));
    auto *reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor *EntryService::GetSheet(grpc::CallbackServerContext *context,
                                                 const carobflow::GetSheetRequest *request,
                                                 carobflow::GetSheetReply *reply)
{
    auto *reactor = context->DefaultReactor();
    const auto sheet = m_sheets.current();
    if (!sheet || sheet->version < request->version()) {
        reactor->Finish({grpc::StatusCode::NOT_FOUND, "this entry does not have that version yet"});
        return reactor;
    }
    reply->set_version(sheet->version);
    reply->set_row_version(sheet->rowVersion);
    reply->set_reference_unix_seconds(sheet->referenceUnixSeconds);
    reply->set_text(sheet->text);
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

} // namespace Carobflow
