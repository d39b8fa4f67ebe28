#pragma once

#include <boost/asio/any_io_executor.hpp>

#include <carobflow.grpc.pb.h>

namespace Carobflow
{

class ClusterView;
class Metrics;
class Routing;
class SheetRepository;

/// Handles announcements from agents and serves sheets.
class EntryService final : public carobflow::EntryService::CallbackService
{
public:
    EntryService(SheetRepository &sheets, ClusterView &cluster, Routing &routing);

    grpc::ServerUnaryReactor *Announce(grpc::CallbackServerContext *context,
                                       const carobflow::AnnounceRequest *request,
                                       carobflow::AnnounceReply *reply) override;
    grpc::ServerUnaryReactor *GetSheet(grpc::CallbackServerContext *context,
                                       const carobflow::GetSheetRequest *request,
                                       carobflow::GetSheetReply *reply) override;

private:
    SheetRepository &m_sheets;
    ClusterView &m_cluster;
    Routing &m_routing;
};

} // namespace Carobflow
