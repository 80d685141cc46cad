/*
 * When may a new owner that cannot reach a worker treat its tasks as stopped?
 * O1 (epoch 1) renews the worker's session; O2 commits epoch 2 and waits
 * D + 2T. One renewal is in flight at a time. It carries the single-use token of the
 * previous answer, and the clock is read after that answer, right before the send.
 * The code is pkg/aqsession and Shard.sessionsExpired in
 * pkg/aqscheduler/workers.go.
 *
 * Mutants: WAIT_D_T, NO_TOKEN, CHECK_EARLY, OPEN_EXTENDS, NO_PROOF.
 */
#define D 3
#define T 2
/*
 * An event of tick n happens anywhere in [n, n + 1). Every comparison assumes the
 * worse end of the interval, and the wait is one tick longer for it.
 */
#ifdef WAIT_D_T
#define WAIT (D + T + 1)
#else
#define WAIT (D + 2 * T + 1)
#endif
#define COMMIT_BY 2 /* latest time at which epoch 2 is committed */
#define END (COMMIT_BY + WAIT + 1)

byte now;
byte expires = T;     /* expiry of the worker's session */
bool running = true;  /* the task runs on the unreachable worker */
bool reassigned;
bool committed2;
byte commitAt;
byte token = 1;       /* the token that the worker accepts */

/* Renewals and opens in flight: the token of a renewal, 0 for none. */
byte renewal[2];
bool openInFlight;
/* The token of the answer in flight to O1, 0 for none. */
byte answerToken;

/* O1 */
byte provedAt;        /* when the call that proved ownership was sent */
bool proving;
byte proofSentAt;
byte ownerToken = 1;  /* the token that O1 holds, 0 for none */
bool outstanding;
bool checked;

#define PROOF_VALID (now <= provedAt + D)

proctype Clock() {
	do
	:: atomic { now < END ->
		now++;
		/* The tasks of an expired session stop. */
		if
		:: now > expires -> running = false
		:: else
		fi }
	:: now == END -> break
	od
}

proctype O1() {
	do
	:: atomic { !proving -> proving = true; proofSentAt = now }
	:: atomic { proving && !committed2 -> proving = false; provedAt = proofSentAt }
	:: atomic { proving && committed2 -> proving = false; break } /* O1 learns that it is deposed */
#ifdef NO_TOKEN
	:: atomic { PROOF_VALID && renewal[0] == 0 -> renewal[0] = 1 }
	:: atomic { PROOF_VALID && renewal[1] == 0 -> renewal[1] = 1 }
#else
#ifdef CHECK_EARLY
	:: atomic { PROOF_VALID && !checked -> checked = true }
	:: atomic { checked && !outstanding && ownerToken != 0 && renewal[0] == 0 ->
		renewal[0] = ownerToken; ownerToken = 0; outstanding = true; checked = false }
#else
#ifdef NO_PROOF
	:: atomic { !outstanding && ownerToken != 0 && renewal[0] == 0 ->
#else
	:: atomic { PROOF_VALID && !outstanding && ownerToken != 0 && renewal[0] == 0 ->
#endif
		renewal[0] = ownerToken; ownerToken = 0; outstanding = true }
#endif
#endif
	:: atomic { answerToken != 0 -> ownerToken = answerToken; answerToken = 0; outstanding = false }
	/* The answer was lost: open a new session, which returns a token. */
	:: atomic { outstanding && PROOF_VALID && !openInFlight -> outstanding = false; openInFlight = true }
	:: now == END -> break
	od
}

inline renew(t) {
	if
#ifdef NO_TOKEN
	:: running ->
#else
	:: running && t == token ->
#endif
		token = 3 - token; /* alternates between 1 and 2 */
		expires = now + T;
		if
		:: answerToken == 0 -> answerToken = token
		:: true /* the answer is lost */
		fi
	:: else
	fi
}

proctype Network() {
	do
	:: atomic { renewal[0] != 0 -> renew(renewal[0]); renewal[0] = 0 }
	:: atomic { renewal[1] != 0 -> renew(renewal[1]); renewal[1] = 0 }
	:: atomic { openInFlight ->
		openInFlight = false;
		if
		:: running ->
			token = 3 - token;
#ifdef OPEN_EXTENDS
			expires = now + T;
#endif
			if
			:: answerToken == 0 -> answerToken = token
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

/* A task never runs twice: it is reassigned only when it cannot run on the unreachable
 * worker. */
active proctype Monitor() {
	atomic { reassigned && running -> assert(false) }
}

init {
	atomic { run Clock(); run O1(); run Network(); run O2() }
}
