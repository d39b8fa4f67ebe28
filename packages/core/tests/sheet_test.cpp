#include "carobflow/core/sheet.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

using namespace Carobflow;

namespace
{

// 2026-12-04 05:00:00 UTC, which is 12:00 in Vietnam and 00:00 in Ecuador.
constexpr std::int64_t Noon = 1796360400;
constexpr std::int64_t Minute = 60;
constexpr std::int64_t Hour = 3600;

const std::string CoopSheet = "timezone,+07:00\n"
                              "# data centres\n"
                              "datacentre,hà-nội,in\n"
                              "datacentre,hải-phòng,out\n"
                              "\n"
                              "service,repair-desk,800,0.995,yes,latency\n"
                              "team,vá-lều,32000,64000,2\n"
                              "job,re-seam-1,vá-lều,re-seam,2000,4096,1,1800,17:30,urgent\n"
                              "check,stitching-line-1,vá-lều,reminder,100,64,0,30\n";

Sheet parsed(std::string_view text, std::int64_t reference = Noon)
{
    const auto result = parseSheet(text, reference);
    if (const auto *faults = std::get_if<std::vector<SheetFault>>(&result)) {
        for (const auto &fault : *faults) {
            UNSCOPED_INFO(fault.line << ":" << fault.column << ": " << fault.message);
        }
        FAIL("the sheet has faults");
    }
    return std::get<Sheet>(result);
}

std::vector<SheetFault> faultsOf(std::string_view text)
{
    const auto result = parseSheet(text, Noon);
    const auto *faults = std::get_if<std::vector<SheetFault>>(&result);
    return faults == nullptr ? std::vector<SheetFault>{} : *faults;
}

bool hasFault(const std::vector<SheetFault> &faults, std::size_t line, std::size_t column)
{
    return std::ranges::any_of(faults, [&](const SheetFault &fault) {
        return fault.line == line && fault.column == column && !fault.message.empty();
    });
}

std::int64_t deadlineOf(const std::string &zoneLine, const std::string &deadline, std::int64_t reference)
{
    return parsed(zoneLine + "team,t,1,1,0\njob,j,t,c,1,1,0,1," + deadline + ",normal\n", reference)
        .jobs.front()
        .deadlineUnixSeconds;
}

} // namespace

TEST_CASE("A sheet without faults is parsed completely", "[sheet]")
{
    const Sheet sheet = parsed(CoopSheet);

    CHECK(sheet.isInService("hà-nội"));
    CHECK_FALSE(sheet.isInService("hải-phòng"));
    CHECK(sheet.isInService("not-listed"));
    REQUIRE(sheet.findService("repair-desk") != nullptr);
    CHECK(*sheet.findService("repair-desk")
          == ServiceEntry{.name = "repair-desk",
                          .deadline = Milliseconds(800),
                          .targetRatio = 0.995,
                          .idempotent = true,
                          .objective = Objective::Latency});
    CHECK(sheet.findService("menu-desk") == nullptr);
    REQUIRE(sheet.findTeam("vá-lều") != nullptr);
    CHECK(sheet.findTeam("vá-lều")->quota == Resources{.cpuMillis = 32000, .memoryMiB = 64000, .accelerators = 2});
    REQUIRE(sheet.jobs.size() == 2);
    CHECK(sheet.jobs[0]
          == JobSpec{.id = "re-seam-1",
                     .team = "vá-lều",
                     .jobClass = "re-seam",
                     .kind = JobKind::Batch,
                     .urgency = Urgency::Urgent,
                     .declared = {.cpuMillis = 2000, .memoryMiB = 4096, .accelerators = 1},
                     .runSeconds = 1800,
                     .deadlineUnixSeconds = Noon + 5 * Hour + 30 * Minute,
                     .fromSheet = true});
    CHECK(sheet.jobs[1].kind == JobKind::Check);
    CHECK(sheet.jobs[1].deadlineUnixSeconds == 0);
    CHECK(sheet.jobs[1].fromSheet);
}

// Spreadsheet programs export these variants; rejecting them would keep a daily sheet from being accepted.
TEST_CASE("Sheets exported by spreadsheet programs are accepted", "[sheet]")
{
    const Sheet expected = parsed(CoopSheet);
    std::string text = CoopSheet;

    SECTION("a byte order mark and CR LF line ends")
    {
        for (std::size_t at = 0; (at = text.find('\n', at)) != std::string::npos; at += 2) {
            text.replace(at, 1, "\r\n");
        }
        text.insert(0, "\xEF\xBB\xBF");
    }
    SECTION("rows padded with empty fields and rows of empty fields")
    {
        text.insert(text.find('\n'), ",,,,,,,,");
        text += ",,,,,,,,,\n";
    }
    SECTION("quoted fields and quoted comments")
    {
        text.replace(text.find("hà-nội"), std::string("hà-nội").size(), "\"hà-nội\"");
        text += "\"# one, two\"\n";
    }
    SECTION("no line end after the last line")
    {
        text.pop_back();
    }
    const Sheet sheet = parsed(text);
    CHECK(sheet.dataCentres == expected.dataCentres);
    CHECK(sheet.jobs == expected.jobs);
}

