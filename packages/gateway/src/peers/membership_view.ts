import type {Membership} from '@bayspool/decisions/calls';
import type {Clock} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {HostDirectory} from './host_directory.js';
import {hostKey} from './host_key.js';

interface Options {
  /** Clock of the mirror's freshness. */
  readonly clock: Clock;
  readonly log: EventLog;
  /** The mirror of the topic in which hosts are registered. */
  readonly mirror: TopicMirror;
  readonly hostDirectory: HostDirectory;
}

/**
 * Time between this host's entry into the registry and the read from which the registry counts as complete, in ms:
 * hosts that start together enter it within a few seconds of each other.
 */
const SETTLE_MS = 3_000;

/**
 * What this host knows of which hosts there are. Every bound over all hosts is divided by this, and by nothing else: how
 * many hosts this one has heard of, or for how long it has run, does not tell how many there are.
 */
export class MembershipView implements Membership {
  private readonly registeredNames = new Set<string>();
  /** When this process entered this host into the registry; -Infinity if an earlier one had; undefined if neither has. */
  private enteredAt: number | undefined;
  private wasComplete = false;

  constructor(private readonly options: Options) {
    const {mirror} = options;
    mirror.onUpdate(({changed, isReload}) => {
      for (const {key, value} of changed)
        if (hostKey.matches(key)) this.recordEntry(key, value !== undefined);
      if (isReload) this.logState();
    });
    mirror.onFreshnessConfirmed(() => this.checkComplete());
  }

  get hosts(): number | undefined {
    return this.options.mirror.isLoaded ? this.heardOf : undefined;
  }

  get isComplete(): boolean {
    return this.wasComplete;
  }

  /** Number of hosts in the registry; undefined while this process has not loaded it. */
  get registered(): number | undefined {
    if (!this.options.mirror.isLoaded) return undefined;
    return this.registeredNames.size;
  }

  /** Number of hosts heard of since the start, by their entries or by their own requests, including this one. */
  get heardOf(): number {
    return this.options.hostDirectory.peakLiveCount;
  }

  /** Time since the loaded registry was known to be complete, in ms; undefined while it is not loaded. */
  get registryAgeMs(): number | undefined {
    const {clock, mirror} = this.options;
    return mirror.isLoaded ? clock.now() - mirror.freshAsOf : undefined;
  }

  /** Names of the hosts that share a bound, including this one, reachable or not; empty until the registry is loaded. */
  listSharers(): readonly string[] {
    const {mirror, hostDirectory} = this.options;
    return mirror.isLoaded ? hostDirectory.listRegistered() : [];
  }

  /** The same for the hosts of a place. */
  listSharersIn(place: string): readonly string[] {
    const {mirror, hostDirectory} = this.options;
    return mirror.isLoaded ? hostDirectory.listRegisteredIn(place) : [];
  }

  /**
   * Records that the registry has this host's entry.
   *
   * @param isNew whether this process entered it
   */
  recordEntered(isNew: boolean): void {
    this.enteredAt = isNew ? this.options.clock.now() : -Infinity;
    this.checkComplete();
  }

  private recordEntry(key: string, exists: boolean): void {
    if (exists) this.registeredNames.add(key);
    else this.registeredNames.delete(key);
  }

  private checkComplete(): void {
    const {mirror} = this.options;
    if (this.wasComplete || this.enteredAt === undefined) return;
    if (!mirror.isLoaded || mirror.freshAsOf < this.enteredAt + SETTLE_MS)
      return;
    this.wasComplete = true;
    this.logState();
  }

  private logState(): void {
    const {registered, heardOf, isComplete, registryAgeMs} = this;
    this.options.log.write('membership_known', {
      registered,
      heardOf,
      isComplete,
      registryAgeMs: registryAgeMs && Math.round(registryAgeMs),
    });
  }
}
