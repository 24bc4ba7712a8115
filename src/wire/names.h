/*
 * The names of the platform's protocol. On the left is the term that the code uses, on the right
 * the name on the wire. No other file writes these names out. A field that several messages have is
 * listed with the first of them. A field is a text or a list unless its comment says otherwise.
 */
#ifndef PLOVERLOFT_NAMES_H
#define PLOVERLOFT_NAMES_H

/* Paths of users' requests. */
#define W_PATH_JOBS "/api/jobs" /* submission; with "/ID" the job's state */
#define W_PATH_CANCEL "/abort"	/* after a job's path: cancels the job */
#define W_PATH_READY "/ready"	/* whether the controller serves */
/* Paths of agents: the first is served by controllers, the others by agents. */
#define W_PATH_HEARTBEAT "/agent/beat" /* a report, answered with commands */
#define W_PATH_COMMANDS "/do"	       /* commands sent directly, not as an answer */
#define W_PATH_PROBE "/show"	       /* a request for a report */
/* Paths of the cloud. */
#define W_PATH_CATALOG "/catalog"	/* the machine types */
#define W_PATH_MACHINES "/rentals"	/* the list of rented machines, and rental requests */
#define W_PATH_DELETE "/rentals/delete" /* deletes machines */
/* Paths of the state service. */
#define W_PATH_KEYS "/keys"	/* one item, or a range of items */
#define W_PATH_TXN "/commit"	/* commits a transaction */
#define W_PATH_LEASES "/grants" /* grants a lease; with "/LEASE" the lease itself */
#define W_PATH_RENEW "/touch"	/* after a lease's path: renews the lease */
#define W_PATH_WATCH "/changes" /* waits for changes of keys */

/* Prefix of a job's id; digits follow. */
#define W_JOB_PREFIX "job-"

/* Job descriptions and states. */
#define W_ID "uid"	     /* id of a job or a machine */
#define W_CLASS "naipe"	     /* class of the job, for which the settings may state objectives */
#define W_TEAM "grupo"	     /* team that the job belongs to */
#define W_KIND "feitio"	     /* kind of the job: W_KIND_... */
#define W_KIND_ARRAY "array" /* tasks that run independently of each other */
#define W_KIND_GANG "group"  /* tasks that run at the same time or not at all */
#define W_KIND_SERVICE "standing" /* tasks that run until the user cancels the job */
#define W_PRIORITY "vez"	  /* priority of the job: W_PRIO_..., listed from the most urgent */
#define W_PRIO_PRODUCTION "production"
#define W_PRIO_HIGH "urgent"
#define W_PRIO_NORMAL "normal"
#define W_PRIO_LOW "best_effort"
#define W_TASKS "partes"    /* in a job the number of tasks, in a report the list of attempts */
#define W_TASK "parte"	    /* a task's name, "JOB/INDEX" */
#define W_CPUS "cores"	    /* number of CPUs, of a task or a machine type */
#define W_GPUS "gpus"	    /* number of GPUs, of a task or a machine type */
#define W_MEMORY "memGb"    /* memory in GB, of a task or a machine type */
#define W_IMAGE "molde"	    /* name of the image that the tasks run */
#define W_IMAGE_GB "pullGb" /* size of the image in GB */
#define W_MACHINE_TYPES "feitiosMaquina" /* machine types: names in a job, objects in a catalog */
#define W_MACHINE_TYPE "feitioMaquina"	 /* name of a machine's type */
#define W_ZONE "praca"		/* in a job the only zone allowed, or the zone of a machine */
#define W_ZONES "pracas"	/* zones that offer a machine type */
#define W_ONE_ZONE "together"	/* boolean: all tasks must run in the same zone */
#define W_SPREAD "scatter"	/* boolean: at most half of the tasks may run in one zone */
#define W_SPOT "avulsas"	/* boolean: a job may use spot machines, or a machine is one */
#define W_ESTIMATE "previstoS"	/* estimated run time of a task in seconds */
#define W_CHECKPOINT "marcoS"	/* seconds between checkpoints */
#define W_SAVE "gravarS"	/* seconds that a stopped task takes to save its state */
#define W_DEADLINE "prazoS"	/* seconds from submission to the end of the job */
#define W_STATE "estado"	/* W_JOB_... (job), W_TASK_... (attempt) or W_CLOUD_... (machine) */
#define W_JOB_QUEUED "pending"	/* no task is known to run */
#define W_JOB_RUNNING "running" /* at least one task runs */
#define W_JOB_DONE "done"	/* all tasks are done */
#define W_JOB_CANCELLED "withdrawn" /* cancelled by the user */
#define W_DONE "done"		    /* number of tasks that are done */
#define W_RUNNING "running"	    /* number of tasks that are running */

