/*
 * Every constant of ploverloft, with its unit and the reason for its value. What depends on a
 * deployment is not here: it comes from the settings (`facts`) and the cloud's catalog.
 */
#ifndef PLOVERLOFT_CONSTANTS_H
#define PLOVERLOFT_CONSTANTS_H

#define PLOVERLOFT_VERSION "0.6.1"

/* --- net --- */
#define NET_ADDR_MAX 64	    /* bytes: "255.255.255.255:65535" with room */
#define NET_READ_CHUNK 8192 /* bytes: most messages in one system call */
#define NET_TURN 64	    /* callers served in a turn: bounds how long our own answers wait */
/* seconds from turn to turn: a few of them, and callers have given up */
#define NET_LATE_S 0.5
#define NET_ACCEPT_BATCH 32 /* connections taken per turn: answers are not starved */
/* of the sockets for callers, one in so many is kept free if it can be */
#define NET_CROWD_PART 50
/* sockets kept back for our own calls to state, cloud, agents */
#define NET_CONNS_RESERVED 64
#define NET_SLOW_S 10.0	 /* seconds a half-sent request may take: it holds a socket */
#define NET_IDLE_S 40.0	 /* seconds a kept client connection idles: reconnects cost more */
#define NET_SWEEP_MS 100 /* milliseconds between checks of deadlines: their precision */

#define NET_FILES 8 /* files beside connections: listeners, epoll, standard ones */

/* --- http --- */
#define HTTP_HEAD_MAX 8192 /* bytes of request line and headers: ours have a few hundred */
#define HTTP_PATH_MAX 512  /* bytes: longest path is a key of 200 bytes and a query */
#define HTTP_BODY_MAX ((size_t)64 * 1024) /* bytes, from the protocol */
/* bytes: a watch's answer has no limit of its own */
#define HTTP_REPLY_MAX ((size_t)8 * 1024 * 1024)

/* --- wire --- */
#define JOB_TASKS_MAX 100000 /* tasks of one job, from the protocol */
#define WIRE_NUMBER_MAX 1e9  /* amounts above this are mistakes: 30 years, a billion CPUs */

/* bytes of a report kept to recognise the next: some ten tasks */
#define REPORT_CACHE_TEXT_MAX 2048

/* --- operators' settings --- */
#define OPERATOR_PATIENCE_MAX_S 86400.0 /* seconds: a day idle is as good as for ever */
/* share of the use: the fleet grows to five times the use at most */
#define OPERATOR_HEADROOM_MAX 4.0

/* --- calls --- */
#define CALL_STORE_S 1.5 /* seconds: answers take 10 ms, now and then some hundred */
#define CALL_CLOUD_S 8.0 /* seconds: rentals are answered in some hundred ms */
#define CALL_AGENT_S 2.5 /* seconds: below it a retry by report is no faster */
#define CALL_PEER_S 1.5	 /* seconds: a user waits 2 s for a poll */

/* --- core --- */
#define TICK_S 0.1 /* seconds between ticks: below what any due time needs */

/* --- election --- */
/* ms: failover time against false losses when the state is slow */
#define LEADER_TTL_MS 2500
#define LEADER_RENEW_S 0.7   /* seconds: three tries within the lease */
#define LEADER_RETRY_S 0.3   /* seconds between tries of a renewal that failed */
#define LEADER_WATCH_MS 2000 /* ms a watch blocks: an idle follower too gets answers */
/* seconds more until it counts as unanswered: the sum is below PEER_ALONE_S */
#define LEADER_WATCH_SLACK_S 1.0
#define LEADER_REREAD_S 0.4 /* seconds before reading the key again after a failure */
/* seconds without a claim after a leader received no agent's messages */
#define LEADER_RESIGN_S 8.0
#define CLOCK_DRIFT 0.001 /* share: two clocks, 0.05% each */
/* seconds off cancel_s: a late turn of the loop, and the latency of messages */
#define CANCEL_MARGIN_S 2.0

