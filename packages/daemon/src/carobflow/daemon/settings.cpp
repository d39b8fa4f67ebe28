#include "carobflow/daemon/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <map>
#include <sstream>
#include <variant>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>
#include <ini.h>

namespace Carobflow
{
namespace
{

/// The member that receives a value; its type decides how the text is parsed.
using Field = std::variant<std::string Settings::*,
                           std::int64_t Settings::*,
                           double Settings::*,
                           bool Settings::*,
                           Milliseconds Settings::*,
                           std::int64_t ClientLimits::*,
                           Milliseconds ClientLimits::*,
                           Endpoint Settings::*,
                           std::vector<Endpoint> Settings::*,
                           Role Settings::*,
                           Deployment Settings::*>;

/// The processes that need a key. Standalone and hosted processes need different ones.
enum class Need { Always, Standalone, StandaloneEntry, StandaloneAgent, Hosted, HostedEntry, HostedAgent, Optional };

struct Key {
    std::string_view section;
    std::string_view name;
    Field field;
    Need need = Need::Optional;
    /// Bounds of numbers and durations.
    double minimum = 0;
    double maximum = 0;
    std::string_view example;
};

const std::array Keys{
    Key{"process", "role", &Settings::role, Need::Always, 0, 0, "entry"},
    Key{"process", "deployment", &Settings::deployment, Need::Optional, 0, 0, "hosted"},
    Key{"process", "name", &Settings::name, Need::Always, 0, 0, "entry-1"},
    Key{"process", "data_centre", &Settings::dataCentre, Need::Always, 0, 0, "hanoi"},
    Key{"process", "rack", &Settings::rack, Need::Optional, 0, 0, "rack-1"},
    Key{"process", "log_level", &Settings::logLevel, Need::Optional, 0, 0, "info"},
    Key{"process", "threads", &Settings::threads, Need::Optional, 1, 64, "2"},
    Key{"process", "shards", &Settings::shards, Need::Optional, 1, 1000, "1"},
    Key{"process", "policy", &Settings::adaptivePolicy, Need::Optional, 0, 0, "adaptive"},
    Key{"process", "seed", &Settings::seed, Need::Optional, 0, 9e15, "0"},
    Key{"listen", "http", &Settings::http, Need::Always, 0, 0, "127.0.0.1:8080"},
    Key{"listen", "grpc", &Settings::grpc, Need::Always, 0, 0, "127.0.0.1:9090"},
    Key{"listen", "advertise", &Settings::advertise, Need::Optional, 0, 0, "127.0.0.1:9090"},
    Key{"listen", "ready", &Settings::ready, Need::HostedEntry, 0, 0, "127.0.0.1:8081"},
    Key{"listen", "metrics", &Settings::metrics, Need::Optional, 0, 0, "127.0.0.1:9100"},
    Key{"hosted", "store", &Settings::store, Need::Hosted, 0, 0, "127.0.0.1:7000"},
    Key{"hosted", "upstream", &Settings::upstream, Need::HostedAgent, 0, 0, "127.0.0.1:7100"},
    Key{"hosted", "max_lease_ms", &Settings::maxLease, Need::Optional, 500, 600000, "6000"},
    Key{"platform", "table", &Settings::table, Need::Standalone, 0, 0, "127.0.0.1:7000"},
    Key{"platform", "objects", &Settings::objects, Need::Standalone, 0, 0, "127.0.0.1:7000"},
    Key{"platform", "worker", &Settings::worker, Need::StandaloneAgent, 0, 0, "127.0.0.1:7100"},
    Key{"platform", "timeout_ms", &Settings::platformTimeout, Need::Optional, 10, 60000, "1000"},
    Key{"entry", "operator_token", &Settings::operatorToken, Need::StandaloneEntry, 0, 0, "a-long-random-text"},
    Key{"entry", "max_body_bytes", &Settings::maxBodyBytes, Need::Optional, 1024, 16777216, "1048576"},
    Key{"entry", "default_timeout_ms", &Settings::defaultTimeout, Need::Optional, 10, 25000, "2000"},
    Key{"entry", "max_timeout_ms", &Settings::maxTimeout, Need::Optional, 10, 25000, "25000"},
    Key{"entry", "retry_ratio", &Settings::retryRatio, Need::Optional, 0, 1, "0.2"},
    Key{"entry", "max_charge_flows", &Settings::maxChargeFlows, Need::Optional, 1, 100000, "1000"},
    // Of about 4,100 descriptors 200 are for files; the rest also holds connections between processes.
    Key{"limits", "connections", &ClientLimits::connections, Need::Optional, 16, 3000, "2000"},
    Key{"limits", "status_connections", &Settings::statusConnections, Need::Optional, 8, 400, "128"},
    Key{"limits", "header_bytes", &ClientLimits::headerBytes, Need::Optional, 16384, 262144, "32768"},
    Key{"limits", "reading_bytes", &ClientLimits::readingBytes, Need::Optional, 4194304, 1073741824, "33554432"},
    Key{"limits", "header_ms", &ClientLimits::headerTime, Need::Optional, 100, 600000, "10000"},
    Key{"limits", "request_ms", &ClientLimits::requestTime, Need::Optional, 100, 600000, "60000"},
    Key{"limits", "idle_ms", &ClientLimits::idleTime, Need::Optional, 100, 600000, "60000"},
    Key{"limits", "write_ms", &ClientLimits::writeTime, Need::Optional, 100, 600000, "60000"},
    Key{"agent", "cpu_millis", &Settings::cpuMillis, Need::StandaloneAgent, 1, 1e9, "32000"},
    Key{"agent", "memory_mib", &Settings::memoryMiB, Need::StandaloneAgent, 1, 1e9, "128000"},
    Key{"agent", "accelerators", &Settings::accelerators, Need::Optional, 0, 1000, "0"},
    Key{"agent", "entries", &Settings::knownEntries, Need::Optional, 0, 0, "127.0.0.1:9090, 127.0.0.1:9091"},
    Key{"agent", "queue_limit", &Settings::queueLimit, Need::Optional, 0, 10000, "16"},
    Key{"scheduling", "order_by_value", &Settings::orderByValue, Need::Optional, 0, 0, "on"},
    Key{"scheduling", "admission", &Settings::admission, Need::Optional, 0, 0, "on"},
    Key{"scheduling", "preemption", &Settings::preemption, Need::Optional, 0, 0, "on"},
    Key{"scheduling", "relocation", &Settings::relocation, Need::Optional, 0, 0, "on"},
    Key{"scheduling", "group_services", &Settings::groupServices, Need::Optional, 0, 0, "on"},
    Key{"scheduling", "copies", &Settings::copies, Need::Optional, 0, 0, "on"},
    Key{"scheduling", "host_speed", &Settings::hostSpeed, Need::Optional, 0, 0, "on"},
    Key{"timing", "announce_interval_ms", &Settings::announceInterval, Need::Optional, 10, 10000, "500"},
    Key{"timing", "announce_timeout_ms", &Settings::announceTimeout, Need::Optional, 50, 60000, "2000"},
    Key{"timing", "sheet_poll_interval_ms", &Settings::sheetPollInterval, Need::Optional, 10, 10000, "500"},
    Key{"timing", "max_sheet_age_ms", &Settings::maxSheetAge, Need::Optional, 50, 60000, "2000"},
    Key{"timing", "leader_lease_ms", &Settings::leaderLease, Need::Optional, 100, 60000, "4000"},
    Key{"timing", "host_grant_ms", &Settings::hostGrant, Need::Optional, 200, 600000, "10000"},
    Key{"timing", "worker_lease_ms", &Settings::workerLease, Need::Optional, 200, 600000, "5000"},
    Key{"timing", "reassign_margin_ms", &Settings::reassignMargin, Need::Optional, 50, 600000, "2000"},
    Key{"timing", "outage_grace_ms", &Settings::outageGrace, Need::Optional, 100, 3600000, "300000"},
    Key{"timing", "drain_delay_ms", &Settings::drainDelay, Need::Optional, 0, 30000, "1500"},
    Key{"timing", "stop_timeout_ms", &Settings::stopTimeout, Need::Optional, 100, 120000, "30000"},
};

/// What was expected instead of an invalid value; empty when the value was accepted.
using Expectation = std::string;

std::string boundsText(const Key &key, std::string_view unit)
{
    std::ostringstream text;
    text.precision(12);
    text << "a number" << unit << " from " << key.minimum << " to " << key.maximum;
    return text.str();
}

template<typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    return error == std::errc{} && rest == end;
}

template<typename Number>
bool parseBounded(const Key &key, const std::string &text, Number &number)
{
    return parseNumber(std::string_view(text), number) && static_cast<double>(number) >= key.minimum
        && static_cast<double>(number) <= key.maximum;
}

Expectation assign(Settings &settings, const Key &key, std::string Settings::*field, const std::string &text)
{
    if (text.empty()) {
        return "a text that is not empty";
    }
    if (key.name == "log_level" && text != "debug" && text != "info" && text != "warning" && text != "error") {
        return "debug, info, warning or error";
    }
    settings.*field = text;
    return {};
}

template<typename Owner>
Expectation assign(Owner &settings, const Key &key, std::int64_t Owner::*field, const std::string &text)
{
    std::int64_t number = 0;
    if (!parseBounded(key, text, number)) {
        return boundsText(key, "");
    }
    settings.*field = number;
    return {};
}

Expectation assign(Settings &settings, const Key &key, double Settings::*field, const std::string &text)
{
    double number = 0;
    if (!parseBounded(key, text, number)) {
        return boundsText(key, "");
    }
    settings.*field = number;
    return {};
}

Expectation assign(Settings &settings, const Key &key, bool Settings::*field, const std::string &text)
{
    const bool isPolicy = key.name == "policy";
    const std::string_view enabled = isPolicy ? "adaptive" : "on";
    const std::string_view disabled = isPolicy ? "baseline" : "off";
    if (text != enabled && text != disabled) {
        return std::string(enabled) + " or " + std::string(disabled);
    }
    settings.*field = text == enabled;
    return {};
}

template<typename Owner>
Expectation assign(Owner &settings, const Key &key, Milliseconds Owner::*field, const std::string &text)
{
    std::int64_t number = 0;
    if (!parseBounded(key, text, number)) {
        return boundsText(key, " of milliseconds");
    }
    settings.*field = Milliseconds(number);
    return {};
}

template<typename Value>
Expectation assign(Settings &settings, const Key &key, Value ClientLimits::*field, const std::string &text)
{
    return assign(settings.limits, key, field, text);
}

Expectation assign(Settings &settings, const Key & /*key*/, Endpoint Settings::*field, const std::string &text)
{
    auto endpoint = parseEndpoint(text);
    if (!isOk(endpoint)) {
        return "an IP address and a port";
    }
    settings.*field = valueOf(endpoint);
    return {};
}

Expectation
assign(Settings &settings, const Key & /*key*/, std::vector<Endpoint> Settings::*field, const std::string &text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
    for (const std::string &part : parts) {
        auto endpoint = parseEndpoint(boost::algorithm::trim_copy(part));
        if (!isOk(endpoint)) {
            return "IP addresses with ports, separated by commas";
        }
        (settings.*field).push_back(valueOf(endpoint));
    }
    return {};
}

Expectation assign(Settings &settings, const Key & /*key*/, Role Settings::*field, const std::string &text)
{
    if (text != "entry" && text != "agent") {
        return "entry or agent";
    }
    settings.*field = text == "entry" ? Role::Entry : Role::Agent;
    return {};
}

Expectation assign(Settings &settings, const Key & /*key*/, Deployment Settings::*field, const std::string &text)
{
    if (text != "standalone" && text != "hosted") {
        return "standalone or hosted";
    }
    settings.*field = text == "hosted" ? Deployment::Hosted : Deployment::Standalone;
    return {};
}

bool isNeeded(Need need, const Settings &settings)
{
    const bool hosted = settings.deployment == Deployment::Hosted;
    const bool entry = settings.role == Role::Entry;
    switch (need) {
    case Need::Always:
        return true;
    case Need::Standalone:
        return !hosted;
    case Need::StandaloneEntry:
        return !hosted && entry;
    case Need::StandaloneAgent:
        return !hosted && !entry;
    case Need::Hosted:
        return hosted;
    case Need::HostedEntry:
        return hosted && entry;
    case Need::HostedAgent:
        return hosted && !entry;
    case Need::Optional:
        return false;
    }
    return false;
}

/// The values of an INI text by section and key.
using IniValues = std::map<std::pair<std::string, std::string>, std::string>;

int storeValue(void *values, const char *section, const char *name, const char *value)
{
    static_cast<IniValues *>(values)->insert_or_assign({section, name}, value == nullptr ? "" : value);
    return 1;
}

class SettingsReader
{
public:
    SettingsReader(std::string_view text, std::string_view path)
        : m_faultyLine(ini_parse_string(std::string(text).c_str(), storeValue, &m_values))
        , m_path(path)
    {
        m_settings.path = m_path;
    }

