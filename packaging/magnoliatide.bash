# Bash completion of the commands and flags of magnoliatide.
_magnoliatide()
{
  local word="${COMP_WORDS[COMP_CWORD]}"
  local commands="serve check check-settings diff promote status audit explain help version"
  local flags="--settings --json --vms --token_file --target --generation --help"
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$word")
  elif [[ "$word" == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$flags" -- "$word")
  else
    mapfile -t COMPREPLY < <(compgen -f -- "$word")
  fi
}
complete -F _magnoliatide magnoliatide
