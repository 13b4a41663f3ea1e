#include "configlog.h"

#include "output.h"

namespace apricotrock::cli {

platform::PlatformResult<void> readForward(ConfigStream &stream, ConfigLog &log)
{
    while (true) {
        const auto answer = stream.read(log.next);
        if (!answer)
            return tl::make_unexpected(answer.error());
        log.first = answer->first;
        for (const platform::RawRecord &raw : answer->records) {
            auto decoded = wire::decodeLogRecord(raw.data);
            const auto record =
                decoded ? std::make_shared<const wire::LogRecordT>(std::move(*decoded)) : nullptr;
            foldRecord(log.state, raw.offset, record, answer->first);
            log.next = std::max(log.next, raw.offset + 1);
        }
        if (answer->records.empty() || log.next >= answer->next) {
            log.next = std::max(log.next, answer->next);
            return {};
        }
    }
}

std::optional<ConfigLog> openLog(const Context &context, std::unique_ptr<ConfigStream> &stream,
                                 ExitCode &code)
{
    const GlobalOptions &options = context.options;
    if (options.logUrl.empty()) {
        code = fail(context, ExitCode::Invalid,
                    "no platform log; give --log http://IP:PORT or set APRICOTROCK_LOG");
        return std::nullopt;
    }
    stream = context.environment.openStream(options.logUrl, options.timeout);
    ConfigLog log;
    const auto result = readForward(*stream, log);
    if (!result) {
        code = fail(context, ExitCode::Unreachable,
                    "cannot read the platform log: " + result.error().message
                        + "; nothing was changed, check the URL or try again later");
        return std::nullopt;
    }
    return log;
}

std::optional<AcceptedConfiguration> inForce(const ConfigLog &log)
{
    if (isContinuous(log.state))
        return log.state.current;
    const bool isNewLog = log.next == 0 && log.first == 0;
    return isNewLog ? std::optional(emptyConfiguration()) : std::nullopt;
}

std::string lostConfigurationMessage()
{
    return "the log does not hold the configuration any more; publish it again from version "
           "control with publish --initial --base N, where N is the highest version that any "
           "instance shows in status (0 if none is left)";
}

} // namespace apricotrock::cli
