/*
 * One task, two workers, two successive owners. Commands are numbered, name a
 * session, and may be delayed or lost; workers restart; the task is evicted, resumed
 * and cancelled, and it finishes. Fencing by the journal is assumed, as checked in
 * journal.pml: only the owner of the last epoch commits. The code is pkg/aqsession
 * and pkg/aqscheduler/workers.go.
 *
 * Mutants: NO_SESSION, NO_NUMBER, EARLY_ACT, FORGET_KEEPS_START,
 * LOST_UNASKED.
 */
#define T_QUEUED 0
#define T_RUNNING 1
#define T_EVICTING 2
#define T_CANCELLING 3
#define T_FINISHED 4
#define T_CANCELLED 5
#define NONE 0
#define RUNNING 1
#define FINISHED 2
#define STOPPED 3
#define ATTEMPTS 2
#ifndef SESSIONS
#define SESSIONS 3
#endif
#define NUMBERS 3

/* Committed state of the task: T_EVICTING and T_CANCELLING are running tasks that are
 * being stopped. */
byte state = T_QUEUED;
byte attempt;
byte place;
byte checkpoint; /* attempt whose checkpoint the next attempt resumes from, 0 for none */
bool cancelled;
byte epoch = 1;

/* Workers. */
byte workerSession[2];
byte lastNumber[2];
byte runState[2];
byte runAttempt[2];  /* attempt of the run that the worker has a record of */
byte saved[2];
byte sessions;       /* number of the last session opened; none is used twice */

/* History. */
bool done;
byte resumed[ATTEMPTS + 1];

/* The owner of each epoch: its session, last command number and queued orders for each
 * worker. */
byte ownerSession[4];  /* index: (epoch - 1) * 2 + worker */
byte ownerNumber[4];
byte outStart[4];
byte outCheckpoint[4];
byte outSession[4];    /* the session under which the start was decided */
byte outStop[4];
bool outSave[4];
byte outAck[4];

/* Two commands in flight. */
bool msgUsed[2];
byte msgWorker[2];
byte msgSession[2];
byte msgNumber[2];
byte msgStart[2];
byte msgCheckpoint[2];
byte msgStop[2];
bool msgSave[2];
byte msgAck[2];

#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef EVICTIONS
#define EVICTIONS 1
#endif
byte restarts = RESTARTS;
byte evictions = EVICTIONS;

#define pair(e, w) ((e - 1) * 2 + w)

inline endAttempt(outcome, w) {
	if
	:: outcome == FINISHED -> state = T_FINISHED
	:: outcome != FINISHED && (cancelled || state == T_CANCELLING) -> state = T_CANCELLED
	:: else -> state = T_QUEUED
	fi;
	outAck[pair(epoch, w)] = attempt;
#ifndef FORGET_KEEPS_START
	if
	:: outStart[pair(epoch, w)] == attempt -> outStart[pair(epoch, w)] = 0
	:: else
	fi
#endif
}

/* The owner of the last epoch applies a worker's report. */
inline observe(w) {
	if
	:: (state == T_RUNNING || state == T_EVICTING || state == T_CANCELLING) && place == w && runAttempt[w] == attempt && runState[w] == FINISHED ->
		endAttempt(FINISHED, w)
	:: (state == T_RUNNING || state == T_EVICTING || state == T_CANCELLING) && place == w && runAttempt[w] == attempt && runState[w] == STOPPED ->
		checkpoint = saved[w];
		endAttempt(STOPPED, w)
	:: (state == T_EVICTING || state == T_CANCELLING) && place == w && runAttempt[w] == attempt && runState[w] == RUNNING ->
		outStop[pair(epoch, w)] = attempt;
		outSave[pair(epoch, w)] = (state == T_EVICTING)
	:: else
	fi
}

inline openSession(e, w) {
	sessions++;
	workerSession[w] = sessions;
	ownerSession[pair(e, w)] = sessions;
	outStart[pair(e, w)] = 0;
	outStop[pair(e, w)] = 0;
	outAck[pair(e, w)] = 0;
	if
	:: e == epoch ->
		if
		:: (state == T_RUNNING || state == T_EVICTING || state == T_CANCELLING) && place == w && (runState[w] == NONE || runAttempt[w] != attempt) ->
			endAttempt(STOPPED, w) /* it will never run */
		:: else -> observe(w)
		fi
	:: else
	fi
}

inline deliver(i) {
	if
#ifdef NO_SESSION
	:: msgNumber[i] > lastNumber[msgWorker[i]] ->
#else
#ifdef NO_NUMBER
	:: msgSession[i] == workerSession[msgWorker[i]] ->
#else
	:: msgSession[i] == workerSession[msgWorker[i]] && msgNumber[i] > lastNumber[msgWorker[i]] ->
#endif
#endif
		lastNumber[msgWorker[i]] = msgNumber[i];
		if
		:: msgAck[i] != 0 && runAttempt[msgWorker[i]] == msgAck[i] && runState[msgWorker[i]] >= FINISHED ->
			runState[msgWorker[i]] = NONE;
			saved[msgWorker[i]] = 0
		:: else
		fi;
		if
		:: msgStart[i] != 0 && !(runState[msgWorker[i]] != NONE && runAttempt[msgWorker[i]] == msgStart[i]) ->
			assert(runState[1 - msgWorker[i]] != RUNNING); /* never runs on two workers */
			assert(runState[msgWorker[i]] != RUNNING);
			assert(!done);                          /* never runs again once it is done */
			runState[msgWorker[i]] = RUNNING;
			runAttempt[msgWorker[i]] = msgStart[i];
			if
			:: msgCheckpoint[i] != 0 ->
				resumed[msgCheckpoint[i]]++;
				assert(resumed[msgCheckpoint[i]] <= 1)    /* a checkpoint is resumed from at most once */
			:: else
			fi
		:: else
		fi;
		if
		:: msgStop[i] != 0 && runAttempt[msgWorker[i]] == msgStop[i] && runState[msgWorker[i]] == RUNNING ->
			runState[msgWorker[i]] = STOPPED;
			saved[msgWorker[i]] = (msgSave[i] -> msgStop[i] : 0)
		:: else
		fi
	:: else
	fi;
	msgUsed[i] = false
}

