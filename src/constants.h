/*
 * The constants of ploverloft that are the same in every deployment. Values that depend on a
 * deployment come from the settings (`facts`) and the cloud's catalog.
 *
 * The end of a name is the unit: _S seconds, _MS milliseconds, _BYTES bytes, _SHARE a share of 1,
 * _REPORTS intervals between an agent's reports (`report_s`), _LEASES agent leases (`lease_s`),
 * _COST_S a cost in seconds of waiting. Other names count what they name, or the comment says the
 * unit.
 */
#ifndef PLOVERLOFT_CONSTANTS_H
#define PLOVERLOFT_CONSTANTS_H

#define PLOVERLOFT_VERSION "0.6.5"

/* --- network and event loop --- */

/* Size of an address as text in bytes: "255.255.255.255:65535" and some more. */
#define NET_ADDR_MAX 64
/* Bytes that one read from a socket takes: most messages come in one system call. */
#define NET_READ_CHUNK_BYTES 8192
/* Events of callers handled in one event-loop iteration: this bounds how long answers to our own
 * calls wait. */
#define NET_CALLER_EVENTS_MAX 64
/* Time between two event-loop iterations from which the loop is late: callers' streams are then
 * read to their end, to drop callers that have given up. Callers give up after a few such delays.
 */
#define NET_LOOP_LAG_S 0.5
/* Connections accepted in one event-loop iteration, so that answers are not starved. */
#define NET_ACCEPT_BATCH 32
/* One in this many of the sockets for callers is kept free if possible. */
#define NET_SPARE_CONNS_DIVISOR 50
/* Sockets kept for our own calls to the state service, the cloud and agents. */
#define NET_CONNS_RESERVED 64
/* Time for which a partly received request, or a response that the caller does not read, may hold a
 * socket. */
#define NET_MESSAGE_TIMEOUT_S 10.0
/* Time that an idle connection of our own is kept open, since to connect again costs more. */
#define NET_CLIENT_IDLE_MAX_S 40.0
/* Interval between checks of deadlines, and so the precision of deadlines. */
#define NET_SWEEP_MS 100

/* Open files that are not connections: listening sockets, epoll, standard streams. */
#define NET_FILES_RESERVED 8

/* --- HTTP --- */

/* Bytes of a request line with its headers. Our own requests have a few hundred. */
#define HTTP_HEAD_MAX 8192
/* Bytes of the line before a chunk of a body: its size and extensions, which are ignored. */
#define HTTP_CHUNK_LINE_MAX 256
/* Bytes of a path: the longest holds a key of 200 bytes and a query. */
#define HTTP_PATH_MAX 512
/* Bytes of a request's body from users and agents, as the protocol limits them. */
#define HTTP_BODY_MAX ((size_t)64 * 1024)
/* Bytes of the body of an answer, or of a request between controllers: the state service does not
 * limit its answer to a watch. */
#define HTTP_REPLY_MAX ((size_t)8 * 1024 * 1024)

/* --- messages --- */

/* Nesting of the JSON values that are kept: the records of the deepest message have 6 levels. */
#define JSON_NESTING_MAX 32
/* Below this, a double holds each integer exactly. */
#define EXACT_INTEGER_MAX 9007199254740992.0
/* Tasks of one job, as the protocol limits them. */
#define JOB_TASKS_MAX 100000
/* An amount of this size or more in a message is a mistake: 30 years in seconds, or a billion CPUs.
 */
#define WIRE_NUMBER_MAX 1e9
/* What is kept of a larger amount in a job's description. */
#define WIRE_NUMBER_LARGEST (WIRE_NUMBER_MAX - 1)

/* Bytes of the longest report that is cached, to recognise repetitions of the report: a report of
 * this length has some ten tasks. */
#define REPORT_CACHE_TEXT_MAX 2048

/* --- log --- */

