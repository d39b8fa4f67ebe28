#include "carobflow/bench/cluster.h"

#include <catch2/catch.hpp>

#include <boost/json/parse.hpp>

using namespace Carobflow;
using namespace Carobflow::Bench;

namespace
{

struct ExpectedCall {
    std::string method;
    std::string target;
    bool asOperator = true;
    std::string ifMatch;
    std::string body;
    unsigned status = 200;
};

const std::string Job = R"({"id":"one","team":"workshop","jobClass":"reseam","cpuMillis":1000,"memoryMiB":1000,)"
                        R"("runSeconds":1,"deadlineUnixSeconds":0})";

std::vector<ExpectedCall> expectedCalls(const std::string &sheet)
{
    return {
        {.method = "GET", .target = "/v1/sheet"},
        {.method = "GET", .target = "/v1/sheet/history"},
        {.method = "PUT", .target = "/v1/sheet", .asOperator = false, .ifMatch = "1", .body = sheet, .status = 401},
        {.method = "PUT", .target = "/v1/sheet", .body = sheet, .status = 428},
        {.method = "PUT", .target = "/v1/sheet", .ifMatch = "9", .body = sheet, .status = 409},
        {.method = "PUT", .target = "/v1/sheet", .ifMatch = "1", .body = "job,x\n", .status = 422},
        {.method = "PUT", .target = "/v1/sheet", .ifMatch = "1", .body = sheet},
        {.method = "POST", .target = "/v1/datacentres/hanoi/out"},
        {.method = "POST", .target = "/v1/datacentres/hanoi/in", .ifMatch = "2", .status = 409},
        {.method = "POST", .target = "/v1/datacentres/hanoi/in", .ifMatch = "x", .status = 400},
        {.method = "POST", .target = "/v1/datacentres/nowhere/in", .status = 404},
        {.method = "POST", .target = "/v1/datacentres/hanoi/in"},
        {.method = "GET", .target = "/v1/upstreams"},
        {.method = "POST", .target = "/v1/upstreams/host-0/drain"},
        {.method = "DELETE", .target = "/v1/upstreams/host-0/drain"},
        {.method = "POST", .target = "/v1/jobs", .body = "{", .status = 400},
        {.method = "POST", .target = "/v1/jobs", .body = "{\"id\":\"a b\"}", .status = 400},
        {.method = "POST", .target = "/v1/jobs", .body = Job, .status = 202},
        {.method = "POST", .target = "/v1/jobs", .body = Job},
        {.method = "GET", .target = "/v1/jobs"},
        {.method = "GET", .target = "/v1/jobs/one"},
        {.method = "GET", .target = "/v1/jobs/none", .status = 404},
        {.method = "DELETE", .target = "/v1/jobs/none", .status = 404},
        {.method = "GET", .target = "/v1/report/burn"},
        {.method = "GET", .target = "/v1/report/jobs"},
        {.method = "GET", .target = "/v1/report/placement"},
        {.method = "PATCH", .target = "/v1/jobs", .status = 405},
        {.method = "GET", .target = "/v1/nothing", .status = 404},
        {.method = "GET", .target = "/nothing", .status = 404},
        {.method = "GET", .target = "/metrics"},
        {.method = "GET", .target = "/healthz"},
        {.method = "GET", .target = "/readyz"},
        {.method = "GET", .target = "/v1/services/nothing/quote", .status = 404},
        {.method = "POST", .target = "/v1/services/repair-desk/charges", .status = 400},
    };
}

HttpRequest toRequest(const ExpectedCall &call)
{
    HttpRequest request{
        .method = call.method, .target = call.target, .body = call.body, .timeout = Milliseconds(10000)};
    if (call.asOperator) {
        request.headers.push_back({"Authorization", "Bearer " + std::string(Cluster::operatorToken())});
    }
    if (!call.ifMatch.empty()) {
        request.headers.push_back({"If-Match", call.ifMatch});
    }
    return request;
}

} // namespace

// Guards against a call that ends the entry: GCC 12 compiles some coroutines with temporaries into a trap, and the
// drain of an upstream ended the process in this way.
TEST_CASE("Every call of the HTTP interface is answered with its status", "[integration][operators]")
{
    Cluster cluster({.deployment = {.name = "small",
                                    .service = "repair-desk",
                                    .dataCentres = {"hanoi", "haiphong"},
                                    .hosts = 2,
                                    .hostsPerRack = 1,
                                    .entries = 1}});
    const std::string sheet = baseSheet(cluster.deployment());
    cluster.start(sheet);

    for (const ExpectedCall &call : expectedCalls(sheet)) {
        INFO(call.method << " " << call.target << " If-Match " << call.ifMatch);
        const HttpAnswer answer = cluster.caller().mustCall(cluster.entry(0), toRequest(call));
        INFO(answer.body);
        CHECK(answer.status == call.status);
    }

    SECTION("a job that has finished cannot be cancelled any more")
    {
        waitUntil("the job has finished", [&] { return cluster.job("one").at("state").as_string() == "finished"; });
        const HttpAnswer answer = cluster.caller().mustCall(cluster.entry(0),
                                                            {.method = "DELETE", .target = "/v1/jobs/one"});
        CHECK(answer.status == 409);
    }

    CHECK(cluster.entryProcess(0).isRunning());
    CHECK(cluster.stop().empty());
}
