#include "apricotrock/cli.h"

#include "apricotrock/fields.h"
#include "commands.h"

#include <CLI/CLI.hpp>

#include <sstream>

namespace apricotrock::cli {

namespace {

constexpr std::size_t defaultHistoryLimit = 20;
constexpr std::chrono::minutes longestTrace{1};

/// Values that the parser fills in.
struct Arguments
{
    GlobalOptions global;
    CheckOptions check;
    PublishOptions publish;
    DrainOptions drain;
    TraceOptions trace;
    ExplainOptions explain;
    std::string diffFile;
    std::string replayFile;
    std::string quarantineId;
    std::size_t historyLimit = defaultHistoryLimit;
};

using Run = std::function<ExitCode(const Context &context)>;

/// Declares the options of all commands; the command that is given sets its name and function.
class Parser
{
public:
    explicit Parser(Arguments &arguments) : m_arguments(arguments)
    {
        m_app.name("apricotrock");
        m_app.require_subcommand(1);
        m_app.fallthrough();
        m_app.footer("Exit codes: 0 success, 1 refused or failed, 2 usage or invalid input, "
                     "3 platform or instance unreachable, 4 lost a race.");
        addGlobalOptions();
        addFileCommands();
        addLogCommands();
        addInstanceCommands();
    }

    CLI::App &app() { return m_app; }
    [[nodiscard]] const std::string &command() const { return m_command; }
    [[nodiscard]] const Run &run() const { return m_run; }

private:
    CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &help,
                         Run run)
    {
        CLI::App *command = parent.add_subcommand(name, help);
        command->fallthrough();
        const std::string label = &parent == &m_app ? name : parent.get_name() + ' ' + name;
        command->callback([this, label, run = std::move(run)] {
            m_command = label;
            m_run = run;
        });
        return command;
    }

    static void addDuration(CLI::App &app, const std::string &name, const std::string &help,
                            std::chrono::milliseconds &value, std::chrono::milliseconds maximum)
    {
        const auto read = [&value, name, maximum](const std::string &text) {
            const auto duration = parseDuration(text);
            const std::chrono::milliseconds lowest{1};
            if (!duration || *duration < lowest || *duration > maximum)
                throw CLI::ValidationError(name,
                                           '"' + text + "\" is no duration from 1ms to "
                                               + formatDuration(maximum) + ", for example 5s");
            value = std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
        };
        app.add_option_function<std::string>(name, read, help)
            ->type_name("DURATION")
            ->default_str(formatDuration(value));
    }

    void addGlobalOptions()
    {
        GlobalOptions &global = m_arguments.global;
        const CLI::Validator isUrl(
            [](const std::string &text) {
                const std::string scheme = "http://";
                const bool isValid = text.starts_with(scheme)
                    && Endpoint::parse(text.substr(scheme.size())).has_value();
                return isValid ? std::string() : '"' + text + "\" is not http://IP:PORT";
            },
            "URL");
        m_app.add_option("--log", global.logUrl, "Platform log service")
            ->check(isUrl)
            ->envname("APRICOTROCK_LOG");
        m_app.add_option("--instances", global.instancesUrl, "Platform instance list")
            ->check(isUrl)
            ->envname("APRICOTROCK_INSTANCES");
        const auto addInstance = [&global](const std::vector<std::string> &texts) {
            for (const std::string &text : texts) {
                const auto address = Endpoint::parse(text);
                if (!address || address->port == 0)
                    throw CLI::ValidationError("--instance", '"' + text + "\" is not IP:PORT");
                global.instances.push_back(*address);
            }
        };
        m_app
            .add_option_function<std::vector<std::string>>(
                "--instance", addInstance, "Operator address of an instance; may be repeated")
            ->type_name("IP:PORT")
            ->expected(1)
            ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
        m_app
            .add_option_function<std::string>(
                "--output", [&global](const std::string &text) { global.isJson = text == "json"; },
                "Output format")
            ->check(CLI::IsMember({"text", "json"}))
            ->default_str("text");
        addDuration(m_app, "--timeout", "Limit of the command", global.timeout,
                    std::chrono::hours(1));
    }

