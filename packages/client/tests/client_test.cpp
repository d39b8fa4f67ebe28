#include "carobflow/client/burnpage.h"
#include "carobflow/client/client.h"
#include "carobflow/client/clientsettings.h"
#include "testentry.h"

#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace Carobflow;
using Catch::Contains;

namespace
{

struct Outcome {
    ExitCode exitCode;
    std::string out;
    std::string err;
};

Outcome run(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode exitCode = runClient(arguments, out, err);
    return {.exitCode = exitCode, .out = out.str(), .err = err.str()};
}

// A file that is deleted when the object goes out of scope.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content = {})
    {
        const int descriptor = mkstemp(m_path.data());
        REQUIRE(descriptor >= 0);
        close(descriptor);
        std::ofstream(m_path, std::ios::binary) << content;
    }
    ~TemporaryFile()
    {
        std::remove(m_path.c_str());
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    [[nodiscard]] const std::string &path() const
    {
        return m_path;
    }

    [[nodiscard]] std::string content() const
    {
        std::ostringstream content;
        content << std::ifstream(m_path, std::ios::binary).rdbuf();
        return content.str();
    }

private:
    std::string m_path = "/tmp/carobflow-client-test-XXXXXX";
};

TestEntry::Handler always(unsigned status, const std::string &body, const std::string &outcome = {})
{
    return [=](const TestEntry::Request &) {
        return TestEntry::Reply{.status = status, .body = body, .outcome = outcome};
    };
}

TestEntry::Handler noReply()
{
    return [](const TestEntry::Request &) { return std::nullopt; };
}

const std::vector<std::string> SubmitArguments{"job",
                                               "submit",
                                               "re-seam 1/2",
                                               "--team",
                                               "vá-lều",
                                               "--class",
                                               "re-seam",
                                               "--cpu-millis",
                                               "2000",
                                               "--memory-mib",
                                               "4096",
                                               "--run-seconds",
                                               "60",
                                               "--deadline",
                                               "1796360400"};

std::vector<std::string> with(std::vector<std::string> arguments, const std::vector<std::string> &more)
{
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
}

} // namespace

// Guards against arguments that are silently ignored, which an operator would believe to have taken effect.
TEST_CASE("Wrong arguments end with the usage exit code and an error that names the remedy", "[client]")
{
    struct Row {
        std::vector<std::string> arguments;
        std::string message;
    };
    const auto row = GENERATE(values<Row>({
        {{}, "carobflow --help"},
        {{"sheet"}, "carobflow --help"},
        {{"sheet", "burn"}, "unknown command 'sheet burn'"},
        {{"sheet", "check"}, "FILE is missing"},
        {{"sheet", "check", ""}, "FILE is missing"},
        {{"sheet", "check", "a", "b"}, "unexpected argument 'b'"},
        {{"sheet", "check", "/nowhere/sheet.csv"}, "cannot read /nowhere/sheet.csv"},
        {{"sheet", "check", "/"}, "cannot read /"},
        {{"sheet", "apply", "a"}, "--replaces is missing"},
        {{"sheet", "apply", "a", "--replaces", "x"}, "--replaces: 'x' is not accepted"},
        {{"sheet", "apply", "a", "--replaces", "-1"}, "carobflow sheet apply --help"},
        {{"sheet", "show"}, "--entry HOST:PORT"},
        {{"sheet", "show", "--entry", "10.0.0.1"}, "write host:port"},
        {{"sheet", "show", "--entry", "10.0.0.1:99999"}, "write host:port"},
        {{"sheet", "show", "--entry", "fd00::1:80"}, "[fd00::1]:8080"},
        {{"sheet", "show", "--entry", "a:1", "--replaces", "3"}, "carobflow sheet show --help"},
        {{"sheet", "show", "--entry", "a:1", "--token", "a\nb"}, "--token contains a line break"},
        {{"sheet", "show", "--entry", "a:1", "--timeout-ms", "0"}, "from 1 to"},
        {with(SubmitArguments, {"--entry", "a:1", "--deadline", "17:30"}), "for example +3600"},
        {{"--unknown"}, "carobflow --help"},
    }));
    CAPTURE(row.arguments);
    const auto outcome = run(row.arguments);
    CHECK(outcome.exitCode == ExitCode::Usage);
    CHECK(outcome.out.empty());
    CHECK_THAT(outcome.err, Contains(row.message));
}

