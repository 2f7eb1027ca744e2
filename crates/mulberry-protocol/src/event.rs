//! Numbered log events. docs/EVENTS.md lists them for operators.

macro_rules! events {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$meta])* $name,)*
        }

        impl Event {
            /// Lists every event.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the event's number, which never changes.
            pub fn number(self) -> u16 {
                match self {
                    $(Event::$name => $number,)*
                }
            }

            /// Returns the event's text.
            pub fn text(self) -> &'static str {
                match self {
                    $(Event::$name => $text,)*
                }
            }
        }
    };
}

events! {
    /// A process has started and takes requests.
    ProcessServing = 100, "process serves";
    /// A process stops, since it was told to or a server in it failed.
    ProcessStopping = 101, "process stops";
    /// A process has stopped.
    ProcessStopped = 102, "process has stopped";
    /// The settings were read again while the process runs, or could not be (then with an error).
    SettingsReloaded = 103, "settings read again";
    /// The metrics can't be served; the process runs without them.
    MetricsUnserved = 104, "metrics can't be served";
    /// A side is known for the first time, or again after it was lost.
    SideJoined = 200, "side joined";
    /// A side has announced that it stops.
    SideLeaving = 201, "side is leaving";
    /// A side's heartbeats no longer arrive.
    SideLost = 202, "side is lost";
    /// A datagram was refused, or could not be encoded.
    DatagramRefused = 203, "datagram refused";
    /// A connection of a peer was refused.
    LinkRefused = 204, "link refused";
    /// A connection to a peer failed.
    LinkFailed = 205, "link failed";
    /// An endpoint gets no requests for a time, since it fails.
    EndpointEjected = 206, "endpoint ejected";
    /// An endpoint's record was added or changed.
    EndpointChanged = 207, "endpoint changed";
    /// An endpoint's record was removed.
    EndpointGone = 208, "endpoint gone";
    /// An endpoint's record can't be parsed; the endpoint counts as removed.
    EndpointUnreadable = 209, "endpoint record can't be read";
    /// A peer was added from its record.
    PeerFound = 210, "peer found";
    /// A peer's record can't be parsed.
    PeerUnreadable = 211, "peer record can't be read";
    /// An endpoint's record was removed, but the endpoint stays in use for a grace period.
    EndpointMissing = 212, "endpoint missing, still used";
    /// Nothing was heard over a link for a while during a call, which is sent over a new one as well.
    LinkSilent = 213, "link silent";
    /// The process has put a bundle in force.
    BundleInForce = 300, "bundle in force";
    /// A bundle was ignored, since its number is lower than one already seen.
    BundleStale = 301, "lower bundle number ignored";
    /// A bundle was rejected: it does not match its sign-off, can't be parsed, or shares its number
    /// with another bundle.
    BundleRejected = 302, "bundle rejected";
    /// The process has put a version of the configuration in force.
    ConfigurationInForce = 305, "configuration in force";
    /// The configuration can't be parsed; the previous one stays in force.
    ConfigurationUnreadable = 306, "configuration can't be read";
    /// An engine carried out an order to load or unload a model.
    OrderGiven = 303, "order given to the engine";
    /// An engine did not carry out an order.
    OrderFailed = 304, "order failed";
    /// The process acquired the lease on a shard of the jobs.
    ShardAcquired = 400, "shard acquired";
    /// The process lost the lease on a shard of the jobs.
    ShardLost = 401, "shard lost";
    /// The owner of a job loaded it.
    JobLoaded = 402, "job loaded";
    /// A job reached its final state.
    JobEnded = 403, "job ended";
    /// The outcomes of a chunk of a job were stored.
    ChunkCommitted = 404, "chunk committed";
    /// Another owner had already stored the outcomes of a chunk.
    ChunkAlreadyCommitted = 405, "chunk was committed already";
    /// The owner of a job saw that it was cancelled, and stops its items.
    CancelSeen = 406, "cancel seen";
    /// A job's objects can't be read or parsed.
    JobUnreadable = 407, "job can't be loaded";
    /// The lease on the batch jobs was taken.
    LeaseTaken = 410, "lease on the jobs taken";
    /// The lease on the batch jobs was lost or handed over.
    LeaseLost = 411, "lease on the jobs lost";
    /// The new owner has loaded the batch jobs and answers calls.
    JobsLoaded = 412, "jobs loaded";
    /// The owner stored a job, which accepts it.
    JobAccepted = 413, "job accepted";
    /// A job was refused.
    JobRefused = 414, "job refused";
    /// A run of an item at an endpoint ended.
    ItemRunEnded = 415, "run of an item ended";
    /// A segment of results was added to a job.
    ResultsListed = 416, "results listed";
    /// A segment of results could not be written; it is written again.
    ResultsUnwritten = 417, "results not written";
    /// The owner confirmed to the platform that a VM can be retired.
    VmEmptied = 418, "VM emptied";
    /// The output that an earlier owner had of unfinished items was taken over.
    ProgressTaken = 419, "progress of an earlier owner taken";
    /// Load of a service's endpoints, and the batch items that the owner started and stopped on
    /// them.
    BatchPlanned = 420, "batch planned";
    /// The owner starts to copy the output of unfinished items to a standby.
    ProgressCopyStarted = 421, "copying of progress started";
    /// An item that crashes endpoints was given up at the end of its retention time.
    ItemGivenUp = 422, "item given up";
    /// The waiting items of a job were listed as given up, since nothing can run them any more.
    ItemsStranded = 423, "stranded items given up";
    /// A call to the object API failed.
    StoreFailed = 500, "object API failed";
    /// The object API answers again.
    StoreRecovered = 501, "object API answers again";
    /// A call to the object API failed after the previous one had succeeded.
    StoreLost = 502, "object API gives no answer";
    /// Pending watches are opened again, since the object API may never answer the old ones.
    WatchesRenewed = 503, "watches renewed";
    /// A list or watch of the object API failed or was not answered in time.
    WatchFailed = 504, "list or watch failed";
    /// An object among others in the store can't be read.
    ObjectUnreadable = 505, "object can't be read";
    /// A write to the object API ended without a known outcome.
    WriteUnknown = 506, "write has no known end";
    /// An engine crashed or broke its streams.
    EngineCrashed = 600, "engine crashed";
    /// A request is confirmed to crash endpoints and will be refused.
    PoisonConfirmed = 601, "request confirmed to crash endpoints";
    /// An endpoint ended the connection while it had a request, which may be the cause.
    CrashCounted = 602, "crash counted for a request";
    /// An endpoint ended the connection while it had a request, and that was not counted.
    CrashNotCounted = 603, "crash not counted";
    /// A run was abandoned, by a timeout or since its caller left, while its endpoint was silent.
    RunUnanswered = 604, "run abandoned at a silent endpoint";
    /// A run of a convicted request was claimed, or could not be.
    TrialClaimed = 605, "trial claimed";
    /// A convicted request has completed and is free again.
    PoisonCleared = 606, "convicted request cleared";
    /// A request was refused.
    RequestRefused = 700, "request refused";
    /// A request was answered by an endpoint.
    RequestRelayed = 701, "request relayed";
    /// An attempt at an endpoint failed.
    AttemptFailed = 702, "attempt failed";
    /// The origin of a stream that a caller takes up was looked for.
    StreamTakenUp = 703, "stream taken up";
    /// An endpoint said in a response that it leaves.
    EndpointLeaving = 704, "endpoint says that it leaves";
    /// An endpoint named another limit of requests a second than before, or none.
    EndpointLimitChanged = 705, "limit of an endpoint changed";
    /// A process that gives permits for endpoints with limits did not answer.
    PermitsUnanswered = 706, "permits not answered";
    /// An endpoint named a limit that can't be read, which is ignored.
    EndpointLimitUnreadable = 707, "limit of an endpoint unreadable";
    /// An entry that grants the requests of a client account did not answer.
    AccountRateUnanswered = 708, "account rate not answered";
    /// Callers at an address sent or read too slowly, or too much.
    CallerFault = 709, "misbehaving caller";
    /// An operator's command changed the deployment.
    OperatorCommand = 800, "operator command";
}

/// Logs an event with its number, text and fields.
///
/// ```
/// use mulberry_protocol::event::Event;
/// mulberry_protocol::log_event!(info, Event::ProcessServing, port = 80);
/// ```
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr $(, $($fields:tt)*)?) => {
        ::tracing::$level!(event = $event.number(), $($($fields)*,)? "{}", $event.text())
    };
}
