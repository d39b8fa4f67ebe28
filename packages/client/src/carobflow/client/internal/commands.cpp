#include "carobflow/client/internal/commands.h"

#include "carobflow/client/burnpage.h"
#include "carobflow/core/sheet.h"

#include <charconv>
#include <chrono>
#include <fstream>
#include <ostream>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace Carobflow
{

namespace
{

namespace Json = boost::json;
using JsonView::Column;
using Verb = boost::beast::http::verb;

constexpr std::array<Column, 4> HistoryColumns{{
    {"VERSION", "version"},
    {"ACCEPTED", "acceptedUnixSeconds", JsonView::unixTime},
    {"AUTHOR", "author"},
    {"DIGEST", "digest"},
}};
constexpr std::array<Column, 11> JobColumns{{
    {"ID", "id"},
    {"TEAM", "team"},
    {"CLASS", "jobClass"},
    {"KIND", "kind"},
    {"STATE", "state"},
    {"HOST", "host"},
    {"PROGRESS", "progress", JsonView::percent},
    {"SLACK_S", "slackSeconds"},
    {"DEADLINE", "deadlineUnixSeconds", JsonView::unixTime},
    {"EVICTIONS", "evictions"},
    {"REASON", "reason"},
}};
constexpr std::array<Column, 3> PlacedJobColumns{{
    {"JOB", "id"},
    {"CLASS", "jobClass"},
    {"STATE", "state"},
}};
constexpr std::array<Column, 11> UpstreamColumns{{
    {"SERVICE", "service"},
    {"HOST", "host"},
    {"DATA_CENTRE", "dataCentre"},
    {"ADDRESS", "address"},
    {"SLOTS", "slots"},
    {"OUTSTANDING", "outstanding"},
    {"LATENCY_MS", "latencyMs"},
    {"IN_SERVICE", "inService"},
    {"LEAVING", "leaving"},
    {"DRAINED", "drained"},
    {"EJECTED", "ejected"},
}};
constexpr std::array<Column, 7> BurnColumns{{
    {"SERVICE", "service"},
    {"OBJECTIVE", "objective"},
    {"TARGET", "targetRatio"},
    {"WINDOW_MIN", "windowMinutes"},
    {"TOTAL", "total"},
    {"BAD", "bad"},
    {"BURN_RATE", "burnRate"},
}};

std::string encoded(std::string_view name)
{
    return boost::urls::encode(name, boost::urls::unreserved_chars);
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    constexpr std::size_t blockBytes = 65536;
    std::string content;
    std::string block(blockBytes, '\0');
    do {
        file.read(block.data(), static_cast<std::streamsize>(block.size()));
        content.append(block, 0, static_cast<std::size_t>(file.gcount()));
    } while (file);
    // Opening a directory succeeds, but reading it fails.
    return file.bad() ? std::nullopt : std::optional(std::move(content));
}

std::int64_t nowUnixSeconds()
{
    return std::chrono::duration_cast<Seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Parses a deadline: seconds since the Unix epoch, or + followed by seconds from now.
std::optional<std::int64_t> parseDeadline(std::string_view text)
{
    const bool relative = text.starts_with('+');
    const std::string_view digits = relative ? text.substr(1) : text;
    std::int64_t seconds = 0;
    const char *const end = digits.data() + digits.size();
    const auto [parsedTo, error] = std::from_chars(digits.data(), end, seconds);
    constexpr std::int64_t most = 100'000'000'000;
    if (error != std::errc() || parsedTo != end || seconds < 1 || seconds > most) {
        return std::nullopt;
    }
    return relative ? nowUnixSeconds() + seconds : seconds;
}

Json::object faultJson(const SheetFault &fault)
{
    return {{"line", fault.line}, {"column", fault.column}, {"message", fault.message}};
}

} // namespace

Commands::Commands(const CommandCall &call, const ClientSettings &settings, std::ostream &out, std::ostream &err)
    : m_exchange(call, settings, out, err)
    , m_call(call)
    , m_settings(settings)
    , m_out(out)
    , m_err(err)
{
}

ExitCode Commands::sheetCheck() const
{
    const std::string &file = m_call.positionals[0];
    const auto content = readFile(file);
    if (!content) {
        return m_exchange.usage("cannot read " + file + "; write the path of a sheet");
    }
    const auto parsed = parseSheet(*content, nowUnixSeconds());
    const auto *faults = std::get_if<std::vector<SheetFault>>(&parsed);
    Json::array list;
    if (faults != nullptr) {
        for (const SheetFault &fault : *faults) {
            list.push_back(faultJson(fault));
        }
    }
    if (m_exchange.has("json")) {
        m_out << Json::serialize(Json::object{{"faults", list}}) << '\n';
    } else {
        for (const Json::value &fault : list) {
            m_out << Exchange::formatFault(file, fault) << '\n';
        }
    }
    if (faults != nullptr) {
        return ExitCode::Failed;
    }
    m_err << file << ": no faults\n";
    return ExitCode::Success;
}

ExitCode Commands::sheetApply() const
{
    const std::string &file = m_call.positionals[0];
    const auto content = readFile(file);
    if (!content) {
        return m_exchange.usage("cannot read " + file + "; write the path of a sheet");
    }
    EntryRequest request{.method = Verb::put, .path = "/v1/sheet", .body = *content};
    request.headers = {{"Content-Type", "text/csv; charset=utf-8"}};
    addSheetHeaders(request);
    return m_exchange.call(
        request, [this](const Json::value &reply) { printVersion(reply); }, file);
}

ExitCode Commands::sheetShow() const
{
    return m_exchange.call({.path = "/v1/sheet"}, [this](const Json::value &reply) {
        // Only the sheet itself goes to `out`, so that it can be redirected into a file and edited.
        m_out << JsonView::plain(JsonView::member(reply, "text"));
        m_err << "version=" << JsonView::plain(JsonView::member(reply, "version"))
              << " digest=" << JsonView::plain(JsonView::member(reply, "digest"))
              << " author=" << printable(JsonView::plain(JsonView::member(reply, "author"))) << '\n';
    });
}

ExitCode Commands::sheetHistory() const
{
    return m_exchange.call({.path = "/v1/sheet/history"}, [this](const Json::value &reply) {
        JsonView::table(reply, "versions", HistoryColumns).print(m_out);
    });
}

ExitCode Commands::dataCentreOut() const
{
    return setDataCentre("out");
}

ExitCode Commands::dataCentreIn() const
{
    return setDataCentre("in");
}

ExitCode Commands::jobSubmit() const
{
    std::int64_t deadlineUnixSeconds = 0;
    if (m_exchange.has("deadline")) {
        const auto deadline = parseDeadline(m_exchange.text("deadline"));
        if (!deadline) {
            return m_exchange.usage("--deadline '" + m_exchange.text("deadline")
                                    + "' is not accepted; write seconds since the Unix epoch, or + and seconds from "
                                      "now, for example +3600");
        }
        deadlineUnixSeconds = *deadline;
    }
    const Json::object job{
        {"id", m_call.positionals[0]},
        {"team", m_exchange.text("team")},
        {"jobClass", m_exchange.text("class")},
        {"kind", "batch"},
        {"urgency", m_exchange.has("urgent") ? "urgent" : "normal"},
        {"cpuMillis", m_exchange.number("cpu-millis")},
        {"memoryMiB", m_exchange.number("memory-mib")},
        {"accelerators", m_exchange.has("accelerators") ? m_exchange.number("accelerators") : 0},
        {"runSeconds", m_exchange.number("run-seconds")},
        {"deadlineUnixSeconds", deadlineUnixSeconds},
    };
    return m_exchange.call({.method = Verb::post,
                            .path = "/v1/jobs",
                            .body = Json::serialize(job),
                            .headers = {{"Content-Type", "application/json"}}},
                           [this](const Json::value &reply) { printJobState(reply); });
}

ExitCode Commands::jobCancel() const
{
    return m_exchange.call({.method = Verb::delete_, .path = "/v1/jobs/" + encoded(m_call.positionals[0])},
                           [this](const Json::value &reply) { printJobState(reply); });
}

ExitCode Commands::jobStatus() const
{
    if (m_call.positionals.empty()) {
        return m_exchange.call({.path = "/v1/jobs"}, [this](const Json::value &reply) {
            JsonView::table(reply, "jobs", JobColumns).print(m_out);
        });
    }
    return m_exchange.call({.path = "/v1/jobs/" + encoded(m_call.positionals[0])}, [this](const Json::value &reply) {
        TextTable fields({"FIELD", "VALUE"});
        const auto addField = [&](std::string_view title, const std::string &value) {
            fields.addRow({std::string(title), value});
        };
        for (const Column &column : JobColumns) {
            addField(column.title, column.format(JsonView::member(reply, column.key)));
        }
        addField("FENCE", JsonView::plain(JsonView::member(reply, "fence")));
        addField("RESULT", JsonView::plain(JsonView::member(reply, "result")));
        fields.print(m_out);
    });
}

ExitCode Commands::upstreamList() const
{
    return m_exchange.call({.path = "/v1/upstreams"}, [this](const Json::value &reply) {
        JsonView::table(reply, "upstreams", UpstreamColumns).print(m_out);
    });
}

ExitCode Commands::upstreamDrain() const
{
    const bool end = m_exchange.has("end");
    return m_exchange.call({.method = end ? Verb::delete_ : Verb::post,
                            .path = "/v1/upstreams/" + encoded(m_call.positionals[0]) + "/drain"},
                           [this, end](const Json::value & /*reply*/) {
                               m_out << m_call.positionals[0] << (end ? ": the drain has ended\n" : ": drained\n");
                           });
}

ExitCode Commands::reportBurn() const
{
    const auto fetched = m_exchange.fetch({.path = "/v1/report/burn"});
    if (const auto *failure = std::get_if<ExitCode>(&fetched)) {
        return *failure;
    }
    const auto &reply = std::get<Json::value>(fetched);
    if (m_exchange.has("html")) {
        std::vector<BurnRow> rows;
        for (const Json::value &row : JsonView::elements(reply, "rows")) {
            auto parsed = Json::try_value_to<BurnRow>(row);
            if (!parsed) {
                m_err << "the reply does not have the expected format (" << parsed.error().message()
                      << "); use a client of the same version as the entry\n";
                return ExitCode::Failed;
            }
            rows.push_back(std::move(*parsed));
        }
        std::ofstream page(m_exchange.text("html"), std::ios::binary);
        page << burnPage(rows, JsonView::unixTime(nowUnixSeconds()));
        page.close();
        if (!page) {
            return m_exchange.usage("cannot write " + m_exchange.text("html")
                                    + "; write a path in a writable directory");
        }
    }
    if (!m_exchange.has("json")) {
        JsonView::table(reply, "rows", BurnColumns).print(m_out);
    }
    return ExitCode::Success;
}

ExitCode Commands::reportJobs() const
{
    return m_exchange.call({.path = "/v1/report/jobs"}, [this](const Json::value &reply) {
        auto titles = JsonView::titles(JobColumns);
        titles.insert(titles.begin(), "ATTENTION");
        TextTable table(std::move(titles));
        for (const auto &[key, title] : {std::pair("late", "late"),
                                         std::pair("atRisk", "at-risk"),
                                         std::pair("unrunnable", "unrunnable"),
                                         std::pair("failed", "failed")}) {
            for (const Json::value &job : JsonView::elements(reply, key)) {
                auto cells = JsonView::cells(job, JobColumns);
                cells.insert(cells.begin(), title);
                table.addRow(std::move(cells));
            }
        }
        table.print(m_out);
    });
}

ExitCode Commands::reportPlacement() const
{
    return m_exchange.call({.path = "/v1/report/placement"}, [this](const Json::value &reply) {
        std::vector<std::string> titles{"HOST", "DATA_CENTRE"};
        for (const std::string &title : JsonView::titles(PlacedJobColumns)) {
            titles.push_back(title);
        }
        TextTable table(std::move(titles));
        for (const Json::value &host : JsonView::elements(reply, "hosts")) {
            const std::vector<std::string> hostCells{JsonView::plain(JsonView::member(host, "host")),
                                                     JsonView::plain(JsonView::member(host, "dataCentre"))};
            const auto tasks = JsonView::elements(host, "tasks");
            for (const Json::value &task : tasks) {
                auto cells = JsonView::cells(task, PlacedJobColumns);
                cells.insert(cells.begin(), hostCells.begin(), hostCells.end());
                table.addRow(std::move(cells));
            }
            if (tasks.empty()) {
                table.addRow({hostCells[0], hostCells[1], "", "", ""});
            }
        }
        table.print(m_out);
    });
}

ExitCode Commands::setDataCentre(const std::string &state) const
{
    EntryRequest request{.method = Verb::post,
                         .path = "/v1/datacentres/" + encoded(m_call.positionals[0]) + "/" + state};
    addSheetHeaders(request);
    return m_exchange.call(request, [this](const Json::value &reply) { printVersion(reply); });
}

void Commands::addSheetHeaders(EntryRequest &request) const
{
    if (m_exchange.has("replaces")) {
        request.headers.emplace_back("If-Match", std::to_string(m_exchange.number("replaces")));
    }
    if (!m_settings.author.empty()) {
        request.headers.emplace_back("Carobflow-Author", m_settings.author);
    }
}

void Commands::printVersion(const Json::value &reply) const
{
    m_out << "version=" << JsonView::plain(JsonView::member(reply, "version"))
          << " digest=" << JsonView::plain(JsonView::member(reply, "digest")) << '\n';
}

void Commands::printJobState(const Json::value &reply) const
{
    m_out << printable(JsonView::plain(JsonView::member(reply, "id"))) << ": "
          << printable(JsonView::plain(JsonView::member(reply, "state"))) << '\n';
}

} // namespace Carobflow
