/*
 * Can one task run on two workers when the leader changes, orders are delayed, and a
 * worker restarts under its id? Leader 1 (fencing token 1) and leader 2 (fencing
 * token 2, the revision of its claim) decide on one task and workers 0 and 1.
 * Worker 0 may be unreachable for a leader. Calls in flight are in inFlight[] and are
 * executed at any time or never. The code is pkg/aqsite (fencing tokens, leases) and
 * pkg/aqdecider (stops, restarts, adoption).
 *
 * Mutants: NO_FENCE, RELATIVE_LEASE, SHORT_WAIT, START_UNSEEN, NO_STOP,
 * RESTART_IS_LOSS.
 */
#define LEASE 2        /* duration of a lease */
#define PROOF_LIMIT 1  /* how long leader 1 acts without a new proof */
#ifdef SHORT_WAIT
#define WAIT (LEASE)
#else
/* One tick more, as an event happens anywhere in its tick. */
#define WAIT (PROOF_LIMIT + LEASE + 1)
#endif
#define TAKE_BY 2
#define END (TAKE_BY + WAIT + 2)
#define SLOTS 2

#define NONE 0
#define START 1
#define HOLD 2
#define STOP 3

byte now;
bool taken;
byte takenAt;

/* Workers. */
byte fence[2];
byte runningAttempt[2];  /* the running attempt, 0 for none */
byte lease[2];
byte highestEnded[2];    /* highest attempt that was stopped or has ended */
bool restarted;

typedef Call { byte kind; byte token; byte runAttempt; byte end }
Call inFlight[SLOTS]; /* all to worker 0 */

inline execute(wk, kd, fc, at, un) {
	if
#ifndef NO_FENCE
	:: fc < fence[wk] -> skip
#endif
	:: else ->
		fence[wk] = (fc > fence[wk] -> fc : fence[wk]);
		if
		:: kd == START && runningAttempt[wk] == 0 && at > highestEnded[wk] && now <= un ->
			runningAttempt[wk] = at; lease[wk] = (un > lease[wk] -> un : lease[wk])
		:: kd == HOLD -> lease[wk] = (un > lease[wk] -> un : lease[wk])
		:: kd == STOP ->
			if
			:: runningAttempt[wk] == at -> runningAttempt[wk] = 0
			:: else
			fi;
			highestEnded[wk] = (at > highestEnded[wk] -> at : highestEnded[wk])
		:: else
		fi
	fi;
	assert(!(runningAttempt[0] != 0 && runningAttempt[1] != 0))
}

inline send(kd, fc, at) {
	if
	:: inFlight[0].kind == NONE -> inFlight[0].kind = kd; inFlight[0].token = fc; inFlight[0].runAttempt = at; inFlight[0].end = now + LEASE
	:: inFlight[0].kind != NONE && inFlight[1].kind == NONE -> inFlight[1].kind = kd; inFlight[1].token = fc; inFlight[1].runAttempt = at; inFlight[1].end = now + LEASE
	:: else
	fi
}

proctype Clock() {
	do
	:: atomic { now < END ->
		now++;
		if
		:: runningAttempt[0] != 0 && now > lease[0] -> highestEnded[0] = (runningAttempt[0] > highestEnded[0] -> runningAttempt[0] : highestEnded[0]); runningAttempt[0] = 0
		:: else
		fi;
		if
		:: runningAttempt[1] != 0 && now > lease[1] -> highestEnded[1] = (runningAttempt[1] > highestEnded[1] -> runningAttempt[1] : highestEnded[1]); runningAttempt[1] = 0
		:: else
		fi }
	:: now == END -> break
	od
}

#ifdef RELATIVE_LEASE
#define LEASE_END (now + LEASE)
#else
#define LEASE_END inFlight[i].end
#endif

/*
 * Not covered: an order of the deposed leader 1 that reaches a later incarnation of
 * the worker, which no longer knows the fencing token. See docs/QUESTIONS.md.
 */
#define FROM_LEADER1(n) (inFlight[n].kind != NONE && inFlight[n].token == 1)

proctype Network() {
	byte i;
	do
	:: now == END -> break
	:: atomic { inFlight[0].kind != NONE -> i = 0; if :: execute(0, inFlight[0].kind, inFlight[0].token, inFlight[0].runAttempt, LEASE_END) :: skip fi; inFlight[0].kind = NONE }
	:: atomic { inFlight[1].kind != NONE -> i = 1; if :: execute(0, inFlight[1].kind, inFlight[1].token, inFlight[1].runAttempt, LEASE_END) :: skip fi; inFlight[1].kind = NONE }
	:: atomic { !restarted && now > 0 && (!taken || now > takenAt + PROOF_LIMIT) && !FROM_LEADER1(0) && !FROM_LEADER1(1) -> restarted = true; runningAttempt[0] = 0; fence[0] = 0; lease[0] = 0; highestEnded[0] = 0 }
	od
}

#define LEADER1_MAY_ACT (!taken || now <= takenAt + PROOF_LIMIT)

/* Leader 1 starts the task on worker 0 and renews the lease. The outcome of an order
 * without an answer is resolved before the task starts on worker 1. */
proctype Leader1() {
	bool started, onWorker1;
	do
	:: now == END -> break
	:: atomic { LEADER1_MAY_ACT && !started -> started = true; send(START, 1, 1) }
	:: atomic { LEADER1_MAY_ACT && started && !onWorker1 -> send(HOLD, 1, 0) }
	/* The outcome of the start is unknown and worker 0 answers: stop the task there
	 * first. */
	:: atomic { LEADER1_MAY_ACT && started && !onWorker1 && fence[0] <= 1 && runningAttempt[0] == 0 ->
		onWorker1 = true;
#ifndef NO_STOP
		execute(0, STOP, 1, 1, 0);
#endif
		execute(1, START, 1, 2, now + LEASE) }
	:: atomic { LEADER1_MAY_ACT && onWorker1 -> execute(1, HOLD, 1, 0, now + LEASE) }
	od
}

/* Leader 2 polls worker 1, then worker 0 if it can be reached, and otherwise waits. */
proctype Leader2() {
	bool started0, seenRestart;
	atomic { now <= TAKE_BY -> taken = true; takenAt = now };
	/* Worker 1 answers: from now on it refuses the orders of leader 1. */
	atomic { execute(1, HOLD, 2, 0, now) };
	if
	:: atomic { runningAttempt[1] != 0 -> goto done }
	:: else
	fi;
	do
	:: now == END -> break
	/* Worker 0 answers. */
	:: atomic { !started0 ->
#ifndef START_UNSEEN
		execute(0, HOLD, 2, 0, now);
#endif
		if
		:: runningAttempt[0] != 0 && fence[0] == 2 -> goto done
		:: else ->
			if
			:: execute(1, START, 2, 4, now + LEASE); goto done
			:: started0 = true; seenRestart = restarted; send(START, 2, 3)
			fi
		fi }
	/* Worker 0 has restarted while the start was in flight. */
	:: atomic { started0 && restarted && !seenRestart ->
		execute(0, HOLD, 2, 0, now);
#ifndef RESTART_IS_LOSS
		execute(0, STOP, 2, 3, 0);
#endif
		if
		:: runningAttempt[0] != 0 -> goto done
		:: else -> execute(1, START, 2, 4, now + LEASE); goto done
		fi }
	/* Worker 0 is unreachable: wait until its lease has expired. */
	:: atomic { !started0 && now > takenAt + WAIT -> execute(1, START, 2, 4, now + LEASE); goto done }
	od;
done:
	skip
}

init {
	atomic { run Clock(); run Network(); run Leader1(); run Leader2() }
}
