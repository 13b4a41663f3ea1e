#include "apricotrock/config.h"

#include "canonical.h"

namespace apricotrock {

std::string objectLabel(const ObjectId &id)
{
    return id.kind + ' ' + id.name;
}

std::string canonicalText(const std::map<std::string, std::string> &values)
{
    std::string text;
    for (const auto &[key, value] : values)
        text.append(key).append(" = ").append(value).append("\n");
    return text;
}

Policy defaultPolicy(const std::string &name)
{
    std::vector<Problem> problems;
    Policy policy;
    policy.name = name;
    readFields(FieldReader(RawSection{}, problems), policy);
    return policy;
}

ObjectTexts readObjects(const std::string &file, const std::string &text,
                        std::vector<Problem> &problems)
{
    ObjectTexts objects;
    for (const RawSection &section : parseIni(file, text, problems)) {
        const auto space = section.header.find(' ');
        const ObjectId id{section.header.substr(0, space),
                          space == std::string::npos ? "" : section.header.substr(space + 1)};
        if (!isName(id.kind) || !isName(id.name)) {
            problems.push_back({file + ':' + std::to_string(section.lines.at("")), section.header,
                                "", "", "section header is not [KIND NAME]",
                                "write for example [service order-desk]; a name has 1 to 64 "
                                "letters, digits, '-', '_' and '.'"});
            continue;
        }
        objects.emplace(id, canonicalText(section.values));
    }
    return objects;
}

std::string formatObjects(const ObjectTexts &objects)
{
    std::string text;
    for (const auto &[id, lines] : objects) {
        if (!text.empty())
            text += '\n';
        text += '[' + objectLabel(id) + "]\n" + lines;
    }
    return text;
}

std::string configurationDigest(const ObjectTexts &objects)
{
    std::string content;
    for (const auto &[id, lines] : objects) {
        // The length keeps one object's text from passing for the start of the next object.
        content += id.kind + '\n' + id.name + '\n' + std::to_string(lines.size()) + '\n' + lines;
    }
    return digest128(content);
}

namespace {

wire::ChangeT makeChange(const ObjectId &id, const std::string &text, bool isRemoved)
{
    wire::ChangeT change;
    change.kind = id.kind;
    change.name = id.name;
    change.text = text;
    change.removed = isRemoved;
    return change;
}

} // namespace

std::vector<wire::ChangeT> diffObjects(const ObjectTexts &from, const ObjectTexts &to)
{
    std::map<ObjectId, wire::ChangeT> changes;
    for (const auto &[id, text] : from) {
        if (!to.contains(id))
            changes.emplace(id, makeChange(id, "", true));
    }
    for (const auto &[id, text] : to) {
        const auto old = from.find(id);
        if (old == from.end() || old->second != text)
            changes.emplace(id, makeChange(id, text, false));
    }
    std::vector<wire::ChangeT> sorted;
    sorted.reserve(changes.size());
    for (auto &[id, change] : changes)
        sorted.push_back(std::move(change));
    return sorted;
}

ObjectTexts applyChanges(ObjectTexts objects,
                         const std::vector<std::unique_ptr<wire::ChangeT>> &changes)
{
    for (const auto &change : changes) {
        if (!change)
            continue;
        ObjectId id{change->kind, change->name};
        if (change->removed)
            objects.erase(id);
        else
            objects.insert_or_assign(std::move(id), change->text);
    }
    return objects;
}

} // namespace apricotrock
