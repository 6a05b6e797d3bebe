import type {Clock} from '@bayspool/kernel';
import type {PartQuarantineDigest} from './part_quarantine_digest.js';
import {ReleaseReason} from './release_reason.js';
import {SuspectPart} from './suspect_part.js';

/** Notified when a part is quarantined or released. */
interface Listener {
  readonly onQuarantined: (part: string, crashes: number) => void;
  readonly onReleased: (part: string, reason: ReleaseReason) => void;
}

interface Options {
  readonly clock: Clock;
}

/** Crashes that nothing else explains after which a part is quarantined. */
const QUARANTINE_CRASHES = 4;
/** Time without a whole response after a part's last crash until it may be quarantined, in ms. */
const SETTLING_MS = 500;
/** Longest time from the crash that sufficed until the part is quarantined, in ms, while there are further ones. */
const MAX_SETTLING_MS = 1_000;
/** How long a part is quarantined, in ms: long enough for its callers to give up. */
const QUARANTINE_MS = 600_000;
/** How long a part without further crashes is remembered, in ms. */
const RETENTION_MS = 2 * QUARANTINE_MS;
/** How long a crash or a whole response is gossiped, in ms: a few rounds between hosts and places. */
const GOSSIP_MS = 10_000;
/** Most parts in a digest: quarantined ones first, then the most recently changed. */
const MAX_DIGEST_PARTS = 64;
/** Most suspects; the least recently changed are evicted. */
const MAX_SUSPECTS = 1_000;
/** Most quarantined parts; the oldest is released beyond that. */
const MAX_QUARANTINED = 200;
/** Most retracted crashes that are remembered; the oldest are forgotten first. */
const MAX_RETRACTED = 1_000;

/**
 * Detects parts of prompts that crash the runners that begin a response on them, whatever else the
 * requests hold, and quarantines them. Crashes are sets of runner starts, so the order and number
 * of times in which hosts report them do not matter. A whole response clears all parts of its
 * prompt. Of several parts that explain the same crashes the one deepest in the prompt is
 * quarantined, because the parts before it are shared by more requests.
 */
export class PartQuarantine {
  private readonly suspects = new Map<string, SuspectPart>();
  private readonly answered = new Map<string, number>();
  /** When a part first had enough crashes, by its fingerprint. */
  private readonly sufficedAt = new Map<string, number>();
  private readonly listeners: Listener[] = [];
  /** When the crash of a runner start was retracted, the oldest first: reports of it are under way for a while. */
  private readonly retracted = new Map<number, number>();

  constructor(private readonly options: Options) {}

  /** Registers a listener for parts that are quarantined or released from now on. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** Remaining quarantine of a part, in ms; 0 if it is not quarantined. */
  remainingMs(part: string): number {
    if (!this.suspects.has(part)) return 0;
    this.review();
    const quarantinedAt = this.suspects.get(part)?.quarantinedAt;
    if (quarantinedAt === undefined) return 0;
    return quarantinedAt + QUARANTINE_MS - this.options.clock.now();
  }

  /** Whether no part is suspect. */
  get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /** Number of quarantined parts. */
  get quarantinedCount(): number {
    return this.listQuarantined().length;
  }

  /** Number of crashes that count against a part. */
  countCrashes(part: string): number {
    return this.suspects.get(part)?.crashes.length ?? 0;
  }

  /** Records the crash of a runner that had begun a response on a prompt with these shared parts, in order. */
  recordCrash(parts: readonly string[], start: number): void {
    parts.forEach((part, depth) => this.addCrashes(part, depth, [start]));
    this.review();
  }

  /** Records a whole response on a prompt with these parts. */
  recordAnswer(parts: readonly string[]): void {
    for (const part of parts) {
      if (this.countCrashes(part) === 0) continue;
      this.answered.set(part, this.options.clock.now());
      this.release(part, ReleaseReason.ANSWERED);
    }
  }

  /** Takes back the crash of a runner start, which is there again, and releases parts that the other crashes don't suffice for. */
  retractCrash(start: number): void {
    this.retracted.set(start, this.options.clock.now());
    if (this.retracted.size > MAX_RETRACTED)
      this.retracted.delete([...this.retracted.keys()][0]);
    for (const suspect of this.suspects.values()) {
      if (!suspect.crashes.includes(start)) continue;
      suspect.clearCrash(start);
      if (suspect.crashes.length >= QUARANTINE_CRASHES) continue;
      this.sufficedAt.delete(suspect.key);
      if (suspect.quarantinedAt === undefined) continue;
      suspect.quarantinedAt = undefined;
      for (const {onReleased} of this.listeners)
        onReleased(suspect.key, ReleaseReason.RETRACTED);
    }
  }

