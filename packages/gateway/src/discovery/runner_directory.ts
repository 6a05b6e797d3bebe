import type {RunnerEntry} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import {Topic} from '../records/topic.js';
import type {MirrorUpdate} from '../records/mirror_update.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import type {Runner} from '../runners/runner.js';
import type {RecordReader} from './record_reader.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly mirror: TopicMirror;
  readonly reader: RecordReader;
  /** The mirror whose freshnessMirror shows when the store was unavailable. */
  readonly freshnessMirror: TopicMirror;
  /** Called with each runner that is removed, and whether a later incarnation is there under its id. */
  readonly onRemoved: (
    id: string,
    runner: Runner,
    isRestarted: boolean,
  ) => void;
  /** Whether operators cordoned a place. */
  readonly isCordoned: (place: string) => boolean;
  readonly refusedEntries: RefusedEntryReporter;
  readonly createRunner: (entry: RunnerEntry) => Runner;
}

/**
 * How long a runner is kept after its entry lapsed around an outage of the store, in ms. The platform documents that
 * entries of live runners are back about two seconds after the store is.
 */
const LAPSED_RUNNER_TTL_MS = 1_900;
/** How long a new version is awaitingOrder back until its rollout order arrives, in ms: the two topics are read separately. */
const ROLLOUT_ORDER_GRACE_MS = 2_500;
/** An entry that is removed within this time after an outage of the store may have lapsed in it, in ms. */
const POST_OUTAGE_WINDOW_MS = 1_500;

/** The runners known from their entries in the store, and which of them accept calls. */
export class RunnerDirectory {
  private readonly runners = new Map<string, Runner>();
  /** When each version was first seen, by service. */
  private readonly firstSeenByVersion = new Map<string, Map<string, number>>();
  private loadedAt: number | undefined;
  private updatedAt = 0;
  private readonly lapseTimers = new Map<string, Timer>();
  /** Cache of the runners that accept calls, by service, until an entry changes: it is read several times a call. */
  private readonly acceptingByService = new Map<string, readonly Runner[]>();
  /** Ids of known runners whose newest entry could not be decoded. */
  private readonly unreadable = new Set<string>();

  constructor(private readonly options: Options) {
    options.mirror.onUpdate(update => this.applyUpdate(update));
  }

  /** All known runners, including draining ones. */
  all(): Runner[] {
    return [...this.runners.values()];
  }

  /** The runner with this id; undefined if it is not known. */
  get(id: string): Runner | undefined {
    return this.runners.get(id);
  }

  /** Lists the runners of a service that accept new calls, including ejected ones. */
  listAcceptingCalls(service: string): readonly Runner[] {
    const known = this.acceptingByService.get(service);
    if (known) return known;
    const accepting: Runner[] = [];
    this.acceptingByService.set(service, accepting);
    for (const runner of this.runners.values()) {
      const {entry, isReplaced} = runner;
      if (entry.service !== service || entry.isDraining || isReplaced) continue;
      if (this.options.isCordoned(entry.place)) continue;
      if (!this.unreadable.has(entry.id)) accepting.push(runner);
    }
    return accepting;
  }

  /** Invalidates the cache of the runners that accept calls. */
  invalidateAccepting(): void {
    this.acceptingByService.clear();
  }

  /**
   * Lists versions of a service that appeared next to known ones a moment ago: their rollout orders may not have
   * arrived yet.
   */
  listVersionsAwaitingOrder(service: string): Set<string> {
    const seen = this.firstSeenByVersion.get(service);
    const now = this.options.clock.now();
    const awaitingOrder = new Set<string>();
    for (const [version, at] of seen ?? [])
      if (at !== this.loadedAt && now - at < ROLLOUT_ORDER_GRACE_MS)
        awaitingOrder.add(version);
    return awaitingOrder;
  }

  private recordVersion({service, version}: RunnerEntry): void {
    const seen =
      this.firstSeenByVersion.get(service) ?? new Map<string, number>();
    this.firstSeenByVersion.set(service, seen);
    if (seen.has(version)) return;
    // The first version of a service needs no rollout order.
    const at = seen.size === 0 ? this.loadedAt : this.updatedAt;
    seen.set(version, at ?? this.updatedAt);
  }

