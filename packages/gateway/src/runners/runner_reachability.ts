import {sleep} from '@bayspool/kernel';
import type {Clock, RandomSource} from '@bayspool/kernel';
import type {EventLog} from '../observability/event_log.js';
import type {Runner} from './runner.js';
import {spreadRunners} from './spread_runners.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  /** All runners known now. */
  readonly runners: () => readonly Runner[];
  /** Whether no request may be sent to a runner now; a probe is one to the runner. */
  readonly isWithheld: (runner: Runner) => boolean;
  /** Resolves to whether a runner responds on a new connection. */
  readonly probe: (runner: Runner) => Promise<boolean>;
}

/** A runner's end that says something of a request only if this host's own links work. */
interface PendingEvidence {
  readonly runnerId: string;
  readonly apply: () => void;
}

const State = {
  REACHABLE: 'reachable',
  /** Probes are under way. */
  SUSPECTED: 'suspected',
  CUT_OFF: 'cut off',
} as const;
type State = (typeof State)[keyof typeof State];

/** Number of runners, or all if there are fewer, that have to be out of reach for a suspicion. */
const MIN_UNREACHABLE = 3;
/** Number of runners whose probes begin before those of the others, which are spared if one of these responds. */
const FIRST_PROBED = 16;
/** Number of runners that are probed at most before the host counts as cut off: one of them in reach is enough to serve calls. */
const MAX_PROBED = 128;
/** Time for which the probes of the others wait for a response to the first ones, in ms. */
const HEAD_START_MS = 50;
/** Time without anything from any runner until failed connections cause a suspicion, in ms. */
const MIN_FAILING_MS = 100;
/** Time without anything from any runner until overdue responses cause a suspicion, in ms. */
const MIN_SILENT_MS = 300;
/** Time between two probes while the host is cut off, in ms. */
const PROBE_INTERVAL_MS = 250;
/** Probes in a row that have to succeed until the host counts as connected again. */
const PROBES_TO_RETURN = 2;
/** Time for which something heard of a runner shows that this host can serve others' calls, in ms. */
const CONFIRMED_MS = 1_000;
/** Time that a runner's end may wait for other traffic to show that the links work, in ms, before a probe is sent. */
const EVIDENCE_DELAY_MS = 20;

