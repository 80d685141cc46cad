package aqlog

import "log/slog"

// The events. docs/EVENTS.md is generated from this list.
var (
	ProcessStarted    = Event{Number: 100, Layer: LayerProcess, Level: slog.LevelInfo, Message: "process started", Meaning: "The process has read its settings and listens."}
	ProcessStopping   = Event{Number: 101, Layer: LayerProcess, Level: slog.LevelInfo, Message: "graceful shutdown begun", Meaning: "A stop signal came. Nothing new is taken; what is in progress is finished."}
	ProcessStopped    = Event{Number: 102, Layer: LayerProcess, Level: slog.LevelInfo, Message: "graceful shutdown done", Meaning: "The attribute Took says how long the shutdown lasted."}
	TLSOff            = Event{Number: 103, Layer: LayerProcess, Level: slog.LevelWarn, Message: "TLS is off by setting", Meaning: "Operators' and peers' ports are unprotected. Allowed on a trusted network only."}
	MemberJoined      = Event{Number: 200, Layer: LayerMember, Level: slog.LevelInfo, Message: "member joined", Meaning: "Another process registered with a lease in the platform's store."}
	MemberLeft        = Event{Number: 201, Layer: LayerMember, Level: slog.LevelInfo, Message: "member left", Meaning: "A process's lease ended. Its shards are taken by the others."}
	LeaseLost         = Event{Number: 202, Layer: LayerMember, Level: slog.LevelWarn, Message: "own lease lost", Meaning: "The store ended this process's lease; it registers anew. Frequent occurrences mean pauses or a slow store."}
	StoreUnavailable  = Event{Number: 203, Layer: LayerMember, Level: slog.LevelWarn, Message: "platform store does not answer", Meaning: "Work that runs goes on; new starts wait. Check the platform's store."}
	StoreBack         = Event{Number: 204, Layer: LayerMember, Level: slog.LevelInfo, Message: "platform store answers again", Meaning: "Owners prove their ownership before anything else."}
	SegmentInDoubt    = Event{Number: 300, Layer: LayerJournal, Level: slog.LevelWarn, Message: "segment in doubt", Meaning: "The answer to a journal write was lost. The same segment is written again until the outcome is known."}
	OwnershipLost     = Event{Number: 301, Layer: LayerJournal, Level: slog.LevelWarn, Message: "shard ownership lost", Meaning: "Another process committed a higher epoch. This one drops the shard."}
	ShardTaken        = Event{Number: 302, Layer: LayerJournal, Level: slog.LevelInfo, Message: "shard taken over", Meaning: "This process recovered the shard's journal and committed its epoch."}
	ShardReleased     = Event{Number: 303, Layer: LayerJournal, Level: slog.LevelInfo, Message: "shard released", Meaning: "The shard was handed over in a planned stop or a rebalance."}
	SnapshotWritten   = Event{Number: 304, Layer: LayerJournal, Level: slog.LevelDebug, Message: "snapshot written", Meaning: "The journal before it is no longer needed for recovery."}
	TakeoverFailed    = Event{Number: 305, Layer: LayerJournal, Level: slog.LevelWarn, Message: "takeover failed", Meaning: "The shard could not be read or its epoch not committed. It is tried again."}
	SessionOpened     = Event{Number: 400, Layer: LayerSession, Level: slog.LevelInfo, Message: "worker session opened", Meaning: "The worker accepted this owner's epoch and said what runs on it."}
	SessionFailed     = Event{Number: 401, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker session failed", Meaning: "The worker does not answer or refused the session. Nothing is started there meanwhile."}
	WorkerGone        = Event{Number: 402, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker declared stopped", Meaning: "The platform dropped the host or its session can no longer be live. Its tasks are queued again."}
	StartRefused      = Event{Number: 403, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker refused a start", Meaning: "The worker has less room than the reservations say, for example because of the older scheduler."}
	JobAccepted       = Event{Number: 500, Layer: LayerScheduler, Level: slog.LevelInfo, Message: "workload accepted", Meaning: "The workload is committed in the journal."}
	TaskEvicted       = Event{Number: 501, Layer: LayerScheduler, Level: slog.LevelInfo, Message: "task evicted", Meaning: "The task is stopped to make room and resumes from its checkpoint."}
	TaskAbandoned     = Event{Number: 502, Layer: LayerScheduler, Level: slog.LevelWarn, Message: "task given up", Meaning: "The task failed as often as its job allows."}
	WorkerOnProbation = Event{Number: 503, Layer: LayerScheduler, Level: slog.LevelWarn, Message: "worker on probation", Meaning: "Tasks of several workloads failed there and not elsewhere. One task at a time is tried on it."}
	RequestUnknown    = Event{Number: 600, Layer: LayerGateway, Level: slog.LevelWarn, Message: "request outcome unknown", Meaning: "The request left for an endpoint and no whole answer came. It was not repeated."}
	EndpointSuspect   = Event{Number: 601, Layer: LayerGateway, Level: slog.LevelWarn, Message: "endpoint avoided", Meaning: "The endpoint failed or went silent. A probe on a new connection decides when it is used again."}
	PeerFrameBad      = Event{Number: 700, Layer: LayerPeer, Level: slog.LevelWarn, Message: "peer frame not decodable", Meaning: "The connection was closed. Look for a version mismatch."}
	ConfigInForce     = Event{Number: 800, Layer: LayerConfig, Level: slog.LevelInfo, Message: "configuration in force", Meaning: "This process uses the revision in the attribute Revision."}
	ConfigRefused     = Event{Number: 801, Layer: LayerConfig, Level: slog.LevelWarn, Message: "configuration refused", Meaning: "A value in the store did not pass the checks and was not taken."}

	JobLoaded          = Event{Number: 520, Layer: LayerDecider, Level: slog.LevelInfo, Message: "job known to the decider", Meaning: "A stored job is scheduled from now on. Inherited says that it was accepted before this leader's term."}
	JobEnded           = Event{Number: 521, Layer: LayerDecider, Level: slog.LevelInfo, Message: "job ended", Meaning: "The decision on the final state in State, with its reason in Why. It is shown once it is stored."}
	RunPlaced          = Event{Number: 530, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run placed", Meaning: "A task was given to a worker. Waited is the time since its group could start, UsedCPU what is reserved there with it."}
	RunAdopted         = Event{Number: 531, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run adopted", Meaning: "A run that an earlier leader started was found on its worker and goes on."}
	RunOrphaned        = Event{Number: 532, Layer: LayerDecider, Level: slog.LevelWarn, Message: "run disowned", Meaning: "A worker runs what no task needs: an ended job's task, or one that runs elsewhere. It is stopped."}
	RunEnded           = Event{Number: 533, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run ended", Meaning: "How says how. Lost means that the worker's life or lease ended, or that the run never began."}
	RunStopping        = Event{Number: 534, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run told to stop", Meaning: "The reason is in Why. Its room stays reserved until the worker lists its end."}
	RunPaced           = Event{Number: 535, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run paced", Meaning: "A filler is slowed down or let go. TailRatio is the worst tail beside it over its target."}
	StartDeclined      = Event{Number: 536, Layer: LayerDecider, Level: slog.LevelWarn, Message: "start declined", Meaning: "The worker certainly does not run the attempt. The task is placed again."}
	RunStalled         = Event{Number: 537, Layer: LayerDecider, Level: slog.LevelWarn, Message: "run makes no progress", Meaning: "The run is stopped and placed on another worker."}
	AdviceReceived     = Event{Number: 538, Layer: LayerDecider, Level: slog.LevelInfo, Message: "advice taken", Meaning: "The advice service has said which of the workers in Asked may run a group."}
	WorkerListed       = Event{Number: 540, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker listed", Meaning: "Service discovery shows a worker that was not known."}
	WorkerUnlisted     = Event{Number: 541, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker unlisted", Meaning: "Service discovery does not show the worker any more. Nothing new is started there."}
	WorkerDraining     = Event{Number: 542, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker draining", Meaning: "The worker is about to leave. Nothing new is started there, and its tasks are moved in time."}
	WorkerRestarted    = Event{Number: 543, Layer: LayerDecider, Level: slog.LevelWarn, Message: "worker restarted", Meaning: "The worker runs again under its old id. What ran in its earlier life is lost."}
	WorkerUnresponsive = Event{Number: 544, Layer: LayerDecider, Level: slog.LevelWarn, Message: "worker silent", Meaning: "The worker does not answer. Its tasks may run until its lease ends."}
	WorkerResponsive   = Event{Number: 545, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker answers", Meaning: "The worker has said what runs on it."}
	WorkerLeaseExpired = Event{Number: 546, Layer: LayerDecider, Level: slog.LevelWarn, Message: "worker lease lapsed", Meaning: "The worker has not answered until its lease ended. Its tasks are placed again."}

	LeadershipAcquired      = Event{Number: 900, Layer: LayerSite, Level: slog.LevelInfo, Message: "leadership taken", Meaning: "This process decides for the site from now on. Fence is the token of its orders."}
	LeadershipLost          = Event{Number: 901, Layer: LayerSite, Level: slog.LevelWarn, Message: "leadership lost", Meaning: "Another process leads, or this one could not prove its leadership. It gives no more orders."}
	LeadershipReleased      = Event{Number: 902, Layer: LayerSite, Level: slog.LevelInfo, Message: "leadership released", Meaning: "A planned stop: another process may lead at once."}
	StateRecovered          = Event{Number: 903, Layer: LayerSite, Level: slog.LevelInfo, Message: "state recovered", Meaning: "The stored jobs are read and the workers that answer have said what they run. Starts begin."}
	LeadershipAttemptFailed = Event{Number: 904, Layer: LayerSite, Level: slog.LevelWarn, Message: "leadership attempt failed", Meaning: "The store did not take the claim, or the stored state could not be read. It is tried again."}
	LeaderSeen              = Event{Number: 905, Layer: LayerSite, Level: slog.LevelInfo, Message: "leader seen", Meaning: "Status calls go to this process from now on."}
	StoreLost               = Event{Number: 910, Layer: LayerSite, Level: slog.LevelWarn, Message: "store lost", Meaning: "The store does not answer this process or turns it away. New jobs are refused as not accepted; what runs goes on."}
	StoreRecovered          = Event{Number: 911, Layer: LayerSite, Level: slog.LevelInfo, Message: "store regained", Meaning: "The store answers this process again."}
	WatchReset              = Event{Number: 912, Layer: LayerSite, Level: slog.LevelWarn, Message: "watch reset", Meaning: "The store's history is gone or the watch failed. The state is read anew."}
	EntryIgnored            = Event{Number: 913, Layer: LayerSite, Level: slog.LevelWarn, Message: "stored entry ignored", Meaning: "An entry in the store could not be decoded. It names nothing to use; the others hold."}
	CommitFailed            = Event{Number: 914, Layer: LayerSite, Level: slog.LevelWarn, Message: "progress not stored", Meaning: "A write of progress failed or was not answered. It is tried again; final states wait for it."}
	SiteConfigApplied       = Event{Number: 915, Layer: LayerSite, Level: slog.LevelInfo, Message: "site configuration in force", Meaning: "This process uses the version in the attribute Version."}
	SettingsReloadRefused   = Event{Number: 916, Layer: LayerSite, Level: slog.LevelWarn, Message: "settings reload refused", Meaning: "The changed settings file is not valid. The settings before it stay in force."}
	SettingsReloaded        = Event{Number: 917, Layer: LayerSite, Level: slog.LevelInfo, Message: "settings reloaded", Meaning: "The settings file was read again."}
	OrderFailed             = Event{Number: 918, Layer: LayerSite, Level: slog.LevelWarn, Message: "order not answered", Meaning: "A worker did not answer an order, which may still take effect. It is repeated or settled by a stop."}

	WatchStalled     = Event{Number: 925, Layer: LayerSite, Level: slog.LevelWarn, Message: "watch deaf", Meaning: "The store's watch does not tell of what the leader has written, or does again when Deaf is false. The list of workers is read whole meanwhile."}
	AdviceFailed     = Event{Number: 924, Layer: LayerSite, Level: slog.LevelWarn, Message: "advice failed", Meaning: "The advice service did not answer. Groups of its queues wait; the question is asked again."}
	AgentJoined      = Event{Number: 920, Layer: LayerSite, Level: slog.LevelInfo, Message: "agent joined", Meaning: "Another process is registered and deals with workers for this leader."}
	AgentLost        = Event{Number: 921, Layer: LayerSite, Level: slog.LevelWarn, Message: "agent lost", Meaning: "A process does not answer its leader. Its workers are given to others."}
	AgentRecovered   = Event{Number: 922, Layer: LayerSite, Level: slog.LevelInfo, Message: "agent back", Meaning: "The process answers again and gets workers."}
	UnregisterFailed = Event{Number: 923, Layer: LayerSite, Level: slog.LevelWarn, Message: "registration not ended", Meaning: "A process that stops could not end its registration, which runs out by itself."}

	JobStored      = Event{Number: 930, Layer: LayerIntake, Level: slog.LevelInfo, Message: "job accepted", Meaning: "The job is stored. Took is the time from its arrival."}
	JobRefused     = Event{Number: 931, Layer: LayerIntake, Level: slog.LevelWarn, Message: "job refused", Meaning: "The job was not accepted and never runs. The reason is in Reason."}
	JobInDoubt     = Event{Number: 932, Layer: LayerIntake, Level: slog.LevelWarn, Message: "job in doubt", Meaning: "The store did not say whether it took the job. The submitter is told that the outcome is unknown."}
	CancelStored   = Event{Number: 933, Layer: LayerIntake, Level: slog.LevelInfo, Message: "cancellation accepted", Meaning: "The cancellation is stored and reaches the leader through its watch."}
	StateFromStore = Event{Number: 934, Layer: LayerIntake, Level: slog.LevelInfo, Message: "state read from the store", Meaning: "The leader did not answer, so a status call was answered from the store."}
	CallRefused    = Event{Number: 935, Layer: LayerIntake, Level: slog.LevelWarn, Message: "call refused", Meaning: "A call was refused. The reason is in Reason."}
)

// LinesDropped tells how many lines were left out because standard output did
// not take them.
var LinesDropped = Event{Number: 104, Layer: LayerProcess, Level: slog.LevelWarn, Message: "log lines dropped", Meaning: "Standard output did not take lines fast enough. Count lines are missing before this one."}

// Events lists every event in order of number.
var Events = []Event{
	ProcessStarted, ProcessStopping, ProcessStopped, TLSOff, LinesDropped,
	MemberJoined, MemberLeft, LeaseLost, StoreUnavailable, StoreBack,
	SegmentInDoubt, OwnershipLost, ShardTaken, ShardReleased, SnapshotWritten, TakeoverFailed,
	SessionOpened, SessionFailed, WorkerGone, StartRefused,
	JobAccepted, TaskEvicted, TaskAbandoned, WorkerOnProbation,
	RequestUnknown, EndpointSuspect, PeerFrameBad, ConfigInForce, ConfigRefused,
	JobLoaded, JobEnded, RunPlaced, RunAdopted, RunOrphaned, RunEnded, RunStopping, RunPaced, StartDeclined, RunStalled, AdviceReceived,
	WorkerListed, WorkerUnlisted, WorkerDraining, WorkerRestarted, WorkerUnresponsive, WorkerResponsive, WorkerLeaseExpired,
	LeadershipAcquired, LeadershipLost, LeadershipReleased, StateRecovered, LeadershipAttemptFailed, LeaderSeen,
	StoreLost, StoreRecovered, WatchReset, EntryIgnored, CommitFailed, SiteConfigApplied, SettingsReloadRefused, SettingsReloaded,
	OrderFailed, AgentJoined, AgentLost, AgentRecovered, UnregisterFailed, AdviceFailed, WatchStalled,
	JobStored, JobRefused, JobInDoubt, CancelStored, StateFromStore, CallRefused,
}