TEST_CASE("Deadlines are relative to the reference time in the time zone of the sheet", "[sheet]")
{
    SECTION("without a time zone the time of the day is in UTC")
    {
        CHECK(deadlineOf("", "05:30", Noon) == Noon + 30 * Minute);
    }
    SECTION("seconds count from the reference time")
    {
        CHECK(deadlineOf("timezone,-05:00\n", "+90", Noon) == Noon + 90);
    }
    SECTION("the day is the day in the time zone even around midnight")
    {
        CHECK(deadlineOf("timezone,-05:00\n", "18:00", Noon) == Noon + 18 * Hour);
        CHECK(deadlineOf("timezone,-05:00\n", "18:00", Noon - 1) == Noon - 6 * Hour);
        CHECK(deadlineOf("timezone,-03:30\n", "00:00", Noon) == Noon - 90 * Minute);
    }
    SECTION("a time of the day that has passed stays on that day")
    {
        CHECK(deadlineOf("timezone,+07:00\n", "11:00", Noon) == Noon - Hour);
    }
    SECTION("the time zone may follow the jobs")
    {
        const Sheet sheet = parsed("team,t,1,1,0\njob,j,t,c,1,1,0,1,13:00,normal\ntimezone,+07:00\n");
        CHECK(sheet.jobs.front().deadlineUnixSeconds == Noon + Hour);
    }
}

// Each row guards against a check that is missing or reports the wrong position.
TEST_CASE("A fault is reported with its line and column and a remedy", "[sheet]")
{
    struct Row {
        std::string text;
        std::size_t line;
        std::size_t column;
        std::string remedy;
    };
    const auto row = GENERATE(values<Row>({
        {"", 1, 1, "at least one line"},
        {"# nothing\n", 1, 1, "at least one line"},
        {"datacenter,a,in\n", 1, 1, "write timezone, datacentre"},
        {",a,in\n", 1, 1, "write timezone, datacentre"},
        {"datacentre;a;in\n", 1, 1, "export the sheet with commas"},
        {"datacentre,a\n", 1, 13, "write datacentre,name,in or out"},
        {"datacentre,a,in,x\n", 1, 17, "write datacentre,name,in or out"},
        {"datacentre,đà-nẵng,off\n", 1, 20, "write in or out"},
        {"datacentre,a b,in\n", 1, 12, "has a space"},
        {"datacentre,a\xC2\xA0 b,in\n", 1, 12, "has a space"},
        {"datacentre, a,in\n", 1, 12, "has a space"},
        {"datacentre,a/b,in\n", 1, 12, "has a slash"},
        {"datacentre,a\\b,in\n", 1, 12, "has a slash"},
        {"datacentre,..,in\n", 1, 12, "another name"},
        {"datacentre,a\tb,in\n", 1, 12, "control"},
        {"datacentre,a\u200Bb,in\n", 1, 12, "control or invisible"},
        {"datacentre,,in\n", 1, 12, "write a name"},
        {"datacentre," + std::string(129, 'a') + ",in\n", 1, 12, "at most 128"},
        {"datacentre,\xFF,in\n", 1, 12, "as UTF-8"},
        {"datacentre,ab\xE1\xBB,in\n", 1, 14, "as UTF-8"},
        {std::string("# a\0b\n", 6), 1, 4, "as UTF-8"},
        {"datacentre,\"a,in\n", 1, 12, "closing quote"},
        {"datacentre,a\"b,in\n", 1, 12, "double the quotes"},
        {"datacentre,a,in\ndatacentre,a,out\n", 2, 12, "already listed in line 1"},
        {"timezone,+7:00\n", 1, 10, "+07:00"},
        {"timezone,+07:60\n", 1, 10, "+07:00"},
        {"timezone,+14:01\n", 1, 10, "to +14:00"},
        {"timezone,07:00\n", 1, 10, "+07:00"},
        {"timezone,+07:00\ntimezone,+07:00\n", 2, 1, "already given in line 1"},
        {"service,s,0,0.9,yes,latency\n", 1, 11, "from 1 to 25000"},
        {"service,s,25001,0.9,yes,latency\n", 1, 11, "from 1 to 25000"},
        {"service,s,9,1,yes,latency\n", 1, 13, "below 1"},
        {"service,s,9,0,yes,latency\n", 1, 13, "above 0"},
        {"service,s,9,nan,yes,latency\n", 1, 13, "decimal point"},
        {"service,s,9,\"0,995\",yes,latency\n", 1, 13, "decimal point"},
        {"service,s,9,0.9,Yes,latency\n", 1, 17, "write yes or no"},
        {"service,s,9,0.9,yes,speed\n", 1, 21, "write latency or throughput"},
        {"team,t,-1,1,0\n", 1, 8, "from 0 to"},
        {"team,t,1,1.5,0\n", 1, 10, "digits only"},
        {"team,t,1,1,99999999999999999999\n", 1, 12, "from 0 to"},
        {"team,t,1,1,0\ncheck,c,u,k,1,1,0,1\n", 2, 9, "add the line team,u,"},
        {"team,t,1,1,0\ncheck,c,t,k,0,1,0,1\n", 2, 13, "from 1 to"},
        {"team,t,1,1,0\ncheck,c,t,k,1,1,0,1\njob,c,t,k,1,1,0,1,+5,normal\n", 3, 5, "already listed in line 2"},
        {"team,t,1,1,0\njob,j,t,k,1,1,0,0,+5,normal\n", 2, 17, "from 1 to"},
        {"team,t,1,1,0\njob,j,t,k,1,1,0,1,24:00,normal\n", 2, 19, "23:59"},
        {"team,t,1,1,0\njob,j,t,k,1,1,0,1,9:30,normal\n", 2, 19, "23:59"},
        {"team,t,1,1,0\njob,j,t,k,1,1,0,1,+0,normal\n", 2, 19, "from +1"},
        {"team,t,1,1,0\njob,j,t,k,1,1,0,1,+-5,normal\n", 2, 19, "from +1"},
        {"team,t,1,1,0\njob,j,t,k,1,1,0,1,+5,high\n", 2, 22, "write normal or urgent"},
    }));
    INFO(row.text);
    const auto faults = faultsOf(row.text);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].line == row.line);
    CHECK(faults[0].column == row.column);
    CHECK_THAT(faults[0].message, Catch::Contains(row.remedy));
}

