import type {Clock} from '@bayspool/kernel';
import type {Stall} from '../lifecycle/stall.js';
import type {HeardHost} from './heard_host.js';
import type {HostEntry} from './host_entry.js';
import type {ServingClaim} from './serving_claim.js';
import type {ServingStatement} from './serving_statement.js';

interface Options {
  readonly clock: Clock;
  /** Availability zone of this host. */
  readonly place: string;
  /** Whether this host takes new callers. */
  readonly isServing: () => boolean;
  /** Returns the last interval in which this process did not run; undefined if there was none. */
  readonly findLastStall?: () => Stall | undefined;
}

/** A claim as it is stated anew. */
interface Update {
  readonly isTrue: boolean | undefined;
  readonly readAt: number;
  readonly asOf: number;
  readonly holdsForMs: number;
  /** Whether the statement is known to be newer than what is kept. */
  readonly isNewer: boolean;
}

/** How long a statement of another host holds at least, in ms: some rounds of what hosts tell each other. */
const STATEMENT_TTL_MS = 3_000;
/** Time for a pause between two requests and for the delays of both responses, in ms, beyond the waits. */
const MAX_DELAYS_MS = 1_100;
/** How long after a stall other hosts are heard again, in ms: some polls that complete as usual. */
const REHEARD_MS = 1_000;
/** How long a statement holds at most, in ms. */
const MAX_TTL_MS = 10_000;
const NEVER_CLAIMED: ServingClaim = {until: -Infinity, withdrawnAt: -Infinity};

/** Knows from the statements of other hosts whether any of them takes new callers. */
export class ServingPeers {
  /** In the order in which the hosts were heard. */
  private readonly heardHosts = new Map<string, HeardHost>();
  private readonly withdrawalListeners: Array<() => void> = [];
  /** Begins with the time of day, which goes on across restarts. */
  private order: number;

  constructor(private readonly options: Options) {
    this.order = Math.floor(options.clock.wall());
  }

  /** Whether another host takes new callers, as far as is known; false if nothing is known. */
  get isAnyServing(): boolean {
    const now = this.judgedAt;
    for (const {serving, told} of this.heardHosts.values())
      if (now < serving.until || now < told.until) return true;
    return false;
  }

  /** Calls the listener whenever a host that took new callers states that it does not any more. */
  onWithdrawal(listener: () => void): void {
    this.withdrawalListeners.push(listener);
  }

  /**
   * Records what a host stated, unless that is older than what is known of it.
   *
   * @param sentAt when the request was sent that the host answered, or when the one was read that it sent, on the clock
   * @param waitMs how long the request may be held: the host's next statement may come that much later
   */
  record(
    host: string,
    statement: ServingStatement,
    sentAt: number,
    waitMs = 0,
  ): void {
    const readAt = this.options.clock.now();
    const {judgedAt} = this;
    this.forgetOld(judgedAt);
    const {isServing, hasServingPeers} = statement;
    if (isServing === undefined && hasServingPeers === undefined) return;
    const order = toNumber(statement.order);
    const kept = this.heardHosts.get(host);
    const isOrdered = order !== undefined && kept?.order !== undefined;
    if (isOrdered && order < kept.order!) return;
    // The host cannot have held the request for longer than the exchange took.
    const heldMs = Math.min(toNumber(statement.heldMs) ?? 0, readAt - sentAt);
    const update = {
      readAt,
      asOf: sentAt + Math.max(0, heldMs),
      holdsForMs: toTtlMs(waitMs),
      isNewer: isOrdered,
    };
    const heard: HeardHost = {
      order,
      serving: renew(kept?.serving, {...update, isTrue: isServing}),
      told: renew(kept?.told, {...update, isTrue: hasServingPeers}),
      keptUntil: readAt + MAX_TTL_MS,
    };
    this.heardHosts.delete(host);
    this.heardHosts.set(host, heard);
    const wasServing = kept !== undefined && judgedAt < kept.serving.until;
    if (wasServing && judgedAt >= heard.serving.until)
      for (const listener of this.withdrawalListeners) listener();
  }

  /** Returns what this host states to another one; what it was told of further hosts it does not pass on. */
  stateFor({name, place}: HostEntry): ServingStatement {
    const isServing = this.options.isServing();
    const order = ++this.order;
    // Hosts of other places are told by this one of itself, and by their own reader of the rest.
    if (place !== this.options.place) return {isServing, order};
    return {isServing, hasServingPeers: this.hasServingOtherThan(name), order};
  }

  /** As of when statements are judged: what held when this process stalled does so until others were heard again. */
  private get judgedAt(): number {
    const now = this.options.clock.now();
    const stall = this.options.findLastStall?.();
    const isRecent = stall !== undefined && now < stall.untilAt + REHEARD_MS;
    return isRecent ? stall.fromAt : now;
  }

  private hasServingOtherThan(name: string): boolean {
    const now = this.judgedAt;
    for (const [host, {serving}] of this.heardHosts)
      if (host !== name && now < serving.until) return true;
    return false;
  }

  private forgetOld(now: number): void {
    for (const [host, {keptUntil}] of this.heardHosts) {
      if (now < keptUntil) return;
      this.heardHosts.delete(host);
    }
  }
}

/**
 * How long a statement holds that came with a request which may be held for `waitMs`: it may be that old when it arrives,
 * and so may the next one.
 */
function toTtlMs(waitMs: number): number {
  const untilNextMs = 2 * (toNumber(waitMs) ?? 0) + MAX_DELAYS_MS;
  return Math.min(MAX_TTL_MS, Math.max(STATEMENT_TTL_MS, untilNextMs));
}

/** Other hosts may send what is none. */
function toNumber(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value)
    ? value
    : undefined;
}

function renew(
  kept = NEVER_CLAIMED,
  {isTrue, readAt, asOf, holdsForMs, isNewer}: Update,
): ServingClaim {
  if (isTrue === undefined) return kept;
  if (isTrue !== true) return {until: -Infinity, withdrawnAt: readAt};
  const {until, withdrawnAt} = kept;
  // Which one is older is not known then: it may have been stated before the host took it back.
  if (!isNewer && asOf < withdrawnAt) return kept;
  return {until: Math.max(until, asOf + holdsForMs), withdrawnAt};
}