/** Tells whether this host reaches any runner at all, from what it hears of them and from probes. */
export class RunnerReachability {
  private state: State = State.REACHABLE;
  private lastHeardAt: number;
  private hasHeard = false;
  /** When this host was last asked whether it can serve others' calls. */
  private lastConfirmAt = -Infinity;
  private cutOffAt = 0;
  private pending: PendingEvidence[] = [];
  private isStopped = false;
  /** Number of probes since the last suspicion. */
  private probeCount = 0;
  /** Settles with the probes that are under way, or were sent last. */
  private verification: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    this.lastHeardAt = options.clock.now();
  }

  /** Whether no runner is reached; checks the latest evidence first. */
  get isCutOff(): boolean {
    if (this.state === State.REACHABLE && this.isSuspicious())
      void this.verify();
    return this.state === State.CUT_OFF;
  }

  /** When this host last heard of any runner, or else started; waits since then say nothing of a single runner. */
  get heardAt(): number {
    return this.lastHeardAt;
  }

  /**
   * Probes runners unless one was heard of lately and none failed since; resolves when it is known whether one is reached.
   * Hosts often lose their links together: what was heard before another one asked for help says nothing of now.
   */
  async confirm(): Promise<void> {
    const isFirst = this.sinceConfirmMs >= CONFIRMED_MS;
    this.lastConfirmAt = this.options.clock.now();
    if (!isFirst && this.isReachShown()) return this.verification;
    if (this.state === State.REACHABLE) void this.verify();
    await this.verification;
  }

  /** Time since the last bytes from any runner, in ms; undefined if there were none since the start. */
  get silentMs(): number | undefined {
    return this.hasHeard ? this.sinceHeardMs : undefined;
  }

  /** Time since the host was found to be cut off, in ms; 0 if it is not. */
  get cutOffMs(): number {
    if (this.state !== State.CUT_OFF) return 0;
    return this.options.clock.now() - this.cutOffAt;
  }

  /** Records that bytes arrived from a runner. */
  recordHeard(runnerId: string): void {
    this.lastHeardAt = this.options.clock.now();
    this.hasHeard = true;
    if (this.pending.length === 0) return;
    const confirmed = this.pending.filter(item => item.runnerId !== runnerId);
    this.pending = this.pending.filter(item => item.runnerId === runnerId);
    for (const {apply} of confirmed) apply();
  }

  /** Whether it is not known now if any runner is reached, so that the ends of runners cannot be confirmed. */
  get isInDoubt(): boolean {
    return this.state !== State.REACHABLE || this.pending.length > 0;
  }

  /** Records that another host served a call: if this one is cut off, the runners did not end, and evidence of that is dropped. */
  recordServedElsewhere(): void {
    if (this.state === State.CUT_OFF) this.pending = [];
  }

  /** Applies evidence from the end of a runner's connection once another runner is heard of. */
  whenConfirmed(runner: Runner, apply: () => void): void {
    const item = {runnerId: runner.id, apply};
    this.pending.push(item);
    this.options.clock.after(EVIDENCE_DELAY_MS, () => {
      if (this.pending.includes(item)) void this.verify();
    });
  }

  /** Stops probing. */
  stop(): void {
    this.isStopped = true;
  }

  private get sinceHeardMs(): number {
    return this.options.clock.now() - this.lastHeardAt;
  }

  private get sinceConfirmMs(): number {
    return this.options.clock.now() - this.lastConfirmAt;
  }

  /** Whether a runner was heard of lately, and no connection failed since. */
  private isReachShown(): boolean {
    if (!this.hasHeard || this.sinceHeardMs >= CONFIRMED_MS) return false;
    return this.options
      .runners()
      .every(({unreachableAt}) => unreachableAt <= this.lastHeardAt);
  }

  private isSuspicious(): boolean {
    if (this.sinceHeardMs < MIN_FAILING_MS) return false;
    const runners = this.options.runners();
    const countsSilent = this.sinceHeardMs >= MIN_SILENT_MS;
    const unreachable = runners.filter(
      runner =>
        runner.unreachableAt > this.lastHeardAt ||
        (countsSilent && this.isOverdue(runner)),
    );
    const least = Math.min(MIN_UNREACHABLE, runners.length);
    return least > 0 && unreachable.length >= least;
  }

  private isOverdue(runner: Runner): boolean {
    const silentForMs = this.options.clock.now() - runner.silentSince;
    return silentForMs >= MIN_SILENT_MS && runner.isQuiet;
  }

  /** Probes runners; the host is cut off if none responds and nothing else is heard meanwhile. */
  private async verify(): Promise<void> {
    if (this.state !== State.REACHABLE) return;
    this.state = State.SUSPECTED;
    this.verification = this.probeRunners();
    await this.verification;
  }

  private async probeRunners(): Promise<void> {
    const startedAt = this.options.clock.now();
    this.probeCount = 0;
    const runners = this.listLeastSuspicious();
    const sample = runners.slice(0, MIN_UNREACHABLE);
    const others = runners.slice(MIN_UNREACHABLE, MAX_PROBED);
    const isReached =
      sample.length === 0 ||
      (await this.isAnyReached(sample.filter(this.isOpen), startedAt)) ||
      (await this.isAnyReached(sample.filter(this.isWithheld), startedAt)) ||
      (await this.isAnyOtherReached(others.filter(this.isOpen), startedAt));
    if (this.isStopped) return;
    if (isReached) this.confirmReachable();
    else this.enterCutOff();
  }

  /** Probes runners until one responds; anything that is heard of any runner meanwhile counts as well. */
  private async isAnyReached(
    runners: readonly Runner[],
    since: number,
  ): Promise<boolean> {
    const probes = runners.map(async runner => {
      if (!(await this.probe(runner))) throw new Error('runner not reached');
    });
    await Promise.any(probes).catch(() => undefined);
    return this.lastHeardAt >= since;
  }

  /** Probes the first of these runners, and the rest too if these do not respond at once. */
  private async isAnyOtherReached(
    runners: readonly Runner[],
    since: number,
  ): Promise<boolean> {
    const firstCount = FIRST_PROBED - MIN_UNREACHABLE;
    const isFirstReached = this.isAnyReached(
      runners.slice(0, firstCount),
      since,
    );
    const headStart = sleep(this.options.clock, HEAD_START_MS);
    await Promise.race([isFirstReached, headStart]);
    if (this.lastHeardAt >= since) return true;
    const rest = runners.slice(firstCount);
    return (await this.isAnyReached(rest, since)) || (await isFirstReached);
  }

  private readonly isWithheld = (runner: Runner): boolean =>
    this.options.isWithheld(runner);

  private readonly isOpen = (runner: Runner): boolean =>
    !this.isWithheld(runner);

  /** What is still pending concerns the only runner that is heard of, or there is none to ask. */
  private confirmReachable(): void {
    this.state = State.REACHABLE;
    for (const {apply} of this.pending.splice(0)) apply();
  }

  private enterCutOff(): void {
    const {clock, log, runners} = this.options;
    this.state = State.CUT_OFF;
    this.cutOffAt = clock.now();
    this.forgetFailures();
    log.write('runners_unreachable', {
      silentMs: Math.round(this.sinceHeardMs),
      runners: runners().length,
      probed: this.probeCount,
    });
    void this.waitForReturn();
  }

  private async waitForReturn(): Promise<void> {
    const {clock, log} = this.options;
    let successes = 0;
    let isLastOpen = false;
    while (successes < PROBES_TO_RETURN) {
      if (successes === 0) await sleep(clock, PROBE_INTERVAL_MS);
      if (this.isStopped) return;
      // By turns, as those that are open may all have ended.
      isLastOpen = !isLastOpen;
      const runner = this.drawRunner(isLastOpen);
      const hasResponded = runner !== undefined && (await this.probe(runner));
      successes = hasResponded ? successes + 1 : 0;
    }
    log.write('runners_reachable', {
      forMs: Math.round(this.cutOffMs),
      probed: this.probeCount,
    });
    this.state = State.REACHABLE;
    this.forgetFailures();
  }

  /** The failures were those of this host's links. */
  private forgetFailures(): void {
    for (const {health, refusals} of this.options.runners()) {
      health.reset();
      refusals.reset();
    }
  }

  private async probe(runner: Runner): Promise<boolean> {
    this.probeCount += 1;
    const hasResponded = await this.options.probe(runner);
    if (hasResponded) this.recordHeard(runner.id);
    return hasResponded;
  }

  /**
   * Lists runners in the order of probes: those to which requests may be sent first. Of these, the ones whose connections
   * failed longest ago, or never, are the likeliest to respond; runners of one version or place often end together.
   */
  private listLeastSuspicious(): Runner[] {
    const all = this.shuffleRunners().sort((a, b) =>
      compareTimes(a.unreachableAt, b.unreachableAt),
    );
    return [
      ...spreadRunners(all.filter(this.isOpen)),
      ...spreadRunners(all.filter(this.isWithheld)),
    ];
  }

  private drawRunner(prefersOpen: boolean): Runner | undefined {
    const all = this.shuffleRunners();
    return (prefersOpen ? all.find(this.isOpen) : undefined) ?? all[0];
  }

  private shuffleRunners(): Runner[] {
    const {random, runners} = this.options;
    const rest = runners().filter(({entry}) => !entry.isDraining);
    const shuffled: Runner[] = [];
    while (rest.length > 0)
      shuffled.push(...rest.splice(random.below(rest.length), 1));
    return shuffled;
  }
}

/** Orders times, which may be infinite. */
function compareTimes(a: number, b: number): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