/* Lines per second about refused requests: a flood of bad requests must not fill a disk. */
#define REFUSAL_LINES_PER_S 5.0
/* Time between two lines about requests that are not HTTP or too large, for the same reason. */
#define REJECTION_LINE_INTERVAL_S 1.0

/* --- operators' settings --- */

/* Largest `idle_patience_s`: a machine kept idle for a day is as good as kept for ever. */
#define OPERATOR_IDLE_PATIENCE_MAX_S 86400.0
/* Largest `headroom`, a share of the use: the fleet grows to five times the use at most. */
#define OPERATOR_HEADROOM_MAX 4.0

/* --- calls to other services --- */

/* Timeout of a call to the state service, which answers in 10 ms, now and then in some hundred
 * milliseconds. */
#define CALL_STORE_TIMEOUT_S 1.5
/* Timeout of a call to the cloud, which answers rental requests in some hundred milliseconds. */
#define CALL_CLOUD_TIMEOUT_S 8.0
/* Timeout of a call to an agent. With a shorter one a retry, in the answer to the agent's next
 * heartbeat, would come no sooner. */
#define CALL_AGENT_TIMEOUT_S 2.5
/* Timeout of a call to another controller: a user waits 2 s for the answer to a poll. */
#define CALL_PEER_TIMEOUT_S 1.5

/* --- periodic work --- */

/* Interval between ticks: finer than any periodic work needs. */
#define TICK_S 0.1

/* --- election --- */

/* Time to live of the leader's lease. A shorter one makes failover faster, a longer one ends fewer
 * terms when the state service is slow. */
#define LEADER_TTL_MS 2500
/* Interval between renewals of the leader's lease: three tries fit into its time to live. */
#define LEADER_RENEW_INTERVAL_S 0.7
/* Delay before a renewal that failed is tried again. */
#define LEADER_RENEW_RETRY_S 0.3
/* Time that a watch of the leader's key blocks, which bounds how long an idle follower has no
 * answer from the state service. */
#define LEADER_WATCH_MS 2000
/* Time beyond its blocking time until a watch counts as unanswered. For the watch of the leader's
 * key, blocking time and margin together are below READY_SILENCE_MAX_S. */
#define STORE_WATCH_MARGIN_S 1.0
/* Delay after a failure before the leader's key is read or claimed again, or the changes of jobs
 * are read again. */
#define STORE_READ_RETRY_S 0.4
/* Time for which a leader that resigned, because most agents were silent, does not claim leadership
 * again. */
#define LEADER_RECLAIM_DELAY_S 8.0
/* Share by which two clocks may drift apart: 0.05% each. */
#define CLOCK_DRIFT 0.001
/* Part of `cancel_s` left for a late event-loop iteration and the latency of messages. */
#define CANCEL_MARGIN_S 2.0

/* --- users' requests --- */

/* Lookups that may wait for reads of records, as a share of `max_connections`. Users whose lookups
 * would exceed the share get 429. */
#define LOOKUP_CONNS_SHARE 0.25
/* Age from which a request to cancel a job is not committed any more: a user gives up after 5 s,
 * and the answer has to travel. */
#define CANCEL_REQUEST_MAX_AGE_S 3.5
/* Least capacity of the queue of submissions; users get 429 when it is full. */
#define SUBMIT_QUEUE_MIN 400
/* Capacity of the queue of submissions, if more than SUBMIT_QUEUE_MIN, in seconds of writes at the
 * allowed rate: users who would wait longer have given up. */
#define SUBMIT_QUEUE_S 5.0
/* Time without lookups of jobs after which the changes of jobs' records are read all the same,
 * before the changes are too many for one answer of the state service. */
#define INDEX_IDLE_READ_S 10.0
/* Changes of jobs' records that one answer of the state service may hold: some 2 MB, and a fraction
 * of the changes that the state service keeps. */
#define INDEX_CHANGES_MAX 4000
/* Least interval between reads of the changes of jobs' records: lookups that come in this time
 * share the next read. */
