#include "carobflow/daemon/internal/requestreader.h"

namespace Carobflow
{

namespace http = boost::beast::http;

namespace
{

/// Read beyond the framing that a request may have, so that a body beside it arrives in few reads.
constexpr std::size_t BodyReadBytes = 8192;
/// The shortest field, `a:` with its line end, has 4 bytes in the buffer and takes about 190 bytes as a field of the
/// parser and of HttpServerRequest.
constexpr std::uint64_t FieldOverhead = 190;

} // namespace

RequestReader::RequestReader(Options options, boost::beast::flat_buffer &buffer)
    : m_options(options)
    , m_buffer(buffer)
    , m_onChunkHeader(
          [this](std::uint64_t /*size*/, boost::beast::string_view extension, boost::system::error_code &failure) {
              m_extensionBytes += extension.size();
              if (m_extensionBytes > m_options.maxHeaderBytes) {
                  failure = http::error::header_limit;
              }
          })
{
    m_parser.on_chunk_header(m_onChunkHeader);
    m_parser.header_limit(options.maxHeaderBytes);
    m_parser.body_limit(options.maxBodyBytes);
    m_parser.eager(true);
}

bool RequestReader::parse(boost::system::error_code &error)
{
    if (m_buffer.size() > 0) {
        m_buffer.consume(m_parser.put(m_buffer.data(), error));
    }
    if (error == http::error::need_more) {
        error = {};
    }
    if (!error && !m_parser.is_done() && m_buffer.size() >= m_options.maxHeaderBytes) {
        // The parser waits for the end of a header, a chunk-size line or the trailers, and would buffer without end.
        error = http::error::header_limit;
    }
    return m_parser.is_done();
}

bool RequestReader::hasHeader() const
{
    return m_parser.is_header_done();
}

std::uint64_t RequestReader::heldBytes()
{
    if (!m_headersCounted) {
        m_fieldBytes = 0;
        for (const auto &field : m_parser.get()) {
            m_fieldBytes += FieldOverhead + 2 * (field.name_string().size() + field.value().size());
        }
        m_headersCounted = hasHeader();
    }
    return m_buffer.capacity() + m_parser.get().body().capacity() + m_fieldBytes;
}

http::request<ReceivedBody> RequestReader::release()
{
    return m_parser.release();
}

std::size_t RequestReader::maxBufferBytes(const Options &options)
{
    return options.maxHeaderBytes + BodyReadBytes;
}

} // namespace Carobflow
