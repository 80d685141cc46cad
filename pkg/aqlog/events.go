package aqlog

import "log/slog"

// The events. docs/EVENTS.md is generated from this list.
var (
	ProcessStarted    = Event{Number: 100, Layer: LayerProcess, Level: slog.LevelInfo, Message: "process started", Meaning: "The process has read its settings and listens for connections."}
	ProcessStopping   = Event{Number: 101, Layer: LayerProcess, Level: slog.LevelInfo, Message: "graceful shutdown started", Meaning: "The process received a stop signal. It refuses new work and finishes what is in progress."}
	ProcessStopped    = Event{Number: 102, Layer: LayerProcess, Level: slog.LevelInfo, Message: "graceful shutdown done", Meaning: "The attribute Took is the duration of the shutdown."}
	TLSOff            = Event{Number: 103, Layer: LayerProcess, Level: slog.LevelWarn, Message: "TLS is off by setting", Meaning: "The operator port and the peer port are unprotected. Allowed on a trusted network only."}
	MemberJoined      = Event{Number: 200, Layer: LayerMember, Level: slog.LevelInfo, Message: "member joined", Meaning: "Another process registered with a lease in the platform's store."}
	MemberLeft        = Event{Number: 201, Layer: LayerMember, Level: slog.LevelInfo, Message: "member left", Meaning: "A process's lease expired. The other processes take over its shards."}
	LeaseLost         = Event{Number: 202, Layer: LayerMember, Level: slog.LevelWarn, Message: "own lease lost", Meaning: "The store ended this process's lease; the process registers again. Frequent occurrences indicate pauses of the process or a slow store."}
	StoreUnavailable  = Event{Number: 203, Layer: LayerMember, Level: slog.LevelWarn, Message: "platform store does not answer", Meaning: "Running work continues; new starts wait. Check the platform's store."}
	StoreBack         = Event{Number: 204, Layer: LayerMember, Level: slog.LevelInfo, Message: "platform store answers again", Meaning: "Shard owners confirm their ownership before they do anything else."}
	SegmentInDoubt    = Event{Number: 300, Layer: LayerJournal, Level: slog.LevelWarn, Message: "segment outcome unknown", Meaning: "The answer to a journal write was lost. The process repeats the write of the same segment until its outcome is known."}
	OwnershipLost     = Event{Number: 301, Layer: LayerJournal, Level: slog.LevelWarn, Message: "shard ownership lost", Meaning: "Another process committed a higher epoch. This process drops the shard."}
	ShardTaken        = Event{Number: 302, Layer: LayerJournal, Level: slog.LevelInfo, Message: "shard taken over", Meaning: "This process recovered the shard's journal and committed its epoch."}
	ShardReleased     = Event{Number: 303, Layer: LayerJournal, Level: slog.LevelInfo, Message: "shard released", Meaning: "This process handed the shard over in a planned stop or a rebalance."}
	SnapshotWritten   = Event{Number: 304, Layer: LayerJournal, Level: slog.LevelDebug, Message: "snapshot written", Meaning: "Recovery no longer needs the journal before the snapshot."}
	TakeoverFailed    = Event{Number: 305, Layer: LayerJournal, Level: slog.LevelWarn, Message: "takeover failed", Meaning: "The process could not read the shard or could not commit its epoch. It retries."}
	SessionOpened     = Event{Number: 400, Layer: LayerSession, Level: slog.LevelInfo, Message: "worker session opened", Meaning: "The worker accepted this owner's epoch and reported what runs on it."}
	SessionFailed     = Event{Number: 401, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker session failed", Meaning: "The worker does not answer or refused the session. Nothing is started there until a session opens."}
	WorkerGone        = Event{Number: 402, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker declared stopped", Meaning: "The platform dropped the host, or its session must have expired. Its tasks are queued again."}
	StartRefused      = Event{Number: 403, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker refused a start", Meaning: "The worker has less free capacity than the reservations say, for example because the older scheduler placed work there."}
	JobAccepted       = Event{Number: 500, Layer: LayerScheduler, Level: slog.LevelInfo, Message: "workload accepted", Meaning: "The workload is committed in the journal."}
	TaskEvicted       = Event{Number: 501, Layer: LayerScheduler, Level: slog.LevelInfo, Message: "task evicted", Meaning: "The task is stopped to free capacity. It resumes from its checkpoint."}
	TaskAbandoned     = Event{Number: 502, Layer: LayerScheduler, Level: slog.LevelWarn, Message: "task abandoned", Meaning: "The task failed as often as its job allows and is not tried again."}
	WorkerOnProbation = Event{Number: 503, Layer: LayerScheduler, Level: slog.LevelWarn, Message: "worker on probation", Meaning: "Tasks failed repeatedly on this worker: those of several kinds, or of a kind that succeeds on other workers. One task at a time is tried on it until one succeeds or, if it lasts, runs on for a while."}
	RequestUnknown    = Event{Number: 600, Layer: LayerGateway, Level: slog.LevelWarn, Message: "request outcome unknown", Meaning: "The request was sent to an endpoint and no complete answer arrived. It may have run and is not sent again."}
	EndpointSuspect   = Event{Number: 601, Layer: LayerGateway, Level: slog.LevelWarn, Message: "endpoint avoided", Meaning: "The endpoint failed or does not answer. It is used again once a probe on a new connection succeeds."}
	PeerFrameBad      = Event{Number: 700, Layer: LayerPeer, Level: slog.LevelWarn, Message: "peer frame not decodable", Meaning: "The process closed the connection. Check for a version mismatch."}
	ConfigInForce     = Event{Number: 800, Layer: LayerConfig, Level: slog.LevelInfo, Message: "configuration in force", Meaning: "This process uses the revision in the attribute Revision."}
	ConfigRefused     = Event{Number: 801, Layer: LayerConfig, Level: slog.LevelWarn, Message: "configuration refused", Meaning: "A configuration in the store failed validation and was not applied."}

	JobLoaded          = Event{Number: 520, Layer: LayerDecider, Level: slog.LevelInfo, Message: "job loaded", Meaning: "The leader schedules this stored job from now on. Inherited is true when it was accepted before this leader's term."}
	JobEnded           = Event{Number: 521, Layer: LayerDecider, Level: slog.LevelInfo, Message: "job ended", Meaning: "The leader decided on the final state in State, for the reason in Why. Status calls show it once it is stored."}
	RunPlaced          = Event{Number: 530, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run placed", Meaning: "The leader placed a task on a worker. Waited is the time since its group could start, UsedCPU the CPU reserved on the worker including this run, in thousandths of a core."}
	RunAdopted         = Event{Number: 531, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run adopted", Meaning: "A worker reported a run that an earlier leader started. The run continues."}
	RunOrphaned        = Event{Number: 532, Layer: LayerDecider, Level: slog.LevelWarn, Message: "orphaned run found", Meaning: "A worker reported a run that no task needs: its job has ended, or the task runs elsewhere. The run is stopped."}
	RunEnded           = Event{Number: 533, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run ended", Meaning: "The attribute How is the outcome. Lost means that the worker restarted, that its lease expired, or that the run never started."}
	RunStopping        = Event{Number: 534, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run is being stopped", Meaning: "The leader ordered the run to stop, for the reason in Why. For is the worker that the task is to move to, if there is one. Its resources stay reserved until the worker reports its end."}
	RunPaced           = Event{Number: 535, Layer: LayerDecider, Level: slog.LevelInfo, Message: "run pace changed", Meaning: "The pace of a filler was lowered or raised. TailRatio is the worst tail latency of a co-located task divided by its target."}
	StartDeclined      = Event{Number: 536, Layer: LayerDecider, Level: slog.LevelWarn, Message: "start declined", Meaning: "The attempt did not start on the worker and never will. The task is placed again."}
	RunStalled         = Event{Number: 537, Layer: LayerDecider, Level: slog.LevelWarn, Message: "run makes no progress", Meaning: "The run is stopped, and its task is placed on another worker."}
	AdviceReceived     = Event{Number: 538, Layer: LayerDecider, Level: slog.LevelInfo, Message: "advice received", Meaning: "The advice service answered which of the workers in Asked may run a group."}
	WorkerListed       = Event{Number: 540, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker listed", Meaning: "Service discovery lists a worker that was not known."}
	WorkerUnlisted     = Event{Number: 541, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker unlisted", Meaning: "Service discovery no longer lists the worker. Nothing new is started there."}
	WorkerDraining     = Event{Number: 542, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker draining", Meaning: "The worker is about to leave. Nothing new is started there, and its tasks are moved before it leaves."}
	WorkerRestarted    = Event{Number: 543, Layer: LayerDecider, Level: slog.LevelWarn, Message: "worker restarted", Meaning: "The worker restarted under the same id. Its earlier runs are lost."}
	WorkerUnresponsive = Event{Number: 544, Layer: LayerDecider, Level: slog.LevelWarn, Message: "worker unresponsive", Meaning: "The worker does not answer. Its tasks may run until its lease expires."}
	WorkerResponsive   = Event{Number: 545, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker responsive", Meaning: "The worker answered and reported what runs on it."}
	RunLost            = Event{Number: 547, Layer: LayerDecider, Level: slog.LevelWarn, Message: "run lost with its worker", Meaning: "The worker crashed or was unreachable until its lease expired. Restarted is true when it is known to have crashed. Seen is how long after the order to start the worker last reported, negative if it has not reported since; Beside is the number of its other runs, Losses how often in a row this task has been lost, this time included. Isolated means that no other task of the worker could be to blame."}
	TrialReserved      = Event{Number: 548, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker held for a trial", Meaning: "A task that may have crashed Crashes workers is to run in isolation: nothing else is started on this worker until the run has been seen for a while. Beside is the number of its other runs."}
	TaskCrashesWorkers = Event{Number: 549, Layer: LayerDecider, Level: slog.LevelWarn, Message: "task crashes its workers", Meaning: "Crashes workers have crashed under the task, at least two of them while no other of their tasks could be to blame. Its job has failed."}
	CapacityChanged    = Event{Number: 550, Layer: LayerDecider, Level: slog.LevelInfo, Message: "worker capacity changed", Meaning: "The worker reports another capacity. While its runs reserve more, in Reserved, nothing is started there, starts that are not known to have been carried out are taken back, and perpetual tasks move to other workers with room."}
	GroupWaits         = Event{Number: 551, Layer: LayerDecider, Level: slog.LevelWarn, Message: "group waits for workers", Meaning: "Tasks of the group could run and have waited for Waited, none of them runs. Why counts the workers by the reason for which they do not suit: NoLeftover means that fillers would use more than other tasks leave, OverTarget that a serving task is over its target now, PredictedTail that the filler is expected to bring one there. Ready is the time since the group could run first; Overdue is true once its fillers may be started in spite of the model, and SearchIn is the time until the next search for that. Repeated ever more rarely, and written for a few groups a second at most."}
	StopRepeated       = Event{Number: 552, Layer: LayerDecider, Level: slog.LevelWarn, Message: "order to stop repeated", Meaning: "The run has been stopping for Since and neither its end nor its absence is reported, so that its task cannot be placed again. Acked says whether the worker has acknowledged the order."}
	WorkerSuspected    = Event{Number: 553, Layer: LayerDecider, Level: slog.LevelWarn, Message: "worker suspected", Meaning: "Runs of FailedJobs jobs in a row have failed or made no progress on the worker, or it refused a start as unhealthy. It gets no task for Probation, or for two seconds where no other worker suits one, and then one at a time until one succeeds or, if it lasts, is ready. Runs is what it still runs."}
	OrdersRepeated     = Event{Number: 554, Layer: LayerDecider, Level: slog.LevelInfo, Message: "orders repeated", Meaning: "Another agent manages the worker, or the same one anew. The Starts, Stops and Paces whose outcome is not known are sent again through it."}
	WorkerLeaseExpired = Event{Number: 546, Layer: LayerDecider, Level: slog.LevelWarn, Message: "worker lease expired", Meaning: "The worker did not answer before its lease expired. Its tasks are placed again. Life is the start of the worker's incarnation, as far as it is known; EarlierLife is how many of the Runs were ordered in an earlier one, which has ended, and have not been stopped in this one."}

	LeadershipAcquired      = Event{Number: 900, Layer: LayerSite, Level: slog.LevelInfo, Message: "leadership acquired", Meaning: "This process schedules for the site from now on. Fence is the fencing token of its orders."}
	LeadershipLost          = Event{Number: 901, Layer: LayerSite, Level: slog.LevelWarn, Message: "leadership lost", Meaning: "Another process leads, the lease of the leadership ended, or the stored state could not be read; Error says which. This process sends no more orders."}
	LeadershipReleased      = Event{Number: 902, Layer: LayerSite, Level: slog.LevelInfo, Message: "leadership released", Meaning: "This process gave up the leadership in a planned stop. Another process can lead at once."}
	StateRecovered          = Event{Number: 903, Layer: LayerSite, Level: slog.LevelInfo, Message: "state recovered", Meaning: "The leader read the stored jobs and the lists of workers and agents. Scheduling begins."}
	LeadershipAttemptFailed = Event{Number: 904, Layer: LayerSite, Level: slog.LevelWarn, Message: "leadership attempt failed", Meaning: "The process could not claim the leadership and retries, or could not release it in a planned stop, after which its lease expires."}
	LeaderSeen              = Event{Number: 905, Layer: LayerSite, Level: slog.LevelInfo, Message: "leader changed", Meaning: "This process sends status calls to the leader in Leader from now on."}
	RecoveryDelayed         = Event{Number: 906, Layer: LayerSite, Level: slog.LevelWarn, Message: "recovery delayed", Meaning: "A new leader could not read or write the stored state and tries again. Meanwhile its agents renew the leases of the workers that it has taken over; nothing new is started."}
	EarlierLeadersEnded     = Event{Number: 907, Layer: LayerSite, Level: slog.LevelInfo, Message: "earlier leaders have no majority", Meaning: "A majority of the processes follows this leader. Tasks that an earlier leader may have started on workers that have not reported are placed again after LeasesEndIn at the latest."}
	StoreLost               = Event{Number: 910, Layer: LayerSite, Level: slog.LevelWarn, Message: "store unavailable", Meaning: "The store does not answer this process or refuses its calls. New jobs may be refused; running tasks continue."}
	StoreRecovered          = Event{Number: 911, Layer: LayerSite, Level: slog.LevelInfo, Message: "store available again", Meaning: "The store answers this process again."}
	WatchReset              = Event{Number: 912, Layer: LayerSite, Level: slog.LevelWarn, Message: "watch reset", Meaning: "The store no longer has the history that the watch needs. The state is read again in full."}
	EntryIgnored            = Event{Number: 913, Layer: LayerSite, Level: slog.LevelWarn, Message: "stored entry ignored", Meaning: "An entry in the store could not be decoded. The other entries are used. There is at most one line a minute about an entry, and about 100 entries."}
	CommitFailed            = Event{Number: 914, Layer: LayerSite, Level: slog.LevelWarn, Message: "progress not stored", Meaning: "A write of job progress or of the list of workers and agents failed or was not answered. It is repeated; final states are shown only once they are stored."}
	SiteConfigApplied       = Event{Number: 915, Layer: LayerSite, Level: slog.LevelInfo, Message: "site configuration in force", Meaning: "This process uses the configuration version in the attribute Version."}
	SettingsReloadRefused   = Event{Number: 916, Layer: LayerSite, Level: slog.LevelWarn, Message: "settings reload refused", Meaning: "The changed settings file is not valid. The earlier settings stay in force."}
	SettingsReloaded        = Event{Number: 917, Layer: LayerSite, Level: slog.LevelInfo, Message: "settings reloaded", Meaning: "The process read the settings file again."}
	OrderFailed             = Event{Number: 918, Layer: LayerSite, Level: slog.LevelWarn, Message: "order not answered", Meaning: "A worker did not answer, or refused, a heartbeat (Order is look) or an order (stop, pace). An unanswered order may still take effect. The leader repeats a stop. Serial is that of event 927."}

	WatchStalled      = Event{Number: 925, Layer: LayerSite, Level: slog.LevelWarn, Message: "watch stalled", Meaning: "While Deaf is true, the store's watch does not report what the leader writes, and the leader reads the full list of workers instead. Deaf is false when the watch works again."}
	AdviceFailed      = Event{Number: 924, Layer: LayerSite, Level: slog.LevelWarn, Message: "advice request failed", Meaning: "The advice service did not answer. Groups of queues that require advice wait, and the request is repeated."}
	PayloadMissing    = Event{Number: 926, Layer: LayerSite, Level: slog.LevelWarn, Message: "payload not fetched", Meaning: "Neither the process in From, which accepted the job, nor the store gave this agent the job's payload. Its starts are reported as not sent, and the leader places the tasks again."}
	WorkerAssigned    = Event{Number: 927, Layer: LayerSite, Level: slog.LevelInfo, Message: "worker assigned", Meaning: "The process in Agent manages the worker for this leader from now on. Serial increases with every assignment of the term. An event 918 of another process with an earlier serial shows that it still manages the worker."}
	StartDelayed      = Event{Number: 928, Layer: LayerSite, Level: slog.LevelInfo, Message: "start delayed", Meaning: "The agent sends a start to its worker, Waited after the leader's order reached the agent. Until then the worker had not answered the agent, or it left earlier attempts unanswered. Serial is that of event 927: a start with an earlier serial than the worker's last one, or of a run that event 547 names, should not be sent."}
	OrderOutdated     = Event{Number: 929, Layer: LayerSite, Level: slog.LevelInfo, Message: "outdated order dropped", Meaning: "An order reached the agent after its assignment in Serial had ended, or together with its end. Current is the serial of the worker's present assignment to this agent, zero if there is none. The leader repeats the order there if it still applies."}
	StartUnanswered   = Event{Number: 936, Layer: LayerSite, Level: slog.LevelInfo, Message: "start not answered", Meaning: "A worker did not answer an attempt to start a run. The worker may carry it out seconds later. Life is the start of the incarnation that the agent took the worker to be in, Serial that of event 927."}
	WorkerTokenRaised = Event{Number: 937, Layer: LayerSite, Level: slog.LevelInfo, Message: "token of a worker raised", Meaning: "The worker has restarted under the same id. Once it has received a call with the raised token it refuses delayed calls to its earlier incarnations. Life is the start of the present one, Restarts the number of restarts in this term."}
	AgentJoined       = Event{Number: 920, Layer: LayerSite, Level: slog.LevelInfo, Message: "agent joined", Meaning: "Another process registered and can manage workers for this leader."}
	AgentLost         = Event{Number: 921, Layer: LayerSite, Level: slog.LevelWarn, Message: "agent lost", Meaning: "A process does not answer the leader. Its workers are reassigned to other agents."}
	AgentRecovered    = Event{Number: 922, Layer: LayerSite, Level: slog.LevelInfo, Message: "agent answers again", Meaning: "The leader assigns workers to the process again: the process answered, or the retry delay after its failure is over. It is still down if another event 921 follows."}
	UnregisterFailed  = Event{Number: 923, Layer: LayerSite, Level: slog.LevelWarn, Message: "registration not removed", Meaning: "A stopping process could not remove its registration, which expires by itself."}

	JobStored      = Event{Number: 930, Layer: LayerIntake, Level: slog.LevelInfo, Message: "job accepted", Meaning: "The job is stored. Took is the time since its arrival."}
	JobRefused     = Event{Number: 931, Layer: LayerIntake, Level: slog.LevelWarn, Message: "job refused", Meaning: "The job was not accepted and will never run. The reason is in Reason."}
	JobInDoubt     = Event{Number: 932, Layer: LayerIntake, Level: slog.LevelWarn, Message: "job acceptance unknown", Meaning: "The store did not answer whether it stored the job. The submitter is told that the outcome is unknown."}
	CancelStored   = Event{Number: 933, Layer: LayerIntake, Level: slog.LevelInfo, Message: "cancellation accepted", Meaning: "The cancellation is stored. The leader learns of it through its watch."}
	StateFromStore = Event{Number: 934, Layer: LayerIntake, Level: slog.LevelInfo, Message: "state read from the store", Meaning: "The leader did not answer, so the process answered a status call from the store."}
	CallFailed     = Event{Number: 935, Layer: LayerIntake, Level: slog.LevelWarn, Message: "call failed", Meaning: "The process answered a submitter's call with an error. Reason tells why a body was refused; otherwise Status is the HTTP status. After 500 or 504 the call may still take effect."}
)

// LinesDropped reports how many lines were dropped because standard output did not
// accept them.
var LinesDropped = Event{Number: 104, Layer: LayerProcess, Level: slog.LevelWarn, Message: "log lines dropped", Meaning: "Standard output did not accept lines fast enough. Count lines are missing before this one."}

// PanicContained reports a panic that cost one call or loop and not the process.
var PanicContained = Event{Number: 105, Layer: LayerProcess, Level: slog.LevelWarn, Message: "panic contained", Meaning: "A call or loop met a value that it could not handle. Where names it, Stack shows the place in the code. The call failed, or the loop began again; a leader gave up its term. Report it as a fault."}

// Events lists every event.
var Events = []Event{
	ProcessStarted, ProcessStopping, ProcessStopped, TLSOff, LinesDropped, PanicContained,
	MemberJoined, MemberLeft, LeaseLost, StoreUnavailable, StoreBack,
	SegmentInDoubt, OwnershipLost, ShardTaken, ShardReleased, SnapshotWritten, TakeoverFailed,
	SessionOpened, SessionFailed, WorkerGone, StartRefused,
	JobAccepted, TaskEvicted, TaskAbandoned, WorkerOnProbation,
	RequestUnknown, EndpointSuspect, PeerFrameBad, ConfigInForce, ConfigRefused,
	JobLoaded, JobEnded, RunPlaced, RunAdopted, RunOrphaned, RunEnded, RunStopping, RunPaced, StartDeclined, RunStalled, AdviceReceived, GroupWaits, StopRepeated, WorkerSuspected, OrdersRepeated,
	WorkerListed, WorkerUnlisted, WorkerDraining, WorkerRestarted, WorkerUnresponsive, WorkerResponsive, WorkerLeaseExpired, RunLost, TrialReserved, TaskCrashesWorkers, CapacityChanged,
	LeadershipAcquired, LeadershipLost, LeadershipReleased, StateRecovered, LeadershipAttemptFailed, LeaderSeen, RecoveryDelayed, EarlierLeadersEnded,
	StoreLost, StoreRecovered, WatchReset, EntryIgnored, CommitFailed, SiteConfigApplied, SettingsReloadRefused, SettingsReloaded,
	OrderFailed, WorkerAssigned, StartDelayed, OrderOutdated, StartUnanswered, WorkerTokenRaised, AgentJoined, AgentLost, AgentRecovered, UnregisterFailed, AdviceFailed, WatchStalled, PayloadMissing,
	JobStored, JobRefused, JobInDoubt, CancelStored, StateFromStore, CallFailed,
}
