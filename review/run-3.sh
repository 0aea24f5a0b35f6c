# Sourced by the run.sh of a case: . ../run-3.sh PROGRAM, in the case's folder. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run.
export PROJECT_ROOT RECORD PROCESSES
RECORD=$PWD/record.txt
PROJECT_ROOT=$(cd ../.. && pwd)
PROCESSES=$(mktemp)
"$PROJECT_ROOT/target/review-3/release/$1" > /dev/null
code=$?
# Daemons that are left over, by the ids with which the case started them.
while read -r id; do
    case "$(readlink "/proc/$id/exe")" in
        "$PROJECT_ROOT/target/release/trefoilring"*) kill -CONT "$id"; kill -KILL "$id" ;;
    esac
done < "$PROCESSES"
rm -f "$PROCESSES"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
