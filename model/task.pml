/*
 * One task, two workers, two owners in turn. Commands are numbered, name a
 * session, and may arrive late or not at all; workers restart; the task is
 * evicted, resumed, cancelled and finishes. The journal's fence is taken from
 * journal.pml: only the owner of the last epoch commits. pkg/aqsession and
 * pkg/aqscheduler/workers.go are the code.
 *
 * Mutants: NO_SESSION, NO_NUMBER, EARLY_ACT, FORGET_KEEPS_START,
 * LOST_UNASKED.
 */
#define Q 0
#define RUN 1
#define STOPE 2
#define STOPC 3
#define FIN 4
#define CAN 5
#define NONE 0
#define RUNNING 1
#define FINISHED 2
#define STOPPED 3
#define ATTEMPTS 2
#ifndef SESSIONS
#define SESSIONS 3
#endif
#define NUMBERS 3

/* Committed. */
byte state = Q;
byte attempt;
byte place;
byte ck;              /* attempt whose checkpoint the next one resumes, 0 for none */
bool cancelled;
byte epoch = 1;

/* Workers. */
byte sess[2];
byte num[2];
byte wrun[2];
byte ran[2];          /* attempt of the run that the worker knows */
byte saved[2];
byte sessions;        /* the last session given out; none is used twice */

/* What happened. */
bool done;
byte resumed[ATTEMPTS + 1];

/* The owner of each epoch: its sessions, numbers and outbox for each worker. */
byte oSess[4];        /* (epoch - 1) * 2 + worker */
byte oNum[4];
byte obStart[4];
byte obCk[4];
byte obSess[4];       /* the session under which the start was decided */
byte obStop[4];
bool obSave[4];
byte obForget[4];

/* Two commands on their way. */
bool nUsed[2];
byte nWorker[2];
byte nSess[2];
byte nNum[2];
byte nStart[2];
byte nCk[2];
byte nStop[2];
bool nSave[2];
byte nForget[2];

#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef EVICTIONS
#define EVICTIONS 1
#endif
byte restarts = RESTARTS;
byte evictions = EVICTIONS;

#define at(e, w) ((e - 1) * 2 + w)

inline endAttempt(outcome, w) {
	if
	:: outcome == FINISHED -> state = FIN
	:: outcome != FINISHED && (cancelled || state == STOPC) -> state = CAN
	:: else -> state = Q
	fi;
	obForget[at(epoch, w)] = attempt;
#ifndef FORGET_KEEPS_START
	if
	:: obStart[at(epoch, w)] == attempt -> obStart[at(epoch, w)] = 0
	:: else
	fi
#endif
}

/* What the owner of the last epoch makes of a worker's word. */
inline observe(w) {
	if
	:: (state == RUN || state == STOPE || state == STOPC) && place == w && ran[w] == attempt && wrun[w] == FINISHED ->
		endAttempt(FINISHED, w)
	:: (state == RUN || state == STOPE || state == STOPC) && place == w && ran[w] == attempt && wrun[w] == STOPPED ->
		ck = saved[w];
		endAttempt(STOPPED, w)
	:: (state == STOPE || state == STOPC) && place == w && ran[w] == attempt && wrun[w] == RUNNING ->
		obStop[at(epoch, w)] = attempt;
		obSave[at(epoch, w)] = (state == STOPE)
	:: else
	fi
}

inline openSession(e, w) {
	sessions++;
	sess[w] = sessions;
	oSess[at(e, w)] = sessions;
	obStart[at(e, w)] = 0;
	obStop[at(e, w)] = 0;
	obForget[at(e, w)] = 0;
	if
	:: e == epoch ->
		if
		:: (state == RUN || state == STOPE || state == STOPC) && place == w && (wrun[w] == NONE || ran[w] != attempt) ->
			endAttempt(STOPPED, w) /* it will never run */
		:: else -> observe(w)
		fi
	:: else
	fi
}

inline deliver(i) {
	if
#ifdef NO_SESSION
	:: nNum[i] > num[nWorker[i]] ->
#else
#ifdef NO_NUMBER
	:: nSess[i] == sess[nWorker[i]] ->
#else
	:: nSess[i] == sess[nWorker[i]] && nNum[i] > num[nWorker[i]] ->
#endif
#endif
		num[nWorker[i]] = nNum[i];
		if
		:: nForget[i] != 0 && ran[nWorker[i]] == nForget[i] && wrun[nWorker[i]] >= FINISHED ->
			wrun[nWorker[i]] = NONE;
			saved[nWorker[i]] = 0
		:: else
		fi;
		if
		:: nStart[i] != 0 && !(wrun[nWorker[i]] != NONE && ran[nWorker[i]] == nStart[i]) ->
			assert(wrun[1 - nWorker[i]] != RUNNING); /* never in two places */
			assert(wrun[nWorker[i]] != RUNNING);
			assert(!done);                          /* never done twice */
			wrun[nWorker[i]] = RUNNING;
			ran[nWorker[i]] = nStart[i];
			if
			:: nCk[i] != 0 ->
				resumed[nCk[i]]++;
				assert(resumed[nCk[i]] <= 1)    /* resumes at most once */
			:: else
			fi
		:: else
		fi;
		if
		:: nStop[i] != 0 && ran[nWorker[i]] == nStop[i] && wrun[nWorker[i]] == RUNNING ->
			wrun[nWorker[i]] = STOPPED;
			saved[nWorker[i]] = (nSave[i] -> nStop[i] : 0)
		:: else
		fi
	:: else
	fi;
	nUsed[i] = false
}