#define INDEX_BATCH_S 0.05
/* Delay before a refused read of the changes of jobs' records, or a failed read of a page of these
 * records, is tried again. */
#define INDEX_RETRY_S 0.2
/* Time that a lookup of a job may wait until a refused read of the changes of jobs' records is
 * repeated: users give up a poll after 2 s. */
#define LOOKUP_MAX_WAIT_S 1.0
/* Interval between requests to the leader for task counts: what users see may lag by 3 s. */
#define COUNTS_INTERVAL_S 2.0
/* Age from which the leader's task counts are not shown any more. */
#define COUNTS_MAX_AGE_S 6.0
/* Time after a user's poll in which task counts are requested: polls come every 5 s. */
#define COUNTS_DEMAND_WINDOW_S 10.0
/* Interval between requests to the other controllers while the state service is silent. */
#define PEER_PING_INTERVAL_S 1.0
/* Multiple of `cancel_s` for which a controller keeps the cancellations that it confirmed: a leader
 * asks for them sooner. */
#define CONFIRMED_CANCELS_KEEP_FACTOR 2.0
/* Confirmed cancellations that a controller keeps at most: some 0.5 MB. */
#define CONFIRMED_CANCELS_MAX 4096
/* Time without an answer from the state service and from any other controller after which /ready
 * answers that this controller is not ready. */
#define READY_SILENCE_MAX_S 4.0
/* Time for which no request is forwarded to a controller that did not answer a forwarded one, or
 * could not serve it. */
#define PEER_FORWARD_BACKOFF_S 2.0
/* Retry-After of most refusals, in seconds: the least that a user waits anyway. */
#define RETRY_AFTER_S 1
/* Retry-After when a queue is full, in seconds: the queue drains in about this time. */
#define RETRY_AFTER_BUSY_S 2
/* Final states of jobs that are cached: about 0.5 MB. The oldest are removed first. */
#define FINAL_CACHE_MAX 4096
/* Size of one transaction of submissions: the state service takes 64 KiB. */
#define SUBMIT_BATCH_MAX_BYTES 48000

/* --- the leader's transactions --- */

/* Size of one transaction: the state service takes 64 KiB, keys included. */
#define COMMIT_MAX_BYTES 48000
/* Delay before a transaction that was refused, or whose outcome is unknown, is sent again. */
#define COMMIT_RETRY_S 0.25
/* Share of `write_rps` that the leader uses: the rest is for submissions. */
#define WRITE_SHARE_LEADER 0.85
/* Tasks whose bindings and done bits share one record (a chunk, see core/model/chunk.h), so that
 * the record stays below 8 KiB. */
#define LARGE_CHUNK_TASKS 128
/* Size of one more binding in a chunk's record, with long names of machine and zone. */
#define CHUNK_BINDING_BYTES 100
/* Size of a chunk's record without its bindings: the done bits and braces. */
#define CHUNK_OVERHEAD_BYTES 64
/* Longest time that the final record of a job whose tasks are all done waits until the ends of the
 * bindings that the job still has are reported. */
#define FINAL_RECORD_DELAY_S 1.0
/* Interval between checks for jobs whose final record has waited long enough. */
#define JOB_SCAN_INTERVAL_S 0.25
/* Time that the record of a task's end waits for other changes to share its transaction. Until the
 * end is recorded, only the agent's report proves it, so the agent is told to forget the task only
 * after that. */
#define TASK_END_WRITE_DELAY_S 0.8
/* Low bits of an attempt's number that count the starts under one fencing token: a million. */
#define ATTEMPT_COUNTER_BITS 20

/* --- limits of the state service --- */

/* Changes that a transaction must be able to hold: the end of a job needs two, and so does the step
 * to a newer format. */
#define LIMITS_TXN_OPS_MIN 2
/* Size of a value from which the state service may refuse it, and so the least `value_kb`: a
 * smaller value is not refused for its size. */