    Result<Settings> read()
    {
        if (m_faultyLine != 0) {
            m_faults << m_path << ":" << m_faultyLine << ": expected '[section]' or 'key = value'; correct this line\n";
        }
        reportUnknownKeys();
        for (const Key &key : Keys) {
            readKey(key);
        }
        for (const Key &key : Keys) {
            reportMissing(key);
        }
        checkCombinations();
        const std::string faults = m_faults.str();
        if (!faults.empty()) {
            return Error{ErrorKind::InvalidArgument, faults};
        }
        return m_settings;
    }

private:
    std::ostream &fault(std::string_view section, std::string_view key)
    {
        return m_faults << m_path << ": [" << section << "] " << key << ": ";
    }

    void reportUnknownKeys()
    {
        for (const auto &entry : m_values) {
            const std::string &section = entry.first.first;
            const std::string &name = entry.first.second;
            const bool known = std::ranges::any_of(
                Keys, [&](const Key &key) { return key.section == section && key.name == name; });
            if (!known) {
                fault(section, name) << "unknown key; expected a key of docs/OPERATIONS.md, so remove the line or "
                                        "correct its spelling\n";
            }
        }
    }

    void readKey(const Key &key)
    {
        const auto found = find(key);
        if (found == m_values.end()) {
            return;
        }
        const std::string &text = found->second;
        const Expectation expected = std::visit([&](auto field) { return assign(m_settings, key, field, text); },
                                                key.field);
        if (!expected.empty()) {
            fault(key.section, key.name) << "'" << text << "' is not valid; expected " << expected
                                         << "; write for example '" << key.name << " = " << key.example << "'\n";
        }
    }