  /** Creates the digest for the other hosts. */
  createDigest(): PartQuarantineDigest | undefined {
    const now = this.options.clock.now();
    for (const [part, at] of this.answered)
      if (now - at > GOSSIP_MS) this.answered.delete(part);
    const recent = [...this.suspects.values()].filter(
      ({quarantinedAt, changedAt}) =>
        quarantinedAt === undefined && now - changedAt <= GOSSIP_MS,
    );
    const told = [...this.listQuarantined(), ...recent.reverse()].slice(
      0,
      MAX_DIGEST_PARTS,
    );
    if (told.length === 0 && this.answered.size === 0) return undefined;
    return {
      suspects: Object.fromEntries(
        told.map(({key, depth, crashes, quarantinedAt}) => [
          key,
          {
            depth,
            starts: crashes,
            ...(quarantinedAt === undefined ? {} : {isQuarantined: true}),
          },
        ]),
      ),
      answered: [...this.answered.keys()].slice(-MAX_DIGEST_PARTS),
    };
  }

  /** Merges a digest from other hosts. */
  mergeDigest({suspects, answered}: PartQuarantineDigest): void {
    for (const part of answered) this.release(part, ReleaseReason.ANSWERED);
    for (const [part, {depth, starts, isQuarantined}] of Object.entries(
      suspects,
    )) {
      this.addCrashes(part, depth, starts);
      const suspect = this.suspects.get(part);
      // Crashes from before a whole response say nothing of later ones.
      if (suspect && isQuarantined && suspect.crashes.length > 0)
        suspect.isSettledElsewhere = true;
    }
    this.review();
  }

  /** Quarantines parts that have settled, and releases those whose time is over. */
  review(): void {
    this.expire();
    const sufficient = [...this.suspects.values()]
      .filter(suspect => this.hasEnoughCrashes(suspect))
      .sort((a, b) => b.depth - a.depth);
    for (const suspect of sufficient) {
      if (!this.hasSettled(suspect)) continue;
      // An earlier one of this round may explain its crashes.
      if (this.hasEnoughCrashes(suspect)) this.quarantine(suspect);
    }
  }

  private hasEnoughCrashes(suspect: SuspectPart): boolean {
    if (suspect.quarantinedAt !== undefined) return false;
    if (suspect.crashes.length < QUARANTINE_CRASHES) return false;
    const explained = new Set(
      this.listQuarantined().flatMap(({crashes}) => crashes),
    );
    const open = suspect.crashes.filter(start => !explained.has(start));
    return open.length >= QUARANTINE_CRASHES;
  }

  private hasSettled(suspect: SuspectPart): boolean {
    const {key, changedAt, isSettledElsewhere} = suspect;
    if (isSettledElsewhere) return true;
    const now = this.options.clock.now();
    const sufficedAt = this.sufficedAt.get(key) ?? now;
    this.sufficedAt.set(key, sufficedAt);
    return (
      now - changedAt >= SETTLING_MS || now - sufficedAt >= MAX_SETTLING_MS
    );
  }

  private quarantine(suspect: SuspectPart): void {
    suspect.quarantinedAt = this.options.clock.now();
    const quarantined = this.listQuarantined();
    if (quarantined.length > MAX_QUARANTINED) {
      const oldest = quarantined.reduce((a, b) =>
        (b.quarantinedAt ?? 0) < (a.quarantinedAt ?? 0) ? b : a,
      );
      this.release(oldest.key, ReleaseReason.OVER_CAPACITY);
    }
    for (const {onQuarantined} of this.listeners)
      onQuarantined(suspect.key, suspect.crashes.length);
  }

  private release(part: string, reason: ReleaseReason): void {
    const suspect = this.suspects.get(part);
    if (!suspect) return;
    const wasQuarantined = suspect.quarantinedAt !== undefined;
    suspect.clear();
    this.sufficedAt.delete(part);
    if (!wasQuarantined) return;
    for (const {onReleased} of this.listeners) onReleased(part, reason);
  }

  private expire(): void {
    const now = this.options.clock.now();
    for (const {key, quarantinedAt, changedAt} of [...this.suspects.values()]) {
      if (quarantinedAt !== undefined && now - quarantinedAt >= QUARANTINE_MS)
        this.release(key, ReleaseReason.EXPIRED);
      else if (now - changedAt >= RETENTION_MS) this.forget(key);
    }
  }

  private isRetracted(start: number): boolean {
    const at = this.retracted.get(start) ?? -Infinity;
    return this.options.clock.now() - at <= GOSSIP_MS;
  }

  private addCrashes(
    part: string,
    depth: number,
    starts: readonly number[],
  ): void {
    const suspect = this.suspects.get(part) ?? new SuspectPart(part, depth);
    // Moved to the end of the map, so that the least recently changed part comes first.
    this.suspects.delete(part);
    this.suspects.set(part, suspect);
    const now = this.options.clock.now();
    for (const start of starts)
      if (!this.isRetracted(start)) suspect.addCrash(start, now);
    if (this.suspects.size > MAX_SUSPECTS) this.evictOldest();
  }

  private evictOldest(): void {
    for (const {key, quarantinedAt} of this.suspects.values()) {
      if (quarantinedAt !== undefined) continue;
      this.forget(key);
      return;
    }
  }

  private forget(part: string): void {
    this.suspects.delete(part);
    this.sufficedAt.delete(part);
  }

  private listQuarantined(): SuspectPart[] {
    return [...this.suspects.values()].filter(
      ({quarantinedAt}) => quarantinedAt !== undefined,
    );
  }
}