#define LIMITS_VALUE_MIN_BYTES 512
/* Time for which a limit below that of the settings, learned from a refusal, is kept to. */
#define LIMITS_LEARNED_TTL_S 60.0
/* Delay before a value that is too large is tried again. */
#define LIMITS_VALUE_RETRY_S 2.0
/* Delay before a refused transaction that can't be made smaller is sent again. */
#define LIMITS_REFUSED_RETRY_S 5.0

/* --- versions of the records' format --- */

/* The first version of the records' format: one record holds the bindings of LARGE_CHUNK_TASKS
 * tasks. */
#define FORMAT_LARGE_CHUNKS 1
/* The second version of the records' format: one record holds the bindings of SMALL_CHUNK_TASKS
 * tasks. */
#define FORMAT_SMALL_CHUNKS 2
#define FORMAT_NEWEST FORMAT_SMALL_CHUNKS
/* Delay before a controller tries again to record the newest format that it reads. */
#define FORMAT_REGISTER_RETRY_S 1.0
/* Interval between the leader's reads of the formats that the controllers have recorded. */
#define FORMAT_SCAN_INTERVAL_S 1.0
/* Tasks whose bindings and done bits share one record from FORMAT_SMALL_CHUNKS on: their bindings
 * fit a value of 2 KiB, even if each binding belongs to another attempt. */
#define SMALL_CHUNK_TASKS 32

/* --- lists and watches --- */

/* Items on a page of a list: pages stay below 512 KiB. */
#define PAGE_ITEMS_MAX 500
/* Time that the watch of the open jobs blocks: the leader may answer agents only for a limited time
 * after it sent the newest watch that was answered (see core/election/serving_deadline.c). */
#define JOBS_WATCH_MS 700

/* --- machines --- */

/* Age of an agent's last heartbeat from which its machine gets no new tasks: two heartbeats have
 * been missed by then. Also the age of the agent's last message of any kind from which the machine
 * is silent. */
#define MACHINE_FRESH_REPORTS 2.5
/* Time without a heartbeat, beyond the agent's lease, after which a machine is given up: its tasks
 * are lost anyway. */
#define MACHINE_LEASE_MARGIN_S 1.0
/* Least interval between probes of one machine. */
#define PROBE_INTERVAL_S 1.0
/* Least allowed rate of probes, per second: each probe costs as much as a report. */
#define PROBES_MIN_PER_S 40.0
/* Time in which the rate of probes must allow one to each machine. */
#define PROBE_ALL_LEASES 0.5
/* Share of the sockets that may be used by probes, and by direct commands: those that are sent to
 * an agent in a call, not in the answer to its report. */
#define AGENT_CALL_CONNS_SHARE 0.125
/* Number of consecutive heartbeats that do not list a task, although its start was sent in the
 * answer to an earlier heartbeat, after which the machine counts as unreachable. After one such
 * heartbeat, just that answer may have been lost. */
#define MACHINE_IGNORED_STARTS 2
/* Time since an agent's newest heartbeat from which the next one is overdue: it may be a quarter of
 * an interval late. */
#define HEARTBEAT_OVERDUE_REPORTS 1.5
/* Time that a machine which our messages do not reach, and which has no tasks, is kept. */
#define MACHINE_UNREACHABLE_MAX_S 60.0
/* Interval between probes of a machine that has sent no message in this term. */
#define PROBE_UNSEEN_INTERVAL_S 3.0
/* Time in which all agents find a new leader by themselves. */
#define LEADER_DISCOVERY_REPORTS 2.0
/* Multiple of the boot time of a machine's type after which the machine counts as never coming up.
 */
#define MACHINE_BOOT_FACTOR 3.0
/* Time added to MACHINE_BOOT_FACTOR times the boot time: short boots vary more. */
#define MACHINE_BOOT_EXTRA_S 20.0
/* Number of inventories in a row without a machine after which the machine is deleted, if an
 * earlier inventory listed the machine and its agent is silent. */
