/*
 * When may a new owner that cannot reach a worker take its tasks for stopped?
 * O1 (epoch 1) renews the worker's session; O2 commits epoch 2 and waits
 * D + 2T. Renewals carry the single-use token of the answer before, one
 * outstanding, and the clock is read after that answer and right before the
 * send. pkg/aqsession and Shard.lapsed are the code.
 *
 * Mutants: WAIT_D_T, NO_TOKEN, CHECK_EARLY, OPEN_EXTENDS, NO_PROOF.
 */
#define D 3
#define T 2
/*
 * An event of tick n lies anywhere in [n, n + 1), so every comparison takes the
 * worse end, and the wait gets one tick for it.
 */
#ifdef WAIT_D_T
#define WAIT (D + T + 1)
#else
#define WAIT (D + 2 * T + 1)
#endif
#define COMMIT_BY 2            /* epoch 2 is committed at this time at the latest */
#define END (COMMIT_BY + WAIT + 1)

byte now;
byte expires = T;       /* of the worker's session */
bool running = true;    /* the task on the cut-off worker */
bool reassigned;
bool committed2;
byte commitAt;
byte token = 1;         /* the worker accepts this one */

/* Renewals and opens on their way: token carried, 0 for none. */
byte wire[2];
bool openWire;
/* Answers on their way back to O1. */
byte back;

/* O1 */
byte proof;             /* when the call that proved ownership was sent */
bool proving;
byte provingSince;
byte held = 1;          /* token in hand */
bool outstanding;
bool checked;

#define MAY (now <= proof + D)

proctype Clock() {
	do
	:: atomic { now < END ->
		now++;
		/* A session that lapses stops its tasks. */
		if
		:: now > expires -> running = false
		:: else
		fi }
	:: now == END -> break
	od
}

proctype O1() {
	do
	:: atomic { !proving -> proving = true; provingSince = now }
	:: atomic { proving && !committed2 -> proving = false; proof = provingSince }
	:: atomic { proving && committed2 -> proving = false; break } /* told that it is deposed */
#ifdef NO_TOKEN
	:: atomic { MAY && wire[0] == 0 -> wire[0] = 1 }
	:: atomic { MAY && wire[1] == 0 -> wire[1] = 1 }
#else
#ifdef CHECK_EARLY
	:: atomic { MAY && !checked -> checked = true }
	:: atomic { checked && !outstanding && held != 0 && wire[0] == 0 ->
		wire[0] = held; held = 0; outstanding = true; checked = false }
#else
#ifdef NO_PROOF
	:: atomic { !outstanding && held != 0 && wire[0] == 0 ->
#else
	:: atomic { MAY && !outstanding && held != 0 && wire[0] == 0 ->
#endif
		wire[0] = held; held = 0; outstanding = true }
#endif
#endif
	:: atomic { back != 0 -> held = back; back = 0; outstanding = false }
	/* The answer was lost: open anew, which yields a token. */
	:: atomic { outstanding && MAY && !openWire -> outstanding = false; openWire = true }
	:: now == END -> break
	od
}

inline renewed(t) {
	if
#ifdef NO_TOKEN
	:: running ->
#else
	:: running && t == token ->
#endif
		token = 3 - token; /* 1 and 2 in turn */
		expires = now + T;
		if
		:: back == 0 -> back = token
		:: true /* the answer is lost */
		fi
	:: else
	fi
}

proctype Wire() {
	do
	:: atomic { wire[0] != 0 -> renewed(wire[0]); wire[0] = 0 }
	:: atomic { wire[1] != 0 -> renewed(wire[1]); wire[1] = 0 }
	:: atomic { openWire ->
		openWire = false;
		if
		:: running ->
			token = 3 - token;
#ifdef OPEN_EXTENDS
			expires = now + T;
#endif
			if
			:: back == 0 -> back = token
			:: true
			fi
		:: else
		fi }
	:: now == END -> break
	od
}

proctype O2() {
	if
	:: atomic { now <= COMMIT_BY -> committed2 = true; commitAt = now }
	:: now > COMMIT_BY -> goto done
	fi;
	atomic { now >= commitAt + WAIT -> reassigned = true }
done:
	skip
}

/* Never in two places: reassigned only when it cannot run on the cut-off worker. */
active proctype Monitor() {
	atomic { reassigned && running -> assert(false) }
}

init {
	atomic { run Clock(); run O1(); run Wire(); run O2() }
}
