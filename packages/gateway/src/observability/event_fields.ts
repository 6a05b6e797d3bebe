/**
 * The log's events and their fields. Durations and ages are in ms, `…Tokens` in tokens; `request` is the id of
 * the request.
 */
export interface EventFields {
  process_started: {
    host: string;
    place: string;
    pid: number;
    program: string;
    configurationKnown: boolean;
    forMs: number;
  };
  /** A signal that the process has a listener for; one that ends it leaves no line. */
  signal_received: {
    signal: string;
    action: string;
    /** Calls without a complete response. */
    open: number;
    /** Time since the shutdown began; absent if it had not. */
    stoppingMs?: number;
    /** Lines that were left out before this one. */
    omittedLines?: number;
  };
  process_stopping: {
    reason: string;
    open: number;
    graceMs: number;
    /** How late the signal may have been handled; the grace period is counted from before that. */
    lateMs: number;
  };
  /** A call that a stopping host sends to a runner or another host, the first time. */
  stop_begun: {
    request: string;
    route: string;
    /** Time that the call was expected to need, to the end of its response or of its time limit. */
    needMs: number;
    /** Where that is taken from, see NeedBasis. */
    basis: string;
    /** Time until open calls are aborted. */
    leftMs: number;
    /** Time since the shutdown began. */
    stoppingMs: number;
    /** Time since the request arrived. */
    ageMs: number;
  };
  /** A call that a stopping host does not begin, as it would have to abort it. */
  stop_refused: {
    request: string;
    route: string;
    /** How far the call had come, see StopPhase. */
    phase: string;
    /** Time that the call was expected to need, to the end of its response or of its time limit. */
    needMs: number;
    /** Where that is taken from, see NeedBasis. */
    basis: string;
    /** Time until open calls are aborted. */
    leftMs: number;
    /** Time since the shutdown began. */
    stoppingMs: number;
    /** Time since the request arrived. */
    ageMs: number;
  };
  process_stopped: {
    reason: string;
    /** Calls that were refused because they would not have ended in time. */
    refused: number;
    /** Calls that were aborted at the end of the grace period. */
    cut: number;
    /** Calls whose responses had not left the process when it ended. */
    unsent: number;
    /** Idle connections that were closed unannounced, once they had been quiet for a time. */
    closed: number;
    /** Connections that ended with a response, and that their callers had not closed in time. */
    unclosed: number;
    /** Connections of which a part of a request was read when the host ended. */
    incomplete: number;
    /** Connections accepted since the listener was to close: the kernel had established them before it did. */
    acceptedLate: number;
    /** Whether the kernel may have held connections that were never accepted. */
    isBacklogLeft: boolean;
    /** Connections that were open when the host ended, and of which no request was read. */
    unused: number;
    forMs: number;
  };
  settings_reloaded: {reason: string; changed: string};
  settings_refused: {reason: string};
  readiness_changed: {isReady: boolean; reason: string};
  request_accepted: {
    request: string;
    /** The host that relayed the call; absent if its caller sent it to this host. */
    relayedBy?: string;
    route: string;
    kind: string;
    workspace?: string;
    /** The same for each repetition of a request, on every host. */
    fingerprint: string;
    session?: string;
    tokens?: number;
    configuration: number;
    configurationAgeMs: number;
    deadlineMs: number;
    targetMs: number;
  };
  request_refused: {
    request: string;
    /** The host that relayed the call; absent if its caller sent it to this host. */
    relayedBy?: string;
    status: number;
    reason: string;
    configuration?: number;
    configurationAgeMs?: number;
    retryAfterMs?: number;
  };
  /** Calls that waited for capacity or were rejected for want of it; some lines are omitted in an overload. */
  admission_decided: {
    request: string;
    service: string;
    priority: number;
    workspace?: string;
    outcome: string;
    reason: string;
    /** Expected work of the call. */
    workMs: number;
    waitedMs: number;
    /** Wait that was expected when the call arrived; null if without end. */
    expectedWaitMs: number | null;
    /** Part of the capacity that this host takes. */
    hostShare: number;
    /** Capacity beside the demand of all hosts, in ms of slot time per ms; negative in a shortage. */
    sparePerMs: number;
    /** Age of the other hosts' demand; null if there is none. */
    peersAgeMs: number | null;
    /** Lines that were left out before this one. */
    omittedLines?: number;
  };
  /** Capacity of a service has become short at this host's estimate, or no longer is. */
  shortage_changed: {
    service: string;
    isShort: boolean;
    /** Demand of all hosts over the capacity; null without usable runners. */
    load: number | null;
    slots: number;
    /** Requests in flight from all hosts. */
    running: number;
    /** Work that the runners finish per ms, in ms of slot time. */
    workPerMs: number;
    /** Age of the loads that other hosts reported; null if there are none. */
    loadsAgeMs: number | null;
    /** Calls that wait at this host. */
    waiting: number;
  };
  runner_chosen: {
    request: string;
    attempt: number;
    runner: string;
    service: string;
    version: string;
    /** Why this version was chosen, see VersionReason. */
    versionReason?: string;
    /** False if no runner of the preferred version was known, so that any runner was eligible. */
    versionGranted?: boolean;
    /** The version that this host remembers for the session; absent if it does not know the session. */
    rememberedVersion?: string;
    model?: string;
    running: number;
    pendingMs: number;
    /** Time since load digests were last received from other hosts; null if none were. */
    loadsAgeMs: number;
    waitMs?: number;
    workMs?: number;
    unreadTokens?: number;
    /** Actual over expected time of the runner, as this host believed; 1 is nominal. */
    slowness: number;
    /** Expected slot time of a call without a prompt, at nominal speed; absent or 0 until measured. */
    slotMs?: number;
    /** Memory that the call will take, and that of all requests at the runner. */
    memoryTokens?: number;
    runnerTokens?: number;
    candidates: number;
    /** Number of candidates that may be called now and are of the preferred version. */
    matching?: number;
    /** Number of runners among which the choice was made, and of those to which the call was not sent before. */
    selected?: number;
    untried?: number;
    ejected: number;
    reason: string;
    rolloutShare?: number;
  };
  runner_withheld: {
    request: string;
    attempt: number;
    runner: string;
    /** The bound that applies. */
    reason: string;
    /** The runner's declared limit in requests a second over all hosts. */
    perSecond?: number;
    /** The rest that the runner asked this host for. */
    restMs?: number;
    /** Rejections in a second above which the runner fails, and the requests of all hosts for which it is believed to have room. */
    brittlePerSecond?: number;
    room?: number;
    /** Time since this host learned of the statement behind the bound. */
    ageMs?: number;
    /** This host's share of the calls in a window, and how many it sent. */
    share: number;
    windowMs: number;
    sent: number;
    /** Time until it may send a call; absent if it has no share. */
    waitMs?: number;
    /** Number of runners of the service that were withheld in this choice. */
    withheld: number;
  };
  attempt_ended: {
    request: string;
    attempt: number;
    runner: string;
    outcome: string;
    reason: string;
    status?: number;
    /** Whether the runner had begun its response. */
    begun: boolean;
    /** Time until the request was sent; absent if it was not. */
    sentMs?: number;
    /** Age, at that time, of what this host knew of the connections of its callers: an upper bound. */
    callerAgeMs?: number;
    confidence?: number;
    /** Declared limit in the runner's response, in requests a second. */
    namedLimit?: number;
    /** Whether the response stated that the runner is leaving; absent if not. */
    isLeaving?: boolean;
    /** Time for which the runner's rejection asked this host to send it nothing. */
    restMs?: number;
    firstMs?: number;
    lastEvent?: number;
    forMs: number;
  };
  /** The host holds nearly as many bytes for slow readers as it may, and no longer. */
  memory_bound_near: {bytes: number; maxBytes: number};
  memory_bound_left: {
    bytes: number;
    maxBytes: number;
    /** Number of sources that were paused to the end. */
    paused: number;
    forMs: number;
  };
  /** A response was given up, because its caller took nothing of it for too long. */
  response_unread: {request: string; relayedBy?: string; unsentBytes: number};
  /** A response had not left the process when the process closed its connections to end. */
  response_unsent: {request: string; relayedBy?: string; unsentBytes: number};
  /** A request is neither run nor answered: its connection closes after the response to an earlier one. */
  request_ignored: {request: string; relayedBy?: string; reason: string};
  /** A stream has more lines than the host handles at once, and waits from now on; once a stream. */
  response_paced: {
    request: string;
    runner: string;
    /** Lines that have been handled. */
    units: number;
    /** Time since the request was complete. */
    ageMs: number;
  };
  /** A response without a stated length was given up while it grew, as this host needed the memory for others. */
  response_given_up: {request: string; runner: string; bytes: number};
  /** Bytes of a runner followed a complete response, so that its connection was closed. */
  runner_excess_bytes: {runner: string; service: string};
  runner_end_counted: {
    request: string;
    fingerprint: string;
    runner: string;
    /** Evidence of this crash against the request, 0 to 1; `sum` is that of all its crashes. */
    weight: number;
    sum: number;
    /** Whether the runner had no other request, as far as this host knows. */
    isAlone: boolean;
    sinceHeadMs: number;
    /** How the end is known, see RunnerEndEvidence, and how long after the last sign of the runner. */
    knownBy: string;
    knownAfterMs: number;
  };
  /** A run ended while nothing was heard of its runner: whether that counts depends on what is learned of the runner. */
  run_unsettled: {request: string; runner: string; silentMs: number};
  /** What was learned of the runner of such a run, see RunSettlement; `ageMs` is the time since the last sign of it. */
  run_settled: {
    request: string;
    runner: string;
    outcome: string;
    knownBy?: string;
    ageMs: number;
  };
  /** A runner is there that counted as ended, so that nothing counts of that. */
  runner_end_retracted: {runner: string; reason: string};
  /** A runner ended that had just begun a response on these parts of a prompt; `ends` counts those of each part. */
  part_end_counted: {
    request: string;
    runner: string;
    parts: string;
    ends: string;
    sinceHeadMs: number;
    knownBy: string;
  };
  /** A request was rejected because this part of its prompt is quarantined. */
  part_held_back: {request: string; part: string};
  part_quarantined: {part: string; ends: number};
  part_released: {part: string; reason: string};
  /** A connection is read no further for now; further lines within a second are left out and counted. */
  connection_paused: {
    reason: string;
    /** Bytes of all connections that were read and not parsed. */
    heldUnparsedBytes: number;
    /** Estimated memory of open requests that share the bound, in bytes. */
    sharedRequestBytes: number;
    omittedLines: number;
  };
  /** A connection was closed, as it held most of too many bytes that were read and not parsed. */
  connection_shed: {
    unparsedBytes: number;
    heldUnparsedBytes: number;
    sharedRequestBytes: number;
    omittedLines: number;
  };
  /** A request is held back for seconds and then tried: `ends` runners ended while they had it. */
  request_on_probation: {fingerprint: string; ends: number};
  /** A copy of a request on probation is sent to a runner: `ends` runners ended while they had the request. */
  request_tried: {fingerprint: string; ends: number};
  request_quarantined: {fingerprint: string; ends: number; weight: number};
  request_released: {fingerprint: string; reason: string};
  quarantine_written: {fingerprint: string; isHeld: boolean};
  quarantine_write_failed: {
    fingerprint: string;
    isHeld: boolean;
    reason: string;
  };
  answer_weighed: {
    request: string;
    model: string;
    confidence?: number;
    goodShare: number;
    isUsed: boolean;
    worthNow: number;
    worthLarge: number;
    expectedMs: number;
    workMs: number;
    pressure: number;
    elapsedMs: number;
    /**
     * Time that a run of the largest model was expected to need; absent if the host does not stop, or the response was
     * worth more than such a run. Above `leftMs`, the response is used because the host stops.
     */
    needMs?: number;
    /** Where that is taken from, see NeedBasis. */
    basis?: string;
    /** Time until open calls are aborted. */
    leftMs?: number;
  };
  /** A call is sent to another host. */
  call_relayed: {
    request: string;
    peer: string;
    /** Place of the other host. */
    place: string;
    reason: string;
    /** Time since this host last received anything from any runner; absent if it never did. */
    runnersSilentMs?: number;
    /** Time since this host was found to be cut off from all runners; 0 if it is not. */
    cutOffMs: number;
    /** Number of runners that the call could not reach, and how often it was sent to runners before. */
    unreachable: number;
    sent: number;
    /** How often the other host may send the call to runners. */
    attempts: number;
    /** Whether a host has counted the call in its retry budget before. */
    isCounted: boolean;
    /** Calls of this host that the other one has already. */
    open: number;
    leftMs: number;
  };
  relay_ended: {
    request: string;
    peer: string;
    outcome: string;
    reason: string;
    status?: number;
    forMs: number;
  };
  /** This host reaches no runner: none responded to it or to a probe. */
  runners_unreachable: {silentMs: number; runners: number; probed: number};
  runners_reachable: {forMs: number; probed: number};
  retry_decided: {
    request: string;
    attempt: number;
    again: boolean;
    /** How the attempt ended. */
    reason: string;
    /** Why the call is not sent again; absent if it is. */
    refusal?: string;
    budgetLeft: number;
    /** Calls of the service that this host accepted within the window of its retry budget. */
    firstsInWindow: number;
    /** Retries that it sent within that window, since it started. */
    repeatsInWindow: number;
    /** Number of hosts that share the budget; absent if this host does not know. */
    hosts?: number;
    /** Number of hosts in the registry; absent while this process has not loaded it. */
    registered?: number;
    /** Number of hosts heard of since the start, including this one. */
    heardOf: number;
    /** Time since the registry was known to be complete; absent while it is not loaded. */
    registryAgeMs?: number;
    /** Whether hosts that started together with this one are in the registry. */
    isRegistryComplete: boolean;
    leftMs: number;
  };
  /** What this host decided on a run whose runner had been silent for too long; once per run and result. */
  successor_decided: {
    request: string;
    /** Number of the attempt whose runner is silent. */
    attempt: number;
    runner: string;
    silentMs: number;
    /** Whether the runner sends nothing on any connection of this host. */
    isRunnerSilent: boolean;
    /** Whether the caller has a part of the response. */
    hasStarted: boolean;
    /** Runner of the run that is started beside the silent one; absent if none is. */
    successor?: string;
    /** Whether another host is to take the call. */
    isRelayed?: boolean;
    /** Why no further run is started. */
    refusal?: string;
    attemptsLeft: number;
    budgetLeft: number;
    /** Calls, retries and hosts as in `retry_decided`. */
    firstsInWindow: number;
    repeatsInWindow: number;
    hosts?: number;
    leftMs: number;
  };
  request_answered: {
    request: string;
    status: number;
    attempts: number;
    runner: string;
    events?: number;
    firstMs?: number;
    longestPauseMs?: number;
    forMs: number;
  };
  request_failed: {
    request: string;
    status: number;
    reason: string;
    attempts: number;
    hasRun: string;
    /** Time since this host last received anything from any runner; absent if it never did. */
    runnersSilentMs?: number;
    retryAfterMs?: number;
    /** Whether capacity was reserved for the retry; absent, as the next three, unless capacity was short. */
    isRetryReserved?: boolean;
    /** Time until the first interval with reserved capacity. */
    retryIntervalMs?: number;
    /** Work that this host has promised capacity for, in ms of slot time. */
    retryPromisedMs?: number;
    /** Spare capacity that is expected, in ms of slot time per ms. */
    retrySparePerMs?: number;
    /** As those of `request_cut`, up to `endMs`. */
    model?: string;
    needMs?: number;
    basis?: string;
    leftMs?: number;
    begunMs?: number;
    stoppingMs?: number;
    endMs?: number;
    forMs: number;
  };
  /** A started response waits for a runner that may take it. */
  request_waits: {
    request: string;
    reason: string;
    waitMs: number;
    leftMs: number;
  };
  request_cut: {
    request: string;
    reason: string;
    attempts: number;
    lastEvent?: number;
    /** Model of its last attempt; this field and those up to `endMs` are absent if the host does not stop. */
    model?: string;
    /** Time that it was expected to need when a stopping host began it, and where that was taken from; absent if it was begun before. */
    needMs?: number;
    basis?: string;
    /** Time that was left for it then. */
    leftMs?: number;
    /** Time from the start of the shutdown until then. */
    begunMs?: number;
    /** Time from the start of the shutdown to the arrival of the request; absent if it arrived before. */
    stoppingMs?: number;
    /** Time from the start of the shutdown to its end. */
    endMs?: number;
    forMs: number;
  };
  caller_left: {
    request: string;
    /** The host that relayed the call, if its body broke off on the way from there. */
    relayedBy?: string;
    attempts: number;
    reason: string;
    forMs: number;
  };
  /** A call is ended without its attempt, which goes on although the call was aborted: a fault of this program. */
  call_overdue: {
    request: string;
    /** Why the call was aborted. */
    reason: string;
    /** Attempts that had ended. */
    attempts: number;
    forMs: number;
  };
  configuration_in_force: {
    version: number;
    previous: number;
    routes: number;
    keys: number;
    ageMs: number;
    offset: number;
  };
  configuration_refused: {offset: number; reason: string};
  key_withdrawn: {workspace: string; version: number};
  freshness_lost: {ageMs: number; boundMs: number; keys: string};
  freshness_regained: {ageMs: number};
  runner_seen: {
    runner: string;
    service: string;
    version: string;
    address: string;
    place: string;
    offset: number;
  };
  runner_leaving: {runner: string; service: string; offset: number};
  /** The runner stated that it is leaving, to this host or to another one. */
  runner_leaving_stated: {runner: string; service: string; source: string};
  /** The runner asked this host to send it nothing for this long. */
  runner_rest_stated: {runner: string; service: string; restMs: number};
  runner_statement_malformed: {runner: string; service: string; text: string};
  runner_gone: {runner: string; service: string; reason: string};
  runner_lapsed: {runner: string; service: string; keptMs: number};
  store_called: {call: string; topic: string; outcome: string; forMs: number};
  entry_refused: {
    topic: string;
    key: string;
    offset: number;
    kind: string;
    reason: string;
  };
  runner_limit_changed: {
    runner: string;
    service: string;
    /** Requests a second over all hosts; absent if the runner no longer declares a limit. */
    perSecond?: number;
    previous?: number;
    /** Where the limit comes from: the runner's response or another host. */
    source: string;
    /** Time since the response that declared it, in ms. */
    ageMs: number;
  };
  runner_room_changed: {
    runner: string;
    service: string;
    /** Rejections in a second above which the runner fails. */
    perSecond: number;
    /** Requests of all hosts for which it is believed to have room now, and before. */
    room: number;
    previous?: number;
    reason: string;
    /** What showed it: the runner's response or another host. */
    source: string;
    /** Time since the response that showed it, in ms. */
    ageMs: number;
  };
  runner_limit_malformed: {runner: string; service: string; text: string};
  runner_ejected: {
    runner: string;
    service: string;
    forMs: number;
    ownFailed: number;
    remoteFailed: number;
    othersShare: number;
    reason: string;
  };
  rollout_ordered: {
    service: string;
    version: string;
    durationMs: number;
    elapsedMs: number;
    offset: number;
  };
  rollout_judged: {
    service: string;
    version: string;
    verdict: string;
    newEnded: number;
    newFailed: number;
    newSlow: number;
    newLost: number;
    oldEnded: number;
    oldFailed: number;
    oldSlow: number;
    oldLost: number;
    timesCompared: number;
    longerShare: number;
    longerDeviations: number;
    elapsedMs: number;
  };
  /** Attempts and outcomes at the versions of a rollout over all hosts so far, as this host knows them. */
  rollout_counted: {
    service: string;
    version: string;
    elapsedMs: number;
    share: number;
    sessionShare: number;
    newSent: number;
    oldSent: number;
    newEnded: number;
    newFailed: number;
    newSlow: number;
    /** The part of `newFailed` without a whole response. */
    newLost: number;
    oldEnded: number;
    oldFailed: number;
    oldSlow: number;
    oldLost: number;
    timesCompared: number;
    longerShare: number;
    longerDeviations: number;
    /** Whether counts of a host that was restarted since the order are missing; absent if not. */
    hasLostCounts: boolean | undefined;
    /** The part of `newSent` that this host sent itself. */
    ownNewSent: number;
  };
  rollout_written: {
    service: string;
    version: string;
    phase: string;
    /** Whether the version was rolled back because it might be bad at its time limit, without a verdict. */
    isUndecided?: boolean;
  };
  rollout_write_failed: {
    service: string;
    version: string;
    phase: string;
    reason: string;
  };
  rollout_phase: {service: string; version: string; phase: string};
  /** The machine was suspended for this long, or its wall clock was set forward. */
  time_gap: {forMs: number};
  /** The process stalled for this long, or its timers were this late. */
  stood_still: {forMs: number};
  /** An entry of this host was not written: the one of the host itself is tried again, a start of a rollout is optional. */
  store_write_failed: {entry: string; reason: string};
  store_lost: {reason: string};
  store_regained: {afterMs: number};
  /** Runners of the place get no new calls from now on; `ageMs` is the age of the topic's mirror. */
  place_cordoned: {place: string; offset: number; ageMs: number};
  place_uncordoned: {place: string; offset: number; forMs: number};
  topic_reloaded: {topic: string; position: number};
  host_entered: {peer: string; isNew: boolean; forMs: number};
  /** The registry of hosts was loaded, or became known to be complete. */
  membership_known: {
    registered?: number;
    heardOf: number;
    isComplete: boolean;
    registryAgeMs?: number;
  };
  peer_seen: {peer: string; place: string; address: string};
  peer_gone: {peer: string};
  peer_lost: {peer: string; reason: string};
  peer_regained: {peer: string};
  place_lost: {place: string; source: string};
  seed_answered: {seed: string; topics: number; isLoaded: boolean};
  seed_failed: {seed: string; reason: string};
  source_changed: {source: string; reason: string};
  budget_spent: {request: string; service: string};
  unexpected: {where: string; message: string};
  lines_dropped: {count: number};
}