/* --- users --- */
/* share of the sockets whose users wait for reads: beyond it 429 */
#define LOOKUPS_SHARE 0.25
#define USER_WAIT_S 3.5	     /* seconds: a user gives up at 5, the answer has to travel */
#define USER_QUEUE_LEAST 400 /* waiting submissions at least: beyond it 429 */
/* seconds of writes that may wait: longer, and users have given up */
#define USER_QUEUE_S 5.0
/* seconds without lookups before the changes are read all the same */
#define INDEX_IDLE_S 10.0
/* changes that one answer may hold: some 2 MB, a fraction of what is kept of them */
#define INDEX_CHANGES_MAX 4000
#define INDEX_BATCH_S 0.05    /* seconds between reads of changes: lookups collect meanwhile */
#define INDEX_RETRY_S 0.2     /* seconds before a read that was refused is tried again */
#define LOOKUP_MAX_WAIT_S 1.0 /* seconds a lookup waits for that: a poll is given up at 2 */
/* seconds between requests for counts: what users see may lag by 3 */
#define COUNTS_EVERY_S 2.0
#define COUNTS_KEEP_S 6.0 /* seconds the leader's counts are valid */
/* seconds after a poll during which they are requested: polls come every 5 */
#define COUNTS_DEMAND_S 10.0
/* seconds between requests to the others while the state service is silent */
#define PEER_PING_S 1.0
/* times cancel_s that confirmed cancellations are kept: a leader asks for them sooner */
#define CONFIRMED_KEEP_CANCELS 2.0
#define CONFIRMED_MAX 4096 /* cancellations kept so: some 0.5 MB */
#define PEER_ALONE_S 4.0   /* seconds without state service and peers before /ready says so */
/* seconds nothing is forwarded to a peer that could not serve either */
#define PEER_BACKOFF_S 2.0
#define RETRY_AFTER_S 1	     /* seconds: the least a user waits anyway */
#define RETRY_AFTER_BUSY_S 2 /* seconds: a full queue drains in about this time */
#define FINAL_CACHE_MAX 4096 /* final states kept: about 0.5 MB; the oldest go first */
/* bytes of one transaction of submissions: 64 KiB is its limit */
#define SUBMIT_BATCH_BYTES 48000

/* --- commits --- */
/* bytes of one transaction: 64 KiB is the limit, keys included */
#define COMMIT_BYTES 48000
#define COMMIT_RETRY_S 0.25 /* seconds before a refused transaction is sent again */
/* share of write_rps the leader uses: the rest takes submissions */
#define WRITE_SHARE_LEADER 0.85
/* tasks whose bindings and done bits share one key, below 8 KiB */
#define LARGE_CHUNK_TASKS 128
/* bytes of one more binding in it: long names of machine and zone */
#define CHUNK_ENTRY_BYTES 100
/* bytes of a value beside its bindings: the done bits, braces */
#define CHUNK_SPARE_BYTES 64
/* seconds for the ends of a done job's other tasks to be reported */
#define FINAL_WAIT_S 1.0
#define JOBS_EVERY_S 0.25 /* seconds between checks for such jobs */
/* seconds an end waits for company: proof and forget wait with it */
#define END_DELAY_S 0.8
#define ATTEMPT_SHIFT 20 /* bits: a million starts under one token */

/* --- limits of the state service --- */
#define LIMITS_TXN_OPS_MIN 2   /* changes: a job's end and the format's version need two */
#define LIMITS_VALUE_FLOOR 512 /* bytes: a smaller value is not refused for its size */
#define LIMITS_LEARNED_S 60.0  /* seconds that a limit below the settings is kept to */
#define LIMITS_WAIT_S 2.0      /* seconds before a value that is too large is tried again */
#define LIMITS_REFUSED_S 5.0   /* seconds before what can't be made smaller is sent again */

/* --- versions of the records' format --- */
#define FORMAT_LARGE_CHUNKS 1 /* bindings in records of LARGE_CHUNK_TASKS tasks */
#define FORMAT_SMALL_CHUNKS 2 /* bindings in records of SMALL_CHUNK_TASKS tasks */
#define FORMAT_NEWEST FORMAT_SMALL_CHUNKS
#define FORMAT_REGISTER_S 1.0 /* seconds before our own version is written again */
#define FORMAT_SCAN_S 1.0     /* seconds between the leader's reads of all versions */
/* tasks whose bindings fit a value of 2 KiB, each of another start */
#define SMALL_CHUNK_TASKS 32

/* --- load --- */
#define RANGE_LIMIT 500	  /* items per page: pages stay below 512 KiB */
#define JOBS_WATCH_MS 700 /* ms the jobs' watch blocks: we serve on its last answer */