TEST_CASE("All faults of a sheet are reported in the order of the text", "[sheet]")
{
    const auto faults = faultsOf("job,j,u,k,0,1,0,1,25:00,normal\nwatch,x\nteam,t,a,1,0\n");
    REQUIRE(faults.size() == 5);
    CHECK(hasFault(faults, 1, 7));
    CHECK(hasFault(faults, 1, 11));
    CHECK(hasFault(faults, 1, 19));
    CHECK(hasFault(faults, 2, 1));
    CHECK(hasFault(faults, 3, 8));
    CHECK(std::ranges::is_sorted(faults, {}, [](const auto &fault) { return std::pair(fault.line, fault.column); }));
}

namespace
{

// Generates a random sheet and keeps the fields of each line, so that a test can damage one and knows its position.
class RandomSheet
{
public:
    explicit RandomSheet(std::uint64_t seed)
        : m_random(seed)
    {
        m_rows.push_back({"timezone", below(2) == 0 ? "+07:00" : "-05:00"});
        for (std::size_t index = 0, count = 1 + below(4); index < count; ++index) {
            m_rows.push_back({"datacentre", name("dc", index), below(2) == 0 ? "in" : "out"});
        }
        m_rows.push_back({"service", name("desk", 0), number(25000), "0.99", "yes", "throughput"});
        for (std::size_t index = 0; index < 3; ++index) {
            m_rows.push_back({"team", name("đội", index), number(1000000), number(1000000), number(100)});
        }
        for (std::size_t index = 0, count = 1 + below(20); index < count; ++index) {
            std::vector<std::string> row{"check", name("việc", index), name("đội", below(3)), name("lớp", below(5))};
            row.insert(row.end(), {number(64000), number(128000), number(8), number(86400)});
            if (below(3) != 0) {
                row.front() = "job";
                row.push_back(below(2) == 0 ? "18:45" : "+" + number(86400));
                row.emplace_back(below(2) == 0 ? "normal" : "urgent");
            }
            m_rows.push_back(std::move(row));
        }
        std::ranges::shuffle(m_rows, m_random);
    }