  private applyUpdate({changed, isReload}: MirrorUpdate): void {
    this.updatedAt = this.options.clock.now();
    this.loadedAt ??= this.updatedAt;
    for (const record of changed) {
      if (record.value === undefined) this.applyRemoval(record, isReload);
      else this.upsert(record);
    }
    this.invalidateAccepting();
  }

  private upsert(record: KeyedRecord): void {
    const entry = this.decode(record);
    if (!entry) return;
    const {id} = entry;
    if (this.isOutdated(entry)) return;
    this.unreadable.delete(id);
    this.cancelLapseTimer(id);
    if (this.isRestart(entry))
      this.removeRunner(id, 'started again under its id', true);
    const known = this.runners.get(id);
    const wasDraining = known?.entry.isDraining ?? false;
    this.recordVersion(entry);
    if (known) known.update(entry);
    else this.runners.set(id, this.options.createRunner(entry));
    this.logChange(entry, known !== undefined, wasDraining, record.offset);
  }

  /**
   * Decodes an entry. A runner whose entry cannot be decoded gets no new calls until it can, because the entry does not
   * say where the runner is. Its state is kept: another program may have overwritten the entry, and the runner will
   * write it again.
   */
  private decode(record: KeyedRecord): RunnerEntry | undefined {
    const {reader, refusedEntries} = this.options;
    try {
      return reader.readRunner(record);
    } catch (error) {
      refusedEntries.report(Topic.RUNNERS, record, error);
      if (this.runners.has(record.key)) this.unreadable.add(record.key);
      return undefined;
    }
  }

  /** Of two incarnations of a runner the later one counts, in whichever order their entries arrive. */
  private isOutdated({id, bornAt}: RunnerEntry): boolean {
    const knownBornAt = this.runners.get(id)?.entry.bornAt;
    return (bornAt ?? Infinity) < (knownBornAt ?? -Infinity);
  }

  private isRestart({id, bornAt}: RunnerEntry): boolean {
    const known = this.runners.get(id)?.entry;
    return known !== undefined && (bornAt ?? 0) > (known.bornAt ?? 0);
  }

  private cancelLapseTimer(id: string): void {
    this.lapseTimers.get(id)?.cancel();
    this.lapseTimers.delete(id);
  }

  private logChange(
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

  private applyRemoval(record: KeyedRecord, isReload: boolean): void {
    const runner = this.runners.get(record.key);
    if (!runner) return;
    const {clock, log, freshnessMirror} = this.options;
    const now = clock.now();
    const sinceReturn = now - freshnessMirror.outageEndedAt;
    const mayHaveLapsed =
      isReload ||
      freshnessMirror.isStaleAt(now) ||
      sinceReturn < POST_OUTAGE_WINDOW_MS;
    if (!mayHaveLapsed || runner.entry.isDraining) {
      this.removeRunner(record.key, 'entry removed');
      return;
    }
    const {id, service} = runner.entry;
    log.write('runner_lapsed', {
      runner: id,
      service,
      keptMs: LAPSED_RUNNER_TTL_MS,
    });
    const timer = clock.after(LAPSED_RUNNER_TTL_MS, () => {
      this.removeRunner(id, 'entry not back after an outage of the store');
    });
    this.lapseTimers.set(id, timer);
  }

  /** Removes a runner with all its state: connections, load, outcomes and cached prompt parts. */
  private removeRunner(id: string, reason: string, isRestarted = false): void {
    const runner = this.runners.get(id);
    if (!runner) return;
    const {service} = runner.entry;
    this.runners.delete(id);
    this.invalidateAccepting();
    this.unreadable.delete(id);
    this.cancelLapseTimer(id);
    runner.retire();
    this.options.onRemoved(id, runner, isRestarted);
    this.options.log.write('runner_gone', {runner: id, service, reason});
  }
}
