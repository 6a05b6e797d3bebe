import {VirtualClock} from '@bayspool/kernel';
import type {RandomSource} from '@bayspool/kernel';
import {Quarantine} from '../quarantine.js';
import type {QuarantineDigest} from '../quarantine_digest.js';
import {rankByHash} from '../rank_by_hash.js';
import {weighRunnerCrash} from '../weigh_runner_crash.js';

interface Options {
  readonly random: RandomSource;
  readonly hosts: number;
  readonly runners: number;
  /** Number of requests that crash each runner that has them. */
  readonly fatals: number;
  /** Shortest and longest time between two copies of a fatal request, in ms. */
  readonly fatalIntervalMs: readonly [number, number];
  /** Requests per second that crash no runner, each sent again until it is answered. */
  readonly innocentPerSecond: number;
  readonly isStreamed: boolean;
  /** Shortest and longest time until a host learns of a crash, in ms. */
  readonly noticeMs: readonly [number, number];
  readonly durationMs: number;
}

interface Run {
  readonly fingerprint: string;
  readonly request: string;
  readonly host: number;
  readonly isAlone: boolean;
  /** Attempts that are left to the call after this one. */
  readonly attemptsLeft: number;
  readonly startedAt: number;
}

interface SimulatedRunner {
  /** Identifies this start of the runner. */
  readonly start: number;
  readonly runs: Set<Run>;
  isUp: boolean;
}

interface SimulationResult {
  /** Arrivals of each fatal request more than three seconds after the third crash under it was noticed. */
  readonly lateArrivals: readonly number[];
  /** Longest time for which an innocent request was held back until it was let through, in ms. */
  readonly longestHoldMs: number;
  /** Number of innocent requests that any host holds back at the end. */
  readonly heldInnocents: number;
  /** Number of innocent requests that any host has quarantined at the end. */
  readonly quarantinedInnocents: number;
  /** Number of fatal requests that all hosts have quarantined. */
  readonly quarantinedFatals: number;
  /** Number of innocent requests that are not answered yet although they were sent long ago. */
  readonly unanswered: number;
}

/** Time from the start of a fatal request to the crash, in ms. */
const CRASH_DELAY_MS = 20;
/** Time from a crash until the runner is back, in ms. */
const RESTART_MS = 3_000;
/** Shortest and longest time that a runner takes for an innocent request, in ms. */
const WORK_MS = [20, 80] as const;
/** Runners that a call may reach. */
const MAX_ATTEMPTS = 3;
/** Shortest and longest time from one digest of a host to the next, in ms. */
const DIGEST_INTERVAL_MS = [200, 1_000] as const;
/** Time that a digest takes to the other hosts, in ms. */
const DIGEST_DELAY_MS = 20;
const REVIEW_INTERVAL_MS = 1_000;
/** Shortest and longest time after which the caller of an innocent request repeats it, in ms. */
const REPEAT_MS = [200, 600] as const;
/** Time from the notice of the third crash after which arrivals are late, in ms. */
const GRACE_MS = 3_000;
/** Number of crashes after which a request must not be sent on. */
const MAX_CRASHES = 3;
/** Age from which on an innocent request that is not answered counts, in ms. */
const UNANSWERED_MS = 15_000;
const MS_PER_SECOND = 1_000;

/**
 * Simulates hosts that exchange digests of their quarantines, callers that repeat fatal and innocent
 * requests at any host, and runners that crash and restart, on a virtual clock.
 */
export class FatalRequestSimulation {
  private readonly clock = new VirtualClock();
  private readonly hosts: Quarantine[];
  private readonly runners: SimulatedRunner[] = [];
  private readonly arrivals = new Map<string, number[]>();
  private readonly crashTimes = new Map<string, number[]>();
  private readonly sentAt = new Map<string, number>();
  private readonly heldSince = new Map<string, number>();
  private longestHoldMs = 0;
  private lastStart = 0;
  private lastRequest = 0;

  constructor(private readonly options: Options) {
    const names = Array.from({length: options.hosts}, (_, i) => `host-${i}`);
    this.hosts = names.map(name => this.createHost(name, names));
  }