    /// Replaces one random field by a value that no field accepts and returns the position of the field in the text.
    SheetFault damage()
    {
        static const std::vector<std::string> Bad{"", "a b", "a/b", "\u00A0", "-\t", "!\u202E", "\"x"};
        m_damagedRow = below(m_rows.size());
        m_damagedField = below(m_rows[m_damagedRow].size());
        m_rows[m_damagedRow][m_damagedField] = Bad[below(Bad.size())];
        text();
        return m_damagedPosition;
    }

    std::string text()
    {
        const std::string lineEnd = m_crLf ? "\r\n" : "\n";
        std::string result;
        std::size_t line = 1;
        for (std::size_t row = 0; row < m_rows.size(); ++row, ++line) {
            if (row % 4 == m_commentEvery) {
                result += "# ghi chú, \"một" + lineEnd;
                ++line;
            }
            std::size_t column = 1;
            for (std::size_t field = 0; field < m_rows[row].size(); ++field) {
                const std::string &value = m_rows[row][field];
                const bool damaged = row == m_damagedRow && field == m_damagedField;
                if (damaged) {
                    m_damagedPosition = {.line = line, .column = column, .message = value};
                }
                const bool quote = (row + field) % 3 == m_quoteEvery && !damaged;
                result += (field == 0 ? "" : ",") + (quote ? "\"" + value + "\"" : value);
                column += 1 + (quote ? 2 : 0) + static_cast<std::size_t>(std::ranges::count_if(value, [](char byte) {
                              return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U;
                          }));
            }
            result += lineEnd;
        }
        return result;
    }

private:
    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }

    std::string name(const std::string &stem, std::size_t index)
    {
        return stem + "-" + std::to_string(index);
    }

    std::string number(std::size_t most)
    {
        return std::to_string(1 + below(most));
    }

    std::mt19937_64 m_random;
    std::vector<std::vector<std::string>> m_rows;
    bool m_crLf = below(2) == 0;
    std::size_t m_commentEvery = below(5);
    std::size_t m_quoteEvery = below(4);
    std::size_t m_damagedRow = SIZE_MAX;
    std::size_t m_damagedField = SIZE_MAX;
    SheetFault m_damagedPosition;
};

} // namespace

// Guards against a damaged field that is accepted or reported at another position, and against state that is kept
// between calls.
TEST_CASE("Any single damaged field of a random sheet is reported at its position", "[sheet][random]")
{
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        INFO("seed " << seed);
        RandomSheet random(seed);
        const std::string whole = random.text();
        const Sheet before = parsed(whole);

        const SheetFault position = random.damage();
        const std::string damaged = random.text();
        INFO(damaged << "damaged: line " << position.line << ", column " << position.column << ": "
                     << position.message);
        const auto faults = faultsOf(damaged);
        REQUIRE(hasFault(faults, position.line, position.column));
        // Parsing is a pure function: the same text gives the same result, regardless of what was parsed in between.
        const auto again = faultsOf(damaged);
        REQUIRE(std::ranges::equal(again, faults, [](const SheetFault &left, const SheetFault &right) {
            return left.line == right.line && left.column == right.column && left.message == right.message;
        }));
        const Sheet after = parsed(whole);
        REQUIRE(after.jobs == before.jobs);
        REQUIRE(after.dataCentres == before.dataCentres);
        REQUIRE(after.services == before.services);
        REQUIRE(after.teams == before.teams);
    }
}

TEST_CASE("Taking a data centre out of service changes only its state in the text", "[sheet]")
{
    const std::string text = "\xEF\xBB\xBF# datacentre,b,in\r\n\"datacentre\",b,\"in\",,\r\ndatacentre,bb,in\n\n";

    SECTION("every other byte is unchanged")
    {
        const auto changed = withDataCentre(text, "b", false);
        REQUIRE(isOk(changed));
        CHECK(valueOf(changed) == "\xEF\xBB\xBF# datacentre,b,in\r\n\"datacentre\",b,out,,\r\ndatacentre,bb,in\n\n");
        CHECK_FALSE(parsed(valueOf(changed)).isInService("b"));
        CHECK(parsed(valueOf(changed)).isInService("bb"));
    }
    SECTION("the text is unchanged when the data centre has the state already")
    {
        CHECK(valueOf(withDataCentre(text, "b", true)) == text);
    }
    SECTION("a data centre that is not listed is an error")
    {
        const auto changed = withDataCentre(text, "c", false);
        REQUIRE_FALSE(isOk(changed));
        CHECK(errorOf(changed).kind == ErrorKind::NotFound);
    }
}

TEST_CASE("The digest of a sheet is the SHA256 hash of its text", "[sheet]")
{
    CHECK(sheetDigest("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
