#include "carobflow/logging/log.h"

#include "carobflow/logging/internal/nonblockinglinebuffer.h"

#include <atomic>
#include <iostream>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace Carobflow
{
namespace
{

std::atomic<LogLevel> minimumLevel{LogLevel::Info};

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\t\r\n\\") != std::string_view::npos;
}

void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char character : value) {
        switch (character) {
        case '"':
        case '\\':
            text += '\\';
            text += character;
            break;
        case '\n':
            text += "\\n";
            break;
        case '\r':
            text += "\\r";
            break;
        default:
            text += character;
        }
    }
    text += '"';
}

} // namespace

void configureLog(std::string_view process, LogLevel lowest)
{
    minimumLevel = lowest;
    // Never destroyed, because lines may be written until the process exits.
    static auto *lines = new NonBlockingLineBuffer(NonBlockingLineBuffer::Options{});
    std::cout.rdbuf(lines);
    std::string name;
    for (const char character : process) {
        name += character == '%' ? '_' : character;
    }
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process=" + name + " %msg");
    el::Loggers::reconfigureAllLoggers(configuration);
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level)
    , m_enabled(level >= minimumLevel.load(std::memory_order_relaxed))
{
    with("event", event);
}

LogLine::~LogLine()
{
    if (!m_enabled) {
        return;
    }
    switch (m_level) {
    case LogLevel::Debug:
        LOG(DEBUG) << m_text;
        break;
    case LogLevel::Info:
        LOG(INFO) << m_text;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << m_text;
        break;
    case LogLevel::Error:
        LOG(ERROR) << m_text;
        break;
    }
}

LogLine &LogLine::with(std::string_view key, std::string_view value)
{
    if (!m_enabled) {
        return *this;
    }
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text += key;
    m_text += '=';
    if (needsQuotes(value)) {
        appendQuoted(m_text, value);
    } else {
        m_text += value;
    }
    return *this;
}

LogLine logDebug(std::string_view event)
{
    return {LogLevel::Debug, event};
}

LogLine logInfo(std::string_view event)
{
    return {LogLevel::Info, event};
}

LogLine logWarning(std::string_view event)
{
    return {LogLevel::Warning, event};
}

LogLine logError(std::string_view event)
{
    return {LogLevel::Error, event};
}

} // namespace Carobflow