/* --- machines --- */
#define MACHINE_FRESH_REPORTS 2.5 /* reports missed before a machine gets no new tasks */
/* seconds beyond the agent's lease: its tasks are lost anyway */
#define MACHINE_DEAD_MARGIN_S 1.0
#define PROBE_INTERVAL_S 1.0 /* seconds between probes of one machine */
#define PROBES_PER_S 40.0    /* probes a second at least: each costs as much as a report */
#define PROBE_ALL_LEASES 0.5 /* leases within which all machines can be probed */
/* share of the sockets that direct commands and probes may hold */
#define DIRECT_SHARE 0.125
/* reports in a row that ignore a start: one answer may be lost */
#define MACHINE_IGNORED_STARTS 2
/* report intervals without a newer report: one may be a quarter late */
#define MACHINE_STALE_REPORTS 1.5
/* seconds a machine that our messages do not reach is kept */
#define MACHINE_UNREACHABLE_S 60.0
/* seconds between probes of a machine without a message in this term */
#define PROBE_UNSEEN_S 3.0
/* report intervals in which all find a new leader by themselves */
#define PROBE_UNSEEN_REPORTS 2.0
/* times the boot time before a machine counts as never coming up */
#define MACHINE_BOOT_FACTOR 3.0
#define MACHINE_BOOT_EXTRA_S 20.0 /* seconds on top: short boots vary more */
/* inventories without it before a listed, silent machine is deleted */
#define MACHINE_MISSED_INVENTORIES 2
/* different jobs that fail on a machine before it is drained */
#define MACHINE_FAULT_JOBS 2
#define MACHINE_IMAGES 8   /* images remembered per machine: a guess at its cache */
#define START_RESEND_S 1.5 /* seconds before a start or stop not yet seen is sent again */
#define COMMANDS_MAX 300   /* commands in one message: 64 KiB is the limit of a line */
/* seconds between new tokens for the sake of unanswered commands */
#define TOKEN_RENEW_S 2.0
#define INVENTORY_EVERY_S 3.0 /* seconds between inventories: they lag by more */
#define MACHINES_EVERY_S 0.5  /* seconds between health checks of all machines */
/* share of machines silent at once: then this controller is partitioned */
#define PARTITION_SHARE 0.7
/* share of the other machines that may be silent when one is deleted early: more, and it may be
 * this controller that is cut off */
#define SILENT_SHARE 0.34
#define CONTACT_AGES 80	   /* ages distinguished: up to what a lease may be */
#define CONTACT_AGE_S 0.25 /* seconds that one of them spans */
/* seconds without a message before a machine with replicas is probed */
#define REPLICA_PROBE_S 0.8
/* seconds for an answer: usually ms, with a lost packet some hundred */
#define REPLICA_PROBE_TIMEOUT_S 0.8
#define REPLICA_UNANSWERED_PROBES 2 /* probes in a row without an answer: one may be lost */
#define REPLICA_PROBES_PER_S 10.0   /* such probes a second at least */
#define REPLICA_PROBE_SHARE 0.34    /* such probes at most, as a share of the reports */
/* seconds late: no probes are sent in this turn of the loop */
#define REPLICA_SUPERVISION_LATE_S 0.5
/* leases without a report after which replicas move off a machine that answers probes */
#define REPLICA_MOVE_LEASES 0.5
/* report intervals since a machine's last message after which replicas rather go elsewhere */
#define REPLICA_OVERDUE_REPORTS 1.25
#define REPLICA_OVERDUE_S 20.0 /* seconds: what that is worth in waiting for an image */
#define PARTITION_MACHINES 3   /* machines with messages before that share means anything */

/* --- scheduling --- */
#define CYCLE_MIN_S 0.004 /* seconds between scheduling cycles at least */
/* seconds between cycles without an event: backoffs end by time */
#define CYCLE_PERIOD_S 0.5
#define CYCLE_JOB_S 0.0002  /* seconds more per job: cycles widen with the load */
#define ERROR_BACKOFF_S 2.0 /* seconds after a first failure; doubles */
/* seconds: a job that fails everywhere costs one try a minute */
#define ERROR_BACKOFF_MAX_S 60.0
#define ERROR_JOB_MACHINES 4 /* machines remembered on which a job failed */
/* seconds after a refused start: the description is on its way */
#define REFUSED_BACKOFF_S 1.0
#define SWITCH_QUANTUM_S 5.0 /* seconds of a quantum of share switching, from the design */
#define SWITCH_JITTER 0.4    /* share of the quantum, so that controllers' loads spread */
#define FREED_SLOT_S 2.0     /* seconds a freed slot is kept for its job: a cycle or two */
/* seconds: what taking room beside unused GPUs is worth in waiting */
#define GPU_WASTE_S 3.0
#define FIT_WEIGHT_S 0.5    /* seconds: the best fit matters less than a cached image */
#define PREEMPT_AFTER_S 0.2 /* seconds of waiting before lower work is stopped */
#define PREEMPT_SHARE 0.1   /* share of the class's shortest wait aim that passes first */
/* seconds room is reserved for a gang that work was stopped for */
#define PREEMPT_RESERVE_S 20.0
#define PREEMPT_RETRY_S 2.0 /* seconds between tries to make room for one gang */
/* seconds a gang waits before room is reserved for it as it falls free: within four minutes it has
 * to begin, others are to be served too */