    void addFileCommands()
    {
        Arguments &arguments = m_arguments;
        CLI::App *check =
            addCommand(m_app, "check", "Check a configuration file and report every problem",
                       [&](const Context &context) { return runCheck(context, arguments.check); });
        check->add_option("FILE", arguments.check.file, "Configuration file")->required();
        check->add_flag("--settings", arguments.check.isSettings,
                        "FILE holds the settings of an instance");
        CLI::App *replay = addCommand(
            m_app, "replay", "Run a trace and check its expected outcomes",
            [&](const Context &context) { return runReplay(context, arguments.replayFile); });
        replay->add_option("TRACE", arguments.replayFile, "Trace file (JSON lines)")->required();
        CLI::App *explain = addCommand(
            m_app, "explain", "Tell what happened to one request, from the logs of instances",
            [&](const Context &context) { return runExplain(context, arguments.explain); });
        explain->add_option("REQUEST-ID", arguments.explain.request, "Id that the caller sent")
            ->required();
        explain->add_option("FILE", arguments.explain.files,
                            "Logs of apricotrock-gateway; standard input without any");
    }

    void addLogCommands()
    {
        Arguments &arguments = m_arguments;
        CLI::App *publish = addCommand(
            m_app, "publish", "Publish a configuration file and report the verdict",
            [&](const Context &context) { return runPublish(context, arguments.publish); });
        publish->add_option("FILE", arguments.publish.file, "Configuration file")->required();
        publish->add_option(
            "--base", arguments.publish.base,
            "Version that must be in force; with --initial, the last version known");
        publish->add_flag("--initial", arguments.publish.isInitial,
                          "Start anew after the log has lost the configuration");
        publish->add_option("--author", arguments.publish.author, "Name shown in the history");
        publish->add_option("--comment", arguments.publish.comment, "Reason shown in the history");
        CLI::App *diff = addCommand(
            m_app, "diff", "Show what a publication of a file would change",
            [&](const Context &context) { return runDiff(context, arguments.diffFile); });
        diff->add_option("FILE", arguments.diffFile, "Configuration file")->required();
        CLI::App *history = addCommand(
            m_app, "history", "Show publications and their verdicts in log order",
            [&](const Context &context) { return runHistory(context, arguments.historyLimit); });
        history->add_option("--limit", arguments.historyLimit, "Newest publications to show")
            ->capture_default_str();
    }

    void addInstanceCommands()
    {
        Arguments &arguments = m_arguments;
        addCommand(m_app, "status", "Show the state and the configuration of instances", runStatus);
        CLI::App *drain = addCommand(
            m_app, "drain", "Drain a backend server, or stop instances given by --instance",
            [&](const Context &context) { return runDrain(context, arguments.drain); });
        drain->add_option("BACKEND-SERVER", arguments.drain.backendServer,
                          "Backend server that gets no new requests");
        drain->add_flag("--undo", arguments.drain.isUndo, "Make the backend server active again");
        drain->add_option("--author", arguments.drain.author, "Name shown in the history");
        CLI::App *trace =
            addCommand(m_app, "trace", "Record the events of one instance",
                       [&](const Context &context) { return runTrace(context, arguments.trace); });
        addDuration(*trace, "--duration", "Length of the recording", arguments.trace.duration,
                    longestTrace);
        trace->add_option("--lane", arguments.trace.lane, "Lane to record")->capture_default_str();
        trace->add_option("--file", arguments.trace.file, "Write to a file instead of the output");
        CLI::App *quarantine = m_app.add_subcommand(
            "quarantine", "Show and clear quarantines of requests that crash backend servers");
        quarantine->require_subcommand(1);
        quarantine->fallthrough();
        addCommand(*quarantine, "list", "Show quarantined and suspected requests",
                   runQuarantineList);
        CLI::App *clear = addCommand(*quarantine, "clear", "Clear a quarantine on all instances",
                                     [&](const Context &context) {
                                         return runQuarantineClear(context, arguments.quarantineId);
                                     });
        clear->add_option("ID", arguments.quarantineId, "Id from quarantine list")->required();
    }

    Arguments &m_arguments;
    CLI::App m_app{"Controls apricotrock load balancers."};
    std::string m_command;
    Run m_run;
};

} // namespace

ExitCode runCommand(const std::vector<std::string> &arguments, const Environment &environment)
{
    Arguments values;
    Parser parser(values);
    try {
        // CLI11 takes the arguments in reverse order.
        parser.app().parse(std::vector<std::string>(arguments.rbegin(), arguments.rend()));
    } catch (const CLI::ParseError &error) {
        const int code = parser.app().exit(error, environment.out, environment.err);
        return code == 0 ? ExitCode::Success : ExitCode::Invalid;
    }
    return parser.run()({environment, values.global, parser.command()});
}

} // namespace apricotrock::cli