  run(): SimulationResult {
    const {runners, fatals, durationMs} = this.options;
    for (let i = 0; i < runners; i++) this.startRunner();
    this.hosts.forEach(host => this.startHost(host));
    for (let i = 0; i < fatals; i++) this.repeatFatal(`fatal-${i}`);
    this.sendInnocents();
    this.clock.advance(durationMs);
    return this.summarize();
  }

  private createHost(name: string, names: readonly string[]): Quarantine {
    return new Quarantine({
      clock: this.clock,
      rankOf: fingerprint => rankByHash(fingerprint, names).indexOf(name),
    });
  }

  private startHost(host: Quarantine): void {
    const review = () => {
      host.review();
      this.clock.after(REVIEW_INTERVAL_MS, review);
    };
    const gossip = () => {
      const text = JSON.stringify(host.createDigest());
      this.clock.after(DIGEST_DELAY_MS, () => this.deliver(host, text));
      this.clock.after(this.draw(DIGEST_INTERVAL_MS), gossip);
    };
    this.clock.after(this.draw([0, REVIEW_INTERVAL_MS]), review);
    this.clock.after(this.draw(DIGEST_INTERVAL_MS), gossip);
  }

  private deliver(from: Quarantine, text: string): void {
    for (const host of this.hosts)
      if (host !== from) host.mergeDigest(JSON.parse(text) as QuarantineDigest);
  }

  private startRunner(): void {
    this.runners.push({start: ++this.lastStart, runs: new Set(), isUp: true});
  }

  private repeatFatal(fingerprint: string): void {
    this.receive(fingerprint);
    const delayMs = this.draw(this.options.fatalIntervalMs);
    this.clock.after(delayMs, () => this.repeatFatal(fingerprint));
  }

  private sendInnocents(): void {
    const {innocentPerSecond} = this.options;
    const fingerprint = `innocent-${this.sentAt.size}`;
    this.sentAt.set(fingerprint, this.clock.now());
    this.receive(fingerprint);
    const delayMs = MS_PER_SECOND / innocentPerSecond;
    this.clock.after(delayMs, () => this.sendInnocents());
  }

  /** A copy of a request arrives at any host. */
  private receive(fingerprint: string): void {
    const host = this.options.random.below(this.hosts.length);
    const request = `r${++this.lastRequest}`;
    const holdMs = this.hosts[host].admit(fingerprint, request);
    if (holdMs > 0) return this.reject(fingerprint);
    this.noteHold(fingerprint);
    this.heldSince.delete(fingerprint);
    this.send({fingerprint, request, host, attemptsLeft: MAX_ATTEMPTS});
  }

  private reject(fingerprint: string): void {
    const now = this.clock.now();
    if (!this.heldSince.has(fingerprint)) this.heldSince.set(fingerprint, now);
    this.repeatInnocent(fingerprint);
  }

  private noteHold(fingerprint: string): void {
    if (!this.sentAt.has(fingerprint)) return;
    const now = this.clock.now();
    const heldMs = now - (this.heldSince.get(fingerprint) ?? now);
    this.longestHoldMs = Math.max(this.longestHoldMs, heldMs);
  }

  private repeatInnocent(fingerprint: string): void {
    if (!this.sentAt.has(fingerprint)) return;
    this.clock.after(this.draw(REPEAT_MS), () => this.receive(fingerprint));
  }

  private send(
    call: Pick<Run, 'fingerprint' | 'request' | 'host' | 'attemptsLeft'>,
  ): void {
    const runner = this.chooseRunner(call);
    const {fingerprint, request, host} = call;
    if (!runner) {
      if (call.attemptsLeft === MAX_ATTEMPTS)
        this.hosts[host].cancelTrial(fingerprint, request);
      this.repeatInnocent(fingerprint);
      return;
    }
    const run: Run = {
      ...call,
      attemptsLeft: call.attemptsLeft - 1,
      isAlone: runner.runs.size === 0,
      startedAt: this.clock.now(),
    };
    runner.runs.add(run);
    this.note(this.arrivals, fingerprint);
    if (this.sentAt.has(fingerprint))
      this.clock.after(this.draw(WORK_MS), () => this.answer(runner, run));
    else this.clock.after(CRASH_DELAY_MS, () => this.crash(runner));
  }

