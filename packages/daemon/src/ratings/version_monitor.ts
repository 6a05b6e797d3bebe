import {randomUUID} from 'node:crypto';
import {
  DriftDetector,
  GateVerdict,
  PassRateEstimate,
  planIntent,
  selectByRendezvousHash,
  type VersionGate,
  type Intent,
  type Membership,
  type Version,
  type VersionRatings,
} from '@bayspool/decisions';
import {
  jitter,
  sleep,
  type Clock,
  type Logger,
  type Metrics,
  type RandomSource,
  type Service,
} from '@bayspool/kernel';
import type {ConfigurationStore} from '../configuration/configuration_store.js';
import type {IntentSubmitter} from '../configuration/intent_submitter.js';
import {getVersionStage} from './get_version_stage.js';

interface Options {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly self: string;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly submitter: IntentSubmitter;
  readonly versionGate: VersionGate;
  /** Called when this host halts a version. */
  readonly onHalt: () => void;
  /** How often the ratings are evaluated, in ms. */
  readonly intervalMs: number;
  /** The minimum duration of a rollout step, in ms. */
  readonly minStepMs: number;
  /** Whether stable versions are monitored for a drop in quality. */
  readonly monitorsStable: boolean;
}

interface VersionWatch {
  readonly stage: string;
  readonly since: number;
  readonly drift: DriftDetector;
  readonly longTerm: PassRateEstimate;
  good: number;
  bad: number;
}

const FIRST_SUBMITTERS = 2;
const FALLBACK_DELAY_MS = 5_000;
const LONG_TERM_HALF_LIFE_MS = 6 * 3_600_000;
const MIN_LONG_TERM_RATINGS = 50;
const PLAN_TTL_MS = 60_000;

/**
 * Evaluates versions by the ratings of all hosts. A halt takes effect on this host
 * at once and, through the heartbeats, on the other hosts within seconds; it is also
 * submitted to the log. Only an operator's intent lifts it.
 */
export class VersionMonitor implements Service {
  readonly name = 'roll-out gate';
  private readonly stopping = new AbortController();
  private readonly watches = new Map<string, VersionWatch>();
  /** The revision at which each halted version was halted, by version. */
  private readonly haltedRevisions = new Map<string, number>();
  private readonly pendingSubmissions = new Set<string>();
  private loop: Promise<void> = Promise.resolve();

  constructor(private readonly options: Options) {
    options.metrics.observe(
      'versions_suspect',
      'Versions that this host holds suspect.',
      () => this.listSuspects().length,
    );
  }

  /** Lists the versions that this host has halted and the log does not yet show as halted. */
  listSuspects(): string[] {
    const {revisions} = this.options.store.current;
    return [...this.haltedRevisions]
      .filter(
        ([version, revision]) =>
          (revisions[`version/${version}`] ?? -1) === revision,
      )
      .map(([version]) => version);
  }

  async start(): Promise<void> {
    this.loop = this.evaluateRepeatedly();
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await this.loop;
  }

  private async evaluateRepeatedly(): Promise<void> {
    const {clock, random, intervalMs} = this.options;
    while (!this.stopping.signal.aborted) {
      await sleep(clock, jitter(random, intervalMs), this.stopping.signal);
      if (!this.stopping.signal.aborted) this.evaluateAll();
    }
  }

  private evaluateAll(): void {
    for (const version of Object.values(this.options.store.current.versions)) {
      const ratings = this.options.membership.sumRatings(version.id);
      if (
        ratings &&
        ratings.stage ===
          getVersionStage(this.options.store.current, version.id)
      )
        this.evaluate(version, ratings);
    }
  }

  private evaluate(version: Version, ratings: VersionRatings): void {
    if (
      version.suspect !== undefined ||
      this.haltedRevisions.get(version.id) === this.getRevision(version)
    )
      return;
    const watch = this.getOrCreateWatch(version.id, ratings.stage);
    if (version.rollOut) this.evaluateRolloutStep(version, ratings, watch);
    else if (this.options.monitorsStable)
      this.evaluateDrift(version, ratings, watch);
  }

  private evaluateRolloutStep(
    version: Version,
    ratings: VersionRatings,
    watch: VersionWatch,
  ): void {
    const verdict = this.options.versionGate.evaluate(
      ratings,
      this.computeAcceptableBadRate(version),
    );
    if (verdict === GateVerdict.HALT) this.haltVersion(version, ratings);
    const stepIsOver =
      this.options.clock.now() - watch.since >= this.options.minStepMs;
    if (verdict === GateVerdict.PASS && stepIsOver) {
      this.submitOnce({
        kind: 'advance-roll-out',
        version: version.id,
        step: version.rollOut!.step + 1,
      });
    }
  }

