import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {Refusals} from '../records/refusals.js';
import {Topic} from '../records/topic.js';
import type {MirrorUpdate} from '../records/mirror_update.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {Runner} from '../runners/runner.js';
import type {WireReader} from './wire_reader.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly mirror: TopicMirror;
  readonly reader: WireReader;
  /** The copy whose proofs tell when the store was away. */
  readonly freshness: TopicMirror;
  /** Told of each runner that is no longer known. */
  readonly onGone: (id: string) => void;
  /** Whether operators keep new calls from the runners of a place. */
  readonly isCordoned: (place: string) => boolean;
  readonly refusals: Refusals;
  readonly createRunner: (entry: RunnerEntry) => Runner;
}

/**
 * How long a runner whose entry vanished around an outage of the store is kept: the platform says
 * that entries of living runners are back about two seconds after the store is.
 */
const LAPSE_KEPT_MS = 1_900;
/** How long a new version waits for the order that explains it, in ms: the topics are read apart. */
const UNEXPLAINED_MS = 2_500;
/** An entry that goes within this time after the store's return may have lapsed in the outage. */
const LAPSE_WINDOW_MS = 1_500;

/** The runners that can take calls, by service, as their entries in the store tell. */
export class RunnerDirectory {
  private readonly runners = new Map<string, Runner>();
  /** When each version of a service was first seen. */
  private readonly versions = new Map<string, Map<string, number>>();
  private loadedAt: number | undefined;
  private updatedAt = 0;
  private readonly lapses = new Map<string, Timer>();
  /** Those that take calls, by service, until an entry changes: asked for several times a call. */
  private readonly takers = new Map<string, readonly Runner[]>();
  /** Known runners whose newest entry could not be read. */
  private readonly unreadable = new Set<string>();

  constructor(private readonly options: Options) {
    options.mirror.onUpdate(update => this.take(update));
  }

  /** All runners known, those that leave included. */
  all(): Runner[] {
    return [...this.runners.values()];
  }

  /** A runner by its id; undefined if it is not known. */
  get(id: string): Runner | undefined {
    return this.runners.get(id);
  }

  /** Runners of a service that take new calls, ejected ones included. */
  takersOf(service: string): readonly Runner[] {
    const known = this.takers.get(service);
    if (known) return known;
    const takers: Runner[] = [];
    this.takers.set(service, takers);
    for (const runner of this.runners.values()) {
      const {entry, isReplaced} = runner;
      if (entry.service !== service || entry.isDraining || isReplaced) continue;
      if (this.options.isCordoned(entry.place)) continue;
      if (!this.unreadable.has(entry.id)) takers.push(runner);
    }
    return takers;
  }

  /** What is known of who takes calls has changed. */
  forgetTakers(): void {
    this.takers.clear();
  }

  /**
   * Versions of a service that appeared beside known ones a moment ago: the order to roll them out may
   * not have arrived yet.
   */
  unexplainedVersions(service: string): Set<string> {
    const seen = this.versions.get(service);
    const now = this.options.clock.now();
    const held = new Set<string>();
    for (const [version, at] of seen ?? [])
      if (at !== this.loadedAt && now - at < UNEXPLAINED_MS) held.add(version);
    return held;
  }

  private noteVersion({service, version}: RunnerEntry): void {
    const seen = this.versions.get(service) ?? new Map<string, number>();
    this.versions.set(service, seen);
    if (seen.has(version)) return;
    // A service's first version needs no order.
    const at = seen.size === 0 ? this.loadedAt : this.updatedAt;
    seen.set(version, at ?? this.updatedAt);
  }

  private take({changed, isReload}: MirrorUpdate): void {
    this.updatedAt = this.options.clock.now();
    this.loadedAt ??= this.updatedAt;
    for (const record of changed) {
      if (record.value === undefined) this.remove(record, isReload);
      else this.put(record);
    }
    this.forgetTakers();
  }

  private put(record: KeyedRecord): void {
    const entry = this.read(record);
    if (!entry) return;
    const {id} = entry;
    if (this.isOldNews(entry)) return;
    this.unreadable.delete(id);
    this.cancelLapse(id);
    if (this.isNewStart(entry)) this.drop(id, 'started again under its id');
    const known = this.runners.get(id);
    const wasDraining = known?.entry.isDraining ?? false;
    this.noteVersion(entry);
    if (known) known.update(entry);
    else this.runners.set(id, this.options.createRunner(entry));
    this.report(entry, known !== undefined, wasDraining, record.offset);
  }

  /**
   * A runner whose entry can't be read gets no new calls until one can: the entry names no runner to use. What is
   * known of it is kept, as it may be another program that wrote over it, and the runner tells of itself again.
   */
  private read(record: KeyedRecord): RunnerEntry | undefined {
    const {reader, refusals} = this.options;
    try {
      return reader.readRunner(record);
    } catch (error) {
      refusals.note(Topic.RUNNERS, record, error);
      if (this.runners.has(record.key)) this.unreadable.add(record.key);
      return undefined;
    }
  }

  /** Of two starts under one id the later one counts, in whichever order their entries come. */
  private isOldNews({id, bornAt}: RunnerEntry): boolean {
    const knownBornAt = this.runners.get(id)?.entry.bornAt;
    return (bornAt ?? Infinity) < (knownBornAt ?? -Infinity);
  }

  private isNewStart({id, bornAt}: RunnerEntry): boolean {
    const known = this.runners.get(id)?.entry;
    return known !== undefined && (bornAt ?? 0) > (known.bornAt ?? 0);
  }

  private cancelLapse(id: string): void {
    this.lapses.get(id)?.cancel();
    this.lapses.delete(id);
  }

  private report(
    entry: RunnerEntry,
    isKnown: boolean,
    wasDraining: boolean,
    offset: number,
  ): void {
    const {log} = this.options;
    const {id: runner, service, version, address, place} = entry;
    if (!isKnown)
      log.write('runner_seen', {
        runner,
        service,
        version,
        address,
        place,
        offset,
      });
    if (entry.isDraining && !wasDraining)
      log.write('runner_leaving', {runner, service, offset});
  }

  private remove(record: KeyedRecord, isReload: boolean): void {
    const runner = this.runners.get(record.key);
    if (!runner) return;
    const {clock, log, freshness} = this.options;
    const now = clock.now();
    const sinceReturn = now - freshness.gapEndedAt;
    const mayHaveLapsed =
      isReload || freshness.isStaleAt(now) || sinceReturn < LAPSE_WINDOW_MS;
    if (!mayHaveLapsed || runner.entry.isDraining) {
      this.drop(record.key, 'entry removed');
      return;
    }
    const {id, service} = runner.entry;
    log.write('runner_lapsed', {runner: id, service, keptMs: LAPSE_KEPT_MS});
    const timer = clock.after(LAPSE_KEPT_MS, () => {
      this.drop(id, 'entry not back after an outage of the store');
    });
    this.lapses.set(id, timer);
  }

  /** Everything that is believed of a runner goes with it: connections, load, outcomes, kept parts. */
  private drop(id: string, reason: string): void {
    const runner = this.runners.get(id);
    if (!runner) return;
    const {service} = runner.entry;
    this.runners.delete(id);
    this.forgetTakers();
    this.unreadable.delete(id);
    this.cancelLapse(id);
    runner.retire();
    this.options.onGone(id);
    this.options.log.write('runner_gone', {runner: id, service, reason});
  }
}