    void reportMissing(const Key &key)
    {
        const bool needed = isNeeded(key.need, m_settings);
        if (needed && find(key) == m_values.end()) {
            fault(key.section, key.name) << "missing; write for example '" << key.name << " = " << key.example << "'\n";
        }
    }

    void checkCombinations()
    {
        if (m_settings.announceTimeout < 2 * m_settings.announceInterval) {
            fault("timing", "announce_timeout_ms")
                << "expected at least twice announce_interval_ms, so that one lost message removes no upstream\n";
        }
        // One request of the largest size must fit: its body in a string that doubles as it grows, and its headers.
        const std::int64_t largest = 2 * m_settings.maxBodyBytes + 64 * m_settings.limits.headerBytes;
        if (!m_values.contains({"limits", "reading_bytes"})) {
            m_settings.limits.readingBytes = std::max(m_settings.limits.readingBytes, largest);
        }
        if (m_settings.limits.readingBytes < largest) {
            fault("limits", "reading_bytes") << "expected at least twice max_body_bytes and 64 times header_bytes, so "
                                                "that every request within these can be read\n";
        }
        if (m_settings.limits.requestTime < m_settings.limits.headerTime) {
            fault("limits", "request_ms") << "expected at least header_ms, which is a part of it\n";
        }
    }

