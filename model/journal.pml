/*
 * The journal of one shard: numbered segments in a ring of slots that are only
 * written at the revision last seen, claims of new owners, answers lost after
 * the write, writes delayed in the network. pkg/aqjournal is the code.
 *
 * Mutants: NO_FENCE, DELETE_SEGMENTS, NO_REREAD, LOST_IS_DONE, EARLY_ACK.
 */
#define R 2        /* ring slots */
#define N 4        /* segments at most */
#define OWNERS 2
#define FLIGHT 2   /* delayed writes at most */
#define NONE 255


byte slotNumber[R];   /* number in the slot, 0 when it was never written */
byte slotOwner[R];
byte slotNonce[R];
byte chainOwner[N + 1];  /* history: who committed each number */
byte chainNonce[N + 1];
byte top;                /* highest number committed */
byte snap;               /* the snapshot holds everything up to here */
/* Delayed writes. A write is named by its owner and the owner's count of writes. */
bool fUsed[FLIGHT];
byte fNumber[FLIGHT];
byte fOwner[FLIGHT];
byte fNonce[FLIGHT];
byte fExpect[FLIGHT];
byte fJob[FLIGHT];

/* Jobs: one submission an owner at most. */
byte acked[OWNERS];      /* 0 waiting, 1 acknowledged, 2 refused as not run, 3 unknown */
bool inChain[OWNERS];
bool asked[OWNERS];
byte budget = 2;         /* lost answers and dropped or delayed writes */

inline apply(n, o, c, x, j, ok) {
	d_step {
		ok = false;
#ifdef NO_FENCE
		if
		:: true -> ok = true
		fi;
#else
#ifdef DELETE_SEGMENTS
		/* Create if absent; the key is gone once the snapshot holds it. */
		if
		:: slotNumber[(n) % R] != n || (n <= snap && chainOwner[n] != NONE) -> ok = true
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
			:: n > top -> top = n
			:: else
			fi;
			if
			:: j != NONE ->
				assert(acked[j] != 2); /* refused as not run never runs */
				inChain[j] = true
			:: else
			fi
		:: else
		fi
	}
}

proctype Owner(byte me) {
	byte last, nonce, job, i;
	byte exp[R];
	bool ok;

recover:
	atomic {
		/* Read the snapshot and every slot. */
		last = snap;
		i = 0;
		do
		:: i < R ->
			exp[i] = slotNumber[i];
			if
			:: slotNumber[i] > last -> last = slotNumber[i]
			:: else
			fi;
			i++
		:: else -> break
		od;
		assert(last == top);
		job = NONE
	}
	goto write;

work:
	atomic {
		if
		:: !asked[me] ->
			asked[me] = true;
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
		/* The ring must not overwrite what no snapshot holds. */
		if
		:: last >= snap + R ->
			if
			:: top == last -> snap = last
			:: else -> goto lost /* deposed: the snapshot's revision has moved */
			fi
		:: else
		fi;
		nonce++
	}

try:
	atomic {
		if
		:: /* delivered and answered */
			apply(last + 1, me, nonce, exp[(last + 1) % R], job, ok);
			if
			:: ok -> goto settled
			:: else -> goto conflict
			fi
		:: budget > 0 -> /* the answer is lost */
			budget--;
			apply(last + 1, me, nonce, exp[(last + 1) % R], job, ok)
		:: budget > 0 -> /* delayed: it may arrive at any time */
			budget--;
			i = 0;
			do
			:: i < FLIGHT && !fUsed[i] ->
				fUsed[i] = true;
				fNumber[i] = last + 1;
				fOwner[i] = me;
				fNonce[i] = nonce;
				fExpect[i] = exp[(last + 1) % R];
				fJob[i] = job;
				break
			:: i < FLIGHT && fUsed[i] -> i++
			:: i == FLIGHT -> break
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
		exp[last % R] = last;
		if
		:: job != NONE ->
			acked[job] = 1;
			assert(inChain[job]) /* acknowledged is never lost */
		:: else
		fi;
		job = NONE;
		goto work
	}

refused:
	atomic {
		if
		:: job != NONE ->
			assert(acked[job] != 1); /* acknowledged is never lost */
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
		fUsed[0] ->
		apply(fNumber[0], fOwner[0], fNonce[0], fExpect[0], fJob[0], ok);
		fUsed[0] = false
	}
	:: atomic {
		fUsed[1] ->
		apply(fNumber[1], fOwner[1], fNonce[1], fExpect[1], fJob[1], ok);
		fUsed[1] = false
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