#define MACHINE_MISSED_INVENTORIES 2
/* Different jobs that fail on a machine before it is drained. */
#define MACHINE_FAILED_JOBS_MAX 2
/* Images remembered per machine, as a guess at what its cache holds. */
#define MACHINE_IMAGES_MAX 8
/* Delay before a direct stop that no report shows yet is sent directly again. */
#define COMMAND_RESEND_S 1.5
/* Commands in one message to an agent: the message is one line, which is limited to 64 KiB. */
#define COMMANDS_MAX 300
/* Longest time for which the answer to a heartbeat waits for a start: an agent gives up after
 * 4 s. */
#define LONG_POLL_MAX_S 2.5
/* Longest time for which the answer to a heartbeat waits, in report intervals: the next heartbeat
 * comes only after it. */
#define LONG_POLL_MAX_REPORTS 1.0
/* Expected delay of a replica's start from which its agent is made to report at once. */
#define URGENT_START_DELAY_S 0.5
/* Time after an agent has shown a newer token in which a further one does not make it report. */
#define TOKEN_REPORT_LEASES 0.5
/* Share of the sockets that answers to heartbeats may hold while they wait. */
#define LONG_POLL_CONNS_SHARE 0.5
/* Different demands of tasks that are remembered to guess what a machine is needed for. */
#define TASK_DEMANDS_MAX 32
/* Least interval between two renewals of the fencing token that parts of the leader request. */
#define TOKEN_RENEW_INTERVAL_S 2.0
/* Ended tasks that a machine reports from which the number of further tasks is bounded: with fewer,
 * a report takes one packet or a few. */
#define MACHINE_UNBOUND_TASKS_MANY 64
/* Tasks that a machine with many ended ones reports at most, before it gets further tasks: its
 * report must stay below HTTP_BODY_MAX, and a task takes up to 107 bytes. */
#define MACHINE_LISTED_TASKS_MAX 560
/* Interval between inventories of the cloud's machines: what an inventory shows is older than this
 * interval. */
#define INVENTORY_INTERVAL_S 3.0
/* Interval between health checks of all machines. */
#define MACHINE_SCAN_INTERVAL_S 0.5
/* Share of the machines beyond which, if they are silent at once, this controller counts itself as
 * partitioned and resigns. */
#define PARTITION_SILENT_SHARE 0.7
/* Share of the other machines that may be silent when a machine is given up before its agent's
 * lease ends: if more machines are silent, this controller may be the one that is cut off. */
#define EARLY_DELETE_SILENT_SHARE 0.34
/* Buckets of the histogram of times since the machines' last messages: together they span the
 * longest lease of an agent. */
#define CONTACT_BUCKETS 80
/* Time that each of the CONTACT_BUCKETS buckets spans. */
#define CONTACT_BUCKET_S 0.25
/* Time without a message, and since the last probe, before a machine with replicas is probed. */
#define REPLICA_PROBE_INTERVAL_S 0.8
/* Timeout of a probe of a machine with replicas: answers usually take milliseconds, with a lost
 * packet some hundred. */
#define REPLICA_PROBE_TIMEOUT_S 0.8
/* Probes in a row without an answer before a machine with replicas may be given up: one may get
 * lost. */
#define REPLICA_UNANSWERED_PROBES 2
/* Least allowed rate, per second, of probes of machines with replicas. */
#define REPLICA_PROBES_MIN_PER_S 10.0
/* Allowed rate of probes of machines with replicas, if more than REPLICA_PROBES_MIN_PER_S, as a
 * share of the rate of the agents' reports. */
#define REPLICA_PROBE_SHARE 0.34
/* Delay of the supervision of replicas from which an event-loop iteration sends no probes. */
#define REPLICA_SUPERVISION_LATE_S 0.5
/* Time without a heartbeat after which replicas are moved off a machine that answers probes. */
#define REPLICA_MOVE_LEASES 0.5
/* Time since a machine's last message from which new replicas rather go elsewhere. */
#define REPLICA_OVERDUE_REPORTS 1.25
/* Cost, in seconds of waiting for an image elsewhere, of placing a replica on a machine without a
 * message for REPLICA_OVERDUE_REPORTS. */