TEST_CASE("Help is available for the program, a group and each command", "[client]")
{
    CHECK_THAT(run({"--help"}).out, Contains("report placement"));
    CHECK_THAT(run({"job", "--help"}).out, Contains("job submit") && !Contains("sheet apply"));
    CHECK_THAT(run({"sheet", "apply", "--help"}).out, Contains("--replaces VERSION") && Contains("--entry"));
    CHECK(run({"sheet", "apply", "-h"}).exitCode == ExitCode::Success);
    CHECK_THAT(run({"--version"}).out, Contains("carobflow "));
}

TEST_CASE("A sheet is checked without an entry", "[client]")
{
    SECTION("faults are printed with file, line and column")
    {
        const TemporaryFile sheet("datacentre,hà-nội,in\ndatacentre,b,off\n");
        const auto outcome = run({"sheet", "check", sheet.path()});
        CHECK(outcome.exitCode == ExitCode::Failed);
        CHECK_THAT(outcome.out, Catch::StartsWith(sheet.path() + ":2:14: ") && Contains("write in or out"));
        CHECK_THAT(run({"sheet", "check", sheet.path(), "--json"}).out, Contains(R"({"line":2,"column":14,)"));
    }
    SECTION("a sheet without faults succeeds")
    {
        const TemporaryFile sheet("datacentre,a,in\n");
        CHECK(run({"sheet", "check", sheet.path()}).exitCode == ExitCode::Success);
    }
}

TEST_CASE("Applying a sheet sends its bytes and the version that it replaces", "[client]")
{
    const TemporaryFile sheet("\xEF\xBB\xBF# ghi chú\r\ndatacentre,a,in");
    const auto apply = [&](const TestEntry &entry) {
        return run({"sheet",
                    "apply",
                    sheet.path(),
                    "--replaces",
                    "7",
                    "--author",
                    "Lan",
                    "--token",
                    "secret",
                    "--entry",
                    entry.address()});
    };

    SECTION("accepted")
    {
        const TestEntry entry(always(200, R"({"version":8,"digest":"abc"})"));
        const auto outcome = apply(entry);
        CHECK(outcome.exitCode == ExitCode::Success);
        CHECK(outcome.out == "version=8 digest=abc\n");
        const auto requests = entry.requests();
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].method_string() == "PUT");
        CHECK(requests[0].target() == "/v1/sheet");
        CHECK(requests[0]["If-Match"] == "7");
        CHECK(requests[0]["Carobflow-Author"] == "Lan");
        CHECK(requests[0]["Authorization"] == "Bearer secret");
        CHECK(requests[0].body() == sheet.content());
    }
    SECTION("conflict")
    {
        const TestEntry entry(always(409, R"({"error":"conflict","message":"m","currentVersion":9})"));
        const auto outcome = apply(entry);
        CHECK(outcome.exitCode == ExitCode::Conflict);
        CHECK_THAT(outcome.err, Contains("--replaces 9"));
    }
    SECTION("faults")
    {
        const TestEntry entry(always(422, R"({"error":"invalid","faults":[{"line":2,"column":1,"message":"m"}]})"));
        const auto outcome = apply(entry);
        CHECK(outcome.exitCode == ExitCode::Failed);
        CHECK_THAT(outcome.err, Contains(sheet.path() + ":2:1: m"));
    }
    SECTION("wrong token")
    {
        const TestEntry entry(always(401, R"({"error":"unauthenticated","message":"m"})"));
        const auto outcome = apply(entry);
        CHECK(outcome.exitCode == ExitCode::Failed);
        CHECK_THAT(outcome.err, Contains("--token"));
    }
}

