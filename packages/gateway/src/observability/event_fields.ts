/**
 * The events of the log and their fields. Durations and ages are in ms, `…Tokens` in tokens; ids of
 * requests stand in `request`.
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
  process_stopping: {reason: string; open: number; graceMs: number};
  process_stopped: {reason: string; cut: number; forMs: number};
  settings_reloaded: {reason: string; changed: string};
  settings_refused: {reason: string};
  readiness_changed: {isReady: boolean; reason: string};
  request_accepted: {
    request: string;
    route: string;
    kind: string;
    workspace?: string;
    /** The same for each repeat of a request, at any host. */
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
    status: number;
    reason: string;
    configuration?: number;
    configurationAgeMs?: number;
    retryAfterMs?: number;
  };
  runner_chosen: {
    request: string;
    attempt: number;
    runner: string;
    service: string;
    version: string;
    /** What decided on the version, see VersionReason. */
    versionReason?: string;
    /** False if no runner of the wished version was known, so that any runner was taken. */
    versionGranted?: boolean;
    /** The version that this host remembers of the session; none if it does not know the session. */
    rememberedVersion?: string;
    model?: string;
    running: number;
    pendingMs: number;
    /** Time since other hosts told of loads; null if none did. */
    loadsAgeMs: number;
    waitMs?: number;
    workMs?: number;
    unreadTokens?: number;
    candidates: number;
    ejected: number;
    reason: string;
    rolloutShare?: number;
  };
  runner_withheld: {
    request: string;
    attempt: number;
    runner: string;
    /** The bound that holds. */
    reason: string;
    /** What the runner says it takes a second from all hosts together, and how long ago it was last heard to say so. */
    perSecond?: number;
    ageMs?: number;
    /** Calls in a window that are this host's part, and how many it sent. */
    share: number;
    windowMs: number;
    sent: number;
    /** Time until it may send one; none if it has no part. */
    waitMs?: number;
    /** Runners of the service that were withheld in this choice. */
    withheld: number;
  };
  attempt_ended: {
    request: string;
    attempt: number;
    runner: string;
    outcome: string;
    reason: string;
    status?: number;
    /** Whether the runner had begun its answer. */
    begun: boolean;
    confidence?: number;
    /** Requests a second that the runner named in its answer. */
    namedLimit?: number;
    firstMs?: number;
    lastEvent?: number;
    forMs: number;
  };
  runner_end_counted: {
    request: string;
    fingerprint: string;
    runner: string;
    /** How much this end speaks against the request, 0 to 1, and all of them together. */
    weight: number;
    sum: number;
    /** Whether the runner had no other request, as far as the host knows. */
    isAlone: boolean;
    sinceHeadMs: number;
  };
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
  };
  retry_decided: {
    request: string;
    attempt: number;
    again: boolean;
    reason: string;
    budgetLeft: number;
    /** Calls of the service that this host took within the window of its budget. */
    firstsInWindow: number;
    /** Repeats that it sent within that window, since it started. */
    repeatsInWindow: number;
    /** Hosts that it takes to share the allowance. */
    hosts: number;
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
    retryAfterMs?: number;
    forMs: number;
  };
  request_cut: {
    request: string;
    reason: string;
    attempts: number;
    lastEvent?: number;
    forMs: number;
  };
  caller_left: {
    request: string;
    attempts: number;
    reason: string;
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
    /** Requests a second that it takes from all hosts together; none if it names no limit any more. */
    perSecond?: number;
    previous?: number;
    /** How this host knows: by an answer, or from another host. */
    source: string;
    /** Time since the answer that said so, in ms. */
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
    oldEnded: number;
    oldFailed: number;
    oldSlow: number;
    elapsedMs: number;
  };
  /** What all hosts gave the versions of a roll-out so far and saw of them, as this host knows it. */
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
    oldEnded: number;
    /** The part of newSent that this host itself sent. */
    ownNewSent: number;
  };
  rollout_written: {service: string; version: string; phase: string};
  rollout_write_failed: {
    service: string;
    version: string;
    phase: string;
    reason: string;
  };
  rollout_phase: {service: string; version: string; phase: string};
  /** The machine was suspended for this long, or its time of day was set ahead. */
  time_gap: {forMs: number};
  /** This process did nothing for this long, or was that far behind. */
  stood_still: {forMs: number};
  store_lost: {reason: string};
  store_regained: {afterMs: number};
  /** Runners of the place get no new calls from now on; `ageMs` is the age of what the host knows. */
  place_cordoned: {place: string; offset: number; ageMs: number};
  place_uncordoned: {place: string; offset: number; forMs: number};
  topic_reloaded: {topic: string; position: number};
  host_entered: {peer: string; isNew: boolean; forMs: number};
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
