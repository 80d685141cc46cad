/*
 * May one task run on two workers when the leader changes, orders are carried
 * out late, and a worker restarts under its id? Leader 1 (fence 1) and leader 2
 * (fence 2, the revision of its claim) decide on one task and workers 0 and 1;
 * worker 0 may be out of a leader's reach. Calls on their way lie in wire[] and
 * are carried out at any time or never. The code is pkg/aqsite (fences, leases)
 * and pkg/aqdecider (stops, restarts, adoption).
 *
 * Mutants: NO_FENCE, RELATIVE_LEASE, SHORT_WAIT, START_UNSEEN, NO_STOP,
 * RESTART_IS_LOSS.
 */
#define L 2   /* length of a lease */
#define P 1   /* how long leader 1 goes on without a proof */
#ifdef SHORT_WAIT
#define WAIT (L)
#else
/* One tick more for events that lie anywhere in theirs. */
#define WAIT (P + L + 1)
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
byte live[2];     /* attempt that runs, 0 for none */
byte lease[2];
byte high[2];     /* highest attempt that was stopped or has ended */
bool restarted;

typedef Call { byte what; byte token; byte num; byte end }
Call wire[SLOTS]; /* all to worker 0 */

inline carry(wk, kd, fc, at, un) {
	if
#ifndef NO_FENCE
	:: fc < fence[wk] -> skip
#endif
	:: else ->
		fence[wk] = (fc > fence[wk] -> fc : fence[wk]);
		if
		:: kd == START && live[wk] == 0 && at > high[wk] && now <= un ->
			live[wk] = at; lease[wk] = (un > lease[wk] -> un : lease[wk])
		:: kd == HOLD -> lease[wk] = (un > lease[wk] -> un : lease[wk])
		:: kd == STOP ->
			if
			:: live[wk] == at -> live[wk] = 0
			:: else
			fi;
			high[wk] = (at > high[wk] -> at : high[wk])
		:: else
		fi
	fi;
	assert(!(live[0] != 0 && live[1] != 0))
}

inline send(kd, fc, at) {
	if
	:: wire[0].what == NONE -> wire[0].what = kd; wire[0].token = fc; wire[0].num = at; wire[0].end = now + L
	:: wire[0].what != NONE && wire[1].what == NONE -> wire[1].what = kd; wire[1].token = fc; wire[1].num = at; wire[1].end = now + L
	:: else
	fi
}

proctype Clock() {
	do
	:: atomic { now < END ->
		now++;
		if
		:: live[0] != 0 && now > lease[0] -> high[0] = (live[0] > high[0] -> live[0] : high[0]); live[0] = 0
		:: else
		fi;
		if
		:: live[1] != 0 && now > lease[1] -> high[1] = (live[1] > high[1] -> live[1] : high[1]); live[1] = 0
		:: else
		fi }
	:: now == END -> break
	od
}

#ifdef RELATIVE_LEASE
#define UNTIL (now + L)
#else
#define UNTIL wire[i].end
#endif

/*
 * Not covered: an order of leader 1, deposed, that reaches a later life of the
 * worker, which has forgotten the fence. See docs/QUESTIONS.md.
 */
#define EARLIER(n) (wire[n].what != NONE && wire[n].token == 1)

proctype Net() {
	byte i;
	do
	:: now == END -> break
	:: atomic { wire[0].what != NONE -> i = 0; if :: carry(0, wire[0].what, wire[0].token, wire[0].num, UNTIL) :: skip fi; wire[0].what = NONE }
	:: atomic { wire[1].what != NONE -> i = 1; if :: carry(0, wire[1].what, wire[1].token, wire[1].num, UNTIL) :: skip fi; wire[1].what = NONE }
	:: atomic { !restarted && now > 0 && (!taken || now > takenAt + P) && !EARLIER(0) && !EARLIER(1) -> restarted = true; live[0] = 0; fence[0] = 0; lease[0] = 0; high[0] = 0 }
	od
}

#define MAY1 (!taken || now <= takenAt + P)

/* Leader 1 starts on worker 0 and keeps the lease; an order without an answer is
 * settled before the task starts on worker 1. */
proctype Leader1() {
	bool started, moved;
	do
	:: now == END -> break
	:: atomic { MAY1 && !started -> started = true; send(START, 1, 1) }
	:: atomic { MAY1 && started && !moved -> send(HOLD, 1, 0) }
	/* The start is in doubt, and worker 0 answers: it is stopped there first. */
	:: atomic { MAY1 && started && !moved && fence[0] <= 1 && live[0] == 0 ->
		moved = true;
#ifndef NO_STOP
		carry(0, STOP, 1, 1, 0);
#endif
		carry(1, START, 1, 2, now + L) }
	:: atomic { MAY1 && moved -> carry(1, HOLD, 1, 0, now + L) }
	od
}

/* Leader 2 asks worker 1, then worker 0 if it can, and otherwise waits. */
proctype Leader2() {
	bool started0, seenRestart;
	atomic { now <= TAKE_BY -> taken = true; takenAt = now };
	/* Worker 1 answers: from now on it does nothing for leader 1. */
	atomic { carry(1, HOLD, 2, 0, now) };
	if
	:: atomic { live[1] != 0 -> goto done }
	:: else
	fi;
	do
	:: now == END -> break
	/* Worker 0 answers. */
	:: atomic { !started0 ->
#ifndef START_UNSEEN
		carry(0, HOLD, 2, 0, now);
#endif
		if
		:: live[0] != 0 && fence[0] == 2 -> goto done
		:: else ->
			if
			:: carry(1, START, 2, 4, now + L); goto done
			:: started0 = true; seenRestart = restarted; send(START, 2, 3)
			fi
		fi }
	/* Worker 0 has restarted while the start was on its way. */
	:: atomic { started0 && restarted && !seenRestart ->
		carry(0, HOLD, 2, 0, now);
#ifndef RESTART_IS_LOSS
		carry(0, STOP, 2, 3, 0);
#endif
		if
		:: live[0] != 0 -> goto done
		:: else -> carry(1, START, 2, 4, now + L); goto done
		fi }
	/* Worker 0 cannot be reached: its lease is waited out. */
	:: atomic { !started0 && now > takenAt + WAIT -> carry(1, START, 2, 4, now + L); goto done }
	od;
done:
	skip
}

init {
	atomic { run Clock(); run Net(); run Leader1(); run Leader2() }
}
