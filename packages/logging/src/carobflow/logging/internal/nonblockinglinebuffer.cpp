#include "carobflow/logging/internal/nonblockinglinebuffer.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace Carobflow
{
namespace
{

/// A writable pipe accepts this many bytes without blocking (PIPE_BUF); longer lines are truncated.
constexpr std::size_t MaxLineBytes = 4096;

} // namespace

NonBlockingLineBuffer::NonBlockingLineBuffer(Options options)
    : m_options(options)
    , m_tokens(options.burst)
    , m_refilledAt(std::chrono::steady_clock::now())
{
}

NonBlockingLineBuffer::int_type NonBlockingLineBuffer::overflow(int_type character)
{
    if (character != traits_type::eof()) {
        m_line += traits_type::to_char_type(character);
        if (m_line.back() == '\n') {
            writeLine();
        }
    }
    return traits_type::not_eof(character);
}

std::streamsize NonBlockingLineBuffer::xsputn(const char *text, std::streamsize count)
{
    for (std::streamsize index = 0; index < count; ++index) {
        overflow(traits_type::to_int_type(text[index]));
    }
    return count;
}

int NonBlockingLineBuffer::sync()
{
    return 0;
}

bool NonBlockingLineBuffer::takeToken()
{
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(m_options.burst, m_tokens + seconds * m_options.linesPerSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool NonBlockingLineBuffer::isWritable() const
{
    pollfd entry{.fd = m_options.descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

void NonBlockingLineBuffer::writeLine()
{
    std::string line = std::exchange(m_line, {});
    if (!takeToken() || !isWritable()) {
        ++m_droppedLines;
        ++m_unreportedDrops;
        return;
    }
    if (m_unreportedDrops > 0) {
        line.insert(0, "event=log-lines-left-out count=" + std::to_string(std::exchange(m_unreportedDrops, 0)) + "\n");
    }
    if (line.size() > MaxLineBytes) {
        line.resize(MaxLineBytes);
        line.back() = '\n';
    }
    // A write error is ignored: there is no other place to report it.
    [[maybe_unused]] const ssize_t written = ::write(m_options.descriptor, line.data(), line.size());
}

} // namespace Carobflow