inline send(e, w, i) {
	oNum[at(e, w)]++;
	nUsed[i] = true;
	nWorker[i] = w;
	nSess[i] = oSess[at(e, w)];
	nNum[i] = oNum[at(e, w)];
	nStart[i] = obStart[at(e, w)];
	nCk[i] = obCk[at(e, w)];
	nStop[i] = obStop[at(e, w)];
	nSave[i] = obSave[at(e, w)];
	nForget[i] = obForget[at(e, w)]
}

#define waiting(e, w) (oSess[at(e, w)] != 0 && (obStart[at(e, w)] != 0 || obStop[at(e, w)] != 0 || obForget[at(e, w)] != 0))

/* The owner of an epoch: while it is the last, it decides; later it only sends. */
proctype Owner(byte e) {
	byte w;
	do
	:: atomic { e <= epoch && sessions < SESSIONS -> w = 0; openSession(e, w) }
	:: atomic { e <= epoch && sessions < SESSIONS -> w = 1; openSession(e, w) }
	/* Place: commit, then the start waits to be sent. */
#ifdef EARLY_ACT
	:: atomic { e <= epoch && state == Q && !cancelled && attempt < ATTEMPTS && oSess[at(e, 0)] == sess[0] && sess[0] != 0 ->
		w = 0;
#else
	:: atomic { e == epoch && state == Q && !cancelled && attempt < ATTEMPTS && oSess[at(e, 0)] != 0 ->
		w = 0;
#endif
		obStart[at(e, w)] = attempt + 1; obCk[at(e, w)] = ck;
		if
		:: e == epoch -> state = RUN; attempt++; place = w;
			ck = 0
		:: else
		fi }
	:: atomic { e == epoch && state == Q && !cancelled && attempt < ATTEMPTS && oSess[at(e, 1)] != 0 ->
		w = 1;
		state = RUN; attempt++; place = w;
		obStart[at(e, w)] = attempt; obCk[at(e, w)] = ck;
		ck = 0
		}
	:: atomic { e == epoch && state == RUN && evictions > 0 ->
		evictions--; state = STOPE; obStop[at(e, place)] = attempt; obSave[at(e, place)] = true }
	:: atomic { e == epoch && !cancelled ->
		cancelled = true;
		if
		:: state == Q -> state = CAN
		:: state == RUN || state == STOPE -> state = STOPC; obStop[at(e, place)] = attempt; obSave[at(e, place)] = false
		:: else
		fi }
	/* A renewal under the live session brings the worker's word. */
	:: atomic { e == epoch && oSess[at(e, 0)] != 0 && oSess[at(e, 0)] == sess[0] -> observe(0) }
	:: atomic { e == epoch && oSess[at(e, 1)] != 0 && oSess[at(e, 1)] == sess[1] -> observe(1) }
#ifdef LOST_UNASKED
	:: atomic { e == epoch && state == RUN && oSess[at(e, place)] != sess[place] -> state = Q }
#endif
	/* Send: the orders stay queued until the answer is known. */
	:: atomic { waiting(e, 0) && oNum[at(e, 0)] < NUMBERS && !nUsed[0] -> send(e, 0, 0) }
	:: atomic { waiting(e, 1) && oNum[at(e, 1)] < NUMBERS && !nUsed[0] -> send(e, 1, 0) }
	:: atomic { waiting(e, 0) && oNum[at(e, 0)] < NUMBERS && !nUsed[1] -> send(e, 0, 1) }
	:: atomic { waiting(e, 1) && oNum[at(e, 1)] < NUMBERS && !nUsed[1] -> send(e, 1, 1) }
	:: atomic { e == 1 && epoch == 1 -> epoch = 2 } /* another owner commits its epoch */
	od
}

proctype World() {
	do
	:: atomic { nUsed[0] -> deliver(0) }
	:: atomic { nUsed[1] -> deliver(1) }
	:: atomic { nUsed[0] -> nUsed[0] = false }
	:: atomic { nUsed[1] -> nUsed[1] = false }
	:: atomic { wrun[0] == RUNNING -> wrun[0] = FINISHED; done = true }
	:: atomic { wrun[1] == RUNNING -> wrun[1] = FINISHED; done = true }
	:: atomic { restarts > 0 ->
		restarts--; sess[0] = 0; num[0] = 0;
		if
		:: wrun[0] == RUNNING -> wrun[0] = STOPPED
		:: else
		fi }
	od
}

init {
	atomic { run Owner(1); run Owner(2); run World() }
}
