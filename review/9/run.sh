#!/usr/bin/env bash
# A job that was accepted while the leader was replaced never runs, though the
# executors are nearly idle: jobs of which one task can't be placed block it.
. "$(dirname "$0")/../standins-2/lib.sh"
JOB=00000000000000c1

start_deployment 3 8 q1
FIRST=$(leader)
ACCEPTOR=$(((FIRST + 1) % ENTRIES))
# Nine tasks that last, at most one on each of eight executors: eight run, the
# ninth waits for another executor. They take 8 x 100 of 16,000 there.
for ((i = 1; i <= 8; ++i)); do
  call $ACCEPTOR POST /q1/00000000000000d$i '{"spec":"ms=600000","longRunning":true,"steps":[{"count":9,"cpu":100,"memMb":16,"estimateMs":900,"antiAffinity":1}]}'
  [ "$ANSWER_STATUS" = 200 ] || unable "a lasting job was not accepted"
done
sleep 3
record "running: $(runs 00000000000000d | jq -s 'map(select(.how == "")) | length')"
[ "$TROUBLE" = 1 ] && kill_process "entry-$FIRST"
sleep 0.5
call $ACCEPTOR POST /q1/$JOB '{"spec":"ms=200","steps":[{"count":2,"cpu":1000,"memMb":64,"estimateMs":200}]}'
[ "$ANSWER_STATUS" = 200 ] || unable "the job was not accepted"
sleep 2.8
[ "$TROUBLE" = 1 ] && start_entry "$FIRST"
# recoverS is 12 s and finish_s 14 s; beyond both, LOST gives a job 3 s.
for ((i = 0; i < 60; ++i)); do
  state $ACCEPTOR /q1/$JOB
  [ "$STATE" = completed ] && break
  sleep 0.5
done
record "running: $(runs 00000000000000d | jq -s 'map(select(.how == "")) | length')"
record_runs $JOB
[ "$STATE" = completed ] && held "$JOB is $STATE"
[ -z "$(runs $JOB)" ] && broken "LOST: 30 s after its ack $JOB is $STATE, and none of its tasks has begun"
broken "LOST: $JOB is $STATE 30 s after its ack"