    [[nodiscard]] IniValues::const_iterator find(const Key &key) const
    {
        return m_values.find({std::string(key.section), std::string(key.name)});
    }

    IniValues m_values;
    int m_faultyLine = 0;
    std::string m_path;
    std::ostringstream m_faults;
    Settings m_settings;
};

} // namespace

std::string Endpoint::toString() const
{
    return address.find(':') == std::string::npos ? address + ":" + std::to_string(port)
                                                  : "[" + address + "]:" + std::to_string(port);
}

LogLevel logLevelOf(std::string_view name)
{
    static const std::map<std::string_view, LogLevel> Levels{{"debug", LogLevel::Debug},
                                                             {"info", LogLevel::Info},
                                                             {"warning", LogLevel::Warning},
                                                             {"error", LogLevel::Error}};
    return Levels.at(name);
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const Error error{ErrorKind::InvalidArgument,
                      "'" + std::string(text)
                          + "' is not an address; write an IP address and a port such as "
                            "127.0.0.1:8080"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return error;
    }
    std::string address(text.substr(0, colon));
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code invalid;
    boost::asio::ip::make_address(address, invalid);
    Endpoint endpoint{.address = address, .port = 0};
    if (invalid || !parseNumber(text.substr(colon + 1), endpoint.port)) {
        return error;
    }
    return endpoint;
}

Result<Settings> parseSettings(std::string_view text, std::string_view path)
{
    return SettingsReader(text, path).read();
}

Result<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error{ErrorKind::NotFound,
                     path
                         + ": cannot be read; name an existing INI file with --settings FILE (examples are in "
                           "config/)\n"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace Carobflow
