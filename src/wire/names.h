/*
 * The one table of names on the wire: left the field's term as the code uses it, right what the
 * platform's protocol calls it. No other file writes these names out. A field that several messages
 * have stands with the first of them. Fields without a word on what they hold are texts or lists.
 */
#ifndef PLOVERLOFT_NAMES_H
#define PLOVERLOFT_NAMES_H

/* Paths of requests: of users (the first three), of agents, of the cloud, of the state service. */
#define W_PATH_JOBS "/api/jobs"
#define W_PATH_CANCEL "/abort"
#define W_PATH_READY "/ready"
#define W_PATH_HEARTBEAT "/agent/beat"
#define W_PATH_COMMANDS "/do"
#define W_PATH_PROBE "/show"
#define W_PATH_TYPES "/catalog"
#define W_PATH_MACHINES "/rentals"
#define W_PATH_DELETE "/rentals/delete"
#define W_PATH_KEYS "/keys"
#define W_PATH_TXN "/commit"
#define W_PATH_LEASES "/grants"
#define W_PATH_RENEW "/touch"
#define W_PATH_WATCH "/changes"

/* What each job's id begins with. */
#define W_JOB_PREFIX "job-"

/* Job descriptions and states. */
#define W_ID "uid"	/* of a job or a machine */
#define W_CLASS "naipe" /* the job's class, which has its aims in the settings */
#define W_TEAM "grupo"
#define W_KIND "feitio" /* one of the next three */
#define W_KIND_ARRAY "array"
#define W_KIND_GANG "group"
#define W_KIND_SERVICE "standing"
#define W_PRIORITY "vez" /* one of the next four */
#define W_PRIO_PRODUCTION "production"
#define W_PRIO_HIGH "urgent"
#define W_PRIO_NORMAL "normal"
#define W_PRIO_LOW "best_effort"
#define W_TASKS "partes" /* in a job their number, in a report their list */
#define W_TASK "parte"	 /* one task's name */
#define W_CPUS "cores"	 /* number */
#define W_GPUS "gpus"	 /* number */
#define W_MEMORY "memGb" /* GB */
#define W_IMAGE "molde"
#define W_IMAGE_GB "pullGb"	 /* GB */
#define W_TYPES "feitiosMaquina" /* allowed types of a job, or the types of a catalog */
#define W_TYPE "feitioMaquina"
#define W_ZONE "praca"
#define W_ZONES "pracas"
#define W_ONE_ZONE "together"  /* true or false */
#define W_SPREAD "scatter"     /* true or false */
#define W_SPOT "avulsas"       /* true or false */
#define W_ESTIMATE "previstoS" /* seconds */
#define W_CHECKPOINT "marcoS"  /* seconds */
#define W_SAVE "gravarS"       /* seconds */
#define W_DEADLINE "prazoS"    /* seconds */
#define W_STATE "estado"       /* of a job, a task or a machine */
#define W_JOB_QUEUED "pending"
#define W_JOB_RUNNING "running"
#define W_JOB_DONE "done"
#define W_JOB_CANCELLED "withdrawn"
#define W_DONE "done"	    /* number of tasks */
#define W_RUNNING "running" /* number of tasks */

/* Reports of agents and commands to them. */
#define W_MACHINE "poleiro"
#define W_MACHINES_LIST "poleiros"
#define W_ADDR "endpoint"
#define W_INCARNATION "turno"	     /* number */
#define W_SEQUENCE "compasso"	     /* number */
#define W_TOKEN "batuta"	     /* fencing token, a number */
#define W_PREEMPTION_NOTICE "avisoS" /* seconds */
#define W_ATTEMPT "entrada"	     /* number */
#define W_END_REASON "motivo"	     /* why a task exited or was refused */
#define W_SAVED "kept"		     /* true or false */
#define W_COMMANDS "ordens"
#define W_OP "gesto" /* one of the next three */
#define W_OP_START "start"
#define W_OP_STOP "stop"
#define W_OP_FORGET "forget"
#define W_GRACE "folgaS"      /* seconds */
#define W_REPORT_TO "regente" /* the leader's address */
#define W_TASK_FETCHING "pulling"
#define W_TASK_WAITING "waiting"
#define W_TASK_RUNNING "running"
#define W_TASK_SAVING "flushing"
#define W_TASK_EXITED "ended"
#define W_END_DONE "done"
#define W_END_STOPPED "stopped"
#define W_END_PEERS_LOST "peers"
#define W_END_ALONE "alone"
#define W_END_ERROR "error"
#define W_END_NO_ROOM "full"
#define W_END_BUSY "busy"
#define W_END_UNKNOWN_JOB "unknown"

/* The cloud: types of machines, lists, rentals. */
#define W_NAME "label"
#define W_CACHE "localGb"	   /* GB */
#define W_FETCH "fetchGbPerS"	   /* GB a second */
#define W_PRICE "hourly"	   /* for an hour */
#define W_SPOT_PRICE "marketPrice" /* for an hour */
#define W_BOOT "readyS"		   /* seconds */
#define W_REQUEST "pedido"	   /* a rental's name */
#define W_COUNT "howMany"	   /* number of machines */
#define W_AFTER "from"		   /* where a page or a watch begins */
#define W_LIMIT "limit"		   /* number of entries in a page */
#define W_AGE "ageS"		   /* seconds */
#define W_MORE "truncated"	   /* true if another page follows */
#define W_CLOUD_BOOTING "starting"
#define W_CLOUD_RUNNING "running"
#define W_CLOUD_FAILED "failed"

/* The state service: items, transactions, leases, watches. */
#define W_KEY "k"
#define W_VALUE "data"
#define W_PREFIX "starts" /* of the keys of a range or a watch */
#define W_ITEMS "entries"
#define W_IF "guards"	    /* versions that keys must have */
#define W_THEN "apply"	    /* changes of keys */
#define W_PUT "write"	    /* key of a value to write */
#define W_DROP "drop"	    /* key to drop */
#define W_REVISION "edicao" /* the store's, a number */
#define W_VERSION "retoque" /* a key's, a number */
#define W_LEASE "alvara"    /* number */
#define W_TTL "lifeMs"	    /* milliseconds */
#define W_WAIT "blockMs"    /* milliseconds */
#define W_EVENTS "events"
#define W_FAILED "failed" /* keys whose guards failed */

#endif
