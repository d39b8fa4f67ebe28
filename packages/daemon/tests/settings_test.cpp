#include "carobflow/daemon/settings.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace Carobflow
{
namespace
{

const std::string EntryText = "[process]\nrole = entry\nname = entry-1\ndata_centre = hanoi\n"
                              "[listen]\nhttp = 127.0.0.1:8080\ngrpc = [::1]:9090\n"
                              "[platform]\ntable = 127.0.0.1:7000\nobjects = 127.0.0.1:7001\n"
                              "[entry]\noperator_token = secret\n";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string faultsOf(const std::string &text)
{
    const auto settings = parseSettings(text, "test.ini");
    return isOk(settings) ? std::string() : errorOf(settings).message;
}

} // namespace

TEST_CASE("Settings are read with their defaults", "[settings]")
{
    const auto parsed = parseSettings(EntryText, "test.ini");
    REQUIRE(isOk(parsed));
    const Settings &settings = valueOf(parsed);
    CHECK(settings.role == Role::Entry);
    CHECK(settings.name == "entry-1");
    CHECK(settings.grpc.toString() == "[::1]:9090");
    CHECK(settings.objects.port == 7001);
    CHECK(settings.maxSheetAge == Milliseconds(2000));
    CHECK(settings.adaptivePolicy);

    const auto changed = parseSettings(EntryText
                                           + "retry_ratio = 0.5\n[timing]\nmax_sheet_age_ms = 3000\n"
                                             "[scheduling]\ncopies = on\n",
                                       "t.ini");
    REQUIRE(isOk(changed));
    CHECK(valueOf(changed).retryRatio == 0.5);
    CHECK(valueOf(changed).maxSheetAge == Milliseconds(3000));
    CHECK_FALSE(settings.copies);
    CHECK(valueOf(changed).copies);
}

TEST_CASE("Each fault of the settings names file, section, key, expectation and remedy", "[settings]")
{
    struct Case {
        std::string from;
        std::string to;
        std::string fault;
    };
    // Guards against a daemon that starts although it ignored or misread a value.
    const Case cases[] = {
        {"role = entry", "role = leader", "[process] role: 'leader' is not valid; expected entry or agent; write for"},
        {"name = entry-1\n", "", "[process] name: missing; write for example 'name = entry-1'"},
        {"name = entry-1", "name =", "[process] name: '' is not valid; expected a text that is not empty"},
        {"name =", "nam =", "[process] nam: unknown key; expected a key of docs/OPERATIONS.md"},
        {"http = 127.0.0.1:8080", "http = localhost:8080", "expected an IP address and a port; write for example"},
        {"http = 127.0.0.1:8080", "http = 127.0.0.1:80800", "[listen] http: '127.0.0.1:80800' is not valid"},
        {"[entry]", "[process]\nthreads = 0\n[entry]", "[process] threads: '0' is not valid; expected a number from 1"},
        {"[entry]", "[process]\nthreads = 2x\n[entry]", "[process] threads: '2x' is not valid"},
        {"[entry]",
         "[process]\npolicy = random\n[entry]",
         "[process] policy: 'random' is not valid; expected adaptive"},
        {"[entry]",
         "[scheduling]\ncopies = adaptive\n[entry]",
         "[scheduling] copies: 'adaptive' is not valid; expected on or off"},
        {"[entry]",
         "[process]\nlog_level = loud\n[entry]",
         "expected debug, info, warning or error; write for example"},
        {"[entry]", "[entry]\nretry_ratio = 2", "[entry] retry_ratio: '2' is not valid; expected a number from 0 to 1"},
        {"[entry]", "[timing]\nstop_timeout_ms = 1\n[entry]", "expected a number of milliseconds from 100 to 120000"},
        {"[entry]", "[timing]\nannounce_timeout_ms = 600\n[entry]", "[timing] announce_timeout_ms: expected at least"},
        {"[entry]", "[limits]\nheader_bytes = 8192\n[entry]", "[limits] header_bytes: '8192' is not valid; expected"},
        {"[entry]",
         "[limits]\nreading_bytes = 4194304\nheader_bytes = 65536\n[entry]",
         "[limits] reading_bytes: expected at least twice"},
        {"[entry]", "[limits]\nrequest_ms = 100\n[entry]", "[limits] request_ms: expected at least header_ms"},
        {"operator_token = secret\n", "", "[entry] operator_token: missing"},
        {"[entry]",
         "[agent]\nentries = 127.0.0.1:9090,\n[entry]",
         "expected IP addresses with ports, separated by commas; write for example 'entries = 127.0.0.1:9090, "},
        {"role = entry", "role = agent", "[platform] worker: missing; write for example 'worker = 127.0.0.1:7100'"},
        {"[entry]", "nonsense\n[entry]", "test.ini:11: expected '[section]' or 'key = value'; correct this line"},
    };
    for (const Case &test : cases) {
        const std::string faults = faultsOf(replaced(EntryText, test.from, test.to));
        INFO(faults);
        CHECK(faults.starts_with("test.ini"));
        CHECK(faults.find(test.fault) != std::string::npos);
    }
    const auto read = parseSettings(
        replaced(EntryText, "[entry]", "[agent]\nentries = 127.0.0.1:9090, [::1]:9\n[entry]"), "test.ini");
    REQUIRE(isOk(read));
    REQUIRE(valueOf(read).knownEntries.size() == 2);
    CHECK(valueOf(read).knownEntries.back().toString() == "[::1]:9");
    // Guards against a body limit that was valid before [limits] and that the default for all requests would refuse.
    const auto large = parseSettings(replaced(EntryText, "[entry]", "[entry]\nmax_body_bytes = 16777216"), "test.ini");
    REQUIRE(isOk(large));
    CHECK(valueOf(large).limits.readingBytes >= 33554432);
    const std::string two = faultsOf(replaced(replaced(EntryText, "[entry]", "[enty]"), "role = entry", "role = x"));
    CHECK(std::count(two.begin(), two.end(), '\n') >= 2);
    CHECK(errorOf(loadSettings("/nonexistent/x.ini")).kind == ErrorKind::NotFound);
}

} // namespace Carobflow
