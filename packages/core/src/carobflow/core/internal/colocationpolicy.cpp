#include "carobflow/core/internal/colocationpolicy.h"

#include <algorithm>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Carobflow
{

namespace
{

constexpr std::uint32_t FullPercent = 100;
/// Separates the state from the learned model in a snapshot object; serialized JSON contains no line breaks.
constexpr char ModelSeparator = '\n';

std::vector<ColocatedTask> runningTasks(const ShardState &state, const HostEntry &host)
{
    std::vector<ColocatedTask> tasks;
    for (const auto &[ref, report] : host.tasks) {
        const JobRecord *job = state.findActive(ref.job, ref.fence);
        if (job != nullptr && job->host == host.info.name && report.state == ReportedState::Running) {
            tasks.push_back({.task = ref, .jobClass = job->spec.jobClass});
        }
    }
    return tasks;
}

} // namespace

ColocationPolicy::ColocationPolicy(bool enabled)
    : m_enabled(enabled)
    , m_learnedState(std::make_unique<LearnedState>())
{
}

void ColocationPolicy::reset()
{
    m_learnedState = std::make_unique<LearnedState>();
    m_sheetVersion = 0;
    m_evictions.clear();
    m_windows.clear();
    m_deferrals = {};
}

void ColocationPolicy::setServices(const SheetView &sheet)
{
    if (sheet.version() != m_sheetVersion && sheet.sheet() != nullptr) {
        m_learnedState->controller.setServices(sheet.sheet()->services);
        m_sheetVersion = sheet.version();
    }
}

void ColocationPolicy::onReport(
    TimePoint now, const ShardState &state, const SheetView &sheet, const HostEntry &host, const HostReport &report)
{
    if (!m_enabled) {
        return;
    }
    if (host.leaving) {
        m_learnedState->controller.forgetHost(host.info.name);
        m_windows.erase(host.info.name);
        return;
    }
    if (report.windows.empty()) {
        return;
    }
    setServices(sheet);
    const std::vector<ColocatedTask> tasks = runningTasks(state, host);
    for (const ServiceWindow &window : report.windows) {
        InterferenceGuide::addWindow(m_windows, now, host.info.name, window);
        for (ColocationDecision &decision : m_learnedState->controller.onWindow(now, host.info.name, window, tasks)) {
            if (decision.kind == ColocationDecision::Kind::Evict) {
                m_evictions.push_back({.task = std::move(decision.task), .reason = std::move(decision.reason)});
            }
        }
    }
}

void ColocationPolicy::addThrottles(const ShardState &state, HostEntry &host, HostOrders &orders) const
{
    if (!m_enabled) {
        return;
    }
    std::erase_if(host.percentsSent, [&host](const auto &sent) { return !host.tasks.contains(sent.first); });
    for (const ColocatedTask &task : runningTasks(state, host)) {
        const std::uint32_t percent = m_learnedState->controller.throttlePercent(host.info.name, task.task);
        const auto sent = host.percentsSent.find(task.task);
        if (percent != (sent == host.percentsSent.end() ? FullPercent : sent->second)) {
            host.percentsSent.insert_or_assign(task.task, percent);
            orders.throttles.push_back({.job = task.task.job, .fence = task.task.fence, .percent = percent});
        }
    }
}

std::vector<ColocationPolicy::Eviction> &ColocationPolicy::evictions()
{
    return m_evictions;
}

const std::vector<ColocationPolicy::Eviction> &ColocationPolicy::evictions() const
{
    return m_evictions;
}

std::uint32_t ColocationPolicy::evictionsLeft(TimePoint now)
{
    return m_enabled ? m_learnedState->controller.evictionsLeft(now) : 0;
}

void ColocationPolicy::countEviction(TimePoint now)
{
    m_learnedState->controller.tryCountEviction(now);
}

std::unique_ptr<PlacementGuide>
ColocationPolicy::makeGuide(TimePoint now, const ShardState &state, const SheetView &sheet)
{
    if (!m_enabled) {
        return nullptr;
    }
    setServices(sheet);
    return std::make_unique<InterferenceGuide>(InterferenceGuide::Inputs{.now = now,
                                                                         .state = state,
                                                                         .sheet = sheet.sheet(),
                                                                         .model = m_learnedState->model,
                                                                         .controller = m_learnedState->controller,
                                                                         .windows = m_windows},
                                               m_deferrals);
}

std::string ColocationPolicy::withModel(std::string snapshot) const
{
    return m_enabled ? std::move(snapshot) + ModelSeparator + boost::json::serialize(m_learnedState->model.toJson())
                     : std::move(snapshot);
}

std::string_view ColocationPolicy::restoreModel(std::string_view bytes)
{
    const std::size_t end = bytes.find(ModelSeparator);
    if (end != std::string_view::npos && m_enabled) {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(bytes.substr(end + 1), error);
        if (!error) {
            // A model from an incompatible version is discarded, and learning starts from the prior.
            (void)m_learnedState->model.restore(value);
        }
    }
    return bytes.substr(0, end);
}

} // namespace Carobflow
