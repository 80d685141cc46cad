/*
 * The journal of one shard: numbered segments in a ring of slots, each written by
 * compare-and-swap on the revision last read. New owners claim the journal, answers
 * are lost after the write, writes are delayed in the network. The code is
 * pkg/aqjournal.
 *
 * Mutants: NO_FENCE, DELETE_SEGMENTS, NO_REREAD, LOST_IS_DONE, EARLY_ACK.
 */
#define R 2        /* slots of the ring */
#define N 4        /* maximum number of segments */
#define OWNERS 2
#define DELAYED 2  /* maximum number of delayed writes */
#define NONE 255


byte slotNumber[R];      /* number of the segment in the slot, 0 for none yet */
byte slotOwner[R];
byte slotNonce[R];
byte chainOwner[N + 1];  /* history: the owner that committed each number */
byte chainNonce[N + 1];
byte lastCommitted;      /* highest committed number */
byte snapshot;           /* number of the last segment that the snapshot covers */
/* Delayed writes. A write is identified by its owner and the owner's count of writes,
 * the nonce. */
bool delayedUsed[DELAYED];
byte delayedNumber[DELAYED];
byte delayedOwner[DELAYED];
byte delayedNonce[DELAYED];
byte delayedExpect[DELAYED];
byte delayedJob[DELAYED];

/* Jobs: at most one submission for each owner. */
byte acked[OWNERS];  /* 0 pending, 1 acknowledged, 2 refused as not run, 3 outcome unknown */
bool inChain[OWNERS];
bool submitted[OWNERS];
byte budget = 2;     /* number of lost answers and of dropped or delayed writes */

inline apply(n, o, c, x, j, ok) {
	d_step {
		ok = false;
#ifdef NO_FENCE
		if
		:: true -> ok = true
		fi;
#else
#ifdef DELETE_SEGMENTS
		/* Create if absent. The key is deleted once the snapshot covers it. */
		if
		:: slotNumber[(n) % R] != n || (n <= snapshot && chainOwner[n] != NONE) -> ok = true
		:: else
		fi;
#else
		if
		:: slotNumber[(n) % R] == x -> ok = true
		:: else
		fi;
#endif
#endif
		if
		:: ok ->
			assert(chainOwner[n] == NONE); /* no number is committed twice */
			slotNumber[(n) % R] = n;
			slotOwner[(n) % R] = o;
			slotNonce[(n) % R] = c;
			chainOwner[n] = o;
			chainNonce[n] = c;
			if
			:: n > lastCommitted -> lastCommitted = n
			:: else
			fi;
			if
			:: j != NONE ->
				assert(acked[j] != 2); /* a job refused as not run never runs */
				inChain[j] = true
			:: else
			fi
		:: else
		fi
	}
}

proctype Owner(byte me) {
	byte last, nonce, job, i;
	byte expected[R];
	bool ok;

recover:
	atomic {
		/* Read the snapshot and every slot. */
		last = snapshot;
		i = 0;
		do
		:: i < R ->
			expected[i] = slotNumber[i];
			if
			:: slotNumber[i] > last -> last = slotNumber[i]
			:: else
			fi;
			i++
		:: else -> break
		od;
		assert(last == lastCommitted);
		job = NONE
	}
	goto write;

work:
	atomic {
		if
		:: !submitted[me] ->
			submitted[me] = true;
			job = me
#ifdef EARLY_ACK
			; acked[me] = 1
#endif
		:: job = NONE
		:: goto done
		fi
	}

write:
	atomic {
		if
		:: last == N -> goto done
		:: else
		fi;
		/* The ring must not overwrite a segment that no snapshot covers. */
		if
		:: last >= snapshot + R ->
			if
			:: lastCommitted == last -> snapshot = last
			:: else -> goto lost /* deposed: the snapshot's revision has changed */
			fi
		:: else
		fi;
		nonce++
	}

try:
	atomic {
		if
		:: /* delivered and answered */
			apply(last + 1, me, nonce, expected[(last + 1) % R], job, ok);
			if
			:: ok -> goto settled
			:: else -> goto conflict
			fi
		:: budget > 0 -> /* the answer is lost */
			budget--;
			apply(last + 1, me, nonce, expected[(last + 1) % R], job, ok)
		:: budget > 0 -> /* delayed: the write may arrive at any later time */
			budget--;
			i = 0;
			do
			:: i < DELAYED && !delayedUsed[i] ->
				delayedUsed[i] = true;
				delayedNumber[i] = last + 1;
				delayedOwner[i] = me;
				delayedNonce[i] = nonce;
				delayedExpect[i] = expected[(last + 1) % R];
				delayedJob[i] = job;
				break
			:: i < DELAYED && delayedUsed[i] -> i++
			:: i == DELAYED -> break
			od
		fi;
#ifdef NO_REREAD
		goto refused;
#endif
#ifdef LOST_IS_DONE
		goto settled;
#endif
		goto try
	}

conflict:
	atomic {
		if
		:: slotNumber[(last + 1) % R] == last + 1 && slotOwner[(last + 1) % R] == me && slotNonce[(last + 1) % R] == nonce ->
			goto settled
		:: slotNumber[(last + 1) % R] > last + 1 ->
			if
			:: job != NONE -> acked[job] = 3
			:: else
			fi;
			goto lost
		:: else -> goto refused
		fi
	}

settled:
	atomic {
		last++;
		expected[last % R] = last;
		if
		:: job != NONE ->
			acked[job] = 1;
			assert(inChain[job]) /* an acknowledged job is never lost */
		:: else
		fi;
		job = NONE;
		goto work
	}

refused:
	atomic {
		if
		:: job != NONE ->
			assert(acked[job] != 1); /* an acknowledged job is never lost */
			acked[job] = 2;
			assert(!inChain[job])
		:: else
		fi
	}
lost:
	if
	:: goto recover
	:: goto done
	fi;
done:
#ifdef EARLY_ACK
	assert(job == NONE || acked[job] != 1 || inChain[job]);
#endif
	skip
}

proctype Net() {
	bool ok;
	byte i;
end:
	do
	:: atomic {
		delayedUsed[0] ->
		apply(delayedNumber[0], delayedOwner[0], delayedNonce[0], delayedExpect[0], delayedJob[0], ok);
		delayedUsed[0] = false
	}
	:: atomic {
		delayedUsed[1] ->
		apply(delayedNumber[1], delayedOwner[1], delayedNonce[1], delayedExpect[1], delayedJob[1], ok);
		delayedUsed[1] = false
	}
	od
}

init {
	byte i;
	atomic {
		i = 0;
		do
		:: i <= N -> chainOwner[i] = NONE; i++
		:: else -> break
		od;
		run Owner(0);
		run Owner(1);
		run Net()
	}
}