#define RESERVE_AFTER_S 45.0
/* seconds before a far objective: large gangs took up to 40 to get all room */
#define RESERVE_LEAD_S 60.0
#define RESERVE_MAX_GANGS 2 /* gangs with such a reservation at once: reserved room idles */
/* share of a fleet's CPUs that may be reserved so, however many gangs */
#define RESERVE_SHARE 0.05
#define RESERVE_SHARE_LATE 0.1	 /* with those that have waited long: four minutes are near */
#define RESERVE_LATE_S 140.0	 /* seconds of waiting after which more of them may */
#define RESERVE_MAX_GANGS_LATE 4 /* then */
/* seconds reserved beyond the last cycle: cycles come twice a second */
#define RESERVE_EXTEND_S 2.0
/* of room in use that falls free in the seconds that matter */
#define RESERVE_USED_SHARE 0.05
#define RESTART_S 15.0 /* seconds to find room, start and fetch anew */
/* times the estimate, for a task that begins anew: often wrong by half */
#define RESTART_FACTOR 1.5
#define NEED_START_S 10.0 /* seconds to start and fetch, off the time an array has left */
/* seconds of waiting after which a gang goes before all others */
#define LATE_FIRST_S 140.0
#define ORDER_FAR_S 1e6 /* seconds: before or behind all that have a time of their own */
/* seconds: what an on-demand machine is worth to those who need one */
#define ON_DEMAND_S 4.0
/* seconds: a second replica on one machine, against a fetch elsewhere */
#define REPLICA_MACHINE_S 8.0
/* seconds a replica runs before its end is no failure to start */
#define REPLICA_STEADY_S 20.0
/* seconds: each replica of another service on the machine, which would be lost with this one */
#define REPLICA_CROWD_S 1.0
/* seconds: another replica in the same zone, if machines are alike */
#define REPLICA_ZONE_S 0.5
#define REPLICA_SPOT_S 20.0 /* seconds: a machine that may be taken back with a replica */
#define ROOM_SLACK 1e-6	    /* CPUs, GPUs, GB: sums of decimal amounts */
/* rooms visited for single tasks in one cycle, at a whole core: 0.2 s of work */
#define CYCLE_VISITS_PER_CORE 2e7
/* shapes of waiting gangs whose room is left to them in a cycle */
#define CYCLE_GANG_SHAPES_MAX 32
#define CYCLE_NO_FITS_MAX 32 /* shapes without room remembered in a cycle */

/* --- autoscaling --- */
#define AUTOSCALE_EVERY_S 0.5  /* seconds between scans for missing and idle machines */
#define SCALE_OUT_AFTER_S 0.3  /* seconds a task waits before the fleet grows for it */
#define AUTOSCALE_SETTLE_S 4.0 /* seconds after a failover: agents have yet to report */
/* shapes and zones remembered while it is planned: others are slower */
#define SCALE_OUT_SHAPES_MAX 64
/* share of the cloud's rate: clocks differ, a late turn of the loop sends at once */
#define CLOUD_SHARE 0.9
#define SCALE_OUT_GIVE_UP_S 30.0    /* seconds a request without an answer is repeated */
#define SCALE_OUT_SPOT_S 5.0	    /* seconds: a spot machine may be taken back */
#define SCALE_OUT_GPU_WASTE_S 100.0 /* seconds: GPUs are rented for those who use them */
/* times the estimate: owners are often wrong by half */
#define SCALE_OUT_ESTIMATE_FACTOR 1.5
#define SCALE_OUT_LEAD_S 60.0 /* seconds to rent, boot and fetch before a task can start */
#define SCALE_OUT_JITTER 0.02 /* share: equal offers are spread over zones */
/* deleted machines remembered before a new token makes the older ones needless: some 1 MB */
#define TOMBSTONES_MAX 8192
/* seconds beyond the lag until an inventory is read and applied */
#define TOMBSTONE_INVENTORIES_S 60.0
#define NOTICE_MARGIN_S 2.0 /* seconds beyond the save: the stop has to arrive */
/* seconds before a refused type, zone and kind is requested again */
#define SCALE_OUT_REFUSED_S 10.0
#define SCALE_OUT_REFUSED_MAX_S 40.0 /* seconds: capacity may come back any time */
#define SCALE_OUT_BATCH_MAX 50	     /* machines per request, from the protocol */
#define DELETE_BATCH_MAX 100	     /* names per request, from the protocol */
#define CLOUD_BACKOFF_S 1.5	     /* seconds after 429, 503 or no answer */
#define CATALOG_EVERY_S 60.0	     /* seconds between reads of prices by the leader */
#define IDLE_COST_S 25.0	/* seconds idle before scale in where cost counts: about a boot */
#define IDLE_GPU_S 12.0		/* the same for GPU machines: shorter brings boots, longer idles */
#define IDLE_UNUSABLE_S 60.0	/* seconds idle of a machine that no open job could use */
#define IDLE_GUARANTEE_S 3600.0 /* seconds where it does not */
/* free room kept, as share of use, where a guarantee stands */
#define HEADROOM_GUARANTEE 0.6
#define HEADROOM_GUARANTEE_MIN 6 /* tasks of free room at least there */

#endif