  private evaluateDrift(
    version: Version,
    ratings: VersionRatings,
    watch: VersionWatch,
  ): void {
    const good = Math.max(0, ratings.good - watch.good);
    const bad = Math.max(0, ratings.bad - watch.bad);
    watch.good = ratings.good;
    watch.bad = ratings.bad;
    if (good + bad === 0) return;
    const turnedBad = watch.drift.addRatings(
      good,
      bad,
      this.computeAcceptableBadRate(version),
    );
    if (turnedBad) this.haltVersion(version, ratings);
    const now = this.options.clock.now();
    for (let count = 0; count < good; count++)
      watch.longTerm.addRating(true, now);
    for (let count = 0; count < bad; count++)
      watch.longTerm.addRating(false, now);
  }

  /** The acceptable rate of bad answers: that of the model's stable version, or else the one that the tasks' quality targets allow. */
  private computeAcceptableBadRate(version: Version): number {
    const {versions, workspaces} = this.options.store.current;
    const stable = Object.values(versions).find(
      other => other.model === version.model && other.state === 'stable',
    );
    const watch = stable && this.watches.get(stable.id);
    if (watch && watch.longTerm.effectiveRatings() >= MIN_LONG_TERM_RATINGS)
      return 1 - watch.longTerm.mean(this.options.clock.now());
    const targets = Object.values(workspaces).flatMap(workspace =>
      Object.values(workspace.tasks)
        .filter(task => task.versions.includes(version.id))
        .map(task => task.quality),
    );
    return 1 - Math.min(1, ...targets);
  }

  private haltVersion(version: Version, ratings: VersionRatings): void {
    const {logger} = this.options;
    const text = `${ratings.bad} of ${ratings.good + ratings.bad} answers were rated bad`;
    this.haltedRevisions.set(version.id, this.getRevision(version));
    this.options.onHalt();
    logger.warn('version halted', {version: version.id, evidence: text});
    this.submitOnce({
      kind: 'halt-version',
      version: version.id,
      evidence: text,
    });
  }

  /** Submits a decision: two hosts do so right away, the others only if those did not. */
  private submitOnce(intent: Intent & {version: string}): void {
    const key = `${intent.kind} ${intent.version} ${this.options.store.current.revisions[`version/${intent.version}`]}`;
    if (this.pendingSubmissions.has(key)) return;
    this.pendingSubmissions.add(key);
    void this.submitAfterDelay(intent, key).finally(() =>
      this.pendingSubmissions.delete(key),
    );
  }

  private async submitAfterDelay(
    intent: Intent & {version: string},
    key: string,
  ): Promise<void> {
    const {clock, random, store, submitter, membership, self, logger} =
      this.options;
    const first = selectByRendezvousHash(
      membership.listAllHosts().map(host => host.id),
      key,
      FIRST_SUBMITTERS,
    );
    const delay = first.includes(self)
      ? first.indexOf(self) * (FALLBACK_DELAY_MS / 10)
      : FALLBACK_DELAY_MS * (1 + random.next());
    const revision = store.current.revisions[`version/${intent.version}`];
    await sleep(clock, delay, this.stopping.signal);
    if (
      this.stopping.signal.aborted ||
      store.current.revisions[`version/${intent.version}`] !== revision
    )
      return;
    const plan = planIntent({
      config: store.current,
      intent,
      id: randomUUID(),
      lapsesAt: clock.wall() + PLAN_TTL_MS,
    });
    if (plan.isLeft()) return;
    const verdict = await submitter.submit(plan.unsafeCoerce(), `host ${self}`);
    logger.info('decision filed', {
      kind: intent.kind,
      version: intent.version,
      accepted: verdict?.accepted ?? 'unknown',
    });
  }

  private getOrCreateWatch(version: string, stage: string): VersionWatch {
    const known = this.watches.get(version);
    if (known?.stage === stage) return known;
    const longTerm =
      known?.longTerm ??
      new PassRateEstimate({halfLifeMs: LONG_TERM_HALF_LIFE_MS});
    const watch = {
      stage,
      since: this.options.clock.now(),
      drift: new DriftDetector(),
      longTerm,
      good: 0,
      bad: 0,
    };
    this.watches.set(version, watch);
    return watch;
  }

  private getRevision(version: Version): number {
    return this.options.store.current.revisions[`version/${version.id}`] ?? -1;
  }
}
