#!/usr/bin/env bash
# A lasting job, none of whose runs ever ends as failed, is shown as failed
# after two crashes of the executor that runs it.
. "$(dirname "$0")/../standins-2/lib.sh"
JOB=00000000000000a1

start_deployment 3 8 q1
call 0 POST /q1/$JOB '{"spec":"ms=600000","longRunning":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimateMs":60000}]}'
[ "$ANSWER_STATUS" = 200 ] || unable "the job was not accepted"

at_work() {
  HOLDER=$(runs $JOB | jq -r 'select(.how == "") | .executor')
  [ -n "$HOLDER" ]
}
for crash in 1 2; do
  wait_for 20 at_work || break
  at_work
  sleep 5
  record_runs $JOB
  if [ "$TROUBLE" = 1 ]; then
    # One of eight executors (0.125) is down for 4.5 s.
    kill_process "executor-$HOLDER"
    sleep 4.5
    start_executor "$HOLDER"
    record "executor-$HOLDER is back"
  fi
done
for ((i = 0; i < 30; ++i)); do
  state 1 /q1/$JOB
  case $STATE in failed | cancelled | 410) break ;; esac
  sleep 0.5
done
record_runs $JOB
if runs $JOB | jq -e 'select(.how == "failed")' >/dev/null; then
  unable "a run has ended as failed"
fi
case $STATE in
  failed | cancelled | 410) broken "LOST: $JOB is shown as $STATE, no run of it has failed" ;;
esac
held "$JOB is $STATE"
