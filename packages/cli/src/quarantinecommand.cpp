#include "output.h"

#include <ostream>

namespace apricotrock::cli {

namespace {

constexpr int statusNotFound = 404;
constexpr std::string_view noInstance =
    "no instance; give --instance IP:PORT with an operator address";

std::vector<std::string> quarantineRow(const Endpoint &instance, const Json &entry)
{
    const bool isQuarantined = entry.contains("quarantined") && entry["quarantined"] == Json(true);
    const auto timeLeft = countMember(entry, "time_left_ms");
    const auto crashes = countMember(entry, "crashes");
    return {instance.toString(),
            printable(textMember(entry, "id").value_or("-")),
            printable(textMember(entry, "service").value_or("-")),
            isQuarantined ? "quarantined" : "suspect",
            crashes ? std::to_string(*crashes) : "-",
            timeLeft ? formatDuration(std::chrono::seconds(*timeLeft / 1000)) : "-"};
}

} // namespace

ExitCode runQuarantineList(const Context &context)
{
    if (context.options.instances.empty())
        return fail(context, ExitCode::Invalid, std::string(noInstance));
    ExitCode code = ExitCode::Success;
    std::vector<std::vector<std::string>> table = {
        {"INSTANCE", "ID", "SERVICE", "STATE", "CRASHES", "TIME LEFT"}};
    Json list = Json::array();
    for (const Endpoint &instance : context.options.instances) {
        const auto answer = context.environment.callInstance(
            {instance, "GET", "/quarantine", context.options.timeout});
        const Json document =
            answer ? Json::parse(answer->body, nullptr, false) : Json(Json::value_t::discarded);
        if (!answer || answer->status != 200 || !document.is_object()) {
            code = fail(context, ExitCode::Unreachable,
                        instance.toString() + ": "
                            + (answer ? "unexpected answer with HTTP status "
                                       + std::to_string(answer->status)
                                      : answer.error().message));
            continue;
        }
        for (const Json &entry : listMember(document, "quarantines")) {
            if (!entry.is_object())
                continue;
            table.push_back(quarantineRow(instance, entry));
            list.push_back({{"address", instance.toString()}, {"quarantine", entry}});
        }
    }
    if (context.options.isJson)
        printJson(context, {{"quarantines", std::move(list)}});
    else
        context.environment.out << formatTable(table);
    return code;
}

ExitCode runQuarantineClear(const Context &context, const std::string &id)
{
    if (context.options.instances.empty())
        return fail(context, ExitCode::Invalid, std::string(noInstance));
    if (!IncarnationId::parse(id))
        return fail(context, ExitCode::Invalid,
                    "malformed id " + id + "; copy it from apricotrock quarantine list");
    ExitCode code = ExitCode::Success;
    // The clearing goes through the log to all instances, so the first that accepts it is enough.
    for (const Endpoint &instance : context.options.instances) {
        const auto answer = context.environment.callInstance(
            {instance, "DELETE", "/quarantine/" + id, context.options.timeout});
        if (answer && answer->status / 100 == 2) {
            if (context.options.isJson)
                printJson(context, {{"result", "cleared"}, {"address", instance.toString()}});
            else
                context.environment.out << "quarantine " << id << " is being cleared through "
                                        << instance.toString() << '\n';
            return ExitCode::Success;
        }
        if (!answer)
            code = fail(context, ExitCode::Unreachable,
                        instance.toString() + ": " + answer.error().message);
        else if (answer->status == statusNotFound)
            code = fail(context, ExitCode::Refused,
                        instance.toString() + ": no quarantine " + id
                            + "; look at apricotrock quarantine list");
        else
            code = fail(context, ExitCode::Refused,
                        instance.toString() + ": HTTP status " + std::to_string(answer->status)
                            + ": " + answer->body);
    }
    return code;
}

} // namespace apricotrock::cli
