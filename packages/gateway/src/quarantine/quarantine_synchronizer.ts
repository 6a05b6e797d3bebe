import {ReleaseReason, rankByHash} from '@bayspool/decisions/calls';
import type {Quarantine, RunnerCrash} from '@bayspool/decisions/calls';
import type {Clock, Timer} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {KeyedRecord} from '../records/keyed_record.js';
import type {MirrorUpdate} from '../records/mirror_update.js';
import {decodeEntry} from '../records/decode_entry.js';
import type {RecordStore} from '../records/record_store.js';
import type {RefusedEntryReporter} from '../records/refused_entry_reporter.js';
import {Topic} from '../records/topic.js';
import type {TopicMirror} from '../records/topic_mirror.js';
import {quarantineKey} from './quarantine_key.js';
import {quarantineRecordCodec} from './quarantine_record_codec.js';

interface Options {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: RecordStore;
  /** The mirror of the topic that holds quarantined requests. */
  readonly mirror: TopicMirror;
  readonly refusedEntries: RefusedEntryReporter;
  readonly quarantine: Quarantine;
  readonly host: string;
  /** Names of the hosts that are considered live, including this one. */
  readonly listLiveHosts: () => readonly string[];
}

/** Delay between the write turns of two hosts, in ms: one write plus the time until its record is read back. */
const WRITE_STAGGER_MS = 900;
/** Pause after a failed write, in ms. */
const RETRY_DELAY_MS = 1_000;

/**
 * Persists quarantined requests in the store, so that a newly started host knows them even after all hosts that
 * observed the crashes are gone. Hosts decide by the digests that they exchange; one host writes the record, the
 * others write it only if that host does not.
 */
export class QuarantineSynchronizer {
  private readonly pendingWrites = new Map<string, Timer>();
  private isStopped = false;

  constructor(private readonly options: Options) {
    const {mirror, quarantine, log} = options;
    mirror.onUpdate(update => this.applyUpdate(update));
    quarantine.onChange({
      onQuarantined: (fingerprint, ends) =>
        this.recordQuarantined(fingerprint, ends),
      onReleased: (fingerprint, reason) =>
        this.recordReleased(fingerprint, reason),
      onProbation: (fingerprint, crashes) =>
        log.write('request_on_probation', {fingerprint, ends: crashes}),
      onTrial: (fingerprint, crashes) =>
        log.write('request_tried', {fingerprint, ends: crashes}),
    });
  }

  /** Cancels pending writes and starts no new ones. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.pendingWrites.values()) timer.cancel();
  }

  private applyUpdate({changed, isReload}: MirrorUpdate): void {
    for (const record of changed) {
      if (!quarantineKey.matches(record.key)) continue;
      if (record.value !== undefined) this.applyRecord(record);
      // A key that is missing after a reload may merely be missing from its pages.
      else if (!isReload) this.applyRemoval(record);
    }
  }

  private applyRecord(record: KeyedRecord): void {
    const {quarantine, refusedEntries, mirror} = this.options;
    try {
      const {ends} = decodeEntry(quarantineRecordCodec, record);
      quarantine.restoreRecord(quarantineKey.fingerprintOf(record.key), ends);
    } catch (error) {
      // A refused record does not quarantine the request; hosts that observed the crashes quarantine it themselves.
      refusedEntries.report(mirror.topic, record, error);
    }
  }

  private applyRemoval({key}: KeyedRecord): void {
    const {quarantine} = this.options;
    quarantine.release(quarantineKey.fingerprintOf(key), ReleaseReason.REMOVED);
  }

  private recordQuarantined(
    fingerprint: string,
    ends: readonly RunnerCrash[],
  ): void {
    const weight = ends.reduce((sum, end) => sum + end.weight, 0);
    this.options.log.write('request_quarantined', {
      fingerprint,
      ends: ends.length,
      weight: Math.round(weight * 10) / 10,
    });
    const value = JSON.stringify({ends});
    this.scheduleStaggeredWrite(fingerprint, value);
  }

  private recordReleased(fingerprint: string, reason: ReleaseReason): void {
    this.options.log.write('request_released', {fingerprint, reason});
    this.scheduleStaggeredWrite(fingerprint, undefined);
  }

  /**
   * All hosts quarantine or release a request at about the same time. The first one in the hash order writes; the
   * others follow in turn and skip the write if the record is there by then.
   *
   * @param value absent removes the request from the store
   */
  private scheduleStaggeredWrite(
    fingerprint: string,
    value: string | undefined,
  ): void {
    const {listLiveHosts, host} = this.options;
    const turn = rankByHash(fingerprint, listLiveHosts()).indexOf(host);
    this.scheduleWrite(fingerprint, value, turn * WRITE_STAGGER_MS);
  }

  private scheduleWrite(
    fingerprint: string,
    value: string | undefined,
    delayMs: number,
  ): void {
    if (this.isStopped) return;
    this.pendingWrites.get(fingerprint)?.cancel();
    const timer = this.options.clock.after(delayMs, () => {
      this.pendingWrites.delete(fingerprint);
      void this.write(fingerprint, value);
    });
    this.pendingWrites.set(fingerprint, timer);
  }

  private async write(
    fingerprint: string,
    value: string | undefined,
  ): Promise<void> {
    const {log, store, mirror} = this.options;
    const key = quarantineKey.forFingerprint(fingerprint);
    const isHeld = value !== undefined;
    const isStored = mirror.get(key)?.value !== undefined;
    if (isStored === isHeld) return;
    try {
      await store.append({topic: Topic.HOSTS, key, value});
      log.write('quarantine_written', {fingerprint, isHeld});
    } catch (error) {
      const reason = String(error);
      log.write('quarantine_write_failed', {fingerprint, isHeld, reason});
      // A later change of the same request supersedes this write.
      if (this.pendingWrites.has(fingerprint)) return;
      this.scheduleWrite(fingerprint, value, RETRY_DELAY_MS);
    }
  }
}