  private chooseRunner({
    fingerprint,
    host,
  }: Pick<Run, 'fingerprint' | 'host'>): SimulatedRunner | undefined {
    const up = this.runners.filter(({isUp}) => isUp);
    const idle = up.filter(({runs}) => runs.size === 0);
    const isSuspect = this.hosts[host].weightOf(fingerprint) > 0;
    const candidates = isSuspect && idle.length > 0 ? idle : up;
    return candidates[this.options.random.below(candidates.length || 1)];
  }

  private answer(runner: SimulatedRunner, run: Run): void {
    if (!runner.isUp) return;
    runner.runs.delete(run);
    const {fingerprint, host} = run;
    this.hosts[host].recordAnswer(fingerprint);
    this.sentAt.set(fingerprint, Infinity);
  }

  private crash(runner: SimulatedRunner): void {
    if (!runner.isUp) return;
    runner.isUp = false;
    this.runners.splice(this.runners.indexOf(runner), 1);
    this.clock.after(RESTART_MS, () => this.startRunner());
    const present = new Set([...runner.runs].map(run => run.fingerprint));
    const noticeMs = this.draw(this.options.noticeMs);
    for (const fingerprint of present)
      this.clock.after(noticeMs, () => this.note(this.crashTimes, fingerprint));
    for (const run of runner.runs) this.breakOff(runner, run, noticeMs);
  }

  private breakOff(
    {start, runs}: SimulatedRunner,
    run: Run,
    noticeMs: number,
  ): void {
    const {fingerprint, request, host, isAlone, startedAt} = run;
    const {isStreamed} = this.options;
    const quarantine = this.hosts[host];
    const weight = weighRunnerCrash({
      isStreamed,
      hasHead: isStreamed,
      hasBodyBytes: false,
      sinceHeadMs: this.clock.now() - startedAt,
      isAlone: isAlone && runs.size === 1,
    });
    const record = () =>
      quarantine.recordCrashes(fingerprint, [{start, weight}], request);
    this.clock.after(noticeMs, record);
    const isHeld =
      quarantine.remainingMs(fingerprint) > 0 ||
      quarantine.isOnTrial(fingerprint, request);
    if (isHeld || run.attemptsLeft === 0) this.repeatInnocent(fingerprint);
    else this.send(run);
  }

  private note(times: Map<string, number[]>, fingerprint: string): void {
    const known = times.get(fingerprint) ?? [];
    known.push(this.clock.now());
    times.set(fingerprint, known);
  }

  private summarize(): SimulationResult {
    const fatals = Array.from(
      {length: this.options.fatals},
      (_, i) => `fatal-${i}`,
    );
    const now = this.clock.now();
    const unanswered = [...this.sentAt.values()].filter(
      sentAt => now - sentAt > UNANSWERED_MS,
    );
    const innocents = [...this.sentAt.keys()];
    for (const innocent of innocents) this.noteHold(innocent);
    return {
      lateArrivals: fatals.map(fatal => this.countLate(fatal)),
      longestHoldMs: this.longestHoldMs,
      heldInnocents: innocents.filter(innocent =>
        this.hosts.some(host => host.remainingMs(innocent) > 0),
      ).length,
      quarantinedInnocents: innocents.filter(innocent =>
        this.hosts.some(host => host.isQuarantined(innocent)),
      ).length,
      quarantinedFatals: fatals.filter(fatal =>
        this.hosts.every(host => host.isQuarantined(fatal)),
      ).length,
      unanswered: unanswered.length,
    };
  }

  private countLate(fingerprint: string): number {
    const third = this.crashTimes.get(fingerprint)?.[MAX_CRASHES - 1];
    if (third === undefined) return 0;
    const arrivals = this.arrivals.get(fingerprint) ?? [];
    return arrivals.filter(at => at > third + GRACE_MS).length;
  }

  private draw([least, most]: readonly [number, number]): number {
    return least + this.options.random.next() * (most - least);
  }
}
