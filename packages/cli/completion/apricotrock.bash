# Completion of the apricotrock command for bash.
# Load it with: source apricotrock.bash, or copy it to the completions folder of bash-completion.

_apricotrock_words()
{
    mapfile -t COMPREPLY < <(compgen -W "$1" -- "$2")
}

_apricotrock()
{
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local commands="check publish diff history status drain trace replay quarantine"
    local global="--log --instances --instance --output --timeout --help"
    local command="" word
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        if [[ " $commands " == *" $word "* ]]; then
            command=$word
            break
        fi
    done
    case $previous in
    --output) _apricotrock_words "text json" "$current"; return ;;
    --file) mapfile -t COMPREPLY < <(compgen -f -- "$current"); return ;;
    --log | --instances | --instance | --timeout | --base | --author | --comment | --duration | \
        --lane | --limit) COMPREPLY=(); return ;;
    esac
    local options=$global
    case $command in
    "") _apricotrock_words "$commands $global" "$current"; return ;;
    check) options="--settings $global" ;;
    publish) options="--base --initial --author --comment $global" ;;
    history) options="--limit $global" ;;
    drain) options="--undo --author $global" ;;
    trace) options="--duration --lane --file $global" ;;
    quarantine) options="list clear $global" ;;
    esac
    if [[ $current != -* && " check publish diff replay " == *" $command "* ]]; then
        mapfile -t COMPREPLY < <(compgen -f -- "$current")
        return
    fi
    _apricotrock_words "$options" "$current"
}

complete -o filenames -F _apricotrock apricotrock
