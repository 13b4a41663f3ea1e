#include "output.h"

#include <ostream>
#include <set>

namespace apricotrock::cli {

namespace {

/// What one instance answered.
struct InstanceRow
{
    Endpoint address;
    /// Why there is no answer; empty if there is one.
    std::string error;
    Json document;
};

InstanceRow askInstance(const Context &context, const Endpoint &address)
{
    InstanceRow row;
    row.address = address;
    const auto answer =
        context.environment.callInstance({address, "GET", "/status", context.options.timeout});
    if (!answer) {
        row.error = answer.error().message;
        return row;
    }
    row.document = Json::parse(answer->body, nullptr, false);
    if (answer->status != 200)
        row.error = "HTTP status " + std::to_string(answer->status);
    else if (!row.document.is_object())
        row.error = "the answer is no status document";
    return row;
}

Json memberOf(const Json &object, const char *name)
{
    return object.is_object() && object.contains(name) ? object.at(name) : Json();
}

std::vector<std::string> tableRow(const InstanceRow &row)
{
    const std::string address = row.address.toString();
    if (!row.error.empty())
        return {"-", address, "-", "unreachable", "-", "-", "-", printable(row.error)};
    const Json configuration = memberOf(row.document, "configuration");
    const auto version = countMember(configuration, "version");
    const auto since = countMember(configuration, "since_ms");
    const Json ready = memberOf(row.document, "ready");
    return {printable(textMember(row.document, "instance").value_or("-")),
            address,
            printable(textMember(row.document, "availability_zone").value_or("-")),
            printable(textMember(row.document, "state").value_or("-")),
            ready == Json(true) ? "yes" : "no",
            version ? std::to_string(*version) : "-",
            since ? formatTime(*since) : "-",
            printable(textMember(configuration, "digest").value_or("-"))};
}

/// Returns the line that says whether all reached instances have the same configuration.
std::string summary(const std::vector<InstanceRow> &rows)
{
    std::set<std::pair<std::string, std::string>> versions;
    std::size_t reached = 0;
    for (const InstanceRow &row : rows) {
        if (!row.error.empty())
            continue;
        ++reached;
        const Json configuration = memberOf(row.document, "configuration");
        versions.emplace(memberOf(configuration, "version").dump(),
                         textMember(configuration, "digest").value_or("-"));
    }
    std::string text =
        std::to_string(reached) + " of " + std::to_string(rows.size()) + " instances answered";
    if (reached == 0)
        return text;
    if (versions.size() > 1)
        return text + ", with " + std::to_string(versions.size()) + " different configurations";
    const std::string &version = versions.begin()->first;
    return text
        + (version == "null" ? ", none has a configuration" : ", all have version " + version);
}

std::string_view stateName(platform::InstanceListState state)
{
    return state == platform::InstanceListState::Live ? "live" : "leaving";
}

std::string_view roleName(platform::InstanceRole role)
{
    return role == platform::InstanceRole::Entry ? "entry" : "backend";
}

/// Prints or adds the platform's list; it names peer addresses, so it tells whom nobody asked.
ExitCode listPlatform(const Context &context, Json &document)
{
    const GlobalOptions &options = context.options;
    const auto instances = context.environment.listInstances(options.instancesUrl, options.timeout);
    if (!instances)
        return fail(context, ExitCode::Unreachable,
                    "cannot read the instance list: " + instances.error().message
                        + "; check the URL or try again later");
    std::vector<std::vector<std::string>> rows = {{"LISTED", "ROLE", "ADDRESS", "ZONE", "STATE"}};
    Json list = Json::array();
    for (const platform::InstanceInfo &info : *instances) {
        rows.push_back({printable(info.name), std::string(roleName(info.role)),
                        info.address.toString(), printable(info.availabilityZone),
                        std::string(stateName(info.state))});
        list.push_back({{"name", info.name},
                        {"role", roleName(info.role)},
                        {"address", info.address.toString()},
                        {"zone", info.availabilityZone},
                        {"state", stateName(info.state)}});
    }
    document["listed"] = std::move(list);
    if (!options.isJson)
        context.environment.out << formatTable(rows);
    return ExitCode::Success;
}

void addRow(Json &list, const InstanceRow &row)
{
    Json entry = {{"address", row.address.toString()}};
    if (row.error.empty())
        entry["status"] = row.document;
    else
        entry["error"] = row.error;
    list.push_back(std::move(entry));
}

} // namespace

ExitCode runStatus(const Context &context)
{
    const GlobalOptions &options = context.options;
    if (options.instances.empty() && options.instancesUrl.empty())
        return fail(context, ExitCode::Invalid,
                    "no instance; give --instance IP:PORT with the operator address of each "
                    "instance, or --instances URL for the platform's list");
    std::vector<InstanceRow> rows;
    std::vector<std::vector<std::string>> table = {
        {"INSTANCE", "ADDRESS", "ZONE", "STATE", "READY", "VERSION", "SINCE", "DIGEST"}};
    Json document = {{"instances", Json::array()}};
    ExitCode code = ExitCode::Success;
    for (const Endpoint &address : options.instances) {
        rows.push_back(askInstance(context, address));
        table.push_back(tableRow(rows.back()));
        addRow(document["instances"], rows.back());
        if (!rows.back().error.empty())
            code = ExitCode::Unreachable;
    }
    if (!options.isJson && !rows.empty())
        context.environment.out << formatTable(table) << summary(rows) << '\n';
    if (!options.instancesUrl.empty() && listPlatform(context, document) != ExitCode::Success)
        code = ExitCode::Unreachable;
    if (options.isJson)
        printJson(context, document);
    return code;
}

} // namespace apricotrock::cli
