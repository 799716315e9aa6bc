#!/usr/bin/env bash
# Reads the output of go test and tells whether KNOWN-RED.txt explains all that
# failed in it. An entry explains the failure of a package if its line
#
#   red: PACKAGE | TEST, TEST... | TEXT
#
# names the package, names every test that failed there (none, if the process
# ended before a test did) and has a text that the output of the package holds.
# A data race is never explained.
#
#   tools/knownred.sh KNOWN-RED.txt OUTPUT
set -euo pipefail
awk -v known="$1" '
  BEGIN {
    while ((getline line < known) > 0) {
      if (line !~ /^red: /) continue
      split(substr(line, 6), part, / *\| */)
      n++; pkg[n] = part[1]; tests[n] = ", " part[2] ", "; text[n] = part[3]
    }
    bad = 0; seen = 0
  }
  /^(ok|\?) *\t/ || /no test files/ { block = ""; failed = ""; next }
  /^FAIL\t/ {
    seen = 1; explained = 0
    for (i = 1; i <= n && !explained; i++) {
      if ($2 != pkg[i] || !index(block, text[i]) || index(block, "DATA RACE")) continue
      explained = 1; count = split(failed, name, " ")
      for (j = 1; j <= count; j++) if (!index(tests[i], ", " name[j] ", ")) explained = 0
      if (count == 0 && tests[i] != ", none, ") explained = 0
    }
    print (explained ? "known: " : "NOT KNOWN: ") $2 (failed ? ":" failed : "")
    if (!explained) bad = 1
    block = ""; failed = ""; next
  }
  { block = block $0 "\n" }
  /^--- FAIL: / { failed = failed " " $3 }
  END { exit (bad || !seen) }
' "$2"
