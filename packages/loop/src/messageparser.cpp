#include "messageparser.h"

namespace apricotrock::loop {

MessageParser::MessageParser(http_parser_type messageType)
    : type(messageType), m_headScanner(messageType == HTTP_REQUEST ? HeadScanner::FirstLine::Request
                                                                   : HeadScanner::FirstLine::Status)
{
    reset();
}

void MessageParser::reset()
{
    http_parser_init(&parser, type);
    parser.data = this;
    target.clear();
    reason.clear();
    headers.clear();
    body.clear();
    errorText.clear();
    declaredBodyBytes.reset();
    headerBytes = 0;
    isHeaderTooLarge = isBodyTooLarge = false;
    hasStarted = hasHeaders = isComplete = keepAlive = needsEnd = false;
    m_lastWasValue = false;
    m_headScanner.reset();
    m_chunkScanner.reset();
}

MessageParser &MessageParser::of(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

const http_parser_settings &MessageParser::settings()
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_message_begin = onMessageBegin;
        made.on_url = onTarget;
        made.on_status = onReason;
        made.on_header_field = onField;
        made.on_header_value = onValue;
        made.on_headers_complete = onHeadersComplete;
        made.on_body = onBody;
        made.on_message_complete = onMessageComplete;
        return made;
    }();
    return callbacks;
}

std::size_t MessageParser::feed(const char *data, std::size_t size)
{
    std::size_t used = 0;
    if (!hasHeaders) {
        const std::optional<std::size_t> head = m_headScanner.feed({data, size});
        if (!head) {
            errorText = m_headScanner.error();
            return 0;
        }
        used = execute(data, *head);
        // The coding of the body is known after the head.
        if (!hasHeaders || isComplete || !errorText.empty() || used == size)
            return used;
    }
    const bool isChunked = (parser.flags & F_CHUNKED) != 0;
    if (isChunked && !m_chunkScanner.feed({data + used, size - used})) {
        errorText = "invalid chunk";
        return used;
    }
    return used + execute(data + used, size - used);
}

std::size_t MessageParser::execute(const char *data, std::size_t size)
{
    const std::size_t used = http_parser_execute(&parser, &settings(), data, size);
    const http_errno error = HTTP_PARSER_ERRNO(&parser);
    if (error == HPE_PAUSED) {
        http_parser_pause(&parser, 0);
        return used;
    }
    if (error != HPE_OK)
        errorText = http_errno_description(error);
    return used;
}

void MessageParser::finishInput()
{
    http_parser_execute(&parser, &settings(), nullptr, 0);
    if (!isComplete && HTTP_PARSER_ERRNO(&parser) != HPE_OK)
        errorText = http_errno_description(HTTP_PARSER_ERRNO(&parser));
}

int MessageParser::addHeaderBytes(std::size_t count)
{
    headerBytes += count;
    if (maxHeaderBytes == 0 || headerBytes <= maxHeaderBytes)
        return 0;
    isHeaderTooLarge = true;
    return -1;
}

int MessageParser::onMessageBegin(http_parser *parser)
{
    of(parser).hasStarted = true;
    return 0;
}

int MessageParser::onTarget(http_parser *parser, const char *data, std::size_t size)
{
    of(parser).target.append(data, size);
    return of(parser).addHeaderBytes(size);
}

int MessageParser::onReason(http_parser *parser, const char *data, std::size_t size)
{
    of(parser).reason.append(data, size);
    return of(parser).addHeaderBytes(size);
}

int MessageParser::onField(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &self = of(parser);
    if (self.hasHeaders)
        return 0; // Trailers of a chunked body are ignored, so they are not forwarded.
    if (self.headers.empty() || self.m_lastWasValue)
        self.headers.emplace_back();
    self.m_lastWasValue = false;
    self.headers.back().name.append(data, size);
    return self.addHeaderBytes(size + 2);
}

int MessageParser::onValue(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &self = of(parser);
    if (self.hasHeaders)
        return 0;
    self.m_lastWasValue = true;
    self.headers.back().value.append(data, size);
    return self.addHeaderBytes(size + 2);
}

int MessageParser::onHeadersComplete(http_parser *parser)
{
    MessageParser &self = of(parser);
    self.hasHeaders = true;
    self.keepAlive = http_should_keep_alive(parser) != 0;
    // Protocol upgrades are not supported; such a request is handled like any other.
    parser->upgrade = 0;
    const bool hasNoBody = self.isHead || parser->status_code / 100 == 1
        || parser->status_code == 204 || parser->status_code == 304;
    const bool isFramed = (parser->flags & F_CHUNKED) != 0 || parser->content_length != UINT64_MAX;
    self.needsEnd = self.type == HTTP_RESPONSE && !hasNoBody && !isFramed;
    if (self.maxBodyBytes > 0 && parser->content_length != UINT64_MAX
        && parser->content_length > self.maxBodyBytes) {
        self.isBodyTooLarge = true;
        return -1;
    }
    if (parser->content_length != UINT64_MAX)
        self.declaredBodyBytes = parser->content_length;
    return self.isHead ? 1 : 0;
}

int MessageParser::onBody(http_parser *parser, const char *data, std::size_t size)
{
    MessageParser &self = of(parser);
    self.body.append(data, size);
    if (self.maxBodyBytes == 0 || self.body.size() <= self.maxBodyBytes)
        return 0;
    self.isBodyTooLarge = true;
    return -1;
}

int MessageParser::onMessageComplete(http_parser *parser)
{
    of(parser).isComplete = true;
    // Stops parsing at the end of the message; bytes after it stay unconsumed.
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace apricotrock::loop