#define REPLICA_OVERDUE_COST_S 20.0
/* Machines that must have sent messages before the share of silent machines means anything. */
#define PARTITION_MACHINES_MIN 3

/* --- scheduling --- */

/* Time from the request for a scheduling cycle to the cycle, and so the least interval between
 * cycles. */
#define CYCLE_MIN_INTERVAL_S 0.004
/* Interval between scheduling cycles without an event: backoffs end by time alone. */
#define CYCLE_PERIOD_S 0.5
/* Time added to CYCLE_MIN_INTERVAL_S for each job, so that cycles are rarer under load. */
#define CYCLE_INTERVAL_PER_JOB_S 0.0002
/* Base of the backoff of a job whose tasks fail: the backoff doubles with each earlier failure in a
 * row. After the first failure the job is tried elsewhere at once. */
#define ERROR_BACKOFF_S 2.0
/* Longest backoff of a job whose tasks fail: a job that fails everywhere costs one try a minute.
 * Also the cost, in seconds of waiting, of a machine on which the job failed. */
#define ERROR_BACKOFF_MAX_S 60.0
/* Machines remembered per job on which its tasks failed. */
#define JOB_FAILED_MACHINES_MAX 4
/* Backoff of a job after a refused start: the job's description may be on its way to the machine.
 * Also the backoff of the machine, if the machine lacks free capacity or runs another attempt of
 * the task. */
#define START_REFUSED_BACKOFF_S 1.0
/* Mean interval between rounds of share switching (see core/scheduling/share_switching.h): the
 * quantum of the design of share switching. */
#define SWITCH_QUANTUM_S 5.0
/* Jitter of the interval between rounds of share switching, as a share of SWITCH_QUANTUM_S: it
 * spreads the controllers' load. */
#define SWITCH_JITTER 0.4
/* Time that the slot (see core/scheduling/share_switching.h) of a task that ended is kept for the
 * array that used the slot, or to which the slot was switched: a scheduling cycle or two. */
#define FREED_SLOT_HOLD_S 2.0
/* Cost, in seconds of waiting, of a task without GPUs on a machine with GPUs. */
#define GPU_WASTE_COST_S 3.0
/* Cost, in seconds of waiting, of leaving all of a machine's CPUs free (in proportion if a part
 * stays free), and of using a machine without tasks: the best fit matters less than a cached image.
 */
#define WORST_FIT_COST_S 0.5
/* Least time that a job waits before work of lower priority is stopped for it. */
#define PREEMPT_AFTER_S 0.2
/* Share of its class's tightest wait objective that a job waits before work of lower priority is
 * stopped for it, if longer than PREEMPT_AFTER_S. */
#define PREEMPT_OBJECTIVE_SHARE 0.1
/* Time that capacity is reserved for a job after other work, or its own replica that moves, was
 * stopped. */
#define PREEMPT_RESERVE_S 20.0
/* Interval between tries to free capacity for one job by preemption. */
#define PREEMPT_RETRY_S 2.0
/* Time that a gang waits before it gets a growing reservation (see core/scheduling/reservation.h):
 * the gang has to begin within four minutes, and other jobs are to be served too. */
#define RESERVE_AFTER_S 45.0
/* Time before the gang's next wait objective at which a growing reservation begins, if later than
 * RESERVE_AFTER_S, but no later than ORDER_FIRST_AFTER_S: large gangs took up to 40 s to get all of
 * their capacity. */
#define RESERVE_LEAD_S 60.0
/* Gangs that have a growing reservation at once: reserved capacity idles. */
#define RESERVE_MAX_GANGS 2
/* Share of the fleet's CPUs that growing reservations may take for any number of gangs. */
#define RESERVE_CPU_SHARE 0.05
/* Share of the fleet's CPUs that growing reservations may take so that a gang that has waited for
 * RESERVE_LONG_WAIT_S gets one too: the gang's four minutes are nearly over. */
