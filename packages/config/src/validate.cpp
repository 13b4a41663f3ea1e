#include "canonical.h"

#include <array>

namespace apricotrock {

namespace {

constexpr std::array<std::string_view, 4> kinds = {"availability-zone", "policy", "service",
                                                   "backend-server"};

/// Reads the objects of a set one by one into their typed form.
class SetReader
{
public:
    SetReader(const ObjectTexts &objects, std::vector<Problem> &problems)
        : m_objects(objects), m_problems(problems)
    { }

    Configuration read()
    {
        for (const auto &[id, text] : m_objects)
            readObject(id, text);
        return std::move(m_configuration);
    }

private:
    void readObject(const ObjectId &id, const std::string &text)
    {
        if (!isName(id.kind) || !isName(id.name))
            return report(id, "", "kind or name is not a name",
                          "use 1 to 64 letters, digits, '-', '_' and '.'");
        if (id.kind == kinds[0])
            readKind(id, text, availabilityZoneFields(), m_configuration.availabilityZones);
        else if (id.kind == kinds[1])
            readKind(id, text, policyFields(), m_configuration.policies);
        else if (id.kind == kinds[2])
            readKind(id, text, serviceFields(), m_configuration.services);
        else if (id.kind == kinds[3])
            readKind(id, text, backendServerFields(), m_configuration.backendServers);
        else
            report(id, "", "unknown kind",
                   "use availability-zone, policy, service or backend-server");
    }

    template <typename Object>
    void readKind(const ObjectId &id, const std::string &text, const std::vector<FieldInfo> &fields,
                  std::map<std::string, Object> &objects)
    {
        const std::string section = '[' + objectLabel(id) + "]\n" + text;
        std::vector<Problem> syntax;
        const std::vector<RawSection> sections = parseIni("", section, syntax);
        // Equal sets must have equal digests, so that only one text may stand for an object.
        if (!syntax.empty() || sections.size() != 1
            || canonicalText(sections.front().values) != text)
            return report(id, "", "text of the object is not in canonical form",
                          "publish with the apricotrock command");
        RawSection raw = sections.front();
        raw.file.clear();
        raw.lines.clear();
        const FieldReader reader(raw, m_problems);
        Object &object = objects[id.name];
        object.name = id.name;
        readFields(reader, object);
        reader.checkUnknownKeys(fields);
        checkReferences(id, raw, fields);
    }

    void checkReferences(const ObjectId &id, const RawSection &raw,
                         const std::vector<FieldInfo> &fields)
    {
        for (const FieldInfo &field : fields) {
            const auto value = raw.values.find(std::string(field.key));
            if (field.type != FieldType::Reference || value == raw.values.end()
                || !isName(value->second))
                continue;
            const std::string kind(field.detail);
            if (m_objects.contains({kind, value->second}))
                continue;
            report(id, std::string(field.key), "no " + kind + " has this name",
                   "add [" + kind + ' ' + value->second + "] or correct the name");
            m_problems.back().value = value->second;
        }
    }

    void report(const ObjectId &id, std::string key, std::string message, std::string remedy)
    {
        m_problems.push_back(
            {"", objectLabel(id), std::move(key), "", std::move(message), std::move(remedy)});
    }

    const ObjectTexts &m_objects;
    std::vector<Problem> &m_problems;
    Configuration m_configuration;
};

std::string serverLabel(const std::string &name)
{
    return objectLabel({std::string(kinds[3]), name});
}

void checkAddresses(const Configuration &configuration, std::vector<Problem> &problems)
{
    std::map<Endpoint, std::string> owners;
    for (const auto &[name, server] : configuration.backendServers) {
        if (server.address.ip.empty())
            continue;
        if (server.address.port == 0)
            problems.push_back({"", serverLabel(name), "address", server.address.toString(),
                                "port is 0", "write the port of the backend server"});
        const auto [owner, isNew] = owners.emplace(server.address, name);
        if (!isNew)
            problems.push_back({"", serverLabel(name), "address", server.address.toString(),
                                "address belongs to backend-server " + owner->second + " too",
                                "give each backend server an address of its own"});
    }
}

void checkServices(const ObjectTexts &objects, const Configuration &configuration,
                   std::vector<Problem> &problems)
{
    std::map<std::string, std::size_t> serverCounts;
    for (const auto &[name, server] : configuration.backendServers)
        ++serverCounts[server.service];
    for (const auto &[id, text] : objects) {
        if (id.kind != kinds[2] || serverCounts.contains(id.name))
            continue;
        problems.push_back(
            {"", objectLabel(id), "", "", "service has no backend server",
             "add a backend-server with service = " + id.name + " or remove the service"});
    }
}

void checkPolicies(const Configuration &configuration, std::vector<Problem> &problems)
{
    for (const auto &[name, policy] : configuration.policies) {
        if (policy.probePath.empty() || policy.probePath.front() == '/')
            continue;
        problems.push_back({"", objectLabel({std::string(kinds[1]), name}), "probe_path",
                            policy.probePath, "path does not start with /",
                            "write for example /health"});
    }
}

} // namespace

Configuration validate(const ObjectTexts &objects, std::vector<Problem> &problems)
{
    Configuration configuration = SetReader(objects, problems).read();
    checkAddresses(configuration, problems);
    checkServices(objects, configuration, problems);
    checkPolicies(configuration, problems);
    return configuration;
}

} // namespace apricotrock