inline send(e, w, i) {
	ownerNumber[pair(e, w)]++;
	msgUsed[i] = true;
	msgWorker[i] = w;
	msgSession[i] = ownerSession[pair(e, w)];
	msgNumber[i] = ownerNumber[pair(e, w)];
	msgStart[i] = outStart[pair(e, w)];
	msgCheckpoint[i] = outCheckpoint[pair(e, w)];
	msgStop[i] = outStop[pair(e, w)];
	msgSave[i] = outSave[pair(e, w)];
	msgAck[i] = outAck[pair(e, w)]
}

#define hasOrders(e, w) (ownerSession[pair(e, w)] != 0 && (outStart[pair(e, w)] != 0 || outStop[pair(e, w)] != 0 || outAck[pair(e, w)] != 0))

/* The owner of an epoch. It decides while its epoch is the last, and only sends its
 * queued orders after that. */
proctype Owner(byte e) {
	byte w;
	do
	:: atomic { e <= epoch && sessions < SESSIONS -> w = 0; openSession(e, w) }
	:: atomic { e <= epoch && sessions < SESSIONS -> w = 1; openSession(e, w) }
	/* Place the task: commit, then queue the start. */
#ifdef EARLY_ACT
	:: atomic { e <= epoch && state == T_QUEUED && !cancelled && attempt < ATTEMPTS && ownerSession[pair(e, 0)] == workerSession[0] && workerSession[0] != 0 ->
		w = 0;
#else
	:: atomic { e == epoch && state == T_QUEUED && !cancelled && attempt < ATTEMPTS && ownerSession[pair(e, 0)] != 0 ->
		w = 0;
#endif
		outStart[pair(e, w)] = attempt + 1; outCheckpoint[pair(e, w)] = checkpoint;
		if
		:: e == epoch -> state = T_RUNNING; attempt++; place = w;
			checkpoint = 0
		:: else
		fi }
	:: atomic { e == epoch && state == T_QUEUED && !cancelled && attempt < ATTEMPTS && ownerSession[pair(e, 1)] != 0 ->
		w = 1;
		state = T_RUNNING; attempt++; place = w;
		outStart[pair(e, w)] = attempt; outCheckpoint[pair(e, w)] = checkpoint;
		checkpoint = 0
		}
	:: atomic { e == epoch && state == T_RUNNING && evictions > 0 ->
		evictions--; state = T_EVICTING; outStop[pair(e, place)] = attempt; outSave[pair(e, place)] = true }
	:: atomic { e == epoch && !cancelled ->
		cancelled = true;
		if
		:: state == T_QUEUED -> state = T_CANCELLED
		:: state == T_RUNNING || state == T_EVICTING -> state = T_CANCELLING; outStop[pair(e, place)] = attempt; outSave[pair(e, place)] = false
		:: else
		fi }
	/* The answer to a renewal under the current session reports the worker's runs. */
	:: atomic { e == epoch && ownerSession[pair(e, 0)] != 0 && ownerSession[pair(e, 0)] == workerSession[0] -> observe(0) }
	:: atomic { e == epoch && ownerSession[pair(e, 1)] != 0 && ownerSession[pair(e, 1)] == workerSession[1] -> observe(1) }
#ifdef LOST_UNASKED
	:: atomic { e == epoch && state == T_RUNNING && ownerSession[pair(e, place)] != workerSession[place] -> state = T_QUEUED }
#endif
	/* Send: the orders stay queued until their outcome is known. */
	:: atomic { hasOrders(e, 0) && ownerNumber[pair(e, 0)] < NUMBERS && !msgUsed[0] -> send(e, 0, 0) }
	:: atomic { hasOrders(e, 1) && ownerNumber[pair(e, 1)] < NUMBERS && !msgUsed[0] -> send(e, 1, 0) }
	:: atomic { hasOrders(e, 0) && ownerNumber[pair(e, 0)] < NUMBERS && !msgUsed[1] -> send(e, 0, 1) }
	:: atomic { hasOrders(e, 1) && ownerNumber[pair(e, 1)] < NUMBERS && !msgUsed[1] -> send(e, 1, 1) }
	:: atomic { e == 1 && epoch == 1 -> epoch = 2 } /* another owner commits its epoch */
	od
}

proctype Environment() {
	do
	:: atomic { msgUsed[0] -> deliver(0) }
	:: atomic { msgUsed[1] -> deliver(1) }
	:: atomic { msgUsed[0] -> msgUsed[0] = false }
	:: atomic { msgUsed[1] -> msgUsed[1] = false }
	:: atomic { runState[0] == RUNNING -> runState[0] = FINISHED; done = true }
	:: atomic { runState[1] == RUNNING -> runState[1] = FINISHED; done = true }
	:: atomic { restarts > 0 ->
		restarts--; workerSession[0] = 0; lastNumber[0] = 0;
		if
		:: runState[0] == RUNNING -> runState[0] = STOPPED
		:: else
		fi }
	od
}

init {
	atomic { run Owner(1); run Owner(2); run Environment() }
}