#define RESERVE_CPU_SHARE_LONG_WAIT 0.1
/* Time of waiting from which RESERVE_CPU_SHARE_LONG_WAIT and RESERVE_MAX_GANGS_LONG_WAIT hold for a
 * gang. */
#define RESERVE_LONG_WAIT_S 140.0
/* Gangs that have a growing reservation at once, so that a gang that has waited for
 * RESERVE_LONG_WAIT_S gets one too. */
#define RESERVE_MAX_GANGS_LONG_WAIT 4
/* Time beyond the last scheduling cycle for which a growing reservation stands: cycles come twice a
 * second. */
#define RESERVE_EXTEND_S 2.0
/* Share of a machine's whole capacity that is expected to fall free soon enough for a growing
 * reservation, in addition to the machine's free capacity. */
#define RESERVE_USED_SHARE 0.05
/* Time that a stopped task needs to find capacity, start and fetch its image again. */
#define RESTART_OVERHEAD_S 15.0
/* Factor on the user's estimate of a task's run time when it is decided whether the task would
 * still meet its job's deadline if it were stopped and ran again from the start: estimates are
 * often wrong by half, so the run may take that much longer. */
#define RESTART_ESTIMATE_FACTOR 1.5
/* Time to start tasks and fetch the image, taken off the time that an array has left until its
 * deadline. */
#define ARRAY_START_OVERHEAD_S 10.0
/* Time of waiting after which a gang or service goes before all others of its priority. */
#define ORDER_FIRST_AFTER_S 140.0
/* Order key that places a gang or service after all gangs and services that are ordered by a wait
 * objective. The negative of the key places a gang or service before them. */
#define ORDER_KEY_EXTREME_S 1e6
/* Cost, in seconds of waiting, of an on-demand machine for a task that may use spot machines, while
 * there are open jobs that may not. */
#define ON_DEMAND_COST_S 4.0
/* Cost, in seconds of waiting, of placing a replica on a machine, for each replica of the same
 * service that the machine already runs. The cost is weighed against the time to fetch the image on
 * another machine. Also the cost for each job that failed on the machine. */
#define REPLICA_SAME_MACHINE_COST_S 8.0
/* Time that a replica must have run for its end not to count as a failure to start. */
#define REPLICA_MIN_UPTIME_S 20.0
/* Cost, in seconds of waiting, of each replica, of any service, that the machine runs: all would be
 * lost together. */
#define REPLICA_COLOCATED_COST_S 1.0
/* Cost, in seconds of waiting, of each other replica of the service in the zone: the cost decides
 * between machines that are alike. */
#define REPLICA_SAME_ZONE_COST_S 0.5
/* Cost, in seconds of waiting, of placing a replica on a spot machine, since the cloud may take the
 * machine back. */
#define REPLICA_SPOT_COST_S 20.0
/* Tolerance when capacity is compared, in CPUs, GPUs or GB: decimal amounts are summed up. */
#define ROOM_SLACK 1e-6
/* Machines that the search for places of single tasks visits in one cycle, per core that the
 * controller may use: 0.2 s of work on a whole core. */
#define CYCLE_VISITS_PER_CORE 2e7
/* Shapes (see same_shape in core/scheduling/free_room.h) of the waiting gangs to which a cycle
 * leaves capacity: each shape is one bit of `gang_shapes` of struct pool. */
#define CYCLE_GANG_SHAPES_MAX 32
/* Shapes remembered in a cycle for which no capacity was found. */
#define CYCLE_NO_ROOM_SHAPES_MAX 32

/* --- autoscaling --- */

/* Interval between scans for missing and idle machines. */
#define AUTOSCALE_INTERVAL_S 0.5
/* Time that a job waits before the fleet grows for it. */
#define SCALE_OUT_AFTER_S 0.3
/* Time after a failover without scale-out and share switching: agents have yet to report. */
#define AUTOSCALE_SETTLE_S 4.0
/* Searches for planned capacity (struct plan_search) whose progress is kept while a scale-out is
 * planned. Further searches are slower. */