/* Reports of agents and commands to them. */
#define W_MACHINE "poleiro"	     /* id of a machine */
#define W_MACHINES_LIST "poleiros"   /* list of machines: ids, or objects in the cloud's list */
#define W_ADDR "endpoint"	     /* address of an agent */
#define W_INCARNATION "turno"	     /* number of the agent's incarnation */
#define W_SEQUENCE "compasso"	     /* number of the report within the incarnation */
#define W_TOKEN "batuta"	     /* fencing token, a number */
#define W_PREEMPTION_NOTICE "avisoS" /* seconds until the cloud takes the machine back */
#define W_ATTEMPT "entrada"	     /* number of a task's attempt */
#define W_END_REASON "motivo"	     /* why an attempt exited or was refused: W_END_... */
#define W_SAVED "kept"		     /* boolean: the task's state was saved */
#define W_COMMANDS "ordens"	     /* list of commands to an agent */
#define W_OP "gesto"		     /* what a command does: W_OP_... */
#define W_OP_START "start"	     /* start the attempt */
#define W_OP_STOP "stop"	     /* stop the attempt */
#define W_OP_FORGET "forget"	     /* stop reporting an attempt that has exited */
#define W_GRACE "folgaS"	     /* seconds that a stopped task is given to save its state */
#define W_REPORT_TO "regente"	     /* address of the leader, to which the agent should report */
#define W_TASK_FETCHING "pulling"    /* the machine fetches the image */
#define W_TASK_WAITING "waiting"     /* the attempt waits until its gang's other tasks can start */
#define W_TASK_RUNNING "running"     /* the attempt runs */
#define W_TASK_SAVING "flushing"     /* the attempt was stopped and saves its state */
#define W_TASK_EXITED "ended"	     /* the attempt has exited, see W_END_REASON */
#define W_END_DONE "done"	     /* the task is done */
#define W_END_STOPPED "stopped"	     /* stopped by a command */
#define W_END_PEERS_LOST "peers"     /* another task of its gang stopped running */
#define W_END_GANG_TIMEOUT "alone"   /* the other tasks of its gang did not start in time */
#define W_END_ERROR "error"	     /* the task failed */
#define W_END_NO_ROOM "full"	     /* refused: too little free capacity */
#define W_END_BUSY "busy"	     /* refused: the machine runs another attempt of the task */
#define W_END_UNKNOWN_JOB "unknown"  /* refused: the agent does not know the job's description */

/* The cloud: machine types, the list of machines, rental requests. */
#define W_TYPE_NAME "label"	   /* name of a machine type */
#define W_CACHE "localGb"	   /* size of the machine's cache for images in GB */
#define W_FETCH_RATE "fetchGbPerS" /* speed at which images are fetched, in GB/s */
#define W_PRICE "hourly"	   /* price of an hour */
#define W_SPOT_PRICE "marketPrice" /* price of an hour of a spot machine */
#define W_BOOT_TIME "readyS"	   /* seconds from the rental to the first report */
#define W_REQUEST_NAME "pedido"	  /* name of a rental request; its repetitions have the same name */
#define W_MACHINE_COUNT "howMany" /* number of machines to rent */
#define W_AFTER "from"	   /* last entry before the page, or last revision before the watch */
#define W_LIMIT "limit"	   /* maximum number of entries in a page */
#define W_AGE "ageS"	   /* seconds since the machine was rented */
#define W_MORE "truncated" /* boolean: another page follows */
#define W_CLOUD_BOOTING "starting" /* the machine is rented and boots */
#define W_CLOUD_RUNNING "running"  /* the machine has booted */
#define W_CLOUD_FAILED "failed"	   /* the machine has failed and is of no use */

/* The state service: items, transactions, leases, watches. */
#define W_KEY "k"	    /* key of an item or a guard */
#define W_VALUE "data"	    /* value of an item: an object or a list */
#define W_PREFIX "starts"   /* prefix of the keys of a range or a watch */
#define W_ITEMS "entries"   /* items of a page */
#define W_GUARDS "guards"   /* guards of a transaction: versions that keys must have */
#define W_CHANGES "apply"   /* changes that a transaction makes */
#define W_PUT "write"	    /* key that a change writes */
#define W_DROP "drop"	    /* key that a change deletes */
#define W_REVISION "edicao" /* revision of the whole store, a number */
#define W_VERSION "retoque" /* version of a key, a number; 0 in a guard: the key must not exist */
#define W_LEASE "alvara"    /* number of a lease */
#define W_TTL "lifeMs"	    /* time after which a lease ends unless renewed, in milliseconds */
#define W_WATCH_WAIT "blockMs" /* time for which a watch waits for changes, in milliseconds */
#define W_EVENTS "events"      /* changes that a watch returns */
#define W_FAILED "failed"      /* keys whose guards failed */

#endif