// Guards against a change that is applied twice: a second entry may be called only when the first certainly did not
// carry out the request.
TEST_CASE("The next entry is tried only when repeating the request is safe", "[client]")
{
    const TestEntry second(always(200, R"({"id":"re-seam 1/2","state":"accepted","text":"t","version":1})"));
    const auto callBoth = [&](const std::vector<std::string> &arguments, const std::string &first) {
        return run(with(arguments, {"--entry", first, "--entry", second.address()}));
    };
    const std::vector<std::string> show{"sheet", "show"};

    SECTION("an unreachable entry is skipped for reads and changes")
    {
        CHECK(callBoth(show, unusedAddress()).exitCode == ExitCode::Success);
        CHECK(callBoth(SubmitArguments, unusedAddress()).exitCode == ExitCode::Success);
    }
    SECTION("a change moves on to the next entry after not-run")
    {
        const TestEntry first(always(503, R"({"error":"not-run","message":"m"})", "not-run"));
        CHECK(callBoth(SubmitArguments, first.address()).exitCode == ExitCode::Success);
    }
    SECTION("a change stops after a lost reply, unknown, or unavailable without not-run")
    {
        for (const auto &handler :
             {noReply(), always(504, "{}", "unknown"), always(503, R"({"error":"unavailable"})")}) {
            const TestEntry first(handler);
            CHECK(callBoth(SubmitArguments, first.address()).exitCode == ExitCode::Failed);
            CHECK(first.requests().size() == 1);
        }
        CHECK(second.requests().empty());
    }
    SECTION("a change stops after a timeout")
    {
        std::promise<void> release;
        const TestEntry first([&](const TestEntry::Request &) {
            release.get_future().wait();
            return std::nullopt;
        });
        const auto outcome = callBoth(with(SubmitArguments, {"--timeout-ms", "100"}), first.address());
        release.set_value();
        CHECK(outcome.exitCode == ExitCode::Failed);
        CHECK_THAT(outcome.err, Contains("may have taken effect"));
        CHECK(second.requests().empty());
    }
    SECTION("a read moves on to the next entry after a lost reply, unknown or unavailable")
    {
        for (const auto &handler : {noReply(), always(504, "{}", "unknown"), always(503, "{}")}) {
            const TestEntry first(handler);
            CHECK(callBoth(show, first.address()).exitCode == ExitCode::Success);
        }
    }
    SECTION("a lost reply to a change is reported as unknown")
    {
        const TestEntry first(noReply());
        CHECK_THAT(run(with(SubmitArguments, {"--entry", first.address()})).err, Contains("may have taken effect"));
    }
    SECTION("the exit code reports that no entry can be reached")
    {
        CHECK(run(with(show, {"--entry", unusedAddress()})).exitCode == ExitCode::Unreachable);
        CHECK(run(with(SubmitArguments, {"--entry", unusedAddress()})).exitCode == ExitCode::Unreachable);
    }
}

TEST_CASE("A job is submitted with its complete specification", "[client]")
{
    const TestEntry entry(always(202, R"({"id":"re-seam 1/2","state":"accepted"})"));
    const auto outcome = run(with(SubmitArguments, {"--entry", entry.address(), "--urgent"}));
    CHECK(outcome.exitCode == ExitCode::Success);
    CHECK(outcome.out == "re-seam 1/2: accepted\n");
    REQUIRE(entry.requests().size() == 1);
    CHECK(entry.requests()[0].body()
          == R"({"id":"re-seam 1/2","team":"vá-lều","jobClass":"re-seam","kind":"batch","urgency":"urgent",)"
             R"("cpuMillis":2000,"memoryMiB":4096,"accelerators":0,"runSeconds":60,"deadlineUnixSeconds":1796360400})");
}

TEST_CASE("Each command calls its path", "[client]")
{
    struct Row {
        std::vector<std::string> arguments;
        std::string method;
        std::string path;
    };
    const auto row = GENERATE(values<Row>({
        {{"sheet", "history"}, "GET", "/v1/sheet/history"},
        {{"datacentre", "out", "hà-nội"}, "POST", "/v1/datacentres/h%C3%A0-n%E1%BB%99i/out"},
        {{"datacentre", "in", "a?b"}, "POST", "/v1/datacentres/a%3Fb/in"},
        {{"job", "status"}, "GET", "/v1/jobs"},
        {{"job", "status", "a,b"}, "GET", "/v1/jobs/a%2Cb"},
        {{"job", "cancel", "a"}, "DELETE", "/v1/jobs/a"},
        {{"upstream", "list"}, "GET", "/v1/upstreams"},
        {{"upstream", "drain", "host-1"}, "POST", "/v1/upstreams/host-1/drain"},
        {{"upstream", "drain", "host-1", "--end"}, "DELETE", "/v1/upstreams/host-1/drain"},
        {{"report", "burn"}, "GET", "/v1/report/burn"},
        {{"report", "jobs"}, "GET", "/v1/report/jobs"},
        {{"report", "placement"}, "GET", "/v1/report/placement"},
    }));
    const TestEntry entry(always(200, "{ \"rows\" : [] }"));
    const auto outcome = run(with(row.arguments, {"--json", "--entry", entry.address()}));
    CHECK(outcome.exitCode == ExitCode::Success);
    CHECK(outcome.out == "{ \"rows\" : [] }\n");
    REQUIRE(entry.requests().size() == 1);
    CHECK(entry.requests()[0].method_string() == row.method);
    CHECK(entry.requests()[0].target() == row.path);
}