#define SCALE_OUT_SEARCHES_MAX 64
/* Share of the cloud's allowed rate of requests that is used: clocks differ, and after a late
 * event-loop iteration requests are sent at once. */
#define CLOUD_RATE_SHARE 0.9
/* Time for which a rental request without a definite answer is repeated. */
#define SCALE_OUT_GIVE_UP_S 30.0
/* Cost, in seconds of waiting, of a new spot machine: the cloud may take it back. */
#define SCALE_OUT_SPOT_COST_S 5.0
/* Cost, in seconds of waiting, of a new machine with GPUs for a job without: GPUs are rented for
 * jobs that use them. */
#define SCALE_OUT_GPU_WASTE_COST_S 100.0
/* Factor on the user's estimate of a task's run time when it is decided whether the task's job can
 * wait for a spot machine and still meet its deadline: estimates are often wrong by half, so the
 * run may take that much longer. */
#define SCALE_OUT_ESTIMATE_FACTOR 1.5
/* Time to rent and boot a machine and fetch the image before a task can start. */
#define SCALE_OUT_LEAD_S 60.0
/* Random share added to an offer's cost, so that equal offers are spread over zones. */
#define SCALE_OUT_JITTER 0.02
/* Tombstones of deleted machines (see core/model/tombstones.h), some 1 MB, beyond which a new
 * fencing token is requested: the token makes the older tombstones needless. */
#define TOMBSTONES_MAX 8192
/* Time, beyond twice the inventory's lag, for which an inventory that is being read and applied may
 * still name a deleted machine. */
#define TOMBSTONE_INVENTORY_MARGIN_S 60.0
/* Time, added to what a task needs to save its work, by which the task is stopped before its
 * machine is taken back: the stop has to arrive. */
#define NOTICE_MARGIN_S 2.0
/* First backoff, which doubles, before machines of a type, zone and purchase kind that the cloud
 * refused are requested again. */
#define SCALE_OUT_REFUSED_BACKOFF_S 10.0
/* Longest backoff before machines that the cloud refused are requested again: capacity may come
 * back any time. */
#define SCALE_OUT_REFUSED_BACKOFF_MAX_S 40.0
/* Machines in one rental request, as the protocol limits them. */
#define SCALE_OUT_BATCH_MAX 50
/* Names in one request to delete machines, as the protocol limits them. */
#define DELETE_BATCH_MAX 100
/* Backoff after the cloud answered with an error, such as 429 or 503, or not at all. */
#define CLOUD_BACKOFF_S 1.5
/* Interval between the leader's reads of the catalog, for its prices. */
#define CATALOG_INTERVAL_S 60.0
/* Time that a machine without GPUs may be idle before it is deleted, where the objectives ask for
 * low cost: about the time that a boot takes. */
#define IDLE_MAX_S 25.0
/* Time that a machine with GPUs may be idle before it is deleted, where the objectives ask for low
 * cost: a shorter time leads to more boots, a longer one to more idle GPUs. */
#define IDLE_MAX_GPU_S 12.0
/* Time that a machine that no open job could use may be idle before it is deleted. */
#define IDLE_MAX_UNUSABLE_S 60.0
/* Time that any machine may be idle before it is deleted, where the objectives guarantee capacity
 * and do not ask for low cost. */
#define IDLE_MAX_GUARANTEE_S 3600.0
/* Free capacity for each class of jobs, as a share of its use, where the objectives guarantee
 * capacity and do not ask for low cost, and the operators set no `headroom`. */
#define HEADROOM_GUARANTEE_SHARE 0.6
/* Tasks for which each class of jobs has free capacity on top of the share of its use
 * (HEADROOM_GUARANTEE_SHARE or `headroom`). */
#define HEADROOM_MIN_TASKS 6

#endif
