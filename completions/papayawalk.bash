# Completes commands and options of papayawalk in bash: source this file.
_papayawalk() {
  local word=${COMP_WORDS[COMP_CWORD]}
  local commands="apply diff status rollout audit drain outcome check version"
  local common="--table-address --host-list-address --json --help"
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "$commands --help --version" -- "$word")
    return
  fi
  local own=""
  case ${COMP_WORDS[1]} in
    apply | diff) own="--dry-run --base --operator" ;;
    rollout | status) own="--timeout-seconds" ;;
    check) own="--against" ;;
    outcome) own="--team" ;;
  esac
  mapfile -t COMPREPLY < <(compgen -f -W "$common $own" -- "$word")
}
complete -F _papayawalk papayawalk