TEST_CASE("Tables are aligned even when names are not ASCII", "[client]")
{
    SECTION("upstreams")
    {
        const TestEntry entry(always(200, R"({"upstreams":[
            {"service":"repair-desk","host":"máy-1","dataCentre":"hà-nội","address":"10.0.0.1:80","slots":8,
             "outstanding":2,"latencyMs":12.5,"inService":true,"leaving":false,"drained":false,"ejected":true},
            {"service":"repair-desk","host":"m2\u001b[2J","dataCentre":"x","address":"10.0.0.2:80","slots":8}]})"));
        CHECK(run({"upstream", "list", "--entry", entry.address()}).out
              == "SERVICE      HOST    DATA_CENTRE  ADDRESS      SLOTS  OUTSTANDING  LATENCY_MS  IN_SERVICE  LEAVING  "
                 "DRAINED  EJECTED\n"
                 "repair-desk  máy-1   hà-nội       10.0.0.1:80  8      2            12.5        yes         no       "
                 "no       yes\n"
                 "repair-desk  m2?[2J  x            10.0.0.2:80  8      -            -           -           -        "
                 "-        -\n");
    }
    SECTION("history")
    {
        const TestEntry entry(always(
            200, R"({"versions":[{"version":3,"digest":"d","author":"Lan","acceptedUnixSeconds":1796360400}]})"));
        CHECK(run({"sheet", "history", "--entry", entry.address()}).out
              == "VERSION  ACCEPTED              AUTHOR  DIGEST\n"
                 "3        2026-12-04T05:00:00Z  Lan     d\n");
    }
    SECTION("placement lists hosts without tasks")
    {
        const TestEntry entry(always(200, R"({"hosts":[
            {"host":"a","dataCentre":"x","tasks":[{"id":"j","jobClass":"c","state":"running"}]},
            {"host":"b","dataCentre":"x","tasks":[]}]})"));
        CHECK(run({"report", "placement", "--entry", entry.address()}).out
              == "HOST  DATA_CENTRE  JOB  CLASS  STATE\n"
                 "a     x            j    c      running\n"
                 "b     x            -    -      -\n");
    }
    SECTION("jobs that need attention")
    {
        const TestEntry entry(
            always(200, R"({"late":[{"id":"a"}],"atRisk":[{"id":"b"}],"unrunnable":[],"failed":[]})"));
        const auto outcome = run({"report", "jobs", "--entry", entry.address()});
        CHECK_THAT(outcome.out, Contains("\nlate       a") && Contains("\nat-risk    b"));
    }
    SECTION("the text of a sheet is printed unchanged")
    {
        const TestEntry entry(always(200, R"({"version":2,"digest":"d","author":"Lan","text":"# a\r\n"})"));
        const auto outcome = run({"sheet", "show", "--entry", entry.address()});
        CHECK(outcome.out == "# a\r\n");
        CHECK(outcome.err == "version=2 digest=d author=Lan\n");
    }
    SECTION("a reply that is not JSON is a failure")
    {
        const TestEntry entry(always(200, "<html>"));
        CHECK(run({"report", "jobs", "--entry", entry.address()}).exitCode == ExitCode::Failed);
    }
}

TEST_CASE("The burn report is written as one page without external resources", "[client]")
{
    const TestEntry entry(always(200, R"({"rows":[
        {"service":"bàn<sửa>","objective":"latency","targetRatio":0.99,"windowMinutes":5,"total":100,"bad":2,
         "burnRate":2},
        {"service":"menu","objective":"latency","targetRatio":0.9,"windowMinutes":5,"total":100,"bad":0,
         "burnRate":0}]})"));
    const TemporaryFile page;
    const auto outcome = run({"report", "burn", "--html", page.path(), "--entry", entry.address()});
    REQUIRE(outcome.exitCode == ExitCode::Success);
    CHECK_THAT(outcome.out, Contains("BURN_RATE"));
    const std::string html = page.content();
    CHECK_THAT(html, Contains("bàn&lt;sửa&gt; (latency)") && Contains("<svg") && Contains("5 min"));
    CHECK_THAT(html, !Contains("<script") && !Contains("http") && !Contains("src="));
    CHECK(run({"report", "burn", "--html", "/nowhere/page.html", "--entry", entry.address()}).exitCode
          == ExitCode::Usage);
}

// Guards against averaging the rates, which would let a small service outweigh a large one.
TEST_CASE("The burn rate of an objective weights its services by their error budgets", "[client]")
{
    const std::vector<BurnRow> rows{
        {.service = "a", .objective = "latency", .targetRatio = 0.99, .windowMinutes = 5, .total = 1000, .bad = 10},
        {.service = "b", .objective = "latency", .targetRatio = 0.9, .windowMinutes = 5, .total = 100, .bad = 30},
    };
    const auto result = burnPerObjective(rows);
    REQUIRE(result.size() == 1);
    CHECK(result[0].total == 1100);
    CHECK(result[0].burnRate == Approx(2));
}

TEST_CASE("Settings come from a file and arguments override them", "[client]")
{
    SECTION("all keys")
    {
        const TemporaryFile file("[client]\nentry = 10.0.0.1:80, [fd00::1]:81\nentry = b:82\ntoken = t\nauthor = Lan\n"
                                 "timeout_ms = 500\nconnect_timeout_ms = 50\n");
        const auto settings = readClientSettings(file.path());
        REQUIRE(isOk(settings));
        const auto &options = valueOf(settings).entry;
        CHECK(options.entries
              == std::vector<EntryAddress>{
                  {.host = "10.0.0.1", .port = "80"}, {.host = "fd00::1", .port = "81"}, {.host = "b", .port = "82"}});
        CHECK(options.token == "t");
        CHECK(options.timeout == Milliseconds(500));
        CHECK(options.connectTimeout == Milliseconds(50));
        CHECK(valueOf(settings).author == "Lan");
    }
    SECTION("an argument overrides the file")
    {
        const TestEntry entry(always(200, "{}"));
        const TemporaryFile file("[client]\nentry = " + unusedAddress() + "\ntoken = old\n");
        const auto outcome = run(
            {"report", "jobs", "--settings", file.path(), "--entry", entry.address(), "--token", "new"});
        CHECK(outcome.exitCode == ExitCode::Success);
        CHECK(entry.requests().at(0)["Authorization"] == "Bearer new");
    }
    SECTION("a fault names file, section, key and remedy")
    {
        const auto [text, message] = GENERATE(table<std::string, std::string>({
            {"[client]\ntimeout = 5\n", "section [client], key 'timeout': unknown key"},
            {"[agent]\ntoken = 5\n", "section [agent], key 'token': unknown key"},
            {"[client]\ntimeout_ms = soon\n", "key 'timeout_ms': expected milliseconds, got 'soon'"},
            {"[client]\nentry = x\n", "key 'entry': 'x' is not an entry address"},
            {"[client]\ntoken = a\ntoken = b\n", "key 'token': the value contains a line break"},
            {"[client]\nnonsense\n", ":2: expected a section or key"},
        }));
        const TemporaryFile file(text);
        const auto outcome = run({"report", "jobs", "--settings", file.path()});
        CHECK(outcome.exitCode == ExitCode::Usage);
        CHECK_THAT(outcome.err, Contains(file.path()) && Contains(message));
    }
    SECTION("a missing file is a usage error")
    {
        CHECK(run({"report", "jobs", "--settings", "/nowhere/client.ini"}).exitCode == ExitCode::Usage);
    }
}
